"""Tests of answers that are cut at each byte, to requests that may be sent again."""

import asyncio
from collections import Counter
from itertools import cycle

from damaskwind.router.forwarding.tests.cut_heads import (
    ANSWERS,
    PAUSES_S,
    CutHeadsTestCase,
)
from damaskwind.router.forwarding.tests.test_hedged_sends import HedgingTestCase, late
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.cut_answers import CutEnd, cut_after
from damaskwind.standins.scripted_target import plain


class RequestsThatMayRepeatTest(CutHeadsTestCase):
    @asyncio_test
    async def test_caller_gets_the_whole_answer_of_the_second_target(self):
        statuses = await self.ask_cut(ANSWERS[:3:2], after=(plain(),))
        self.assertEqual(set(statuses), {(200, b"whole", 2)})

    @asyncio_test
    async def test_second_answer_that_is_cut_too_is_not_whole(self):
        for answer in ANSWERS[:3]:
            for size in range(len(answer.data)):
                cut = cut_after(answer.data[:size], CutEnd.CLOSE)
                status, _ = await self.ask(cut, cut)
                self.assertEqual((status, len(self.received())), (502, 2))

    @asyncio_test
    async def test_answer_that_is_cut_after_a_pause_comes_from_the_second_target(self):
        for pause_s in PAUSES_S[:3]:
            for end in CutEnd:
                cut = cut_after(ANSWERS[0].data[:40], end, pause_s)
                self.assertEqual(await self.ask(cut, plain(), plain()), (200, b"whole"))


class SecondSendsTest(HedgingTestCase):
    """One of two sends is cut while the other goes on; many calls are made at once."""

    timeout = 60
    at_once = 3

    async def ask_each(self, make_steps):
        """Ask with the steps for each cut; return how often each answer came.

        An answer is its status, its body and how often its request was sent. The steps are taken
        by path, since calls overlap.
        """
        plans, sends = {}, Counter()

        async def take(writer, request):
            sends[request.target] += 1
            await plans[request.target].pop(0)(writer, request)

        async def ask(number, cut):
            path = b"/a/%d" % number
            plans[path] = [*make_steps(cut), plain()]
            answer = await self.call(path=path)
            return answer.status, answer.body, sends[path]

        found = Counter()
        cuts = [
            cut_after(ANSWERS[0].data[:size], end)
            for size, end in zip(range(len(ANSWERS[0].data)), cycle(CutEnd))
        ]
        for first in range(0, len(cuts), self.at_once):
            # After some failures a target gets no second sends.
            await self.renew()
            self.share(*[take] * (3 * self.at_once))
            numbered = enumerate(cuts[first : first + self.at_once], first)
            found.update(await asyncio.gather(*(ask(*item) for item in numbered)))
        return found

    async def renew(self):
        """Go on with a forwarder and targets that nothing is known of."""
        await self.finish()
        await self.start()

    def check(self, found, body):
        """Check that answers are whole, but for those of requests that were not sent."""
        whole = {(200, body, 1), (200, body, 2), (200, b"whole", 2), (200, b"whole", 3)}
        allowed = whole | {(503, b"", 0)}
        self.assertLessEqual(set(found), allowed)
        self.assertGreater(found[200, body, 2], 0.8 * found.total())

    @asyncio_test
    async def test_first_answer_that_is_cut_leaves_the_second_whole(self):
        found = await self.ask_each(lambda cut: [late(cut, 0.15), late(plain(body=b"second"), 0.1)])
        self.check(found, b"second")

    @asyncio_test
    async def test_second_answer_that_is_cut_leaves_the_first_whole(self):
        found = await self.ask_each(lambda cut: [late(plain(body=b"first"), 0.2), late(cut, 0.02)])
        self.check(found, b"first")
