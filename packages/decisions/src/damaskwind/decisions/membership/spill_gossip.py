"""Gossip spill notes of six bytes each.

From the most significant bit: 28 bits of the chat's digest, 14 bits of the target's key,
6 bits of age in half seconds. With 130,000 notes in memory, a chat that never spilled is
mistaken for one that did once in 2,000 times, which costs one cold prompt. Of two notes
of a chat the younger one wins. Ages are rounded up, so a copy never looks younger than
its original, and a chat that moves back is reported like any other move.

Each note is sent at most `max_sends` times. The least-sent notes go first, and among
these the newest, since the fewest peers have them.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil

import xxhash

from damaskwind.decisions.placement.messages import SHORT_DIGEST_HEX, SpillNote

__all__ = ["NOTE_BYTES", "SpillGossip", "note_key"]

NOTE_BYTES = 6
AGE_UNIT_S = 0.5
LIFETIME_S = 12.0
RETENTION_S = 31.0
QUEUE_LIMIT = 4000
_AGE_LIMIT = 63
_TARGET_MASK = (1 << 14) - 1


def note_key(target_id: str) -> int:
    """Return the 14-bit key of a target in a note."""
    return xxhash.xxh32_intdigest(target_id.encode()) & _TARGET_MASK


class _Note:
    """The target key that a chat moved to, the time, and the number of transmissions."""

    __slots__ = ("created_s", "sends", "target")

    def __init__(self, target: int, created_s: float) -> None:
        self.target = target
        self.created_s = created_s
        self.sends = 0


class SpillGossip:
    """The spill notes known to one router, and those pending for gossip.

    >>> here, there = SpillGossip(), SpillGossip()
    >>> here.publish([SpillNote("00000a1", "t1")], now_s=5.0)
    >>> there.merge(here.pack(60, 3, 5.2), {note_key("t1"): "t1"}, now_s=5.2)
    [SpillNote(chat_short_digest='00000a1', target_id='t1')]
    """

    def __init__(self) -> None:
        self._known: dict[int, _Note] = {}
        self._pending: dict[int, _Note] = {}

    def pending_count(self, max_sends: int) -> int:
        """Return the number of pending notes that were sent fewer than `max_sends` times."""
        return sum(note.sends < max_sends for note in self._pending.values())

    def publish(self, notes: Iterable[SpillNote], now_s: float) -> None:
        """Queue this router's own notes."""
        for note in notes:
            chat = int(note.chat_short_digest, 16)
            self._store(chat, _Note(note_key(note.target_id), now_s))

    def pack(self, limit_bytes: int, max_sends: int, now_s: float) -> bytes:
        """Pack the pending notes that fit, and count the transmissions."""
        self._expire(max_sends, now_s)
        chosen = nsmallest(
            max(limit_bytes // NOTE_BYTES, 0),
            self._pending.items(),
            key=lambda item: (item[1].sends, -item[1].created_s),
        )
        packed = bytearray()
        for chat, note in chosen:
            note.sends += 1
            age = min(max(ceil((now_s - note.created_s) / AGE_UNIT_S), 0), _AGE_LIMIT)
            packed += (chat << 20 | note.target << 6 | age).to_bytes(NOTE_BYTES, "big")
        return bytes(packed)

    def merge(self, packed: bytes, target_by_key: dict[int, str], now_s: float) -> list[SpillNote]:
        """Merge notes from a peer; return those that were not known here."""
        new_notes = []
        for start in range(0, len(packed) - NOTE_BYTES + 1, NOTE_BYTES):
            word = int.from_bytes(packed[start : start + NOTE_BYTES], "big")
            chat, target, age = word >> 20, (word >> 6) & _TARGET_MASK, word & _AGE_LIMIT
            created_s = now_s - age * AGE_UNIT_S
            if age == _AGE_LIMIT or not self._is_newer(chat, target, created_s):
                continue
            self._store(chat, _Note(target, created_s))
            target_id = target_by_key.get(target)
            if target_id is not None:
                new_notes.append(SpillNote(f"{chat:0{SHORT_DIGEST_HEX}x}", target_id))
        return new_notes

    def forget(self, now_s: float) -> None:
        """Remove notes of which no copies can be in transit any more."""
        oldest_s = now_s - RETENTION_S - 1.0
        for chat in [chat for chat, note in self._known.items() if note.created_s < oldest_s]:
            del self._known[chat]

    def _is_newer(self, chat: int, target: int, created_s: float) -> bool:
        """Tell whether a note names another target than the known note, and is later.

        A duplicate of a pending note counts as a transmission.
        """
        known = self._known.get(chat)
        if known is None:
            return True
        if target == known.target:
            known.sends += chat in self._pending
            return False
        return created_s > known.created_s

    def _store(self, chat: int, note: _Note) -> None:
        """Store a note in place of the chat's previous one, and queue it."""
        self._known[chat] = self._pending[chat] = note
        if len(self._pending) > QUEUE_LIMIT:
            del self._pending[next(iter(self._pending))]

    def _expire(self, max_sends: int, now_s: float) -> None:
        """Remove pending notes that were sent `max_sends` times or are too old."""
        oldest_s = now_s - LIFETIME_S
        expired = [
            chat
            for chat, note in self._pending.items()
            if note.sends >= max_sends or note.created_s < oldest_s
        ]
        for chat in expired:
            del self._pending[chat]
