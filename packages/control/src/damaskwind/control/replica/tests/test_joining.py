"""Tests of the conditions under which a replica asks to be added again."""

import asyncio
from types import SimpleNamespace
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.control.replica import joining
from damaskwind.control.replica.lost_voters import LostVoters
from damaskwind.decisions.replication.messages import Member, Membership
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner

REJOIN_AFTER_S = 0.4


class StayMemberTest(TestCase):
    """A replica without a leader, whose requests to be added have no effect."""

    timeout = 20

    def setUp(self):
        members = Membership((Member("a", "a1"), Member("b", "b1")))
        core = SimpleNamespace(leader_seen_s=read_clock() - 60.0, membership=members)
        addresses = SimpleNamespace(address_of=lambda replica_id: None)
        self.replica = SimpleNamespace(
            member=members.voters[0],
            core=core,
            state=SimpleNamespace(addresses=addresses),
            is_running=True,
            is_leader=False,
            has_log=True,
        )
        self.request_count = 0

    async def ask(self, *_):
        self.request_count += 1

    async def run_for(self, duration_s):
        """Run `rejoin_if_removed` with a shortened `REJOIN_AFTER_S`.

        Returns the numbers of requests after `duration_s`, soon after the replica
        stopped leading, and at the end.
        """
        access = SimpleNamespace(replica=self.replica, lost_voters=LostVoters())
        service = SimpleNamespace(address="127.0.0.1:1")
        with (
            patch.object(joining, "REJOIN_AFTER_S", REJOIN_AFTER_S),
            patch.object(joining, "_ask_to_join", self.ask),
        ):
            rejoining = joining.rejoin_if_removed(access, service, (), "d", None)
            task = asyncio.ensure_future(rejoining)
            await asyncio.sleep(duration_s)
            self.replica.is_leader = False
            while_leading = self.request_count
            await asyncio.sleep(REJOIN_AFTER_S / 2)
            soon = self.request_count
            await asyncio.sleep(2 * REJOIN_AFTER_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        return while_leading, soon, self.request_count

    @asyncio_test
    async def test_replica_that_accepts_calls_without_replying_delays_no_other(self):
        silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        channels = joining.Channels()
        started_s = read_clock()
        reachable = await joining._reachable(
            [Address("127.0.0.1", port)] * 3, channels, CallSigner("c", "k", "a")
        )
        self.assertEqual(reachable, [])
        self.assertLess(read_clock() - started_s, joining.HELLO_TIMEOUT_S + 0.5)
        channels.close()
        silent.close()

    @asyncio_test
    async def test_replica_without_a_leader_asks(self):
        while_following, _, _ = await self.run_for(2 * REJOIN_AFTER_S)
        self.assertGreater(while_following, 0)

    @asyncio_test
    async def test_leader_that_steps_down_waits_as_if_it_had_just_seen_a_leader(self):
        self.replica.is_leader = True
        while_leading, soon, in_the_end = await self.run_for(2 * REJOIN_AFTER_S)
        self.assertEqual((while_leading, soon), (0, 0))
        self.assertGreater(in_the_end, 0)
