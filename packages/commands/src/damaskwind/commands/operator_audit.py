"""Fetch the audit trail and verify its chain on the operator's own machine.

Each replica is asked for its whole trail. Each chain is verified by itself, and
entries of the same number must be the same on all replicas.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from damaskwind.commands.operator_client import (
    Endpoint,
    ExitCode,
    OperatorClient,
    RequestFailedError,
    UsageError,
)
from damaskwind.control.audit.chain import ChainHead, ChainVerdict, verify_chain
from damaskwind.control.audit.entry import AuditEntry, decode_entry
from damaskwind.model.exception import MessageError

__all__ = ["TrailReport", "fetch_entries", "parse_head", "verify_endpoints"]

_PAGE = 500


class TrailReport(NamedTuple):
    """What verifying one replica's trail gave."""

    endpoint: str
    verdict: ChainVerdict
    first_sequence: int
    error: str = ""

    @property
    def holds(self) -> bool:
        """Tell whether the trail was read and holds."""
        return not self.error and not self.verdict.faults


def parse_head(text: str) -> ChainHead | None:
    """Read `SEQUENCE:HASH`, the head that an earlier check printed."""
    if not text:
        return None
    sequence, _, entry_hash = text.partition(":")
    if not sequence.isdecimal() or len(entry_hash) != 64:
        raise UsageError("known head: expected SEQUENCE:HASH as an earlier check printed it")
    return ChainHead(int(sequence), entry_hash)


def fetch_entries(
    client: OperatorClient, endpoint: Endpoint, after: int = 0
) -> Iterator[AuditEntry]:
    """Yield a replica's entries after a number, a page at a time.

    Raise `RequestFailedError` when the replica does not answer, and
    `MessageError` when an entry is none.
    """
    while True:
        path = f"/operator/v1/audit?after={after}&limit={_PAGE}"
        answer = client.ask_one(endpoint, "GET", path)
        if not answer.is_good:
            error: Any = answer.body.get("error", {})
            message = error.get("message", f"status {answer.status}")
            raise RequestFailedError(ExitCode.REFUSED, message, answer.body)
        entries = [decode_entry(raw) for raw in answer.body.get("entries", [])]
        if not entries:
            return
        yield from entries
        if entries[-1].sequence <= after:
            raise MessageError("audit: the replica repeats a page")
        after = entries[-1].sequence


def _verify_one(
    client: OperatorClient, endpoint: Endpoint, known: ChainHead | None, seen: dict[int, str]
) -> TrailReport:
    """Verify one replica's trail and compare it with what others said."""
    differing: list[str] = []
    first_sequence = 0

    def checked() -> Iterator[AuditEntry]:
        nonlocal first_sequence
        for entry in fetch_entries(client, endpoint):
            first_sequence = first_sequence or entry.sequence
            if seen.setdefault(entry.sequence, entry.entry_hash) != entry.entry_hash:
                differing.append(f"entry {entry.sequence}: differs from another replica's")
            yield entry

    try:
        verdict = verify_chain(checked(), known)
    except (RequestFailedError, MessageError) as error:
        return TrailReport(str(endpoint), ChainVerdict(0, None, ()), 0, str(error))
    verdict = verdict._replace(faults=verdict.faults + tuple(differing))
    return TrailReport(str(endpoint), verdict, first_sequence)


def verify_endpoints(client: OperatorClient, known: ChainHead | None) -> list[TrailReport]:
    """Verify the trail of every endpoint."""
    seen: dict[int, str] = {}
    return [_verify_one(client, endpoint, known, seen) for endpoint in client.endpoints]
