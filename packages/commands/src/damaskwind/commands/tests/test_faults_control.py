"""Fault test with real processes: a silently partitioned leader.

Delays are printed but not asserted, since the machine may be busy.
"""

from damaskwind.commands.tests.fault_cluster import (
    DEADLINE_S,
    DOMAINS,
    REPLICAS,
    FaultTestCase,
    viewer_intent,
)
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.harness import wait_until


class SilentLeaderTest(FaultTestCase):
    """Three replicas and eight routers, one of which is partitioned together with the leader."""

    async def has_stepped_down(self, leader):
        """Return whether a replica reports neither to be current nor to lead."""
        status = await self.cluster.replica_status(leader)
        return not status["is_current"] and status["role"] != "leader"

    @asyncio_test
    async def test_isolated_leader_stops_and_nothing_is_reverted(self):
        cluster = self.cluster
        await cluster.start_replicas()
        leader = await cluster.leader()
        others = tuple(name for name in REPLICAS if name != leader)
        routers = await cluster.start_routers(7)
        # It does not gossip, so it learns everything from a replica's stream.
        await cluster.start_router("stranded", DOMAINS[REPLICAS.index(leader)])
        before = await cluster.add_viewer(others[0], "before")
        await cluster.wait_in_force([*routers, "stranded"], before.revision)
        open_plan = await cluster.plan(leader, viewer_intent("never"))

        cluster.isolate(leader, except_to=("stranded",))
        cluster.cut(*(("stranded", name) for name in others))
        cut_s = read_clock()
        status, body = await cluster.request(leader, "POST", f"/plans/{open_plan}/confirm", {})
        refused_s = read_clock() - cut_s
        self.assertIn(status, (503, 504), body)
        self.assertEqual(body["error"]["nothing_changed"], status == 503)
        await wait_until(
            lambda: self.has_stepped_down(leader), DEADLINE_S, "the end of its leadership"
        )
        stopped_s = read_clock() - cut_s
        status, body = await cluster.request(leader, "POST", "/intents", viewer_intent("minority"))
        self.assertEqual((status, body["error"]["code"]), (503, "no_quorum"))

        during = await cluster.add_viewer_anywhere(others, "during")
        majority_change_s = read_clock() - cut_s
        in_force_s = await cluster.wait_in_force(routers, during.revision)
        self.assertEqual(during.revision, before.revision + 1)

        async def reports_it_may_be_behind():
            return (await cluster.router_state("stranded"))["may_be_behind"]

        await wait_until(reports_it_may_be_behind, DEADLINE_S, "a stranded router that reports it")
        state = await cluster.router_state("stranded")
        self.assertEqual(state["revision_in_force"], before.revision)

        cluster.heal()
        after = await cluster.add_viewer_anywhere((leader, *others), "after")
        healed_s = await cluster.wait_in_force([*routers, "stranded"], after.revision)
        status, body = await cluster.request(leader, "POST", f"/plans/{open_plan}/confirm", {})
        self.assertEqual(status, 409, body)
        self.assertEqual(await cluster.find_faults(), [])
        self.assertEqual(cluster.observed_revisions["stranded"][-1], after.revision)
        print(
            f"\nafter the cut: confirm refused {refused_s:.1f} s, no longer current"
            f" {stopped_s:.1f} s, a change confirmed by the majority {majority_change_s:.1f} s;"
            f" in force on 7 routers {in_force_s:.2f} s after its confirmation;"
            f" after the heal on 8 routers {healed_s:.2f} s"
        )
