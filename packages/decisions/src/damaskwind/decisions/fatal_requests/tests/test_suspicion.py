"""Tests of which requests become suspected, are cleared, and become fatal."""

from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.fatal_requests.suspicion import (
    FATAL_ENDS,
    FATAL_TTL_S,
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
    def test_each_end_known_at_the_next_send_raises_the_level(self):
        table, seen = SuspicionTable(), []
        for _ in range(4):
            seen.append((table.standing(b"f", 0.0), table.may_retry(b"f")))
            table.record_target_end(b"f", table.level(b"f"), 0.0)
        expected = [Standing.CLEAR, Standing.SUSPECTED, Standing.SUSPECTED, Standing.FATAL]
        self.assertEqual([standing for standing, _ in seen], expected)
        self.assertEqual([may for _, may in seen], [True, True, False, False])

    def test_targets_that_end_together_raise_the_level_once(self):
        table = SuspicionTable()
        known = table.level(b"f")
        for _ in range(20):
            table.record_target_end(b"f", known, 0.0)
        self.assertEqual(table.level(b"f"), SuspicionLevel(0, 1))

    def test_completed_request_is_cleared_of_earlier_sends(self):
        table = SuspicionTable()
        table.record_target_end(b"f", table.level(b"f"), 0.0)
        level_when_sent = table.level(b"f")
        self.assertTrue(table.record_completion(b"f", 1.0))
        self.assertFalse(table.record_target_end(b"f", level_when_sent, 2.0))
        self.assertEqual(table.standing(b"f", 2.0), Standing.CLEAR)

    def test_completion_of_an_unsuspected_request_adds_no_entry(self):
        table = SuspicionTable()
        self.assertFalse(table.record_completion(b"f", 0.0))
        self.assertEqual(len(table), 0)

    def test_a_fatal_request_is_tried_later_and_then_fatal_twice_as_long(self):
        table = fatal_table()
        self.assertIs(table.standing(b"f", fatal_duration_s(3) - 1), Standing.FATAL)
        tried_s = fatal_duration_s(3) + 1
        self.assertIs(table.standing(b"f", tried_s), Standing.SUSPECTED)
        self.assertFalse(table.may_retry(b"f"))
        table.record_target_end(b"f", table.level(b"f"), tried_s)
        self.assertIs(table.standing(b"f", tried_s + 2 * fatal_duration_s(3) - 1), Standing.FATAL)

    def test_suspicions_expire(self):
        table = fatal_table()
        table.record_target_end(b"g", table.level(b"g"), 0.0)
        table.forget(SUSPICION_TTL_S + 2 * fatal_duration_s(1) + 1)
        self.assertEqual(table.digests(), [b"f"])
        # A fatal request that comes rarely must not end three targets each time.
        table.forget(FATAL_TTL_S - 1)
        self.assertEqual(table.digests(), [b"f"])
        table.forget(FATAL_TTL_S + 2 * fatal_duration_s(3) + 1)
        self.assertEqual(len(table), 0)

    def test_routers_with_jitter_do_not_try_a_request_at_the_same_time(self):
        early, late = fatal_table(), SuspicionTable(jitter=0.5)
        late.merge(early.entries([b"f"], 0.0), 0.0)
        tried_s = fatal_duration_s(3) + 1
        self.assertIs(early.standing(b"f", tried_s), Standing.SUSPECTED)
        self.assertIs(late.standing(b"f", tried_s), Standing.FATAL)

    def test_a_full_table_keeps_fatal_requests(self):
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
    def test_merged_tables_agree_in_any_order(self, random, steps):
        source, entries = SuspicionTable(), []
        for name, survived in steps:
            digest = name.encode()
            if survived:
                source.record_completion(digest, 0.0)
            else:
                source.record_target_end(digest, source.level(digest), 0.0)
            entries += source.entries([digest], 0.0)
        random.shuffle(entries)
        other = SuspicionTable()
        other.merge(entries * 2, 0.0)
        for digest in source.digests():
            self.assertEqual(other.level(digest), source.level(digest))

    def test_ages_are_merged(self):
        table = SuspicionTable()
        table.merge([Suspicion(b"f", 0, 3, fatal_duration_s(3) - 10)], 0.0)
        self.assertIs(table.standing(b"f", 5.0), Standing.FATAL)
        self.assertIs(table.standing(b"f", 15.0), Standing.SUSPECTED)

    def test_pages_contain_every_change_once(self):
        source, other, revision, pages = SuspicionTable(), SuspicionTable(), 0, 0
        for number in range(1000):
            source.record_target_end(
                b"%d" % (number % 700), source.level(b"%d" % (number % 700)), 0.0
            )
        while revision < source.revision:
            items, revision = source.changed_since(revision, 100, 0.0)
            other.merge(items, 0.0)
            pages += 1
        self.assertEqual(pages, 7)
        self.assertEqual(set(other.digests()), set(source.digests()))
        self.assertEqual(source.changed_since(revision, 100, 0.0), ((), revision))


IN_FLIGHT = 64
OTHER_TARGETS = 5


def count_fatal_beside_a_fatal_one(random):
    """Simulate three ends under one request; return how many others are then fatal.

    The requests in flight at an end are sent to the other targets; one of these ends next.
    """
    table, beside, number = SuspicionTable(), [], 0
    for _ in range(FATAL_ENDS):
        repeated = [item for item in beside if random.random() < 1 / OTHER_TARGETS]
        known = {digest: table.level(digest) for digest in [b"fatal", *repeated]}
        for digest in set(beside) - set(repeated):
            table.record_completion(digest, 0.0)
        new = [b"%d" % (number + index) for index in range(IN_FLIGHT - len(repeated))]
        number += len(new)
        beside = repeated + new
        for digest in [b"fatal", *beside]:
            table.record_target_end(digest, known.get(digest, SuspicionLevel()), 0.0)
    assert table.standing(b"fatal", 0.0) is Standing.FATAL
    return table.count(Standing.FATAL, 0.0) - 1


class FalseVerdictTest(TestCase):
    def test_few_requests_in_flight_beside_a_fatal_one_become_fatal(self):
        """Of 64 in flight, one in 25 is by chance at the two targets that end next."""
        random, runs = Random(1), 200
        fatal = sum(count_fatal_beside_a_fatal_one(random) for _ in range(runs))
        self.assertLess(fatal / runs, IN_FLIGHT / OTHER_TARGETS**2 + 1)

    def test_a_popular_request_is_cleared_between_two_ends(self):
        """Targets end ten times with the request in flight, and it completes in between."""
        table = SuspicionTable()
        for _ in range(10):
            known = table.level(b"popular")
            for _ in range(8):
                table.record_target_end(b"popular", known, 0.0)
            table.record_completion(b"popular", 0.0)
        self.assertIs(table.standing(b"popular", 0.0), Standing.CLEAR)
