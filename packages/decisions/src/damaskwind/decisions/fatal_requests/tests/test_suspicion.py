"""Tests of who falls under suspicion, is cleared, and is held fatal."""

from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.fatal_requests.suspicion import (
    FATAL_ENDS,
    MAX_REQUESTS,
    SUSPICION_TTL_S,
    Standing,
    Suspicion,
    SuspicionLevel,
    SuspicionTable,
    fatal_duration_s,
)


def fatal_table(digest=b"f", now_s=0.0):
    table = SuspicionTable()
    for _ in range(FATAL_ENDS):
        table.record_target_end(digest, table.level(digest), now_s)
    return table


class StandingTest(TestCase):
    def test_each_end_after_a_send_that_knew_of_the_last_is_a_step(self):
        table, seen = SuspicionTable(), []
        for _ in range(4):
            seen.append((table.standing(b"f", 0.0), table.may_retry(b"f")))
            table.record_target_end(b"f", table.level(b"f"), 0.0)
        expected = [Standing.CLEAR, Standing.SUSPECTED, Standing.SUSPECTED, Standing.FATAL]
        self.assertEqual([standing for standing, _ in seen], expected)
        self.assertEqual([may for _, may in seen], [True, True, False, False])

    def test_targets_that_end_together_take_what_they_had_in_hand_one_step(self):
        table = SuspicionTable()
        known = table.level(b"f")
        for _ in range(20):
            table.record_target_end(b"f", known, 0.0)
        self.assertEqual(table.level(b"f"), SuspicionLevel(0, 1))

    def test_who_is_run_to_the_end_is_cleared_of_what_was_sent_before(self):
        table = SuspicionTable()
        table.record_target_end(b"f", table.level(b"f"), 0.0)
        sent_knowing = table.level(b"f")
        self.assertTrue(table.record_completion(b"f", 1.0))
        self.assertFalse(table.record_target_end(b"f", sent_knowing, 2.0))
        self.assertEqual(table.standing(b"f", 2.0), Standing.CLEAR)

    def test_who_was_never_suspected_leaves_nothing(self):
        table = SuspicionTable()
        self.assertFalse(table.record_completion(b"f", 0.0))
        self.assertEqual(len(table), 0)

    def test_a_request_held_fatal_is_tried_after_a_while_and_held_twice_as_long(self):
        table = fatal_table()
        self.assertIs(table.standing(b"f", fatal_duration_s(3) - 1), Standing.FATAL)
        tried_s = fatal_duration_s(3) + 1
        self.assertIs(table.standing(b"f", tried_s), Standing.SUSPECTED)
        self.assertFalse(table.may_retry(b"f"))
        table.record_target_end(b"f", table.level(b"f"), tried_s)
        self.assertIs(table.standing(b"f", tried_s + 2 * fatal_duration_s(3) - 1), Standing.FATAL)

    def test_suspicions_are_forgotten(self):
        table = fatal_table()
        table.record_target_end(b"g", table.level(b"g"), 0.0)
        table.forget(SUSPICION_TTL_S + 2 * fatal_duration_s(1) + 1)
        self.assertEqual(table.digests(), [b"f"])
        table.forget(SUSPICION_TTL_S + 2 * fatal_duration_s(3) + 1)
        self.assertEqual(len(table), 0)

    def test_routers_do_not_all_try_a_request_again_at_once(self):
        early, late = fatal_table(), SuspicionTable(jitter=0.5)
        late.merge(early.entries([b"f"], 0.0), 0.0)
        tried_s = fatal_duration_s(3) + 1
        self.assertIs(early.standing(b"f", tried_s), Standing.SUSPECTED)
        self.assertIs(late.standing(b"f", tried_s), Standing.FATAL)

    def test_a_full_table_keeps_those_held_fatal(self):
        table = fatal_table()
        for number in range(2 * MAX_REQUESTS):
            digest = number.to_bytes(8, "big")
            table.record_target_end(digest, table.level(digest), 1.0)
        self.assertEqual(len(table), MAX_REQUESTS)
        self.assertIs(table.standing(b"f", 2.0), Standing.FATAL)


class MergeTest(TestCase):
    @given(
        st.randoms(use_true_random=False),
        st.lists(st.tuples(st.sampled_from("fgh"), st.booleans())),
    )
    def test_tables_agree_whatever_the_order_in_which_they_hear(self, random, steps):
        source, told = SuspicionTable(), []
        for name, survived in steps:
            digest = name.encode()
            if survived:
                source.record_completion(digest, 0.0)
            else:
                source.record_target_end(digest, source.level(digest), 0.0)
            told += source.entries([digest], 0.0)
        random.shuffle(told)
        other = SuspicionTable()
        other.merge(told * 2, 0.0)
        for digest in source.digests():
            self.assertEqual(other.level(digest), source.level(digest))

    def test_ages_come_along(self):
        table = SuspicionTable()
        table.merge([Suspicion(b"f", 0, 3, fatal_duration_s(3) - 10)], 0.0)
        self.assertIs(table.standing(b"f", 5.0), Standing.FATAL)
        self.assertIs(table.standing(b"f", 15.0), Standing.SUSPECTED)

    def test_parts_bring_everything_once(self):
        source, other, seen, parts = SuspicionTable(), SuspicionTable(), 0, 0
        for number in range(1000):
            source.record_target_end(
                b"%d" % (number % 700), source.level(b"%d" % (number % 700)), 0.0
            )
        while seen < source.revision:
            items, seen = source.changed_since(seen, 100, 0.0)
            other.merge(items, 0.0)
            parts += 1
        self.assertEqual(parts, 7)
        self.assertEqual(set(other.digests()), set(source.digests()))
        self.assertEqual(source.changed_since(seen, 100, 0.0), ((), seen))


IN_HAND = 64
OTHER_TARGETS = 5


def held_beside_a_fatal_one(random):
    """Play three ends under one request; return how many others are held fatal then.

    What was in hand at an end goes to the other targets; one of these ends next.
    """
    table, beside, number = SuspicionTable(), [], 0
    for _ in range(FATAL_ENDS):
        met_again = [one for one in beside if random.random() < 1 / OTHER_TARGETS]
        known = {digest: table.level(digest) for digest in [b"fatal", *met_again]}
        for digest in set(beside) - set(met_again):
            table.record_completion(digest, 0.0)
        fresh = [b"%d" % (number + place) for place in range(IN_HAND - len(met_again))]
        number += len(fresh)
        beside = met_again + fresh
        for digest in [b"fatal", *beside]:
            table.record_target_end(digest, known.get(digest, SuspicionLevel()), 0.0)
    assert table.standing(b"fatal", 0.0) is Standing.FATAL
    return table.count(Standing.FATAL, 0.0) - 1


class FalseVerdictTest(TestCase):
    def test_few_of_those_in_hand_beside_a_fatal_request_are_held_fatal(self):
        """Of 64 in hand, one in 25 meets the two ends that follow by chance."""
        random, plays = Random(1), 200
        held = sum(held_beside_a_fatal_one(random) for _ in range(plays))
        self.assertLess(held / plays, IN_HAND / OTHER_TARGETS**2 + 1)

    def test_a_request_asked_for_all_the_time_is_cleared_between_two_ends(self):
        """Targets end ten times with it in hand at each, and it ends well in between."""
        table = SuspicionTable()
        for _ in range(10):
            known = table.level(b"popular")
            for _ in range(8):
                table.record_target_end(b"popular", known, 0.0)
            table.record_completion(b"popular", 0.0)
        self.assertIs(table.standing(b"popular", 0.0), Standing.CLEAR)
