"""Fetch the audit trail and verify its chain on the operator's own machine.

Each replica is asked for its whole trail. Each chain is verified by itself, and
entries of the same number must be the same on all replicas.
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
    """One replica's entries as they were read: runs without a gap."""

    endpoint: str
    runs: list[list[AuditEntry]]
    error: str


def _fetch_trail(client: OperatorClient, endpoint: Endpoint) -> _FetchedTrail:
    """Read a replica's entries and part them where numbers are left out."""
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
    """Name the entries that differ from what another replica showed first."""
    for run in trail.runs:
        for entry in run:
            if hashes.setdefault(entry.sequence, entry.entry_hash) != entry.entry_hash:
                yield f"entry {entry.sequence}: differs from another replica's"


def _gap_faults(trail: _FetchedTrail, hashes: dict[int, str]) -> Iterator[str]:
    """Name the gaps that no other replica fills or that it fills with another chain."""
    for before, after in pairwise(trail.runs):
        first, last = before[-1].sequence + 1, after[0].sequence - 1
        if any(number not in hashes for number in range(first, last + 1)):
            yield f"entries {first} to {last}: held by no replica that was asked"
        elif after[0].previous_hash != hashes[last]:
            yield f"entry {last + 1}: not chained to the entry before it"


def _report(
    trail: _FetchedTrail, known: ChainHead | None, differing: list[str], hashes: dict[int, str]
) -> TrailReport:
    """Verify the runs of one replica and sum up."""
    if trail.error:
        return TrailReport(trail.endpoint, ChainVerdict(0, None, ()), 0, trail.error)
    faults = list(differing)
    for run in trail.runs:
        faults += verify_chain(run).faults
    # The runs are sound or named above; the known head is looked for over all of them.
    entries = [entry for run in trail.runs for entry in run]
    faults += head_faults(entries, known)
    faults += _gap_faults(trail, hashes)
    head = ChainHead(entries[-1].sequence, entries[-1].entry_hash) if entries else None
    first_sequence = entries[0].sequence if entries else 0
    verdict = ChainVerdict(len(entries), head, tuple(faults))
    return TrailReport(trail.endpoint, verdict, first_sequence)


def verify_endpoints(client: OperatorClient, known: ChainHead | None) -> list[TrailReport]:
    """Verify the trail of every endpoint.

    A replica that was away for long, or that joined late, may lack entries that
    others have; that is a fault only when none of those asked has them.
    """
    hashes: dict[int, str] = {}
    trails = [_fetch_trail(client, endpoint) for endpoint in client.endpoints]
    differing = [list(_differences(trail, hashes)) for trail in trails]
    return [
        _report(trail, known, faults, hashes)
        for trail, faults in zip(trails, differing, strict=True)
    ]
