"""Tests of answers whose status is no HTTP status code (RFC 9110, section 15)."""

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase, route
from damaskwind.router.forwarding.tests.test_cut_heads_relayed import BehindRouterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.scripted_target import raw

STATUSES = (b"000", b"099", b"20", b"2000", b"600", b"999", b"20x", b"-20")
KINDS = (RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING)


def answer(status):
    """Return a step that answers with a status line of this status."""
    fields = b"x-request-id: r1\r\ncontent-length: 0\r\n\r\n"
    return raw(b"HTTP/1.1 " + status + b" X\r\n" + fields)


class InvalidStatusesTest(ForwarderTestCase):
    async def statuses(self):
        """Return the status that callers get for each status of a target."""
        found = {}
        for kind in KINDS:
            self.publish(route(kind))
            for status in STATUSES:
                self.forwarder._budgets.clear()
                self.share(answer(status))
                found[kind.value, status] = (await self.call()).status
        return found

    @asyncio_test
    async def test_answer_without_a_valid_status_is_none(self):
        """Guards against a status that callers can't read."""
        found = await self.statuses()
        self.assertEqual(found, dict.fromkeys(found, 502))


class InvalidStatusesThroughAnotherRouterTest(InvalidStatusesTest, BehindRouterTestCase):
    pass
