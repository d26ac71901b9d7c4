"""Estimate upper bounds of the encoded size of messages without encoding them."""

from typing import Any

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "RECORD_LIMIT_BYTES",
    "estimate_bytes",
    "packed_bytes",
    "unpacked_bytes",
]

MAX_DATAGRAM_BYTES = 1200
RECORD_LIMIT_BYTES = 900
_PACKED_BASE_BYTES = 130
_COMPRESSION_RATIO = 6


def estimate_bytes(value: Any) -> int:
    """Return an upper bound of the MessagePack size of a value, in bytes.

    >>> estimate_bytes(("a", 1, b"xy", None))
    18
    """
    if value is None or isinstance(value, bool):
        return 1
    if isinstance(value, str):
        return len(value.encode()) + 3
    if isinstance(value, bytes):
        return len(value) + 3
    if isinstance(value, tuple):
        return 3 + sum(estimate_bytes(item) for item in value)
    if isinstance(value, int) and -0x8000_0000 <= value < 0x8000_0000:
        return 5
    return 9


def packed_bytes(size_bytes: int) -> int:
    """Return the approximate compressed size of records of this size, in bytes.

    For records of one pool, the first record takes most of the bytes and all others are
    compressed to about a sixth.

    >>> packed_bytes(100), packed_bytes(1200)
    (100, 330)
    """
    return min(size_bytes, _PACKED_BASE_BYTES + size_bytes // _COMPRESSION_RATIO)


def unpacked_bytes(limit_bytes: int) -> int:
    """Return the approximate size of records that fit into a limit once compressed.

    >>> unpacked_bytes(100), unpacked_bytes(330)
    (100, 1200)
    """
    return max(limit_bytes, (limit_bytes - _PACKED_BASE_BYTES) * _COMPRESSION_RATIO)
