"""Tests of unframed answers of targets whose process ends and soon starts again."""

import asyncio

from damaskwind.router.forwarding.tests.bench import NAMES
from damaskwind.router.forwarding.tests.test_unframed_answers import EVENTS
from damaskwind.router.forwarding.tests.test_unheard_ends import TWO_EVENTS
from damaskwind.router.forwarding.tests.test_unheard_ends_behind_links import LinkedTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import ConnectFailedError
from damaskwind.standins.scripted_target import ScriptedTarget, unframed

# How long a process takes to start again.
DOWN_S = 0.1


class RestartedTargetTestCase(LinkedTestCase):
    """The target reports its start, as one does whose id may name several lives."""

    async def start(self):
        await super().start()
        record = self.view.targets.record_of("t0")
        self.view.targets.merge(record._replace(born_ms=1, sequence=102), read_clock())

    async def start_again(self):
        """Start the next process of the target, under the same id, of which no report is heard."""
        await asyncio.sleep(DOWN_S)
        following = ScriptedTarget(NAMES)
        self.targets.append(following)
        self.link.target = await following.start()


class RestartedTargetTest(RestartedTargetTestCase):
    @asyncio_test
    async def test_process_that_started_again_under_the_same_id_is_no_proof(self):
        """Guards against a restarted process that vouches for the answer of the one before it."""
        self.share(self.ending_process())
        reading = asyncio.ensure_future(self.read())
        while self.target.is_alive:
            await asyncio.sleep(0.001)
        await self.start_again()
        self.assertEqual(await reading, (TWO_EVENTS, False))


class LateEndTest(RestartedTargetTestCase):
    """Two streams of a process that ends; the end of the second one is heard late."""

    async def begin(self, ended):
        """Begin two streams, which end as `ended` is set; return what their callers will get."""
        reached = []

        async def step(writer, request):
            reached.append(request)
            await ended.wait()
            await unframed(TWO_EVENTS, (EVENTS,))(writer, request)

        self.share(step, step)
        reads = []
        for number in range(2):
            reads.append(asyncio.ensure_future(self.read(request_id=b"r%d" % number)))
            while len(reached) < len(reads):
                await asyncio.sleep(0.005)
        return reads

    async def end_and_start_again(self, is_refusing):
        """End the process, and start the next one; return whether the second stream is whole."""
        ended = asyncio.Event()
        first, second = await self.begin(ended)
        late = self.link.connections[1]
        late.to_caller.pauseProducing()
        connect = self.connections.connect

        async def refuse(address, timeout_s):
            raise ConnectFailedError("ConnectionRefusedError")

        self.target.is_alive = False
        self.target._server.close()
        if is_refusing:
            self.connections.connect = refuse
        ended.set()
        await asyncio.sleep(DOWN_S)
        self.connections.connect = connect
        await self.start_again()
        self.assertFalse((await first)[1])
        late.to_caller.resumeProducing()
        return (await second)[1]

    @asyncio_test
    async def test_end_that_is_heard_after_a_reset_is_not_proved_by_the_next_process(self):
        """Guards against a cut stream that looks complete, as its end was 0.2 s on its way."""
        self.assertFalse(await self.end_and_start_again(is_refusing=False))

    @asyncio_test
    async def test_end_that_is_heard_after_a_refusal_is_not_proved_by_the_next_process(self):
        self.assertFalse(await self.end_and_start_again(is_refusing=True))
