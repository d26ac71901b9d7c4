"""Tests of the memory of chats away from home."""

from unittest import TestCase

from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.decisions.placement.spills import SpillMemory


class SpillMemoryTest(TestCase):
    """Bounded memory and notes for changes only."""

    def test_only_a_change_of_place_makes_a_note(self) -> None:
        memory = SpillMemory()
        for target_id in ("t1", "t1", "t2"):
            memory.note("0a", target_id, 1.0)
        self.assertEqual(memory.take_notes(), (SpillNote("0a", "t2"),))
        memory.note("0a", "t2", 2.0)
        self.assertEqual(memory.take_notes(), ())

    def test_a_peers_note_is_not_passed_on(self) -> None:
        memory = SpillMemory()
        memory.heard(SpillNote("0a", "t1"), 1.0)
        self.assertEqual(memory.last("0a", 1.0), ("t1", True))
        self.assertEqual(memory.take_notes(), ())

    def test_the_oldest_entries_go_first(self) -> None:
        memory = SpillMemory(limit=100)
        for number in range(1000):
            memory.note(f"{number:x}", "t1", 1.0)
        self.assertLessEqual(len(memory), 100)
        self.assertIsNone(memory.last("0", 1.0))
        self.assertIsNotNone(memory.last(f"{999:x}", 1.0))

    def test_entries_lapse(self) -> None:
        memory = SpillMemory(life_s=10.0)
        memory.note("0a", "t1", 1.0)
        self.assertIsNotNone(memory.last("0a", 7.0))
        memory.last("0a", 13.0)
        self.assertIsNone(memory.last("0a", 19.0))
