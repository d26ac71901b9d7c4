"""What must hold at every moment, checked against all machines at once."""

from typing import Protocol

from damaskwind.decisions.replication.events import AppendEntries, Output
from damaskwind.decisions.replication.membership import decode_membership, is_majority
from damaskwind.decisions.replication.messages import EntryKind, Member, Membership, Timing
from damaskwind.decisions.replication.tests.machines import Node
from damaskwind.decisions.replication.tests.oracle import InvariantError, Oracle

__all__ = ["Machines", "check_commit", "check_lease", "check_promotion"]


class Machines(Protocol):
    """The parts of a cluster that the checks look at."""

    nodes: dict[str, Node]
    oracle: Oracle
    timing: Timing
    clocks_are_trusted: bool

    def clock_s(self, node: Node) -> float:
        """Return what a node's clock shows."""


def check_commit(machines: Machines, node: Node, commit_before: int) -> None:
    """Check that a majority of the voters has synced what a leader commits."""
    index = node.core.commit_index
    if node.core.role != "leader" or index == commit_before:
        return
    voters = node.core.membership.voters
    holders = [voter for voter in voters if _holds(machines, voter, index, node.core.term)]
    if not is_majority(voters, holders):
        raise InvariantError(f"{node.member} commits {index}, synced only by {holders}")


def check_lease(machines: Machines, node: Node) -> None:
    """Check that while a lease is held, a majority of the voters gives no vote."""
    if not machines.clocks_are_trusted or not node.core.holds_lease(machines.clock_s(node)):
        return
    if node.core.term < max(machines.oracle.leaders, default=0):
        raise InvariantError(f"{node.member} holds a lease, but a later leader was elected")
    voters = node.core.membership.voters
    bound = [voter for voter in voters if _withholds_vote(machines, voter)]
    if not is_majority(voters, bound):
        raise InvariantError(f"{node.member} holds a lease, but only {bound} keep it")


def check_promotion(
    machines: Machines, decider: Node, before: Membership, commit_index: int, output: Output
) -> None:
    """Check that a learner counts only once it holds all that was committed.

    The leader that promotes it decides that, at its own commit index; a follower
    may know a later one by the time at which the decision reaches it.
    """
    if not isinstance(output, AppendEntries) or decider.core.role != "leader":
        return
    for entry in output.entries:
        if entry.kind is not EntryKind.MEMBERSHIP:
            continue
        after = decode_membership(entry.payload)
        for member in set(after.voters) & set(before.learners):
            node = machines.nodes[member.replica_id]
            if node.member == member and node.disk.last_index < commit_index:
                raise InvariantError(f"{member} counts but has not caught up")


def _holds(machines: Machines, member: Member, index: int, term: int) -> bool:
    """Tell whether a member's disk holds an entry; a disk lost since counts as if it did."""
    node = machines.nodes[member.replica_id]
    if node.member != member or node.disk.snapshot.index >= index:
        return True
    entries = reversed(node.disk.entries)
    return any(entry.index == index and entry.term == term for entry in entries)


def _withholds_vote(machines: Machines, member: Member) -> bool:
    """Tell whether a member is gone, down, leading, or heard a leader lately."""
    node = machines.nodes[member.replica_id]
    if node.member != member or node.core is None or node.core.role == "leader":
        return True
    silent_s = machines.clock_s(node) - node.core.leader_seen_s
    return silent_s < machines.timing.election_timeout_min_s
