"""Tests of what a replica does once its leader is known to have ended for good.

They guard against followers that wait for a leader whose disk is lost, and against a vote
that is granted although a leader that still runs relies on it being withheld.
"""

from unittest import TestCase

from damaskwind.decisions.replication.events import LeaderEnded, Tick, WritesDurable
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    Member,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
)
from damaskwind.decisions.replication.tests.test_core import (
    B,
    C,
    make_core,
    receive,
    sent_messages,
)

LED_TERM = 1
HEARTBEAT = AppendRequest(LED_TERM, 1, 1, 1, (), 1)
HEARD_S = 5.0
SOON_S = 5.01


def follower_of(leader):
    """Return replica a, which heard `leader` at `HEARD_S`."""
    core = make_core()
    receive(core, leader, HEARTBEAT, HEARD_S)
    return core


def grants_pre_vote(core, sender, now_s):
    """Return whether replica a would vote for `sender` in the next term."""
    outputs = receive(core, sender, PreVoteRequest(core.term + 1, 1, 1), now_s)
    (answer,) = sent_messages(outputs, PreVoteResponse)
    return answer.granted


class EndedLeaderTest(TestCase):
    def test_vote_is_not_withheld_for_a_leader_that_has_ended(self) -> None:
        core = follower_of(B)
        self.assertFalse(grants_pre_vote(core, C, SOON_S))
        core.step(LeaderEnded(B, LED_TERM), SOON_S)
        self.assertIsNone(core.leader)
        self.assertTrue(grants_pre_vote(core, C, SOON_S))

    def test_follower_of_an_ended_leader_campaigns_before_an_election_timeout(self) -> None:
        core = follower_of(B)
        core.step(LeaderEnded(B, LED_TERM), SOON_S)
        outputs = core.step(Tick(), SOON_S + 0.3)
        self.assertEqual(len(sent_messages(outputs, PreVoteRequest)), 2)

    def test_end_of_another_life_leaves_the_leader_its_votes(self) -> None:
        core = follower_of(B)
        for ended in (Member("b", "b0"), C):
            core.step(LeaderEnded(ended, LED_TERM), SOON_S)
            self.assertEqual(core.leader, B)
            self.assertFalse(grants_pre_vote(core, C, SOON_S))

    def test_end_of_a_leader_before_leaves_its_successor_its_votes(self) -> None:
        core = follower_of(B)
        receive(core, C, VoteRequest(2, 1, 1), HEARD_S + 2.0)
        core.step(WritesDurable(1), HEARD_S + 2.0)
        receive(core, C, AppendRequest(2, 1, 1, 1, (), 1), HEARD_S + 2.0)
        core.step(LeaderEnded(B, LED_TERM), HEARD_S + 2.1)
        self.assertEqual(core.leader, C)
        self.assertFalse(grants_pre_vote(core, B, HEARD_S + 2.1))

    def test_late_news_of_an_end_leaves_a_member_that_leads_again_its_votes(self) -> None:
        """Its disk may be back after a start without it."""
        core = follower_of(B)
        receive(core, B, AppendRequest(LED_TERM + 2, 1, 1, 1, (), 1), HEARD_S + 3.0)
        core.step(WritesDurable(1), HEARD_S + 3.0)
        core.step(LeaderEnded(B, LED_TERM), HEARD_S + 3.1)
        self.assertEqual(core.leader, B)
        self.assertFalse(grants_pre_vote(core, C, HEARD_S + 3.1))

    def test_votes_are_withheld_again_for_a_leader_that_is_heard_later(self) -> None:
        core = follower_of(B)
        core.step(LeaderEnded(B, LED_TERM), SOON_S)
        receive(core, C, VoteRequest(2, 1, 1), SOON_S)
        core.step(WritesDurable(1), SOON_S)
        receive(core, C, AppendRequest(2, 1, 1, 1, (), 1), SOON_S)
        self.assertFalse(grants_pre_vote(core, B, SOON_S + 0.5))
