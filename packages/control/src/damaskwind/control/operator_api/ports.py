"""The interface of the replicated log that the intent API requires."""

from enum import StrEnum
from typing import Any, NamedTuple, Protocol

__all__ = ["CommitOutcome", "CommitVerdict", "ProposalPort"]


class CommitVerdict(StrEnum):
    """Whether a proposal was committed to the log.

    `REFUSED` is used only when it is certain that nothing was changed;
    `UNKNOWN` means that it may still be committed later.
    """

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CommitOutcome(NamedTuple):
    """The outcome of a proposal; `result` is what the state machine's `apply` returned.

    `leader_hint` names the replica that would accept it, if one is known.
    """

    verdict: CommitVerdict
    result: bytes = b""
    leader_hint: str = ""
    detail: str = ""


class ProposalPort(Protocol):
    """A replica of the log, as used by the intent API."""

    async def propose(self, payload: bytes, timeout_s: float) -> CommitOutcome:
        """Propose one command and wait for its outcome."""
        ...

    async def read_current(self, timeout_s: float) -> bool:
        """Wait until the local state includes all entries committed before the call.

        Return `False` if no majority confirmed that in time.
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
