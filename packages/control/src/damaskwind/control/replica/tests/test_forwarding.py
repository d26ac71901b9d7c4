from types import SimpleNamespace

from twisted.trial.unittest import TestCase

from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.decisions.replication.messages import Outcome, RefusalReason
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire.authentication import CallSigner


class ScriptedLeader:
    """A replica that leads and gives the outcomes of a list, then commits."""

    failure = None
    is_leader = True

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.asked = 0
        self.state = SimpleNamespace(applied_index=9)

    async def propose(self, payload, timeout_s):
        self.asked += 1
        if self.outcomes:
            return self.outcomes.pop(0)
        return ProposalOutcome("", Outcome.COMMITTED, 9)


def refused(reason):
    return ProposalOutcome("", Outcome.REFUSED, 0, reason)


class LogAccessTest(TestCase):
    async def commit(self, leader, timeout_s=20.0):
        access = LogAccess(leader, CallSigner("kl", "key", "a"))
        return await access.commit(b"payload", timeout_s)

    @asyncio_test
    async def test_refusal_that_passes_is_tried_again_while_there_is_time(self):
        passing = set(RefusalReason) - {RefusalReason.INVALID_CHANGE}
        for reason in passing:
            leader = ScriptedLeader(refused(reason), refused(reason))
            outcome = await self.commit(leader)
            self.assertEqual((outcome.outcome, leader.asked), (Outcome.COMMITTED, 3), reason)

    @asyncio_test
    async def test_refusal_that_lasts_is_told_once_the_time_is_over(self):
        leader = ScriptedLeader(*[refused(RefusalReason.NO_QUORUM)] * 1000)
        outcome = await self.commit(leader, 0.2)
        self.assertEqual(outcome.reason, RefusalReason.NO_QUORUM)
        self.assertGreater(leader.asked, 1)

    @asyncio_test
    async def test_unknown_outcome_and_invalid_change_are_never_tried_again(self):
        lasting = [ProposalOutcome("", Outcome.UNKNOWN), refused(RefusalReason.INVALID_CHANGE)]
        for first in lasting:
            leader = ScriptedLeader(first)
            self.assertEqual(await self.commit(leader), first)
            self.assertEqual(leader.asked, 1)
