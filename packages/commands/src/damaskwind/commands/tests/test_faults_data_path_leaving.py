"""Fault test with real processes: leaving targets get no new requests, even if the leave is lost.

Traffic continues through all routers; the engines record the requests that arrive after they
started to leave.
"""

import asyncio

from damaskwind.commands.tests.data_path_fleet import DOMAINS
from damaskwind.commands.tests.data_path_traffic import LONG_TOKENS, SLOW, Traffic, TrafficTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

# Small domains don't allow a much shorter lease; see `lease_floor_s` of the membership.
LEASE_S = 10.0
PROPAGATION_S = 2.0
OBSERVED_S = LEASE_S + 4.0


class LeavingTest(TrafficTestCase):
    timeout = 120

    @asyncio_test
    async def test_leaving_target_gets_no_new_requests_and_finishes_its_own(self):
        fleet = self.fleet
        fleet.add_unreachable_replicas()
        await fleet.start_routers(4, policy={"load_factor": 2.0})
        engines = [
            {"target_id": f"engine-{number}", "failure_domain": DOMAINS[number], **SLOW}
            for number in range(3)
        ]
        await fleet.start_targets("targets", engines, [])
        silent = {"target_id": "silent", "failure_domain": DOMAINS[0], **SLOW}
        await fleet.start_targets("unheard", [silent], [], lease_s=LEASE_S)
        await fleet.wait_until_ready()
        traffic = Traffic(fleet)
        texts, streams = self.start_long_streams("long")
        for target in ("engine-0", "silent"):
            await self.wait_for_runs(target, 4)
        await fleet.set_routers("silent", [])
        for target in ("engine-0", "silent"):
            await fleet.control_target(target, "leave")
        await self.wait_for_traffic(read_clock(), OBSERVED_S, traffic)
        await traffic.stop()
        oracles = await fleet.oracles()
        self.assertEqual(oracles["engine-0"]["late"], {})
        late_s = max(oracles["silent"]["late"].values(), default=0.0)
        self.assertLessEqual(late_s, LEASE_S + PROPAGATION_S)
        answers = await asyncio.gather(*streams)
        for text, answer in zip(texts, answers, strict=True):
            self.assertTrue(self.is_complete_answer(text, answer, LONG_TOKENS), (text, answer))
        broken = [one for one in traffic.answers if not self.is_complete_answer(*one)]
        self.assertEqual(broken, [])
        print(f"\nlost leave: last new work {late_s:.2f} s after it, lease {LEASE_S} s")
