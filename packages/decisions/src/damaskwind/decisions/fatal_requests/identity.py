"""Identify requests that are sent again with a new id."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["DIGEST_BYTES", "identify_request"]

DIGEST_BYTES = 8
_LENGTH_BYTES = 8


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
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in _with_lengths((method, host, target, caller, body)):
        digest.update(part)
    return digest.digest()


def _with_lengths(parts: Iterable[bytes]) -> Iterable[bytes]:
    """Yield each part preceded by its length."""
    for part in parts:
        yield len(part).to_bytes(_LENGTH_BYTES, "big")
        yield part
