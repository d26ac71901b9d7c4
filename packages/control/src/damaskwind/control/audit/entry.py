"""One entry of the audit trail and the hash that chains it to the one before."""

import hashlib
from typing import Any, NamedTuple

import msgspec

from damaskwind.model.checking import check_table
from damaskwind.model.exception import MessageError

__all__ = [
    "GENESIS_HASH",
    "AuditEntry",
    "AuditEvent",
    "decode_entry",
    "encode_entry",
    "entry_hash",
    "make_entry",
]

GENESIS_HASH = "0" * 64


class AuditEvent(NamedTuple):
    """What is worth an entry: who did what to what, when, from where, with what result.

    `at_s` is the wall clock of the replica that took the request, in seconds
    since 1970; `origin` the caller's address and that replica.
    """

    at_s: float
    operator: str
    origin: str
    action: str
    subject: str
    result: str
    revision: int
    detail: tuple[str, ...] = ()


class AuditEntry(NamedTuple):
    """An event in its place in the chain; `entry_hash` covers all other fields."""

    sequence: int
    at_s: float
    operator: str
    origin: str
    action: str
    subject: str
    result: str
    revision: int
    detail: tuple[str, ...]
    previous_hash: str
    entry_hash: str


def entry_hash(entry: AuditEntry) -> str:
    """Return the SHA-256 over every field but the hash itself, as a JSON list."""
    return hashlib.sha256(msgspec.json.encode(entry[:-1])).hexdigest()


def make_entry(sequence: int, event: AuditEvent, previous_hash: str) -> AuditEntry:
    """Give an event its place in the chain.

    >>> event = AuditEvent(0.0, "mei", "127.0.0.1", "plan", "p", "planned", 0)
    >>> entry = make_entry(1, event, GENESIS_HASH)
    >>> entry.entry_hash == entry_hash(entry)
    True
    """
    unsealed = AuditEntry(sequence, *event, previous_hash, "")
    return unsealed._replace(entry_hash=entry_hash(unsealed))


def encode_entry(entry: AuditEntry) -> bytes:
    """Return an entry as one line of JSON, fields by name."""
    return msgspec.json.encode(entry._asdict())


def decode_entry(line: bytes | dict[str, Any]) -> AuditEntry:
    """Read an entry back from its line or table; raise `MessageError` when it is none."""
    try:
        raw = msgspec.json.decode(line) if isinstance(line, bytes) else line
    except msgspec.DecodeError as error:
        raise MessageError(f"audit entry: not JSON: {error}") from error
    checked = check_table(raw, AuditEntry, "audit entry")
    if checked.mistakes:
        raise MessageError("; ".join(checked.mistakes))
    return checked.value
