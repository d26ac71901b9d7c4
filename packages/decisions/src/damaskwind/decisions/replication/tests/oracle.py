"""Oracle of the histories: records what was confirmed and checks safety."""

from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Member

__all__ = ["Oracle", "InvariantError"]


class InvariantError(AssertionError):
    """A safety or liveness property of the replicated log was violated."""


class Oracle:
    """The one sequence of applied entries that all replicas must agree on."""

    def __init__(self) -> None:
        self.sequence: list[LogEntry] = []
        self.payloads: set[bytes] = set()
        self.confirmed: dict[str, int] = {}
        self.refused: set[str] = set()
        self.leaders: dict[int, Member] = {}
        self.visible_index = 0

    def check_applied(self, entry: LogEntry) -> None:
        """Check an applied entry against the sequence, or extend the sequence by it."""
        if entry.index <= len(self.sequence):
            if self.sequence[entry.index - 1] != entry:
                raise InvariantError(f"replaced: {self.sequence[entry.index - 1]} became {entry}")
            return
        if entry.index != len(self.sequence) + 1:
            raise InvariantError(f"gap: {entry} after {len(self.sequence)}")
        self.sequence.append(entry)
        if entry.kind is not EntryKind.COMMAND:
            return
        if entry.payload in self.payloads:
            raise InvariantError(f"applied twice: {entry}")
        if entry.payload.decode() in self.refused:
            raise InvariantError(f"refused but applied: {entry}")
        self.payloads.add(entry.payload)

    def check_committed(self, proposal_id: str, index: int) -> None:
        """Check that a confirmed proposal is in the sequence, and record it."""
        if index > len(self.sequence):
            raise InvariantError(f"confirmed before it was applied: {proposal_id}")
        entry = self.sequence[index - 1]
        if entry.kind is EntryKind.COMMAND and entry.payload.decode() != proposal_id:
            raise InvariantError(f"confirmed {proposal_id}, but {entry} is at its index")
        self.confirmed[proposal_id] = index
        self.visible_index = max(self.visible_index, index)

    def record_refusal(self, proposal_id: str) -> None:
        """Record that a proposal was refused, and check that it was not applied."""
        self.refused.add(proposal_id)
        if proposal_id.encode() in self.payloads:
            raise InvariantError(f"refused but applied: {proposal_id}")

    def check_elected(self, term: int, member: Member) -> None:
        """Check that a term has at most one leader."""
        if self.leaders.setdefault(term, member) != member:
            raise InvariantError(f"term {term} has two leaders: {self.leaders[term]}, {member}")

    def check_read(self, read_id: str, index: int, visible_index: int) -> None:
        """Check that a read sees everything that was visible when it was requested."""
        if index < visible_index:
            raise InvariantError(f"read {read_id} saw {index}, but {visible_index} was visible")
        self.visible_index = max(self.visible_index, index)
