"""Frames on disk: a marker, a length, a checksum and a payload.

A file starts with a header that names its kind and format version. Each fsync
covers exactly one frame, and the next frame is written only after that fsync,
so a crash can leave at most the last frame torn. An invalid frame followed by
a valid one is therefore corrupt, not torn. Corruption of the last frame alone
can't be distinguished from a torn write; its content is still in the logs of
the other replicas.
"""

import struct
from pathlib import Path
from typing import NamedTuple

import xxhash

from damaskwind.model.exception import CorruptLogError

__all__ = ["FORMAT_VERSION", "FramedFile", "encode_frame", "file_header", "read_frames"]

FORMAT_VERSION = 1
_HEADER = struct.Struct("<8sHH4x")
_MAGIC = b"DAMASKW\x00"
_MARKER = b"\xd5DWF"
_FRAME = struct.Struct("<4sIQ")
_FRAME_LIMIT_BYTES = 1 << 30


class FramedFile(NamedTuple):
    """The valid frames of a file; `size_bytes` is the offset of their end."""

    payloads: list[bytes]
    size_bytes: int
    torn_bytes: int


def file_header(kind: int) -> bytes:
    """Return the header of a file of this kind.

    >>> len(file_header(1))
    16
    """
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, kind)


def _checksum(payload: bytes) -> int:
    """Return the checksum of a payload, seeded with its length."""
    return xxhash.xxh3_64_intdigest(payload, seed=len(payload))


def encode_frame(payload: bytes) -> bytes:
    """Encode a payload as a frame."""
    return _FRAME.pack(_MARKER, len(payload), _checksum(payload)) + payload


def _frame_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at `offset`, or `None` if it is invalid."""
    if offset + _FRAME.size > len(data):
        return None
    marker, length, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    if marker != _MARKER or length > _FRAME_LIMIT_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if _checksum(payload) == checksum else None


def _next_valid_frame(data: bytes, offset: int) -> int | None:
    """Return the offset of the first valid frame after `offset`, or `None`."""
    position = data.find(_MARKER, offset + 1)
    while position >= 0:
        if _frame_at(data, position) is not None:
            return position
        position = data.find(_MARKER, position + 1)
    return None


def _check_header(data: bytes, kind: int, path: Path) -> None:
    """Raise `CorruptLogError` for a file of another kind or version."""
    if len(data) < _HEADER.size:
        raise CorruptLogError(f"{path} at offset 0: header is {len(data)} bytes, not 16")
    magic, version, found_kind = _HEADER.unpack_from(data)
    if magic != _MAGIC or found_kind != kind:
        raise CorruptLogError(f"{path} at offset 0: not a file of this kind")
    if version != FORMAT_VERSION:
        raise CorruptLogError(
            f"{path} at offset 8: format version {version}, this program reads {FORMAT_VERSION}"
        )


def read_frames(data: bytes, kind: int, path: Path) -> FramedFile:
    """Return the frames of a file's content without a torn tail.

    Raises `CorruptLogError`, which names the file and the offset, when a frame
    before the last one is invalid.
    """
    _check_header(data, kind, path)
    payloads = []
    offset = _HEADER.size
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _FRAME.size + len(payload)
    if offset < len(data):
        next_valid = _next_valid_frame(data, offset)
        if next_valid is not None:
            raise CorruptLogError(
                f"{path} at offset {offset}: bad checksum or length, and a sound frame follows"
                f" at offset {next_valid}; restore this replica as a new member"
            )
    return FramedFile(payloads, offset, len(data) - offset)
