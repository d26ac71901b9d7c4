"""Tests of verifying the audit trails of several replicas against each other."""

from unittest import TestCase

from damaskwind.commands.operator_audit import verify_endpoints
from damaskwind.commands.operator_client import Answer, parse_endpoints
from damaskwind.control.audit.entry import AuditEvent, entry_hash
from damaskwind.control.audit.trail import AuditTrail


def entries(count):
    trail = AuditTrail()
    for number in range(count):
        trail.append(AuditEvent(1.0, "mei", "10.0.0.7", "plan", f"p{number}", "planned", 0))
    return list(trail.entries())


class FakeClient:
    """A client of replicas that return entries in pages of three."""

    def __init__(self, *trails):
        self.endpoints = parse_endpoints(",".join(f"10.0.0.{i}:1" for i in range(len(trails))))
        self.trails = dict(zip(self.endpoints, trails, strict=True))

    def request_one(self, endpoint, method, path, body=None):
        trail = self.trails[endpoint]
        if trail is None:
            return Answer(endpoint, 0, {"error": {"message": "refused"}})
        after = int(path.split("after=")[1].split("&")[0])
        page = [entry._asdict() for entry in trail if entry.sequence > after][:3]
        return Answer(endpoint, 200, {"entries": page})


class VerifyEndpointsTest(TestCase):
    def holds(self, *trails, known=None):
        return [report.holds for report in verify_endpoints(FakeClient(*trails), known)]

    def test_a_gap_that_another_replica_fills_is_no_fault(self):
        full_trail = entries(10)
        with_gap = full_trail[:3] + full_trail[6:]
        self.assertEqual(self.holds(full_trail, with_gap, full_trail[4:], []), [True] * 4)
        self.assertEqual(self.holds(with_gap), [False])
        self.assertEqual(self.holds(with_gap, full_trail[:5]), [False, True])

    def test_a_gap_filled_by_another_chain_is_a_fault(self):
        full_trail = entries(10)
        other = full_trail[4]._replace(operator="lin", entry_hash="")
        other = other._replace(entry_hash=entry_hash(other))
        self.assertEqual(
            self.holds(full_trail[:3] + full_trail[5:], [full_trail[3], other]), [False, True]
        )

    def test_differing_and_unreachable_replicas_are_reported(self):
        full_trail = entries(5)
        changed = full_trail[4]._replace(operator="lin")
        changed = changed._replace(entry_hash=entry_hash(changed))
        self.assertEqual(
            self.holds(full_trail, [*full_trail[:4], changed], None), [True, False, False]
        )
