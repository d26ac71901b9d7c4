"""Identify what may crash the targets that run a request: itself, or a part of its prompt."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

__all__ = ["DIGEST_BYTES", "MAX_PARTS", "identify_part", "identify_request", "identify_together"]

DIGEST_BYTES = 8
# A caller may send any number of parts; those beyond are not told apart.
MAX_PARTS = 32
_LENGTH_BYTES = 8
# Parts that many requests share are identified over and over.
_CACHED_PARTS = 2048


def identify_request(
    method: bytes, host: bytes, target: bytes, caller: bytes, body: bytes
) -> bytes:
    """Return a digest of what stays the same when a request is sent again.

    `target` is the path with its query, `caller` the client account's name, or the
    key if there is no account. Ids, deadlines and resume positions of streams are left
    out, since they change with each attempt. Each part is hashed with its length, so that
    no caller can construct a request with the digest of another caller's.

    >>> again = identify_request(b"POST", b"h", b"/a", b"account", b"{}")
    >>> again == identify_request(b"POST", b"h", b"/a", b"account", b"{}")
    True
    >>> again == identify_request(b"POST", b"h", b"/a", b"other", b"{}")
    False
    """
    return _digest((method, host, target, caller, body))


@lru_cache(_CACHED_PARTS)
def identify_part(service: str, model: bytes, part_id: bytes) -> bytes:
    """Return a digest of a part of the prompts that a model of a service reads.

    The use of the same part at another service or model is another one: it may be sound there.
    The caller is left out, since whoever sends a part that crashes targets crashes them.

    >>> identify_part("s", b"m", b"a5") == identify_part("s", b"n", b"a5")
    False
    """
    return _digest((b"part", service.encode(), model, part_id))


def identify_together(digests: Iterable[bytes]) -> bytes:
    """Return a digest of suspects that were always in flight together, in any order.

    >>> identify_together([b"a", b"b"]) == identify_together([b"b", b"a"])
    True
    """
    return _digest((b"together", *sorted(digests)))


def _digest(parts: Iterable[bytes]) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in _with_lengths(parts):
        digest.update(part)
    return digest.digest()


def _with_lengths(parts: Iterable[bytes]) -> Iterable[bytes]:
    """Yield each part preceded by its length."""
    for part in parts:
        yield len(part).to_bytes(_LENGTH_BYTES, "big")
        yield part
