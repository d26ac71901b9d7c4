"""Tests of the cache of chats away from home."""

from unittest import TestCase

from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.decisions.placement.spills import SpillCache


class SpillMemoryTest(TestCase):
    """Bounded cache and notes for changes only."""

    def test_only_a_change_of_place_makes_a_note(self) -> None:
        cache = SpillCache()
        for target_id in ("t1", "t1", "t2"):
            cache.record("0a", target_id, 1.0)
        self.assertEqual(cache.pop_notes(), (SpillNote("0a", "t2"),))
        cache.record("0a", "t2", 2.0)
        self.assertEqual(cache.pop_notes(), ())

    def test_a_peers_note_is_not_passed_on(self) -> None:
        cache = SpillCache()
        cache.record_from_peer(SpillNote("0a", "t1"), 1.0)
        self.assertEqual(cache.last_target("0a", 1.0), ("t1", True))
        self.assertEqual(cache.pop_notes(), ())

    def test_the_oldest_entries_go_first(self) -> None:
        cache = SpillCache(limit=100)
        for number in range(1000):
            cache.record(f"{number:x}", "t1", 1.0)
        self.assertLessEqual(len(cache), 100)
        self.assertIsNone(cache.last_target("0", 1.0))
        self.assertIsNotNone(cache.last_target(f"{999:x}", 1.0))

    def test_entries_lapse(self) -> None:
        cache = SpillCache(ttl_s=10.0)
        cache.record("0a", "t1", 1.0)
        self.assertIsNotNone(cache.last_target("0a", 7.0))
        cache.last_target("0a", 13.0)
        self.assertIsNone(cache.last_target("0a", 19.0))
