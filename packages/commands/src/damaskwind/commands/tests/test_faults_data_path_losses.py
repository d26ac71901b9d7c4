"""Fault test with real processes: engines that flap or are killed, and a lost router.

Traffic continues during the faults. Each caller knows its complete answer, which
distinguishes answers that may be lost from those that must continue.
"""

import asyncio
from collections import Counter

from damaskwind.commands.tests.data_path_fleet import DOMAINS
from damaskwind.commands.tests.data_path_traffic import (
    LONG_STREAMS,
    LONG_TOKENS,
    SLOW,
    Traffic,
    TrafficTestCase,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.harness import wait_until


class LossesTest(TrafficTestCase):
    timeout = 120

    @asyncio_test
    async def test_flapping_and_killed_processes_break_only_their_own_answers(self):
        fleet = self.fleet
        fleet.add_unreachable_replicas()
        await fleet.start_routers(4, policy={"load_factor": 2.0, "ejection_base_s": 0.5})
        engines = [
            {"target_id": f"engine-{number}", "failure_domain": DOMAINS[number], **SLOW}
            for number in range(3)
        ]
        await fleet.start_targets("targets", engines, [])
        victim = {"target_id": "doomed", "failure_domain": DOMAINS[0], **SLOW}
        await fleet.start_targets("doomed-process", [victim], [])
        await fleet.wait_until_ready()
        traffic = Traffic(fleet)
        for _ in range(2):
            before = await self.runs("engine-1")
            await fleet.control_target("engine-1", "flap", down_s=0.4)
            await self.wait_for_runs("engine-1", before + 4)
        await self.wait_for_complete_answers(traffic, 30)

        texts, streams = self.start_long_streams("doomed")
        await self.wait_for_runs("doomed", await self.runs("doomed") + 4)
        ran_by_victim = (await fleet.oracles())["doomed"]["runs_by_id"]
        await fleet.harness.processes["doomed-process"].kill()
        fleet.remove_targets("doomed")
        answers = await asyncio.gather(*streams)
        are_complete = [
            self.is_complete_answer(text, answer, LONG_TOKENS)
            for text, answer in zip(texts, answers, strict=True)
        ]
        truncated = [
            answer
            for is_complete_answer, answer in zip(are_complete, answers, strict=True)
            if not is_complete_answer
        ]
        self.assertTrue(truncated)
        for answer in truncated:
            self.assertIn(b'"may-have-run"', answer.body)
            self.assertIn(answer.request_id, ran_by_victim)
        await self.wait_for_complete_answers(traffic, 30)

        texts, streams = self.start_long_streams("orphans", "router-3")
        others, other_streams = self.start_long_streams("others", "router-0")
        before = Counter(await fleet.total_counts("events"))
        await wait_until(self.all_at_engines(texts + others), 20, "streams at the engines")
        await fleet.harness.processes["router-3"].kill()
        del fleet.routers["router-3"]
        for text, answer in zip(texts, await asyncio.gather(*streams), strict=True):
            self.assertFalse(self.is_complete_answer(text, answer, LONG_TOKENS))
        for text, answer in zip(others, await asyncio.gather(*other_streams), strict=True):
            self.assertTrue(self.is_complete_answer(text, answer, LONG_TOKENS), (text, answer))
        gone = Counter(await fleet.total_counts("events"))["caller_gone"] - before["caller_gone"]
        self.assertGreaterEqual(gone, LONG_STREAMS)
        await self.wait_for_complete_answers(traffic, 30)
        await traffic.stop()
        self.assertEqual(max((await fleet.total_counts("runs_by_id")).values()), 1)

    def all_at_engines(self, texts):
        """Return a condition that holds when all of these streams run at the engines."""

        async def holds():
            total_counts = await self.fleet.total_counts("runs_by_body")
            return sum(total_counts[self.fleet.digest_of(text)] for text in texts) == len(texts)

        return holds
