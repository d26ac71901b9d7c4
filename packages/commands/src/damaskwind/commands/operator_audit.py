"""Fetch the audit trail and verify its chain on the operator's own machine.

The complete trail of each replica is fetched. Each hash chain is verified by itself, and
entries with the same sequence number must be identical on all replicas.
"""

from collections.abc import Iterator
from itertools import pairwise
from typing import Any, NamedTuple

from damaskwind.commands.operator_client import (
    Endpoint,
    ExitCode,
    OperatorClient,
    RequestFailedError,
    UsageError,
)
from damaskwind.control.audit.chain import ChainHead, ChainVerdict, head_faults, verify_chain
from damaskwind.control.audit.entry import AuditEntry, decode_entry
from damaskwind.model.exception import MessageError

__all__ = ["TrailReport", "fetch_entries", "parse_head", "verify_endpoints"]

_PAGE_SIZE = 500


class TrailReport(NamedTuple):
    """The result of verifying one replica's trail."""

    endpoint: str
    verdict: ChainVerdict
    first_sequence: int
    error: str = ""

    @property
    def holds(self) -> bool:
        """Whether the trail was fetched and is free of faults."""
        return not self.error and not self.verdict.faults


def parse_head(text: str) -> ChainHead | None:
    """Parse `SEQUENCE:HASH`, a head printed by an earlier verification."""
    if not text:
        return None
    sequence, _, entry_hash = text.partition(":")
    if not sequence.isdecimal() or len(entry_hash) != 64:
        raise UsageError("known head: expected SEQUENCE:HASH as an earlier check printed it")
    return ChainHead(int(sequence), entry_hash)


def fetch_entries(
    client: OperatorClient, endpoint: Endpoint, after: int = 0
) -> Iterator[AuditEntry]:
    """Yield a replica's entries after a sequence number, fetching them page by page.

    Raise `RequestFailedError` if the replica does not answer, and
    `MessageError` if an entry is malformed.
    """
    while True:
        path = f"/operator/v1/audit?after={after}&limit={_PAGE_SIZE}"
        answer = client.request_one(endpoint, "GET", path)
        if not answer.is_success:
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


class _FetchedTrail(NamedTuple):
    """One replica's entries, as runs of consecutive sequence numbers."""

    endpoint: str
    runs: list[list[AuditEntry]]
    error: str


def _fetch_trail(client: OperatorClient, endpoint: Endpoint) -> _FetchedTrail:
    """Fetch a replica's entries and split them at gaps in the sequence numbers."""
    runs: list[list[AuditEntry]] = []
    try:
        for entry in fetch_entries(client, endpoint):
            if not runs or entry.sequence > runs[-1][-1].sequence + 1:
                runs.append([])
            runs[-1].append(entry)
    except (RequestFailedError, MessageError) as error:
        return _FetchedTrail(str(endpoint), [], str(error))
    return _FetchedTrail(str(endpoint), runs, "")


def _differences(trail: _FetchedTrail, hashes: dict[int, str]) -> Iterator[str]:
    """Yield the entries whose hash differs from that of a replica read earlier."""
    for run in trail.runs:
        for entry in run:
            if hashes.setdefault(entry.sequence, entry.entry_hash) != entry.entry_hash:
                yield f"entry {entry.sequence}: differs from another replica's"


def _gap_faults(trail: _FetchedTrail, hashes: dict[int, str]) -> Iterator[str]:
    """Yield the gaps that no replica fills, or that one fills with a different chain."""
    for before, after in pairwise(trail.runs):
        first, last = before[-1].sequence + 1, after[0].sequence - 1
        if any(number not in hashes for number in range(first, last + 1)):
            yield f"entries {first} to {last}: held by no replica that was asked"
        elif after[0].previous_hash != hashes[last]:
            yield f"entry {last + 1}: not chained to the entry before it"


def _report(
    trail: _FetchedTrail, known: ChainHead | None, differing: list[str], hashes: dict[int, str]
) -> TrailReport:
    """Verify the runs of one replica and return its report."""
    if trail.error:
        return TrailReport(trail.endpoint, ChainVerdict(0, None, ()), 0, trail.error)
    faults = list(differing)
    for run in trail.runs:
        faults += verify_chain(run).faults
    # Faults within runs are reported above; the known head may be in any run.
    entries = [entry for run in trail.runs for entry in run]
    faults += head_faults(entries, known)
    faults += _gap_faults(trail, hashes)
    head = ChainHead(entries[-1].sequence, entries[-1].entry_hash) if entries else None
    first_sequence = entries[0].sequence if entries else 0
    verdict = ChainVerdict(len(entries), head, tuple(faults))
    return TrailReport(trail.endpoint, verdict, first_sequence)


def verify_endpoints(client: OperatorClient, known: ChainHead | None) -> list[TrailReport]:
    """Verify the trail of every endpoint.

    A replica that was down for long, or that joined late, may lack entries that others have;
    a gap is a fault only if no queried replica fills it.
    """
    hashes: dict[int, str] = {}
    trails = [_fetch_trail(client, endpoint) for endpoint in client.endpoints]
    differing = [list(_differences(trail, hashes)) for trail in trails]
    return [
        _report(trail, known, faults, hashes)
        for trail, faults in zip(trails, differing, strict=True)
    ]
