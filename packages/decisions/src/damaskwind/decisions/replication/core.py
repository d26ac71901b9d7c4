"""Drive one replica of the log: inputs in, outputs out.

A consensus log after Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", USENIX ATC 2014) with pre-vote, check
quorum and a lease that counts from send times.
"""

from random import Random

from damaskwind.decisions.replication.log import ReplicatedLog
from damaskwind.decisions.replication.messages import (
    Input,
    Member,
    Output,
    PersistentState,
    Snapshot,
    Timing,
)

__all__ = ["ReplicaCore"]


class ReplicaCore:
    """One replica: feed `step` and carry out what it returns, in order."""

    def __init__(
        self,
        member: Member,
        state: PersistentState,
        log: ReplicatedLog,
        timing: Timing,
        random: Random,
        now_s: float,
    ) -> None:
        raise NotImplementedError

    def step(self, event: Input, now_s: float) -> list[Output]:
        """Take one input and return what has to be done, in order."""
        raise NotImplementedError

    def holds_lease(self, now_s: float) -> bool:
        """Tell whether this replica leads and its clock still vouches for it."""
        raise NotImplementedError

    def snapshot_at(self, index: int) -> Snapshot:
        """Return the head of a snapshot of the state applied up to `index`."""
        raise NotImplementedError
