"""Tests of the encoding of reports and grants."""

from unittest import TestCase
from unittest.mock import patch

from damaskwind.decisions.limits.codec import LimitsCodec
from damaskwind.decisions.limits.messages import (
    AccountDemand,
    AccountGrant,
    DemandReport,
    ShareGrant,
)
from damaskwind.model.exception import MessageError


def make_codec(accounts=("x", "y")):
    codec = LimitsCodec()
    codec.set_names(accounts, ["a", "b"])
    return codec


def report_of(*demands, router_domain="a"):
    return DemandReport("r", router_domain, "a", 1_790_000_000_123, demands)


class LimitsCodecTest(TestCase):
    def test_report_with_another_allocators_lease_round_trips(self):
        held = AccountDemand("x", 1, 2, 300, 4, 500, 6000, "before", 1_790_000_000_100)
        report = report_of(held, AccountDemand("y", 0, 1, 1), router_domain="b")
        codec = make_codec()
        payload = codec.encode_report(report, "now")
        self.assertEqual(codec.decode_report("r", "now", payload), report)

    def test_lease_granted_by_the_recipient_is_omitted(self):
        held = AccountDemand("x", 1, 2, 300, 4, 500, 6000, "now", 1_790_000_000_100)
        codec = make_codec()
        payload = codec.encode_report(report_of(held), "now")
        self.assertLess(len(payload), 35)
        (decoded,) = codec.decode_report("r", "now", payload).demands
        self.assertEqual(decoded, held._replace(held=0, held_tokens_per_s=0, held_remaining_ms=0))

    def test_names_with_colliding_digests_are_sent_in_full(self):
        report = report_of(AccountDemand("x", 1, 2, 3), AccountDemand("y", 4, 5, 6))
        with patch("damaskwind.decisions.limits.codec.name_digest", return_value=1):
            codec = make_codec()
        self.assertEqual(
            codec.decode_report("r", "now", codec.encode_report(report, "now")), report
        )

    def test_unknown_accounts_are_omitted_and_malformed_payloads_raise(self):
        grant = ShareGrant(
            "r", "a", 9, 6000, (AccountGrant("x", 1, 2), AccountGrant("y", 3, 4, False, True))
        )
        payload = make_codec().encode_grant(grant)
        self.assertEqual(make_codec(["y"]).decode_grant("r", payload).grants, grant.grants[1:])
        for damaged in (payload[:-1], b"", b"\xc1"):
            with self.assertRaises(MessageError):
                make_codec().decode_grant("r", damaged)
            with self.assertRaises(MessageError):
                make_codec().decode_report("r", "now", damaged)
