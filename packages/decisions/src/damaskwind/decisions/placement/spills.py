"""Cache which chats were last served away from their home, in bounded memory.

The cache has two generations of plain integers. Writes go to the young one; when it is
full or old, it replaces the old one, which is dropped. An entry is therefore kept for at
least half of the TTL and of the limit. Notes of this router's own spills are queued in an
outbox for gossip; a note is queued only if the chat's target has changed.
"""

from typing import NamedTuple

from damaskwind.decisions.placement.messages import SpillNote

__all__ = ["LastTarget", "SpillCache"]

DEFAULT_LIMIT = 130_000
DEFAULT_TTL_S = 3600.0
OUTBOX_LIMIT = 10_000


class LastTarget(NamedTuple):
    """The target that last served a chat, and whether a peer reported it."""

    target_id: str
    from_peer: bool


class SpillCache:
    """The known chats that were served away from home, by short digest.

    >>> cache = SpillCache()
    >>> cache.record("0a", "t1", 1.0)
    >>> cache.last_target("0a", 2.0)
    LastTarget(target_id='t1', from_peer=False)
    >>> cache.pop_notes()
    (SpillNote(chat_short_digest='0a', target_id='t1'),)
    """

    def __init__(self, limit: int = DEFAULT_LIMIT, ttl_s: float = DEFAULT_TTL_S) -> None:
        self._half_limit = max(1, limit // 2)
        self._generation_s = ttl_s / 2
        self._young: dict[int, int] = {}
        self._old: dict[int, int] = {}
        self._young_since_s: float | None = None
        self._target_numbers: dict[str, int] = {}
        self._target_ids: list[str] = []
        self._outbox: dict[str, SpillNote] = {}

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def last_target(self, chat: str, now_s: float) -> LastTarget | None:
        """Return the target that last served a chat away from home, if known."""
        self._rotate(now_s)
        key = int(chat, 16)
        packed = self._young.get(key)
        if packed is None:
            packed = self._old.get(key)
        if packed is None:
            return None
        return LastTarget(self._target_ids[packed >> 1], bool(packed & 1))

    def record(self, chat: str, target_id: str, now_s: float) -> None:
        """Record that this router served a chat away from home, or at home again after that."""
        known = self.last_target(chat, now_s)
        self._store(chat, target_id, False, now_s)
        if known is not None and known.target_id == target_id:
            return
        self._outbox.pop(chat, None)
        self._outbox[chat] = SpillNote(chat, target_id)
        if len(self._outbox) > OUTBOX_LIMIT:
            del self._outbox[next(iter(self._outbox))]

    def record_from_peer(self, note: SpillNote, now_s: float) -> None:
        """Record a note received from a peer."""
        self._store(note.chat_short_digest, note.target_id, True, now_s)

    def pop_notes(self) -> tuple[SpillNote, ...]:
        """Remove and return the queued notes."""
        notes = tuple(self._outbox.values())
        self._outbox.clear()
        return notes

    def _store(self, chat: str, target_id: str, from_peer: bool, now_s: float) -> None:
        """Write an entry to the young generation."""
        self._rotate(now_s)
        number = self._target_numbers.get(target_id)
        if number is None:
            number = self._target_numbers[target_id] = len(self._target_ids)
            self._target_ids.append(target_id)
        self._young[int(chat, 16)] = number << 1 | from_peer

    def _rotate(self, now_s: float) -> None:
        """Start a new generation if the young one is full or old."""
        if self._young_since_s is None:
            self._young_since_s = now_s
        full = len(self._young) >= self._half_limit
        if full or now_s - self._young_since_s > self._generation_s:
            self._old = self._young
            self._young = {}
            self._young_since_s = now_s
