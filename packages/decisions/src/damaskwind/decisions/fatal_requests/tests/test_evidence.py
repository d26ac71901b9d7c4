"""Tests of what the end of a target counts against, among requests and the parts of prompts.

Guards against two faults: evidence that never adds up, since it is kept for whole requests of which
no two are alike; and blame for a part that sound requests share.
"""

from random import Random
from unittest import TestCase

from damaskwind.decisions.fatal_requests.evidence import SendEvidence, Suspect, together
from damaskwind.decisions.fatal_requests.identity import identify_together
from damaskwind.decisions.fatal_requests.suspicion import Standing, SuspicionTable
from damaskwind.decisions.fatal_requests.verdicts import MAX_PENDING_S, VerdictMaker

FATAL, ENTRY, MIDDLE = b"fatal", b"entry", b"middle"


class Fleet:
    """One table, and the answers that one router saw."""

    def __init__(self):
        self.table = SuspicionTable()
        self.verdicts = VerdictMaker(self.table)
        self.now_s, self.number = 0.0, 0

    def send(self, *parts):
        """Return the evidence of a new request with these parts as it is sent."""
        self.number += 1
        request, *rest = (
            Suspect(digest, self.table.level(digest))
            for digest in (b"request %d" % self.number, *parts)
        )
        return SendEvidence(request, tuple(rest), together((request, *rest), self.table.level))

    def end(self, *sends):
        self.now_s += 1.0
        self.count(self.verdicts.record_target_end("s", sends, self.now_s))

    def answer(self, send):
        self.now_s += 0.1
        for item in send.suspects:
            self.table.record_completion(item.digest, self.now_s)
        parts = [item.digest for item in send.parts]
        self.count(self.verdicts.record_answer("s", parts, self.now_s))
        self.count(self.verdicts.narrow_groups())

    def count(self, blamed):
        for item in blamed:
            self.table.record_target_end(*item, self.now_s)

    def is_fatal(self, digest):
        return self.table.standing(digest, self.now_s) is Standing.FATAL


class PartTest(TestCase):
    def test_third_end_is_counted_against_the_part_that_all_had(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(fleet.send(ENTRY, FATAL), fleet.send(ENTRY, MIDDLE))
            for _ in range(4):
                fleet.answer(fleet.send(ENTRY, MIDDLE))
        self.assertTrue(fleet.is_fatal(FATAL))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 1)

    def test_last_end_spares_what_else_was_in_flight(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(fleet.send(FATAL))
        fleet.answer(fleet.send(MIDDLE))
        fleet.end(fleet.send(FATAL), fleet.send(b"beside"))
        self.assertEqual(fleet.table.level(b"beside").ends, 0)

    def test_suspects_of_two_requests_are_told_apart_by_another_end(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(fleet.send(FATAL), fleet.send(b"beside"))
        for _ in range(8):
            fleet.answer(fleet.send(MIDDLE))
        fleet.end(fleet.send(FATAL), fleet.send(b"beside"))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 0)
        fleet.end(fleet.send(FATAL))
        self.assertTrue(fleet.is_fatal(FATAL))
        self.assertFalse(fleet.is_fatal(b"beside"))

    def test_suspect_that_was_at_two_ends_beside_different_ones_is_to_blame(self):
        """Guards against a verdict that never comes, as something else is always close to one."""
        fleet = Fleet()
        for _ in range(2):
            for beside in (b"beside", b"other"):
                fleet.end(fleet.send(beside))
            fleet.end(fleet.send(FATAL))
        fleet.answer(fleet.send(MIDDLE))
        fleet.end(fleet.send(FATAL), fleet.send(b"beside"))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 0)
        fleet.end(fleet.send(FATAL), fleet.send(b"other"))
        self.assertTrue(fleet.is_fatal(FATAL))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 1)

    def test_end_under_what_is_held_meanwhile_spares_all(self):
        fleet = Fleet()
        late = fleet.send(FATAL), fleet.send(b"beside")
        for _ in range(3):
            fleet.end(fleet.send(FATAL))
            fleet.answer(fleet.send(MIDDLE))
        fleet.end(*late)
        self.assertEqual(fleet.table.level(FATAL).ends, 3)
        self.assertEqual(fleet.table.level(b"beside").ends, 0)

    def test_part_that_targets_answered_before_becomes_fatal(self):
        fleet = Fleet()
        fleet.answer(fleet.send(ENTRY, FATAL))
        for _ in range(3):
            fleet.end(fleet.send(ENTRY, FATAL))
            fleet.answer(fleet.send(ENTRY, MIDDLE))
        self.assertTrue(fleet.is_fatal(FATAL))

    def test_no_part_is_blamed_where_nothing_is_answered(self):
        fleet = Fleet()
        for _ in range(20):
            fleet.end(fleet.send(ENTRY, MIDDLE), fleet.send(ENTRY, b"other"))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 0)

    def test_verdict_waits_for_an_answer_without_the_part(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(fleet.send(ENTRY, FATAL))
        self.assertEqual(fleet.table.count(Standing.FATAL, fleet.now_s), 0)
        fleet.answer(fleet.send(ENTRY, MIDDLE))
        self.assertFalse(fleet.is_fatal(FATAL) or fleet.is_fatal(ENTRY))
        fleet.end(fleet.send(ENTRY, FATAL))
        self.assertTrue(fleet.is_fatal(FATAL))

    def test_verdict_on_the_only_suspect_waits_for_an_answer_without_it(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(fleet.send(FATAL))
        self.assertFalse(fleet.is_fatal(FATAL))
        fleet.answer(fleet.send(MIDDLE))
        self.assertTrue(fleet.is_fatal(FATAL))

    def test_verdict_does_not_wait_for_long(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(fleet.send(FATAL))
        fleet.now_s += MAX_PENDING_S
        fleet.answer(fleet.send(MIDDLE))
        self.assertFalse(fleet.is_fatal(FATAL))

    def test_usual_part_is_not_blamed_by_the_first_answer_without_it(self):
        """After an outage the first answers may lack what three quarters of the requests hold."""
        fleet = Fleet()
        for number in range(40):
            fleet.answer(fleet.send(*([ENTRY] if number % 4 else []), b"%d" % number))
        for _ in range(3):
            fleet.end(fleet.send(ENTRY))
        fleet.answer(fleet.send(MIDDLE))
        self.assertFalse(fleet.is_fatal(ENTRY))

    def test_part_that_all_requests_hold_is_not_blamed_by_answers_to_some(self):
        fleet = Fleet()
        for number in range(30):
            fleet.end(fleet.send(ENTRY, b"%d" % number), fleet.send(ENTRY, MIDDLE))
            fleet.answer(fleet.send(ENTRY, b"%d" % (number % 3)))
        self.assertFalse(fleet.is_fatal(ENTRY))


class GroupTest(TestCase):
    def blame_both(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(fleet.send(ENTRY, FATAL))
        fleet.answer(fleet.send(MIDDLE))
        fleet.end(fleet.send(ENTRY, FATAL))
        return fleet

    def test_parts_that_always_come_together_are_held_together_only(self):
        fleet = self.blame_both()
        self.assertTrue(fleet.is_fatal(identify_together([ENTRY, FATAL])))
        self.assertEqual(fleet.send(ENTRY, FATAL).group.level.ends, 3)
        self.assertIsNone(fleet.send(ENTRY, MIDDLE).group)
        self.assertFalse(fleet.is_fatal(ENTRY) or fleet.is_fatal(FATAL))

    def test_one_that_completes_without_the_others_leaves_the_verdict_to_them(self):
        """Guards against another series of ends, long after the first, under what remains."""
        fleet = self.blame_both()
        fleet.answer(fleet.send(ENTRY, MIDDLE))
        self.assertTrue(fleet.is_fatal(FATAL))
        self.assertFalse(fleet.is_fatal(ENTRY))


IN_FLIGHT = 64
SHARED = 40


class FalseVerdictTest(TestCase):
    def test_shared_parts_in_flight_beside_a_fatal_one_are_rarely_held(self):
        """Of 64 in flight with one of forty parts, those that complete between are cleared."""
        held = 0
        for seed in range(100):
            random, fleet = Random(seed), Fleet()
            while not fleet.is_fatal(FATAL):
                beside = [fleet.send(b"%d" % random.randrange(SHARED)) for _ in range(IN_FLIGHT)]
                fleet.end(fleet.send(ENTRY, FATAL), *beside)
                for _ in range(IN_FLIGHT):
                    fleet.answer(fleet.send(ENTRY, b"%d" % random.randrange(SHARED)))
            held += fleet.table.count(Standing.FATAL, fleet.now_s) - 1
        self.assertLessEqual(held, 1)
