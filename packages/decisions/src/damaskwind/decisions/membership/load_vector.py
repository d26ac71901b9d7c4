"""Pack the loads and renewals of a whole list of targets, by place in the list.

Two routers that hold the same targets need no names: a target is its place. The
targets fall into groups by their keys, and each group carries a digest, so that a
join or a leave on its way costs one group and not the vector. In a group, one bitmap
says whose load follows and another one whose renewal does:

    vector   one byte: the binary logarithm of the number of groups; the groups; fields
    group    digest of its keys (2 bytes), how many (1 byte), two bitmaps
    fields   13 bits a load (8 of load, 5 of age), then 9 a renewal (4 of sequence, 5 of age)

A load's code grows with its logarithm; its error stays below 2.3%. Ages round up to
the next of `AGES_S`, so that nothing looks fresher for having been passed on.
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
    """The groups of load keys, each sorted, and the digest of each."""

    groups: tuple[tuple[int, ...], ...]
    digests: tuple[bytes, ...]


class VectorLoad(NamedTuple):
    """A load as it stands in a vector; `age_s` is since it was measured."""

    key: int
    load_tokens: int
    age_s: float


class VectorRenewal(NamedTuple):
    """A renewal: the lowest four bits of its sequence, and its age."""

    key: int
    sequence: int
    age_s: float


def build_layout(keys: Iterable[int]) -> Layout:
    """Sort load keys into groups of some `GROUP_TARGETS`.

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
    """Return how many bytes a vector takes before its fields."""
    bitmaps = sum(2 * _bitmap_bytes(len(group)) for group in layout.groups)
    return 1 + _GROUP_HEADER_BYTES * len(layout.groups) + bitmaps


def _bitmap_bytes(count: int) -> int:
    return (count + 7) // 8


def _encode_age(age_s: float) -> int:
    """Return the code of the least age in the table that is not below this one."""
    return min(bisect_left(AGES_S, age_s - 1e-6), len(AGES_S) - 1)


def _encode_load(load_tokens: int) -> int:
    """Return the 8-bit code of a load.

    >>> [_decode_load(_encode_load(load)) for load in (0, 10_000, 100_000)]
    [0, 10109, 101006]
    """
    return min(round(_CODES_PER_DOUBLING * log2(1 + max(load_tokens, 0) / _LOAD_UNIT_TOKENS)), 255)


def _decode_load(code: int) -> int:
    """Return the load of a code."""
    return round(_LOAD_UNIT_TOKENS * (2 ** (code / _CODES_PER_DOUBLING) - 1))


def encode_vector(
    layout: Layout, loads: dict[int, VectorLoad], renewals: dict[int, VectorRenewal]
) -> bytes:
    """Return the vector of some loads and renewals by key.

    >>> layout = build_layout([5, 9])
    >>> vector = encode_vector(layout, {9: VectorLoad(9, 640, 0.3)}, {})
    >>> len(vector), decode_vector(layout, vector)
    (8, ([VectorLoad(key=9, load_tokens=629, age_s=0.3)], [], []))
    """
    head = bytearray([len(layout.groups).bit_length() - 1])
    word, bits = 0, 0
    for group, digest in zip(layout.groups, layout.digests, strict=True):
        head += digest + bytes([min(len(group), _MAX_GROUP)])
        for entries in (loads, renewals):
            bitmap = sum(1 << place for place, key in enumerate(group) if key in entries)
            head += bitmap.to_bytes(_bitmap_bytes(len(group)), "big")
        for load in (loads[key] for key in group if key in loads):
            field = _encode_load(load.load_tokens) << _AGE_BITS | _encode_age(load.age_s)
            word = word << LOAD_BITS | field
            bits += LOAD_BITS
        for renewal in (renewals[key] for key in group if key in renewals):
            field = (renewal.sequence & 15) << _AGE_BITS | _encode_age(renewal.age_s)
            word = word << RENEWAL_BITS | field
            bits += RENEWAL_BITS
    padding = -bits % 8
    return bytes(head) + (word << padding).to_bytes((bits + padding) // 8, "big")


class _Group(NamedTuple):
    """A group's places that have a load, and those that have a renewal."""

    matches: bool
    loads: list[int]
    renewals: list[int]


def decode_vector(
    layout: Layout, vector: bytes
) -> tuple[list[VectorLoad], list[VectorRenewal], list[int]]:
    """Return the loads and renewals of the groups that both sides hold alike.

    The last list has the groups that are unlike; a vector of another number of
    groups, or a cut one, gives nothing and is unlike in all.
    """
    nothing: tuple[list[VectorLoad], list[VectorRenewal], list[int]] = ([], [], [])
    nothing[2].extend(range(len(layout.groups)))
    if not vector or vector[0] != len(layout.groups).bit_length() - 1:
        return nothing
    groups, start = _read_headers(layout, vector)
    fields = vector[start:]
    needed = sum(LOAD_BITS * len(g.loads) + RENEWAL_BITS * len(g.renewals) for g in groups)
    if len(groups) < len(layout.groups) or len(fields) * 8 < needed:
        return nothing
    word, left = int.from_bytes(fields, "big"), len(fields) * 8
    loads: list[VectorLoad] = []
    renewals: list[VectorRenewal] = []
    for keys, group in zip(layout.groups, groups, strict=True):
        for place in group.loads:
            left -= LOAD_BITS
            field = (word >> left) & ((1 << LOAD_BITS) - 1)
            if group.matches:
                tokens, age_s = _decode_load(field >> _AGE_BITS), AGES_S[field & _AGE_MASK]
                loads.append(VectorLoad(keys[place], tokens, age_s))
        for place in group.renewals:
            left -= RENEWAL_BITS
            field = (word >> left) & ((1 << RENEWAL_BITS) - 1)
            if group.matches:
                sequence, age_s = field >> _AGE_BITS, AGES_S[field & _AGE_MASK]
                renewals.append(VectorRenewal(keys[place], sequence, age_s))
    return loads, renewals, [i for i, group in enumerate(groups) if not group.matches]


def _read_headers(layout: Layout, vector: bytes) -> tuple[list[_Group], int]:
    """Read the groups' heads and where the fields start; a cut head ends the list."""
    groups: list[_Group] = []
    start = 1
    for keys, digest in zip(layout.groups, layout.digests, strict=True):
        head = vector[start : start + _GROUP_HEADER_BYTES]
        if len(head) < _GROUP_HEADER_BYTES:
            break
        count, size = head[2], _bitmap_bytes(head[2])
        first = start + _GROUP_HEADER_BYTES
        start = first + 2 * size
        if len(vector) < start:
            break
        matches = head[:2] == digest and count == len(keys)
        places = _set_bits(vector[first : first + size], count)
        groups.append(_Group(matches, places, _set_bits(vector[first + size : start], count)))
    return groups, start


def _set_bits(bitmap: bytes, count: int) -> list[int]:
    """Return the places that are set in a bitmap."""
    word = int.from_bytes(bitmap, "big")
    return [place for place in range(count) if word >> place & 1]
