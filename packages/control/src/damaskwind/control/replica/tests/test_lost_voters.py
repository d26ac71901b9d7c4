"""Tests of the sight of a lost majority.

They guard against a log that has ended while its last copy says no more than that nobody
vouches for it.
"""

from loguru import logger
from twisted.trial.unittest import TestCase

from damaskwind.control.replica.lost_voters import Greeting, LostVoters, find_lost_majority
from damaskwind.decisions.replication.messages import Member

VOTERS = tuple(Member(name, "1") for name in "abc")


def greeting(name, identity, has_log):
    return Greeting(Member(name, identity), has_log)


class LostVotersTest(TestCase):
    def test_only_a_majority_of_other_lives_without_logs_is_lost(self):
        cases = [
            ([("b", "2", False), ("c", "2", False)], "bc"),
            ([("b", "2", False)], ""),
            ([("b", "2", True), ("c", "2", False)], ""),
            ([("b", "1", False), ("c", "2", False)], ""),
            ([("x", "2", False), ("y", "2", False)], ""),
            ([], ""),
        ]
        for answers, expected in cases:
            greetings = [greeting(*answer) for answer in answers]
            lost = find_lost_majority(VOTERS, greetings)
            self.assertEqual("".join(voter.replica_id for voter in lost), expected, answers)

    def test_a_lost_majority_is_logged_once_when_found_and_once_when_it_ends(self):
        lines = []
        sink = logger.add(lambda message: lines.append(message.record["message"]))
        self.addCleanup(logger.remove, sink)
        lost = LostVoters()
        for members in ((), VOTERS[:2], VOTERS[:2], (), ()):
            lost.record(members)
        expected = [
            "majority of voters lost their logs",
            "majority of voters no longer known as lost",
        ]
        self.assertEqual(lines, expected)
