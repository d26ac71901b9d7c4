"""Tests of overdue attempts that need different things of the target that takes over."""

import asyncio

from damaskwind.router.forwarding.tests.test_replacements import OverdueTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import fetch
from damaskwind.standins.scripted_target import plain, silent

LIMIT_BYTES = 1 << 20
MAX_BODY_BYTES = 1000
# An attempt is overdue after 0.8 s, and the rounds follow each other at 0.1 s.
MAX_TOOK_S = 2.0


class SmallBodies:
    """Bounds under which no target may be sent a large body."""

    def may_send(self, target_id, size_bytes):
        return size_bytes < MAX_BODY_BYTES


class UnequalRequestsTest(OverdueTestCase):
    async def send(self, request_id, body, deadline_ms):
        """Make one call and return its status and how long it took."""
        connection, begun_s = await self.connect(), read_clock()
        request = self.request(b"/a/x", request_id, body, x_deadline_ms=deadline_ms)
        answer = await fetch(connection, request, LIMIT_BYTES)
        return answer.status, read_clock() - begun_s

    @asyncio_test
    async def test_request_that_fits_nowhere_does_not_hold_up_others(self):
        """Guards against requests that wait behind a more urgent one whose body has no room."""
        self.publish_route()
        show_second_target = self.hide_second_target()
        self.targets[0].script = [silent(), silent()]
        self.targets[1].script = [plain(), plain()]
        large = asyncio.ensure_future(self.send(b"large", b"x" * 2000, b"3900"))
        await asyncio.sleep(0.05)
        small = asyncio.ensure_future(self.send(b"small", b"{}", b"4000"))
        await asyncio.sleep(0.1)
        show_second_target()
        self.forwarder.replacements.target_bodies = SmallBodies()
        status, took_s = await small
        await large
        self.assertEqual(status, 200)
        self.assertLess(took_s, MAX_TOOK_S)
