import asyncio
import socket
from types import SimpleNamespace
from unittest.mock import patch

from grpclib.server import Server
from twisted.trial.unittest import TestCase

from damaskwind.control.replica import transport
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.decisions.replication.messages import Member, Outcome, RefusalReason
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallSigner
from damaskwind.wire.replication_grpc import ReplicationBase

ANSWER_S = 0.4


class ScriptedLeader:
    """A leading replica that returns a list of outcomes, then commits."""

    failure = None
    is_leader = True

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.proposal_count = 0
        self.state = SimpleNamespace(applied_index=9)
        self.core = SimpleNamespace(
            role="leader", term=3, last_index=9, leader=Member("a", "1"), leader_seen_s=0.0
        )

    async def propose(self, payload, timeout_s):
        self.proposal_count += 1
        if self.outcomes:
            return self.outcomes.pop(0)
        return ProposalOutcome("", Outcome.COMMITTED, 9)


def refused(reason):
    return ProposalOutcome("", Outcome.REFUSED, 0, reason)


class SlowLeader(ReplicationBase):
    """A leader that answers proposals after `ANSWER_S`; `callers` are their connections."""

    def __init__(self):
        self.callers = []

    async def Propose(self, stream):  # noqa: N802
        """Answer late."""
        self.callers.append(stream.peer.addr())
        await stream.recv_message()
        await asyncio.sleep(ANSWER_S)
        reply = replication_pb2.ProposalOutcome(state="committed", index=9)
        await stream.send_message(reply)

    async def Deliver(self, stream):  # noqa: N802
        raise NotImplementedError

    Change = ReadIndex = Hello = Deliver


class LateAnswerTest(TestCase):
    """A follower that forwards proposals to a leader that answers too late.

    Each timeout closed the connection. On a slow network opening another one took longer
    than a call may, so that no later proposal reached the leader.
    """

    async def callers_of(self, timeouts_s):
        """Return the connections and outcomes of proposals with these timeouts."""
        leader = SlowLeader()
        listening = socket.create_server(("127.0.0.1", 0))
        server = Server([leader])
        await server.start(sock=listening)
        address = Address("127.0.0.1", listening.getsockname()[1])
        follower = SimpleNamespace(
            failure=None,
            is_leader=False,
            member=Member("b", "1"),
            core=SimpleNamespace(leader=Member("a", "1"), term=3),
            state=SimpleNamespace(addresses=SimpleNamespace(address_of=lambda _: address)),
        )
        access = LogAccess(follower, CallSigner("kl", "key", "b"))
        try:
            outcomes = [(await access.commit(b"x", limit_s)).outcome for limit_s in timeouts_s]
        finally:
            await access.close()
            server.close()
            await server.wait_closed()
        return leader.callers, outcomes

    @asyncio_test
    async def test_connection_outlasts_a_timeout(self):
        callers, outcomes = await self.callers_of([ANSWER_S / 2, 20.0])
        self.assertEqual(outcomes, [Outcome.UNKNOWN, Outcome.COMMITTED])
        self.assertEqual(len(set(callers)), 1)

    @asyncio_test
    async def test_connection_that_stays_silent_is_replaced(self):
        with patch.object(transport, "SILENT_LIMIT_S", 0.3):
            callers, _ = await self.callers_of([ANSWER_S / 2] * 3)
        self.assertEqual(len(set(callers)), 2)


class LogAccessTest(TestCase):
    async def commit(self, leader, timeout_s=20.0):
        access = LogAccess(leader, CallSigner("kl", "key", "a"))
        return await access.commit(b"payload", timeout_s)

    @asyncio_test
    async def test_temporary_refusal_is_retried_until_the_timeout(self):
        temporary = set(RefusalReason) - {RefusalReason.INVALID_CHANGE}
        for reason in temporary:
            leader = ScriptedLeader(refused(reason), refused(reason))
            outcome = await self.commit(leader)
            self.assertEqual(
                (outcome.outcome, leader.proposal_count), (Outcome.COMMITTED, 3), reason
            )

    @asyncio_test
    async def test_persistent_refusal_is_returned_after_the_timeout(self):
        leader = ScriptedLeader(*[refused(RefusalReason.NO_QUORUM)] * 1000)
        outcome = await self.commit(leader, 0.2)
        self.assertEqual(outcome.reason, RefusalReason.NO_QUORUM)
        self.assertGreater(leader.proposal_count, 1)

    @asyncio_test
    async def test_unknown_outcome_and_invalid_change_are_never_retried(self):
        final = [ProposalOutcome("", Outcome.UNKNOWN), refused(RefusalReason.INVALID_CHANGE)]
        for first in final:
            leader = ScriptedLeader(first)
            self.assertEqual(await self.commit(leader), first)
            self.assertEqual(leader.proposal_count, 1)
