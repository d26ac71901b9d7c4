"""Tests of replicas that are back without their disk and vote too late.

They guard against a learner that never holds all that is committed, as more is committed all
the time, and against a leader that ends by a few lost messages while a former self votes.
"""

from unittest import TestCase

from damaskwind.decisions.replication.tests.test_time_until_vote import (
    CASES,
    CATCH_UP_S,
    measure,
    seconds_until_vote,
)

SEEDS = range(4)
LOST_MESSAGES_SEEDS = (17, 23)


class LateVotesTest(TestCase):
    def test_slow_learner_catches_up_though_entries_are_committed_all_the_time(self) -> None:
        times_s = measure(CASES["steady proposals, slow disk"], 3, False, 0.5, SEEDS)
        self.assertLess(times_s[-1], CATCH_UP_S)

    def test_few_lost_messages_delay_no_vote_for_long(self) -> None:
        for seed in LOST_MESSAGES_SEEDS:
            took_s = seconds_until_vote(CASES["messages lost"], seed, 3, True, 0.05)
            self.assertLess(took_s, CATCH_UP_S, f"seed {seed}")
