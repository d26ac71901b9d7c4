"""Tests of handlers that fail after they have answered, while a further request was read ahead."""

import asyncio

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.tests.test_unanswered import HEAD, WAIT_S, ServerTestCase

# Longer than the time after which a connection that was ended is closed.
LINGERED_S = 2.5


class FailedAfterAnswersTest(ServerTestCase):
    async def start(self):
        self.faults = []
        loop = asyncio.get_running_loop()
        handler = loop.get_exception_handler()
        loop.set_exception_handler(lambda _, context: self.faults.append(context))
        self.addCleanup(loop.set_exception_handler, handler)
        await super().start()

    async def fails(self, exchange):
        exchange.respond(Answer(200, [], b"ok"))
        raise ValueError("fails after its answer")

    @asyncio_test
    async def test_connection_that_was_ended_starts_no_further_request(self):
        """Guards against a request that is begun on a connection whose sending side is closed."""
        reader, _ = await self.open(HEAD % b"/fails" + HEAD % b"/whole")
        received = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertEqual(received.count(b" 200 "), 1)
        await asyncio.sleep(LINGERED_S)
        self.assertEqual([str(item.get("exception")) for item in self.faults], [])
        self.assertEqual(len(self.tasks), 1)
