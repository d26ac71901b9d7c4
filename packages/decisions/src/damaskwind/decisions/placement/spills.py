"""Remember chats that were served away from home, in bounded cache.

Entries live in two generations of plain integers: writes go to the young one,
and when it is full or old it becomes the old one and the old one is dropped. An
entry therefore lasts at least half of the life and half of the limit. Notes of
own spills wait in an outbox until gossip takes them; only a change of place
makes a note.
"""

from typing import NamedTuple

from damaskwind.decisions.placement.messages import SpillNote

__all__ = ["LastTarget", "SpillCache"]

DEFAULT_LIMIT = 130_000
DEFAULT_TTL_S = 3600.0
OUTBOX_LIMIT = 10_000


class LastTarget(NamedTuple):
    """Where a chat was last served, and whether a peer said so."""

    target_id: str
    from_peer: bool


class SpillCache:
    """The chats away from home that this router knows of, by short digest.

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
        """Return where a chat was last served away from home."""
        self._rotate(now_s)
        key = int(chat, 16)
        packed = self._young.get(key)
        if packed is None:
            packed = self._old.get(key)
        if packed is None:
            return None
        return LastTarget(self._target_ids[packed >> 1], bool(packed & 1))

    def record(self, chat: str, target_id: str, now_s: float) -> None:
        """Note own service away from home, or back at home after it."""
        known = self.last_target(chat, now_s)
        self._store(chat, target_id, False, now_s)
        if known is not None and known.target_id == target_id:
            return
        self._outbox.pop(chat, None)
        self._outbox[chat] = SpillNote(chat, target_id)
        if len(self._outbox) > OUTBOX_LIMIT:
            del self._outbox[next(iter(self._outbox))]

    def record_from_peer(self, note: SpillNote, now_s: float) -> None:
        """Take in a peer's note."""
        self._store(note.chat_short_digest, note.target_id, True, now_s)

    def pop_notes(self) -> tuple[SpillNote, ...]:
        """Return the notes to gossip and empty the outbox."""
        notes = tuple(self._outbox.values())
        self._outbox.clear()
        return notes

    def _store(self, chat: str, target_id: str, from_peer: bool, now_s: float) -> None:
        """Write an entry into the young generation."""
        self._rotate(now_s)
        number = self._target_numbers.get(target_id)
        if number is None:
            number = self._target_numbers[target_id] = len(self._target_ids)
            self._target_ids.append(target_id)
        self._young[int(chat, 16)] = number << 1 | from_peer

    def _rotate(self, now_s: float) -> None:
        """Start a new generation when the young one is full or old."""
        if self._young_since_s is None:
            self._young_since_s = now_s
        full = len(self._young) >= self._half_limit
        if full or now_s - self._young_since_s > self._generation_s:
            self._old = self._young
            self._young = {}
            self._young_since_s = now_s
