"""Pack the load of a target into six bytes.

From the most significant bit: 24 bits of the key of (target, incarnation), 4 bits of
sequence, 12 bits of load, 1 bit that marks a load observed on a response instead of an
announcement, 7 bits of age in tenths of a second. Ages are rounded up, so that a report
never looks fresher after it was forwarded. The load is a floating-point number
with 5 bits of exponent and 7 bits of mantissa; its error is below 0.8%.
"""

from collections.abc import Iterator
from math import ceil
from typing import NamedTuple

import xxhash

__all__ = [
    "ENTRY_BYTES",
    "MAX_AGE_S",
    "PackedLoad",
    "decode_load",
    "encode_load",
    "load_key",
    "pack_load",
    "sequence_step",
    "unpack_loads",
]

ENTRY_BYTES = 6
AGE_UNIT_S = 0.1
MAX_AGE_S = 12.7
_AGE_LIMIT = 127
_MANTISSA_BITS = 7
_MANTISSA_MASK = 127
_KEY_MASK = 0xFFFFFF
_SEQUENCE_MASK = 15
_MAX_SEQUENCE_STEP = 7


class PackedLoad(NamedTuple):
    """A decoded entry; `sequence` holds the lowest four bits only."""

    key: int
    sequence: int
    load_tokens: int
    observed: bool
    age_s: float


def load_key(target_id: str, incarnation: int) -> int:
    """Return the 24-bit key of one incarnation of a target."""
    return xxhash.xxh3_64_intdigest(f"{target_id}\0{incarnation}".encode()) & _KEY_MASK


def encode_load(load_tokens: int) -> int:
    """Return the 12-bit floating-point code of a load.

    >>> [decode_load(encode_load(load)) for load in (0, 7, 255, 100_000)]
    [0, 7, 255, 99840]
    """
    load_tokens = max(load_tokens, 0)
    shift = max(load_tokens.bit_length() - _MANTISSA_BITS - 1, 0)
    if shift == 0 and load_tokens <= _MANTISSA_MASK:
        return load_tokens
    exponent = shift + 1
    if exponent > 31:
        return (31 << _MANTISSA_BITS) | _MANTISSA_MASK
    return (exponent << _MANTISSA_BITS) | ((load_tokens >> shift) & _MANTISSA_MASK)


def decode_load(code: int) -> int:
    """Return the load of a 12-bit floating-point code."""
    exponent = code >> _MANTISSA_BITS
    mantissa = code & _MANTISSA_MASK
    if exponent == 0:
        return mantissa
    return (mantissa | (_MANTISSA_MASK + 1)) << (exponent - 1)


def pack_load(key: int, sequence: int, load_tokens: int, observed: bool, age_s: float) -> bytes:
    """Return the six bytes of an entry.

    >>> list(unpack_loads(pack_load(5, 18, 300, False, 1.02)))
    [PackedLoad(key=5, sequence=2, load_tokens=300, observed=False, age_s=1.1)]
    """
    age = min(max(ceil(age_s / AGE_UNIT_S - 1e-6), 0), _AGE_LIMIT)
    word = key << 24 | (sequence & _SEQUENCE_MASK) << 20 | encode_load(load_tokens) << 8
    return (word | int(observed) << 7 | age).to_bytes(ENTRY_BYTES, "big")


def unpack_loads(packed: bytes) -> Iterator[PackedLoad]:
    """Yield the entries of packed loads; ignore a truncated entry at the end."""
    for start in range(0, len(packed) - ENTRY_BYTES + 1, ENTRY_BYTES):
        word = int.from_bytes(packed[start : start + ENTRY_BYTES], "big")
        yield PackedLoad(
            word >> 24,
            (word >> 20) & _SEQUENCE_MASK,
            decode_load((word >> 8) & 0xFFF),
            bool(word & 0x80),
            round((word & _AGE_LIMIT) * AGE_UNIT_S, 1),
        )


def sequence_step(known_sequence: int, low_bits: int) -> int:
    """Return by how much the sequence with these low bits is ahead of the known one.

    Uses serial number arithmetic (RFC 1982) on four bits; returns 0 if it is not ahead.

    >>> sequence_step(14, 1), sequence_step(14, 13), sequence_step(14, 14)
    (3, 0, 0)
    """
    step = (low_bits - known_sequence) & _SEQUENCE_MASK
    return step if step <= _MAX_SEQUENCE_STEP else 0
