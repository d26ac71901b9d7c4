"""Guard against a router of chats that keeps all that callers send ahead."""

from damaskwind.commands.tests.crowds.daemon_crowds import DaemonCrowdTestCase
from damaskwind.platform.tests.crowds.crowd_clients import Crowd
from damaskwind.platform.tests.crowds.crowd_test_case import AHEAD_BYTES, CLIENTS
from damaskwind.runtime.bridge import asyncio_test

REQUEST = b"GET /v1/models HTTP/1.1\r\nhost: h\r\n\r\n"


class ChatRequestsAheadTest(DaemonCrowdTestCase):
    @asyncio_test
    async def test_memory_of_a_router_filled_by_requests_ahead(self):
        router = await self.start_router()
        crowd = Crowd(CLIENTS, REQUEST * (AHEAD_BYTES // len(REQUEST)))
        await self.play(router, "http_address", crowd, "http_address")
