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
    """An audited event: who did what to which object, when, from where, with what result.

    `at_s` is the wall clock of the replica that received the request, in seconds
    since 1970; `origin` is the caller's address and that replica.
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
    """An event with its number and links in the chain; `entry_hash` covers all other fields."""

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
    """Return the entry that chains an event to the previous entry.

    >>> event = AuditEvent(0.0, "mei", "127.0.0.1", "plan", "p", "planned", 0)
    >>> entry = make_entry(1, event, GENESIS_HASH)
    >>> entry.entry_hash == entry_hash(entry)
    True
    """
    unhashed = AuditEntry(sequence, *event, previous_hash, "")
    return unhashed._replace(entry_hash=entry_hash(unhashed))


def encode_entry(entry: AuditEntry) -> bytes:
    """Return an entry as one line of JSON, with its fields by name."""
    return msgspec.json.encode(entry._asdict())


def decode_entry(line: bytes | dict[str, Any]) -> AuditEntry:
    """Decode an entry from its line or table; raise `MessageError` if it is malformed."""
    try:
        raw = msgspec.json.decode(line) if isinstance(line, bytes) else line
    except msgspec.DecodeError as error:
        raise MessageError(f"audit entry: not JSON: {error}") from error
    checked = check_table(raw, AuditEntry, "audit entry")
    if checked.mistakes:
        raise MessageError("; ".join(checked.mistakes))
    return checked.value
