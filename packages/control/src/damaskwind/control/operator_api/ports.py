"""What the intent API needs from the replicated log, as a protocol."""

from enum import StrEnum
from typing import Any, NamedTuple, Protocol

__all__ = ["CommitOutcome", "CommitVerdict", "ProposalPort"]


class CommitVerdict(StrEnum):
    """Say whether a proposal took its place in the log.

    `REFUSED` is only ever used when it is certain that nothing was changed;
    `UNKNOWN` means that it may still be committed later.
    """

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CommitOutcome(NamedTuple):
    """How a proposal ended: `result` is what the machine's `apply` returned.

    `leader_hint` names the replica that would take it, when one is known.
    """

    verdict: CommitVerdict
    result: bytes = b""
    leader_hint: str = ""
    detail: str = ""


class ProposalPort(Protocol):
    """The replica as the intent API sees it."""

    async def propose(self, payload: bytes, timeout_s: float) -> CommitOutcome:
        """Propose one command and wait for its outcome."""
        ...

    async def read_current(self, timeout_s: float) -> bool:
        """Wait until the local state holds all that a majority had confirmed.

        Return `False` when no majority said so in time.
        """
        ...

    def status(self) -> dict[str, Any]:
        """Describe the replica: its id, role, term, leader, members, indexes."""
        ...

    async def change_membership(
        self, action: str, replica_id: str, address: str, failure_domain: str, timeout_s: float
    ) -> CommitOutcome:
        """Add or remove one replica of the log; `action` is `add` or `remove`."""
        ...
