"""Derive the bytes that a process may hold from the memory of its VM."""

from typing import NamedTuple

__all__ = ["DEFAULT_MEMORY_BYTES", "MIN_HELD_BYTES", "HeldBounds", "derive_bounds"]

# The memory of a process whose settings don't state it.
DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024

# Part of the memory that stays free, as the operators require.
FREE_SHARE = 0.2
# A router takes 30 MiB at rest and under ordinary load; a large fleet's tables come on top.
PROGRAM_BYTES = 48 * 1024 * 1024
# Resident memory per held byte with 300 answers of 4 MB in pieces: the allocator's
# fragmentation, copies while a body is joined, and what is freed a turn of the event loop later.
BYTES_PER_HELD_BYTE = 1.5
# Request bodies may take this part, so that held answers can't keep all of them out.
BODY_SHARE = 0.4
# A smaller process still has to hold two of the largest bodies.
MIN_HELD_BYTES = 8 * 1024 * 1024


class HeldBounds(NamedTuple):
    """The bytes that may be held in total, and those of request bodies among them."""

    total_bytes: int
    body_bytes: int


def derive_bounds(memory_bytes: int | None) -> HeldBounds:
    """Return the bounds of a process that is killed beyond `memory_bytes`, if that is known.

    >>> [size // 2**20 for size in derive_bounds(152 * 2**20)]
    [49, 19]
    >>> [size // 2**20 for size in derive_bounds(64 * 2**20)]
    [8, 3]
    >>> derive_bounds(None) == derive_bounds(DEFAULT_MEMORY_BYTES)
    True
    """
    if memory_bytes is None:
        memory_bytes = DEFAULT_MEMORY_BYTES
    usable_bytes = (1.0 - FREE_SHARE) * memory_bytes - PROGRAM_BYTES
    total_bytes = max(MIN_HELD_BYTES, int(usable_bytes / BYTES_PER_HELD_BYTE))
    return HeldBounds(total_bytes, int(BODY_SHARE * total_bytes))
