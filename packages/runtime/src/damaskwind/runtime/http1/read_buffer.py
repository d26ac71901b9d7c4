"""The buffer into which all connections of a process read, one after the other.

A transport that reads into a buffer of its own allocates 256 KiB for each read, and hands over as
much at once, whatever its protocol can use. Each read here is copied out before the next one, so
that one buffer serves all connections.
"""

__all__ = ["MAX_READ_BYTES", "read_space", "take_read"]

MAX_READ_BYTES = 65_536

_SPACE = memoryview(bytearray(MAX_READ_BYTES))


def read_space(size_bytes: int) -> memoryview:
    """Return the space for one read of at most `size_bytes`, and of at least one byte.

    >>> len(read_space(100)), len(read_space(0)), len(read_space(2**30))
    (100, 1, 65536)
    """
    return _SPACE[: max(1, size_bytes)]


def take_read(size_bytes: int) -> bytes:
    """Return a copy of what the last read brought."""
    return bytes(_SPACE[:size_bytes])
