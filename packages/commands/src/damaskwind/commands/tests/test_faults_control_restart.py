"""Fault test with real processes: `kill -9` of everything, then a restart.

`benchmarks/control_restart.py` does the same after 1,000 changes.
"""

import asyncio

from damaskwind.commands.tests.fault_cluster import (
    DEADLINE_S,
    REPLICAS,
    FaultTestCase,
    viewer_intent,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.harness import wait_until

CHANGES = 20


class KilledTest(FaultTestCase):
    """Three replicas with snapshots, so that both snapshot and log are recovered; two routers."""

    snapshot_every_entries = 15

    @asyncio_test
    async def test_killing_everything_at_once_reverts_nothing(self):
        cluster = self.cluster
        await cluster.start_replicas()
        routers = await cluster.start_routers(2)
        for number in range(CHANGES):
            await cluster.add_viewer(REPLICAS[number % 3], f"viewer-{number}")
        last = cluster.confirmed[-1]
        await cluster.wait_in_force(routers, last.revision)
        plan_id = await cluster.plan(REPLICAS[0], viewer_intent("in-flight"))
        path = f"/plans/{plan_id}/confirm"
        in_flight = asyncio.ensure_future(cluster.request(REPLICAS[0], "POST", path, {}))
        await cluster.kill(*REPLICAS, *routers)
        status, body = await in_flight
        if status == 200:
            cluster.record_confirmation(body, "in-flight")
        await cluster.restart(*routers)
        await cluster.wait_in_force(routers, last.revision)
        for name in routers:
            self.assertTrue((await cluster.router_state(name))["may_be_behind"])
        await cluster.restart(*REPLICAS)
        await wait_until(lambda: cluster.all_vote(REPLICAS), DEADLINE_S, "three voters again")
        snapshots = [len(list((cluster.folder / name).glob("*.snapshot"))) for name in REPLICAS]
        self.assertGreater(min(snapshots), 0, snapshots)
        resent = await cluster.confirm(REPLICAS[1], plan_id, "in-flight")
        self.assertEqual(resent.revision, last.revision + 1)
        self.assertEqual(await cluster.find_faults(), [])
        await cluster.wait_in_force(routers, resent.revision)
