"""Fault test with real processes: a partitioned failure domain serves with its own targets.

The partition is simulated by silence: the routers and targets of the other domains are stopped
with SIGSTOP, and the claim holders are unreachable.
"""

import asyncio
import json
import signal

from damaskwind.commands.tests.data_path_fleet import DOMAINS
from damaskwind.commands.tests.data_path_traffic import SHORT_TOKENS, TrafficTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.harness import wait_until

CUT_OFF_CHATS = 12


class CutOffDomainTest(TrafficTestCase):
    timeout = 120

    @asyncio_test
    async def test_partitioned_domain_serves_with_its_own_targets(self):
        fleet = self.fleet
        fleet.add_unreachable_replicas()
        await fleet.start_routers(3, policy={"first_byte_timeout_s": 1.0, "load_factor": 4.0})
        for number, domain in enumerate(DOMAINS):
            engine = {"target_id": f"engine-{number}", "failure_domain": domain}
            service = {"target_id": f"edge-{number}", "failure_domain": domain}
            await fleet.start_targets(f"targets-{number}", [engine], [service])
        await fleet.wait_until_ready()
        names = ("router-1", "router-2", "targets-1", "targets-2")
        away = [fleet.harness.processes[name] for name in names]
        # The other domains fall silent, as in a partition.
        for process in away:
            process.send(signal.SIGSTOP)
        try:
            await self.serve_alone()
        finally:
            for process in away:
                process.send(signal.SIGCONT)
        await fleet.wait_until_ready()
        for router, address in fleet.routers.items():
            answer = await fleet.chat(address, f"healed {router}", SHORT_TOKENS)
            self.assertTrue(self.is_complete_answer(f"healed {router}", answer), answer)

    async def serve_alone(self):
        """Check that the remaining router serves with the targets of its domain."""
        fleet, address = self.fleet, self.fleet.routers["router-0"]
        at_once = [fleet.chat(address, f"early {n}", SHORT_TOKENS) for n in range(CUT_OFF_CHATS)]
        for number, answer in enumerate(await asyncio.gather(*at_once)):
            self.is_complete_answer(f"early {number}", answer)

        async def is_alone():
            return (await fleet.state("router-0"))["routers"] == ["router-0"]

        await wait_until(is_alone, 20, "a router that sees no other routers")
        self.assertTrue((await fleet.state("router-0"))["ready"])
        for number in range(CUT_OFF_CHATS):
            answer = await fleet.chat(address, f"alone {number}", SHORT_TOKENS)
            self.assertTrue(self.is_complete_answer(f"alone {number}", answer), answer)
            answer = await fleet.call(address, b"alone %d" % number)
            self.assertEqual((answer.status, answer.verdict), (200, "ran"), answer)
        keyed = await fleet.call(address, b"keyed", "key-alone")
        self.assertEqual((keyed.status, keyed.verdict), (503, "not-run"), keyed)
        self.assertEqual(json.loads(keyed.body)["error"]["code"], "no_quorum")
        oracle = await fleet.oracle("edge-0")
        self.assertEqual(oracle["events"]["run"], CUT_OFF_CHATS)
        self.assertEqual(oracle["runs_by_key"], {})
