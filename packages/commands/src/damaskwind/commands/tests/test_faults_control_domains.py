"""Fault test with real processes: a partitioned failure domain with routers in it."""

import treq

from damaskwind.commands.tests.fault_cluster import DEADLINE_S, DOMAINS, REPLICAS, FaultTestCase
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.standins.harness import wait_until

JUST_NOW_S = 5.0


class CutOffDomainTest(FaultTestCase):
    """Three replicas; routers gossip within their own failure domain only."""

    async def is_ready(self, name):
        """Return whether a router passes the balancer's readiness check."""
        address = self.cluster.harness.processes[name].ready["http_address"]
        answer = await to_future(treq.get(f"http://{address}/readyz", persistent=False))
        return answer.code == 200

    async def is_behind(self, name):
        """Return whether a router reports that it may be behind."""
        return (await self.cluster.router_state(name)).get("may_be_behind")

    async def has_lost_majority(self, replica):
        """Return whether a partitioned replica has noticed, which takes a second."""
        return not (await self.cluster.replica_status(replica))["is_current"]

    async def has_recent_report(self, replica, router, revision):
        """Return whether a replica has a recent report of a router that enforces a revision."""
        routers = (await self.cluster.replica_status(replica))["routers"]
        just_now = [each for each in routers if each["age_s"] < JUST_NOW_S]
        return (router, revision) in [(each["router_id"], each["revision"]) for each in just_now]

    async def cut_off(self, domain):
        """Partition a domain, its replica first, so that the replica is behind its routers."""
        cluster = self.cluster
        replica = REPLICAS[DOMAINS.index(domain)]
        others = tuple(name for name in REPLICAS if name != replica)
        # Reset instead of silent, so that the router switches to another replica at once.
        cluster.refuse("inside", replica)
        cluster.isolate(replica, except_to=("inside", "newcomer"))
        known = await cluster.add_viewer_anywhere(others, "known-inside")
        await cluster.wait_in_force(["inside", "outside"], known.revision)
        cluster.cut(*(("inside", name) for name in others))
        unknown = await cluster.add_viewer_anywhere(others, "unknown-inside")
        await cluster.wait_in_force(["outside"], unknown.revision)
        cluster.refuse("inside", replica, is_refused=False)
        return replica, others, known, unknown

    @asyncio_test
    async def test_router_started_in_a_partition_applies_the_highest_revision_there(self):
        cluster = self.cluster
        await cluster.start_replicas()
        domain, elsewhere = DOMAINS[2], DOMAINS[0]
        await cluster.start_router("inside", domain)
        await cluster.start_router("outside", elsewhere)
        await wait_until(lambda: self.is_ready("inside"), DEADLINE_S, "a ready router")
        replica, others, known, unknown = await self.cut_off(domain)
        status = await cluster.replica_status(replica)
        self.assertLess(status["revision"], known.revision)
        await wait_until(
            lambda: self.has_lost_majority(replica), DEADLINE_S, "a replica without a majority"
        )

        seeds = [cluster.harness.processes["inside"].ready["datagram_address"]]
        links = [(name, "newcomer") for name in others]
        cluster.open_links("newcomer")
        cluster.cut(*links)
        await cluster.start_router("newcomer", domain, seeds)
        await cluster.wait_in_force(["newcomer"], known.revision)
        self.assertEqual(cluster.applied_revisions("newcomer"), [known.revision])
        self.assertTrue(await self.is_behind("newcomer"))
        await wait_until(
            lambda: self.is_ready("newcomer"), DEADLINE_S, "a new router that is ready"
        )
        await wait_until(
            lambda: self.is_behind("inside"), DEADLINE_S, "a router that reports the partition"
        )
        await wait_until(
            lambda: self.has_recent_report(replica, "inside", known.revision),
            DEADLINE_S,
            "a report of a router that is ahead of its replica",
        )
        self.assertTrue(await self.is_ready("inside"))
        state = await cluster.router_state("inside")
        self.assertEqual(state["revision_in_force"], known.revision)

        cluster.heal()
        names = ["inside", "outside", "newcomer"]
        await cluster.wait_in_force(names, unknown.revision)
        for name in names:
            await wait_until(
                lambda name=name: self.is_current(name),
                DEADLINE_S,
                "routers that report to be current",
            )
        self.assertEqual(await cluster.find_faults(), [])

    async def is_current(self, name):
        """Return whether a router reports that it is current."""
        return (await self.cluster.router_state(name)).get("may_be_behind") is False
