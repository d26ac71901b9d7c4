"""Seeded bugs that the histories must find.

Each bug is a context manager that patches the core, and arguments for the cluster.
"""

from contextlib import AbstractContextManager, ExitStack, nullcontext
from typing import Any
from unittest import mock

from damaskwind.decisions.replication import core, election, leading, requests
from damaskwind.decisions.replication.events import Send
from damaskwind.decisions.replication.leadership import Leadership, Progress, record_response
from damaskwind.decisions.replication.membership import majority_value
from damaskwind.decisions.replication.messages import Envelope, Member, VoteRequest
from damaskwind.decisions.replication.outbox import Outbox
from damaskwind.decisions.replication.replica import Replica, end_leader
from damaskwind.decisions.replication.tests.cluster import JOIN_INTERVAL_S, Cluster
from damaskwind.decisions.replication.tests.machines import Node

__all__ = ["SEEDED_BUGS"]

# How long a replica without a log kept a request that was forwarded to it.
KEPT_REQUEST_S = 5.0


def vote_twice() -> AbstractContextManager:
    """Grant a second vote in the same term."""

    def can_vote_in_term(replica: Replica, sender: Member, request: VoteRequest) -> bool:
        own = (replica.log.last_term, replica.log.last_index)
        is_in_term = request.term == replica.state.term and replica.role.state != "leader"
        return is_in_term and (request.last_term, request.last_index) >= own

    return mock.patch.object(election, "can_vote_in_term", can_vote_in_term)


def lease_from_receive_time() -> AbstractContextManager:
    """Count the lease from the arrival of a response.

    So does the time after which a leader steps down. Otherwise it mostly ends the wrong lease.
    """

    def note(leadership: Leadership, progress: Progress, number: int, now_s: float) -> None:
        record_response(leadership, progress, number, now_s)
        leadership.round_sent_s[number] = now_s
        progress.answered_sent_s = now_s

    return mock.patch.object(leading, "record_response", note)


def count_learner() -> AbstractContextManager:
    """Count responses of learners towards a majority of the voters."""

    def quorum_match(replica: Replica, leadership: Leadership) -> int:
        def match_index(member: Member) -> int:
            if member == replica.member:
                return replica.outbox.durable_index
            progress = leadership.peers.get(member)
            return progress.match_index if progress else 0

        voters, learners = replica.log.membership
        values = sorted(map(match_index, (*voters, *learners)), reverse=True)
        return values[len(voters) // 2]

    return mock.patch.object(leading, "quorum_match", quorum_match)


def promote_early() -> AbstractContextManager:
    """Promote a learner that has not caught up."""
    return mock.patch.object(requests, "is_caught_up", lambda replica, progress: True)


def count_before_durable() -> AbstractContextManager:
    """Let the leader count its own entry before it is durable."""

    def quorum_match(replica: Replica, leadership: Leadership) -> int:
        def match_index(member: Member) -> int:
            if member == replica.member:
                return replica.log.last_index
            progress = leadership.peers.get(member)
            return progress.match_index if progress else 0

        return int(majority_value(replica.log.membership.voters, match_index))

    return mock.patch.object(leading, "quorum_match", quorum_match)


def commit_old_term() -> AbstractContextManager:
    """Commit entries of an earlier term by counting replicas."""
    return mock.patch.object(leading, "is_from_current_term", lambda replica, index: True)


def vote_while_led() -> AbstractContextManager:
    """Grant votes although a leader was seen recently."""
    return mock.patch.object(election, "has_recent_leader", lambda replica: False)


def change_unsettled() -> AbstractContextManager:
    """Change the membership before the pending change is committed."""
    return mock.patch.object(requests, "_may_change", lambda replica, leadership: True)


def send_before_durable() -> AbstractContextManager:
    """Send messages before the writes that they depend on are durable."""

    def send_now(outbox: Outbox, write_id: int, envelope: Envelope) -> None:
        outbox.emit(Send(envelope))

    return mock.patch.object(Outbox, "_send_after", send_now)


def wait_for_former_self() -> AbstractContextManager:
    """Let a leader that is back without its disk keep the request to add it, and wait for it."""

    def join_interval_s(cluster: Cluster, node: Node) -> float:
        leaders = {other.core.leader for other in cluster.running() if other is not node}
        former = {item for item in leaders if item and item.replica_id == node.member.replica_id}
        return KEPT_REQUEST_S if former - {node.member} else JOIN_INTERVAL_S

    patches = ExitStack()
    patches.enter_context(mock.patch.object(Cluster, "join_interval_s", join_interval_s))
    patches.enter_context(mock.patch.object(Cluster, "tell_ended", lambda *ended: None))
    return patches


def end_any_leader() -> AbstractContextManager:
    """Free the vote by the end of any leader, not only by that of the one followed last."""

    def end_followed(replica: Replica, leader: Member, term: int) -> None:
        if replica.leadership is None and replica.followed is not None:
            replica.leader = None
            end_leader(replica, replica.followed, replica.followed_term)

    return mock.patch.object(core, "end_leader", end_followed)


def end_running_leader() -> AbstractContextManager:
    """Tell of the end of a leader that still runs, whoever asks to be added."""

    def forward_join(cluster: Cluster, node: Node, member: Member) -> None:
        leader = node.core.leader if node.core is not None else None
        if leader is not None:
            cluster.tell_ended(node, leader, node.core.term)

    return mock.patch.object(Cluster, "forward_join", forward_join)


SEEDED_BUGS: dict[str, tuple[Any, dict[str, bool]]] = {
    "skip_fsync": (nullcontext, {"syncs": False}),
    "keep_identity": (nullcontext, {"new_identity": False}),
    "vote_twice": (vote_twice, {}),
    "send_before_durable": (send_before_durable, {}),
    "count_before_durable": (count_before_durable, {}),
    "count_learner": (count_learner, {}),
    "promote_early": (promote_early, {}),
    "lease_from_receive_time": (lease_from_receive_time, {}),
    "commit_old_term": (commit_old_term, {}),
    "vote_while_led": (vote_while_led, {}),
    "change_unsettled": (change_unsettled, {}),
    "wait_for_former_self": (wait_for_former_self, {}),
    "end_any_leader": (end_any_leader, {}),
    "end_running_leader": (end_running_leader, {}),
}
