"""Remember which software version of a service began each stream.

A stream is found by its keys, which are digests of its attempt's id and of its request's content.
What is known of a key are the claims of its writers. A writer is one request at one router, so
that a later write of the same writer replaces the earlier one: its first attempt broke off before
any event. Claims of several writers that name different versions leave the version unknown.
The state of a key is a join over its claims, so that the order of the writes doesn't matter
("Conflict-free Replicated Data Types", Shapiro, Preguiça, Baquero and Zawirski, SSS 2011).

>>> table = OriginTable(max_keys=100)
>>> table.merge(OriginEntry((b"k",), "v1", writer=7, sequence=1, lasts_ms=5000), now_s=0.0)
>>> table.versions(b"k", now_s=1.0), table.versions(b"k", now_s=5.0)
(frozenset({'v1'}), frozenset())
"""

import sys
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

__all__ = ["MAX_LASTS_S", "OriginEntry", "OriginTable", "attempt_key", "content_key"]

KEY_BYTES = 8
# An attempt's id is seen by few writers: each take-up of its stream is one. Beyond this, claims
# of the same version are merged, which loses only the right of their writers to replace them.
MAX_CLAIMS = 4
# A generation lasts this long at least: twice what the entries of most routes do.
GENERATION_S = 30.0
# The writer of merged claims; no request has this number.
_MERGED = 0
# No route lets a request take longer than this, so that a faulty writer can't claim a key forever.
MAX_LASTS_S = 3700.0


class OriginEntry(NamedTuple):
    """A write: the keys of a stream, its version, and for how long that is of use.

    `sequence` grows with each write of a `writer`, which is not 0.
    """

    keys: tuple[bytes, ...]
    version: str
    writer: int
    sequence: int
    lasts_ms: int


class _Claim(NamedTuple):
    writer: int
    sequence: int
    version: str
    expires_s: float


def attempt_key(service: str, attempt_id: bytes) -> bytes:
    """Return the key of an attempt, whose id is chosen by its caller and of any length.

    >>> attempt_key("s", b"1") == attempt_key("s", b"1") != content_key("s", b"1")
    True
    """
    return _key(b"attempt", service, attempt_id)


def content_key(service: str, digest: bytes) -> bytes:
    """Return the key of a request's content, for callers that name no attempt."""
    return _key(b"content", service, digest)


def _key(kind: bytes, service: str, value: bytes) -> bytes:
    name = service.encode()
    digest = blake2b(kind + len(name).to_bytes(4, "big") + name + value, digest_size=KEY_BYTES)
    return digest.digest()


class OriginTable:
    """The versions that began streams, as known to one process. Times are monotonic.

    Keys are kept in two generations. A new one begins once the present one has half of `max_keys`
    or has lasted for a while, and the one before is dropped, early only for want of room. To
    delete single keys from the front of a dict instead took 90 microseconds a key at 131,072.
    """

    def __init__(self, max_keys: int) -> None:
        self._max_generation_keys = max(max_keys // 2, 1)
        self.evicted = 0
        # Until when a record that was dropped for want of room would have lasted.
        self.incomplete_until_s = float("-inf")
        self._present = _Generation(0.0)
        self._former = _Generation(0.0)

    def __len__(self) -> int:
        return len(self._present.claims) + len(self._former.claims)

    def merge(self, entry: OriginEntry, now_s: float) -> None:
        """Merge one write."""
        expires_s = now_s + min(max(entry.lasts_ms / 1000, 0.0), MAX_LASTS_S)
        # A table has few versions and many claims, so that equal texts are kept once.
        version = sys.intern(entry.version)
        claim = _Claim(entry.writer, entry.sequence, version, expires_s)
        for key in entry.keys:
            self._make_room(key, now_s)
            known = (one for one in self._claims(key) if one.expires_s > now_s)
            self._present.claims[key] = _join(known, claim)
            self._present.expires_s = max(self._present.expires_s, expires_s)

    def versions(self, key: bytes, now_s: float) -> frozenset[str]:
        """Return the versions that may have begun a stream: one if it is known for certain."""
        return frozenset(claim.version for claim in self._claims(key) if claim.expires_s > now_s)

    def _claims(self, key: bytes) -> tuple[_Claim, ...]:
        return self._present.claims.get(key) or self._former.claims.get(key, ())

    def _make_room(self, key: bytes, now_s: float) -> None:
        """Begin a new generation if the present one is full, or old and the former is of no use."""
        present, former = self._present, self._former
        is_full = len(present.claims) >= self._max_generation_keys and key not in present.claims
        is_old = now_s - present.begun_s > GENERATION_S and former.expires_s <= now_s
        if not is_full and not is_old:
            return
        if former.expires_s > now_s:
            self.evicted += len(former.claims)
            self.incomplete_until_s = max(self.incomplete_until_s, former.expires_s)
        self._former, self._present = present, _Generation(now_s)


class _Generation:
    """Keys written in one period, and when the last of them expires."""

    __slots__ = ("begun_s", "claims", "expires_s")

    def __init__(self, begun_s: float) -> None:
        self.begun_s = begun_s
        self.claims: dict[bytes, tuple[_Claim, ...]] = {}
        self.expires_s = float("-inf")


def _join(known: Iterable[_Claim], claim: _Claim) -> tuple[_Claim, ...]:
    """Add a claim to those of other writers; of one writer the latest claim counts."""
    by_writer = {one.writer: one for one in known}
    former = by_writer.get(claim.writer)
    if former is not None:
        # Of the same write, which may be sent again, the one that lasts longer.
        claim = max(former, claim, key=lambda one: (one.sequence, one.expires_s))
    by_writer[claim.writer] = claim
    claims = sorted(by_writer.values())
    return tuple(claims) if len(claims) <= MAX_CLAIMS else _merged(claims)


def _merged(claims: Iterable[_Claim]) -> tuple[_Claim, ...]:
    """Merge the claims of each version; of more than two versions, two leave it unknown too."""
    lasts: dict[str, float] = {}
    for claim in claims:
        lasts[claim.version] = max(lasts.get(claim.version, 0.0), claim.expires_s)
    kept = sorted(lasts.items(), key=lambda item: (-item[1], item[0]))[:2]
    # Two merged claims need writers of their own.
    return tuple(
        _Claim(_MERGED - number, 0, version, expires_s)
        for number, (version, expires_s) in enumerate(kept)
    )
