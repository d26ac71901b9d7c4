"""Tests of requests to be added that arrive after their sender has lost its disk again.

They guard against a delayed request of a former life that puts out the life that runs.
"""

from damaskwind.control.replica.tests.cluster import free_address
from damaskwind.control.replica.tests.lost_disks import CATCH_UP_S, LostDisksTestCase
from damaskwind.decisions.replication.messages import Outcome, RefusalReason
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.replication_pb2 import ChangeRequest

TIMEOUT_S = 3.0
AT_ONCE_S = 0.5
FORMER_IDENTITY = "former"
REFUSED = (Outcome.REFUSED, RefusalReason.INVALID_CHANGE)


class FormerLifeTest(LostDisksTestCase):
    async def ask_late(self, cluster, name, address):
        """Ask the leader to add a former life of a replica; return the outcome and its time."""
        leader = cluster.running[await cluster.leader()]
        request = ChangeRequest(
            action="add",
            replica_id=name,
            identity=FORMER_IDENTITY,
            address=address,
            failure_domain=f"domain-{name}",
        )
        asked_s = read_clock()
        outcome = await leader.access.change(request, TIMEOUT_S)
        return outcome, read_clock() - asked_s

    async def lives_at(self, cluster):
        """Return the members, and the address of each voter, as the leader knows them."""
        replica = cluster.running[await cluster.leader()].replica
        members = replica.core.membership
        address_of = replica.state.addresses.address_of
        return members, [str(address_of(voter.replica_id)) for voter in members.voters]

    async def check_voter_stays(self, address_of):
        cluster = self.make()
        await cluster.start_all()
        try:
            name = await self.follower(cluster)
            await self.time_until_vote_s(cluster, name)
            before = await self.lives_at(cluster)
            outcome, took_s = await self.ask_late(cluster, name, address_of(cluster, name))
            after = await self.lives_at(cluster)
        finally:
            await cluster.stop_all()
        self.assertEqual((outcome.outcome, outcome.reason), REFUSED)
        self.assertEqual(after, before)
        self.assertLess(took_s, AT_ONCE_S)

    @asyncio_test
    async def test_late_request_adds_no_former_life_beside_a_voter(self):
        await self.check_voter_stays(lambda cluster, name: cluster.addresses[name])

    @asyncio_test
    async def test_late_request_from_an_address_that_was_left_adds_no_former_life(self):
        await self.check_voter_stays(lambda cluster, name: free_address())

    @asyncio_test
    async def test_late_request_of_the_leader_s_former_life_adds_none(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            name = await cluster.leader()
            before = await self.lives_at(cluster)
            outcome, _ = await self.ask_late(cluster, name, cluster.addresses[name])
            after = await self.lives_at(cluster)
        finally:
            await cluster.stop_all()
        self.assertEqual((outcome.outcome, outcome.reason), REFUSED)
        self.assertEqual(after, before)

    @asyncio_test
    async def test_late_request_puts_out_no_learner_that_has_begun_to_catch_up(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            name = await self.follower(cluster)
            returned = (await self.lose_disk(cluster, name)).replica
            transport = returned.transport
            transport.send = lambda envelope: (
                None if returned.has_log else type(transport).send(transport, envelope)
            )
            self.assertTrue(await returned.wait_until(lambda: returned.has_log, TIMEOUT_S))
            await self.ask_late(cluster, name, cluster.addresses[name])
            del transport.send
            started_s = read_clock()
            leader = cluster.running[await cluster.leader()].replica
            await leader.wait_until(
                lambda: returned.member in leader.core.membership.voters, CATCH_UP_S
            )
            self.assertIn(returned.member, leader.core.membership.voters)
            self.assertLess(read_clock() - started_s, CATCH_UP_S)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_next_life_that_is_not_reached_is_added_at_once(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            name = await self.follower(cluster)
            await cluster.stop(name)
            outcome, took_s = await self.ask_late(cluster, name, cluster.addresses[name])
        finally:
            await cluster.stop_all()
        self.assertEqual(outcome.outcome, Outcome.COMMITTED)
        self.assertLess(took_s, AT_ONCE_S)
