"""The oracle of the histories: what was confirmed, and what may never happen."""

from damaskwind.decisions.replication.messages import EntryKind, LogEntry, Member

__all__ = ["Oracle", "InvariantError"]


class InvariantError(AssertionError):
    """A promise of the replicated log was broken."""


class Oracle:
    """One list of applied changes that all replicas must agree on."""

    def __init__(self) -> None:
        self.sequence: list[LogEntry] = []
        self.payloads: set[bytes] = set()
        self.confirmed: dict[str, int] = {}
        self.refused: set[str] = set()
        self.leaders: dict[int, Member] = {}
        self.visible_index = 0

    def check_applied(self, entry: LogEntry) -> None:
        """Check an applied entry against the one sequence, or extend it."""
        if entry.index <= len(self.sequence):
            if self.sequence[entry.index - 1] != entry:
                raise InvariantError(f"reverted: {self.sequence[entry.index - 1]} became {entry}")
            return
        if entry.index != len(self.sequence) + 1:
            raise InvariantError(f"gap: {entry} after {len(self.sequence)}")
        self.sequence.append(entry)
        if entry.kind is not EntryKind.COMMAND:
            return
        if entry.payload in self.payloads:
            raise InvariantError(f"doubled: {entry}")
        if entry.payload.decode() in self.refused:
            raise InvariantError(f"refused but applied: {entry}")
        self.payloads.add(entry.payload)

    def check_committed(self, proposal_id: str, index: int) -> None:
        """Check that a confirmed proposal stands in the sequence, and keep it."""
        if index > len(self.sequence):
            raise InvariantError(f"confirmed before it was applied: {proposal_id}")
        entry = self.sequence[index - 1]
        if entry.kind is EntryKind.COMMAND and entry.payload.decode() != proposal_id:
            raise InvariantError(f"confirmed {proposal_id} but {entry} stands there")
        self.confirmed[proposal_id] = index
        self.visible_index = max(self.visible_index, index)

    def record_refusal(self, proposal_id: str) -> None:
        """Keep that the proposer was told that nothing was changed."""
        self.refused.add(proposal_id)
        if proposal_id.encode() in self.payloads:
            raise InvariantError(f"refused but applied: {proposal_id}")

    def check_elected(self, term: int, member: Member) -> None:
        """Check that a term has one leader."""
        if self.leaders.setdefault(term, member) != member:
            raise InvariantError(f"term {term} has two leaders: {self.leaders[term]}, {member}")

    def check_read(self, read_id: str, index: int, visible_index: int) -> None:
        """Check that a read sees all that was visible when it was asked."""
        if index < visible_index:
            raise InvariantError(f"read {read_id} saw {index}, but {visible_index} was visible")
        self.visible_index = max(self.visible_index, index)
