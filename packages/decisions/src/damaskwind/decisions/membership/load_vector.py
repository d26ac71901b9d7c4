"""Pack the loads and renewals of a list of targets by position in the list.

Two routers that know the same targets need no ids: a position identifies a target. The
targets are divided into groups by key, and each group carries a digest, so that a join
or leave in transit invalidates one group and not the whole vector. In a group, one bitmap
marks the targets with a load and another one those with a renewal:

    vector   one byte: the binary logarithm of the number of groups; the groups; fields
    group    digest of its keys (2 bytes), number of keys (1 byte), two bitmaps
    fields   13 bits per load (8 of load, 5 of age), then 9 per renewal (4 of sequence, 5 of age)

The code of a load is logarithmic; its error is below 2.3%. Ages are rounded up to the next
value of `AGES_S`, so that nothing looks fresher after it was forwarded.
"""

from bisect import bisect_left
from collections.abc import Iterable
from math import ceil, log2
from typing import NamedTuple

import xxhash

__all__ = [
    "MAX_VECTOR_AGE_S",
    "Layout",
    "VectorLoad",
    "VectorRenewal",
    "decode_vector",
    "encode_vector",
    "header_size_bytes",
    "build_layout",
]

AGES_S = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6)
AGES_S += (1.8, 2.0, 2.2, 2.4, 2.6, 2.8, 3.0, 3.25, 3.5, 4.0, 4.5, 5.0, 6.0, 8.0, 10.0, 12.0)
MAX_VECTOR_AGE_S = AGES_S[-1]
GROUP_TARGETS = 32
LOAD_BITS = 13
RENEWAL_BITS = 9
_AGE_BITS = 5
_AGE_MASK = 31
_GROUP_HEADER_BYTES = 3
_MAX_GROUP = 255
_MAX_GROUPS_LOG2 = 8
_LOAD_UNIT_TOKENS = 64
_CODES_PER_DOUBLING = 16


class Layout(NamedTuple):
    """The groups of load keys, each of them sorted, and the digest of each group."""

    groups: tuple[tuple[int, ...], ...]
    digests: tuple[bytes, ...]


class VectorLoad(NamedTuple):
    """A load in a vector; `age_s` is the time since its measurement."""

    key: int
    load_tokens: int
    age_s: float


class VectorRenewal(NamedTuple):
    """A renewal in a vector: the lowest four bits of its sequence, and its age."""

    key: int
    sequence: int
    age_s: float


def build_layout(keys: Iterable[int]) -> Layout:
    """Divide load keys into groups of about `GROUP_TARGETS`.

    >>> [len(group) for group in build_layout([7, 2, 9]).groups]
    [3]
    """
    keys = sorted(keys)
    doublings = min(max(ceil(log2(max(len(keys), 1) / GROUP_TARGETS)), 0), _MAX_GROUPS_LOG2)
    groups: list[list[int]] = [[] for _ in range(1 << doublings)]
    for key in keys:
        groups[key % len(groups)].append(key)
    digests = tuple(xxhash.xxh32_digest(repr(group).encode())[:2] for group in groups)
    return Layout(tuple(map(tuple, groups)), digests)


def header_size_bytes(layout: Layout) -> int:
    """Return the size of a vector without its fields, in bytes."""
    bitmaps = sum(2 * _bitmap_bytes(len(group)) for group in layout.groups)
    return 1 + _GROUP_HEADER_BYTES * len(layout.groups) + bitmaps


def _bitmap_bytes(count: int) -> int:
    return (count + 7) // 8


def _encode_age(age_s: float) -> int:
    """Return the code of the smallest age in `AGES_S` that is not below this one."""
    return min(bisect_left(AGES_S, age_s - 1e-6), len(AGES_S) - 1)


def _encode_load(load_tokens: int) -> int:
    """Return the 8-bit code of a load.

    >>> [_decode_load(_encode_load(load)) for load in (0, 10_000, 100_000)]
    [0, 10109, 101006]
    """
    return min(round(_CODES_PER_DOUBLING * log2(1 + max(load_tokens, 0) / _LOAD_UNIT_TOKENS)), 255)


def _decode_load(code: int) -> int:
    """Return the load of an 8-bit code."""
    return round(_LOAD_UNIT_TOKENS * (2 ** (code / _CODES_PER_DOUBLING) - 1))


def encode_vector(
    layout: Layout, loads: dict[int, VectorLoad], renewals: dict[int, VectorRenewal]
) -> bytes:
    """Return the vector with these loads and renewals, given by key.

    >>> layout = build_layout([5, 9])
    >>> vector = encode_vector(layout, {9: VectorLoad(9, 640, 0.3)}, {})
    >>> len(vector), decode_vector(layout, vector)
    (8, ([VectorLoad(key=9, load_tokens=629, age_s=0.3)], [], []))
    """
    header = bytearray([len(layout.groups).bit_length() - 1])
    word, bits = 0, 0
    for group, digest in zip(layout.groups, layout.digests, strict=True):
        header += digest + bytes([min(len(group), _MAX_GROUP)])
        for entries in (loads, renewals):
            bitmap = sum(1 << position for position, key in enumerate(group) if key in entries)
            header += bitmap.to_bytes(_bitmap_bytes(len(group)), "big")
        for load in (loads[key] for key in group if key in loads):
            field = _encode_load(load.load_tokens) << _AGE_BITS | _encode_age(load.age_s)
            word = word << LOAD_BITS | field
            bits += LOAD_BITS
        for renewal in (renewals[key] for key in group if key in renewals):
            field = (renewal.sequence & 15) << _AGE_BITS | _encode_age(renewal.age_s)
            word = word << RENEWAL_BITS | field
            bits += RENEWAL_BITS
    padding = -bits % 8
    return bytes(header) + (word << padding).to_bytes((bits + padding) // 8, "big")


class _Group(NamedTuple):
    """The positions in a group that have a load and those that have a renewal.

    `matches` tells whether both sides have the same keys in the group.
    """

    matches: bool
    loads: list[int]
    renewals: list[int]


def decode_vector(
    layout: Layout, vector: bytes
) -> tuple[list[VectorLoad], list[VectorRenewal], list[int]]:
    """Return the loads and renewals of the groups that are the same on both sides.

    The last list holds the indices of the groups that differ. A truncated vector, or one
    with another number of groups, yields no loads or renewals, and all groups differ.
    """
    no_entries: tuple[list[VectorLoad], list[VectorRenewal], list[int]] = ([], [], [])
    no_entries[2].extend(range(len(layout.groups)))
    if not vector or vector[0] != len(layout.groups).bit_length() - 1:
        return no_entries
    groups, start = _read_headers(layout, vector)
    fields = vector[start:]
    needed = sum(LOAD_BITS * len(g.loads) + RENEWAL_BITS * len(g.renewals) for g in groups)
    if len(groups) < len(layout.groups) or len(fields) * 8 < needed:
        return no_entries
    word, bits_left = int.from_bytes(fields, "big"), len(fields) * 8
    loads: list[VectorLoad] = []
    renewals: list[VectorRenewal] = []
    for keys, group in zip(layout.groups, groups, strict=True):
        for position in group.loads:
            bits_left -= LOAD_BITS
            field = (word >> bits_left) & ((1 << LOAD_BITS) - 1)
            if group.matches:
                tokens, age_s = _decode_load(field >> _AGE_BITS), AGES_S[field & _AGE_MASK]
                loads.append(VectorLoad(keys[position], tokens, age_s))
        for position in group.renewals:
            bits_left -= RENEWAL_BITS
            field = (word >> bits_left) & ((1 << RENEWAL_BITS) - 1)
            if group.matches:
                sequence, age_s = field >> _AGE_BITS, AGES_S[field & _AGE_MASK]
                renewals.append(VectorRenewal(keys[position], sequence, age_s))
    return loads, renewals, [i for i, group in enumerate(groups) if not group.matches]


def _read_headers(layout: Layout, vector: bytes) -> tuple[list[_Group], int]:
    """Return the group headers and the start of the fields; stop at a truncated header."""
    groups: list[_Group] = []
    start = 1
    for keys, digest in zip(layout.groups, layout.digests, strict=True):
        header = vector[start : start + _GROUP_HEADER_BYTES]
        if len(header) < _GROUP_HEADER_BYTES:
            break
        count, bitmap_bytes = header[2], _bitmap_bytes(header[2])
        bitmaps_start = start + _GROUP_HEADER_BYTES
        start = bitmaps_start + 2 * bitmap_bytes
        if len(vector) < start:
            break
        matches = header[:2] == digest and count == len(keys)
        load_positions = _set_bits(vector[bitmaps_start : bitmaps_start + bitmap_bytes], count)
        groups.append(
            _Group(
                matches,
                load_positions,
                _set_bits(vector[bitmaps_start + bitmap_bytes : start], count),
            )
        )
    return groups, start


def _set_bits(bitmap: bytes, count: int) -> list[int]:
    """Return the positions of the bits that are set in a bitmap."""
    word = int.from_bytes(bitmap, "big")
    return [position for position in range(count) if word >> position & 1]
