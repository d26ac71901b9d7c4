"""Tests of the table of versions that began streams."""

import time
import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.streams.origin_table import (
    GENERATION_S,
    MAX_CLAIMS,
    MAX_LASTS_S,
    OriginEntry,
    OriginTable,
    attempt_key,
    content_key,
)

KEY = b"k" * 8
VERSIONS = ("v1", "v2", "v3")


def entry(version="v1", writer=1, sequence=1, lasts_ms=5000, keys=(KEY,)):
    return OriginEntry(keys, version, writer, sequence, lasts_ms)


def version_of(writer, sequence):
    """Return the version of a write: the same write never names two."""
    return VERSIONS[(writer * 7 + sequence * 3) % 3]


@st.composite
def writes(draw, writers=MAX_CLAIMS):
    drawn = draw(st.lists(st.tuples(st.integers(1, writers), st.integers(1, 4)), max_size=10))
    lasts = st.integers(1, 9).map(lambda seconds: seconds * 1000)
    return [
        entry(version_of(writer, sequence), writer, sequence, draw(lasts))
        for writer, sequence in drawn
    ]


def table_of(items, now_s=0.0):
    table = OriginTable(100)
    for item in items:
        table.merge(item, now_s)
    return table


class VersionsTest(unittest.TestCase):
    def test_later_write_of_the_same_request_replaces(self):
        """Guards against the version of an attempt that broke off before any event."""
        for order in ((1, 2), (2, 1)):
            with self.subTest(order=order):
                items = [entry(f"v{number}", sequence=number) for number in order]
                self.assertEqual(table_of(items).versions(KEY, 1.0), {"v2"})

    def test_writes_of_two_requests_at_two_versions_are_ambiguous(self):
        """Guards against a guess where an id was used twice."""
        table = table_of([entry("v1", writer=1), entry("v2", writer=2)])
        self.assertEqual(table.versions(KEY, 1.0), {"v1", "v2"})

    def test_chain_of_many_routers_at_one_version_stays_known(self):
        """Guards against a stream that is lost since many routers took it up."""
        table = table_of([entry("v1", writer=number) for number in range(1, 4 * MAX_CLAIMS)])
        self.assertEqual(table.versions(KEY, 1.0), {"v1"})

    def test_another_version_among_many_writers_is_ambiguous(self):
        """Guards against a version that is lost when claims are merged."""
        count = 4 * MAX_CLAIMS
        for odd in range(1, count):
            with self.subTest(odd=odd):
                items = [entry("v2" if n == odd else "v1", writer=n) for n in range(1, count)]
                self.assertEqual(table_of(items).versions(KEY, 1.0), {"v1", "v2"})

    @given(writes(), st.randoms())
    def test_order_and_repetition_of_writes_are_irrelevant(self, items, random):
        """Guards against replicas that differ since writes reached them in another order."""
        shuffled = [*items, *items]
        random.shuffle(shuffled)
        first, second = table_of(items), table_of(shuffled)
        for now_s in range(10):
            self.assertEqual(first.versions(KEY, now_s), second.versions(KEY, now_s))

    @given(writes(writers=3 * MAX_CLAIMS), st.randoms())
    def test_one_known_version_is_that_of_the_last_write_of_some_request(self, items, random):
        """Guards against a version that no request ended with."""
        random.shuffle(items)
        versions = table_of(items).versions(KEY, 0.5)
        last = {}
        for item in items:
            last[item.writer] = max(last.get(item.writer, (0, "")), (item.sequence, item.version))
        if len(last) <= MAX_CLAIMS:
            self.assertEqual(versions, {version for _, version in last.values()})
        elif len({version for _, version in last.values()}) > 1:
            self.assertGreater(len(versions), 1)


class BoundsTest(unittest.TestCase):
    def test_entry_expires(self):
        """Guards against entries that are kept, and found, for ever."""
        table = table_of([entry(lasts_ms=2000)])
        self.assertEqual(table.versions(KEY, 1.9), {"v1"})
        self.assertEqual(table.versions(KEY, 2.0), frozenset())

    def test_expired_claim_does_not_make_a_key_ambiguous(self):
        """Guards against refusals of streams by what is long over."""
        table = table_of([entry("v1", writer=1, lasts_ms=1000)])
        table.merge(entry("v2", writer=2), 2.0)
        self.assertEqual(table.versions(KEY, 3.0), {"v2"})

    def test_renewed_entry_lasts_longer(self):
        """Guards against a chain of take-ups that is forgotten after its first deadline."""
        table = table_of([entry(lasts_ms=1000)])
        table.merge(entry(writer=2, lasts_ms=5000), 0.9)
        self.assertEqual(table.versions(KEY, 5.0), {"v1"})

    def test_faulty_writer_does_not_claim_a_key_for_ever(self):
        """Guards against entries that never expire."""
        table = table_of([entry(lasts_ms=(1 << 32) - 1)])
        self.assertEqual(table.versions(KEY, MAX_LASTS_S + 1), frozenset())

    @given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 4000)), max_size=200))
    def test_table_is_bounded_and_keeps_what_was_written_last(self, items):
        """Guards against memory that grows with the streams of a release."""
        table, bound = OriginTable(16), 16
        for step, (number, lasts_ms) in enumerate(items):
            keys = (number.to_bytes(8, "big"), (number + 1).to_bytes(8, "big"))
            table.merge(entry(keys=keys, lasts_ms=lasts_ms), step / 10)
            self.assertLessEqual(len(table), bound)
            for key in keys:
                self.assertEqual(table.versions(key, step / 10), {"v1"})

    def test_evictions_are_counted_and_take_the_oldest_half(self):
        """Guards against a full table that goes unnoticed."""
        table = OriginTable(4)
        keys = [bytes([number]) * 8 for number in range(5)]
        for key in keys:
            table.merge(entry(keys=(key,)), 0.0)
        self.assertEqual(table.evicted, 2)
        self.assertEqual([len(table.versions(key, 0.0)) for key in keys], [0, 0, 1, 1, 1])

    def test_expired_keys_give_back_their_memory(self):
        """Guards against a replica that stays large after a release."""
        table = OriginTable(100_000)
        for step in range(20_000):
            table.merge(entry(keys=(step.to_bytes(8, "big"),), lasts_ms=15_000), step / 100)
        self.assertLessEqual(len(table), 100 * 3 * GENERATION_S)
        self.assertEqual(table.evicted, 0)

    def test_write_at_the_bound_costs_no_more_than_others(self):
        """Guards against a full table that stops a replica: a write took 180 microseconds."""
        table, bound = OriginTable(1 << 16), 1 << 16
        started_s = time.process_time()
        for number in range(2 * bound):
            table.merge(entry(keys=(number.to_bytes(8, "big"),)), 0.0)
        self.assertLess(time.process_time() - started_s, 2 * bound * 50e-6)


class KeyTest(unittest.TestCase):
    def test_keys_differ_by_kind_service_and_value(self):
        """Guards against the streams of one service that are found under another's."""
        keys = [make(*parts) for make in (attempt_key, content_key) for parts in PARTS]
        self.assertEqual(len(set(keys)), len(keys))
        self.assertTrue(all(len(left) == len(right) == 8 for left, right in pairwise(keys)))


PARTS = (("s", b"1"), ("s", b"2"), ("s1", b""), ("", b"s1"), ("", b"1" * 5000))

if __name__ == "__main__":
    unittest.main()
