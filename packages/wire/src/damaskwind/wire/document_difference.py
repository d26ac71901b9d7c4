"""Encode a document as its difference from an earlier one.

Documents are split into pieces at the ends of their objects. The new document is
written as runs of pieces of the old one and the pieces that are new; the result is
checked against a digest. Pieces are looked up in a hash table, as in rsync
(Tridgell and Mackerras, 1996), but at boundaries that the format itself gives, in
time linear in both documents.
"""

import zlib
from typing import NamedTuple

import msgspec
import xxhash

from damaskwind.model.exception import MessageError

__all__ = ["apply_difference", "difference"]

_SEPARATOR = b"},"
# Documents are at most 4 MiB, so a difference that decompresses to more than this is invalid.
_LIMIT_BYTES = 16 * 1024 * 1024


class _Difference(NamedTuple):
    """Steps in order: a run of old pieces (first, count), or one new piece."""

    digest: bytes
    steps: list[tuple[int, int] | bytes]


_DECODER = msgspec.msgpack.Decoder(_Difference)


def difference(old: bytes, new: bytes) -> bytes:
    """Return the compressed difference that turns `old` into `new`.

    >>> old = b'[{"a":1},{"b":2},{"c":3}]'
    >>> new = b'[{"a":1},{"b":5},{"c":3}]'
    >>> apply_difference(old, difference(old, new)) == new
    True
    """
    steps = _steps(old.split(_SEPARATOR), new.split(_SEPARATOR))
    message = _Difference(xxhash.xxh3_64_digest(new), steps)
    return zlib.compress(msgspec.msgpack.encode(message), 6)


def _steps(old: list[bytes], new: list[bytes]) -> list[tuple[int, int] | bytes]:
    """Return the runs of old pieces and the new pieces, in order."""
    first_indexes = {piece: index for index, piece in reversed(list(enumerate(old)))}
    steps: list[tuple[int, int] | bytes] = []
    first = end = 0
    for piece in new:
        if end > first and end < len(old) and old[end] == piece:
            end += 1
            continue
        if end > first:
            steps.append((first, end - first))
        first = end = first_indexes.get(piece, 0)
        if piece in first_indexes:
            end += 1
        else:
            steps.append(piece)
    if end > first:
        steps.append((first, end - first))
    return steps


def apply_difference(old: bytes, packed: bytes) -> bytes:
    """Return the new document; raise `MessageError` if it doesn't match its digest."""
    unpacker = zlib.decompressobj()
    try:
        message = _DECODER.decode(unpacker.decompress(packed, _LIMIT_BYTES))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise MessageError(f"difference: {error}") from error
    pieces = old.split(_SEPARATOR)
    built: list[bytes] = []
    for step in message.steps:
        if isinstance(step, bytes):
            built.append(step)
        else:
            built += pieces[step[0] : step[0] + step[1]]
    document = _SEPARATOR.join(built)
    if xxhash.xxh3_64_digest(document) != message.digest:
        raise MessageError("difference: of another document")
    return document
