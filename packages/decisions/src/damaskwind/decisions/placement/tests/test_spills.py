"""Tests of the cache of spilled chats."""

from unittest import TestCase

from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.decisions.placement.spills import SpillCache


class SpillMemoryTest(TestCase):
    """The cache is bounded, and only changes create notes."""

    def test_only_a_change_of_target_creates_a_note(self) -> None:
        cache = SpillCache()
        for target_id in ("t1", "t1", "t2"):
            cache.record("0a", target_id, 1.0)
        self.assertEqual(cache.pop_notes(), (SpillNote("0a", "t2"),))
        cache.record("0a", "t2", 2.0)
        self.assertEqual(cache.pop_notes(), ())

    def test_note_from_a_peer_is_not_forwarded(self) -> None:
        cache = SpillCache()
        cache.record_from_peer(SpillNote("0a", "t1"), 1.0)
        self.assertEqual(cache.last_target("0a", 1.0), ("t1", True))
        self.assertEqual(cache.pop_notes(), ())

    def test_oldest_entries_are_evicted_first(self) -> None:
        cache = SpillCache(limit=100)
        for number in range(1000):
            cache.record(f"{number:x}", "t1", 1.0)
        self.assertLessEqual(len(cache), 100)
        self.assertIsNone(cache.last_target("0", 1.0))
        self.assertIsNotNone(cache.last_target(f"{999:x}", 1.0))

    def test_entries_expire(self) -> None:
        cache = SpillCache(ttl_s=10.0)
        cache.record("0a", "t1", 1.0)
        self.assertIsNotNone(cache.last_target("0a", 7.0))
        cache.last_target("0a", 13.0)
        self.assertIsNone(cache.last_target("0a", 19.0))
