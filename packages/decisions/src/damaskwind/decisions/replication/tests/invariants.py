"""Invariants that must hold at all times, checked against the state of all nodes."""

from typing import Protocol

from damaskwind.decisions.replication.events import AppendEntries, Output
from damaskwind.decisions.replication.membership import decode_membership, is_majority
from damaskwind.decisions.replication.messages import EntryKind, Member, Membership, Timing
from damaskwind.decisions.replication.tests.machines import Node
from damaskwind.decisions.replication.tests.oracle import InvariantError, Oracle

__all__ = ["ClusterView", "check_commit", "check_lease", "check_promotion"]


class ClusterView(Protocol):
    """The parts of a cluster that the checks use."""

    nodes: dict[str, Node]
    oracle: Oracle
    timing: Timing
    clocks_are_trusted: bool

    def clock_s(self, node: Node) -> float:
        """Return the time of a node's clock."""


def check_commit(cluster: ClusterView, node: Node, commit_before: int) -> None:
    """Check that a majority of the voters has synced the entry that a leader commits."""
    index = node.core.commit_index
    if node.core.role != "leader" or index == commit_before:
        return
    voters = node.core.membership.voters
    holders = [voter for voter in voters if _has_entry(cluster, voter, index, node.core.term)]
    if not is_majority(voters, holders):
        raise InvariantError(f"{node.member} commits index {index}, synced only by {holders}")


def check_lease(cluster: ClusterView, node: Node) -> None:
    """Check that a majority of the voters grants no vote while a lease is valid."""
    if not cluster.clocks_are_trusted or not node.core.holds_lease(cluster.clock_s(node)):
        return
    if node.core.term < max(cluster.oracle.leaders, default=0):
        raise InvariantError(f"{node.member} holds a lease, but a later leader was elected")
    voters = node.core.membership.voters
    withholding = [voter for voter in voters if _withholds_vote(cluster, voter)]
    if not is_majority(voters, withholding):
        raise InvariantError(f"{node.member} holds a lease, but only {withholding} refuse votes")


def check_promotion(
    cluster: ClusterView, decider: Node, before: Membership, commit_index: int, output: Output
) -> None:
    """Check that a learner is promoted only once it stores all committed entries.

    The leader decides on the promotion at its own commit index. A follower may
    already have a higher commit index when it receives that decision.
    """
    if not isinstance(output, AppendEntries) or decider.core.role != "leader":
        return
    for entry in output.entries:
        if entry.kind is not EntryKind.MEMBERSHIP:
            continue
        after = decode_membership(entry.payload)
        for member in set(after.voters) & set(before.learners):
            node = cluster.nodes[member.replica_id]
            if node.member == member and node.disk.last_index < commit_index:
                raise InvariantError(f"{member} was promoted before it caught up")


def _has_entry(cluster: ClusterView, member: Member, index: int, term: int) -> bool:
    """Return whether a member's disk holds an entry; a disk lost since then counts as well."""
    node = cluster.nodes[member.replica_id]
    if node.member != member or node.disk.snapshot.index >= index:
        return True
    entries = reversed(node.disk.entries)
    return any(entry.index == index and entry.term == term for entry in entries)


def _withholds_vote(cluster: ClusterView, member: Member) -> bool:
    """Return whether a member was replaced, is down, leads, or has recently seen a leader.

    A leader that the member takes for ended for good doesn't count.
    """
    node = cluster.nodes[member.replica_id]
    if node.member != member or node.core is None or node.core.role == "leader":
        return True
    if not node.core.withholds_vote():
        return False
    silent_s = cluster.clock_s(node) - node.core.leader_seen_s
    return silent_s < cluster.timing.election_timeout_min_s
