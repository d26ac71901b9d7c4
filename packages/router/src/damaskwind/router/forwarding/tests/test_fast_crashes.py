"""Tests of targets that end at once under a request."""

from damaskwind.decisions.fatal_requests.suspicion import Standing
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test


class FreshConnectionTest(ForwarderTestCase):
    """Two targets, of which each ends by the first request that it reads."""

    def end_by_request(self, target):
        async def step(writer, request):
            target.exit()
            writer.transport.abort()

        target.script = [step]

    @asyncio_test
    async def test_target_that_ends_at_once_under_a_request_on_a_new_connection_is_counted(self):
        """Guards against a fatal request that nobody blames, as it ends its targets too fast."""
        for target in self.targets:
            self.end_by_request(target)
        await self.call()
        self.assertEqual(self.view.suspicions.count(Standing.SUSPECTED), 1)
