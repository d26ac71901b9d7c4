"""Estimate the encoded size of a message from above, without encoding it."""

from typing import Any

__all__ = ["MAX_DATAGRAM_BYTES", "RECORD_LIMIT_BYTES", "estimate_bytes"]

MAX_DATAGRAM_BYTES = 1200
RECORD_LIMIT_BYTES = 900


def estimate_bytes(value: Any) -> int:
    """Return at least as many bytes as MessagePack takes for a value.

    >>> estimate_bytes(("a", 1, b"xy", None))
    19
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
