"""Guard against a control replica that keeps all that clients send ahead."""

from damaskwind.commands.tests.crowds.daemon_crowds import DaemonCrowdTestCase
from damaskwind.platform.tests.crowds.crowd_clients import Crowd
from damaskwind.platform.tests.crowds.crowd_test_case import AHEAD_BYTES, CLIENTS
from damaskwind.runtime.bridge import asyncio_test

REQUEST = b"GET /operator/v1/status HTTP/1.1\r\nhost: h\r\n\r\n"


class OperatorRequestsAheadTest(DaemonCrowdTestCase):
    @asyncio_test
    async def test_memory_of_a_replica_filled_by_requests_ahead(self):
        replica = await self.start_control()
        crowd = Crowd(CLIENTS, REQUEST * (AHEAD_BYTES // len(REQUEST)))
        await self.play(replica, "operator_address", crowd, "operator_address")
