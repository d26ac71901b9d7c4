"""The metrics of a control process: its log, its disk, its state and its callers."""

from collections.abc import Callable

from damaskwind.control.claim_holding import DeferredClaimHolder
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.replica import Replica
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.control.storage.journal import Journal
from damaskwind.control.storage.writer import GroupCommitWriter
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.decisions.replication.messages import Outcome
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.metrics import Metrics, Sample
from damaskwind.wire.authentication import AuthenticationOutcome, CallVerifier
from damaskwind.wire.follow_service import FollowService

__all__ = ["ControlTelemetry"]

_ROLES = ("follower", "pre_candidate", "candidate", "leader", "failed")
ReadValue = Callable[[], float]


class ControlTelemetry:
    """The instruments of one control process; most are read at each scrape."""

    def __init__(self, node_id: str) -> None:
        self.metrics = Metrics(node_id)

    def watch_log(self, access: LogAccess) -> None:
        """Add metrics of the replica's log position, and of proposals made here while it leads."""
        replica = access.replica
        proposals = self.metrics.counter(
            "proposals", "1", "Proposals at this replica, by outcome and reason."
        )
        durations = self.metrics.histogram(
            "commit_duration", "s", "Time from a proposal here to its commit."
        )

        def record_proposal(outcome: ProposalOutcome, duration_s: float) -> None:
            reason = str(outcome.reason) if outcome.reason is not None else ""
            proposals.add(1, {"outcome": str(outcome.outcome), "reason": reason})
            if outcome.outcome is Outcome.COMMITTED:
                durations.record(duration_s)

        access.on_proposed.append(record_proposal)
        self.metrics.gauge(
            "replica_role", "1", "1 for the role this replica has.", lambda: _role_samples(replica)
        )
        self._gauge("replica_term", "Term of the log.", lambda: replica.core.term)
        self._gauge(
            "replica_is_current",
            "1 when this replica believes that it holds all that is confirmed.",
            lambda: int(replica.is_current),
        )
        self._gauge(
            "lost_voters",
            "Voters that run without their logs, once they are a majority.",
            lambda: len(access.lost_voters.members),
        )
        self._gauge("log_commit_index", "Last entry committed.", lambda: replica.core.commit_index)
        self._gauge("log_applied_index", "Last entry applied.", lambda: replica.state.applied_index)
        self._gauge("log_last_index", "Last entry of the log.", lambda: replica.core.last_index)
        self._total(
            "elections_started",
            "Elections that this replica started.",
            lambda: replica.core.elections_started,
        )
        self._total(
            "replication_sent",
            "Bytes of the log's messages sent to other replicas, without headers.",
            lambda: replica.transport.sent_bytes,
            "By",
        )

    def watch_storage(self, journal: Journal, writer: GroupCommitWriter) -> None:
        """Add metrics of the duration of syncs and the size of files."""
        durations = self.metrics.histogram(
            "journal_sync_duration", "s", "Time to make a group of writes durable."
        )
        writer.on_synced.append(durations.record)
        self._gauge("log_size", "Size of the log file.", lambda: journal.size_bytes, "By")
        self._gauge(
            "snapshot_size", "Size of the newest snapshot.", lambda: journal.snapshot_bytes, "By"
        )

    def watch_machine(self, machine: ConfigurationMachine) -> None:
        """Add metrics of the replicated state."""
        self._gauge(
            "configuration_revision",
            "Revision confirmed here.",
            lambda: machine.configuration.revision,
        )
        self._total(
            "audit_entries",
            "Entries in the audit trail since the cluster was founded.",
            lambda: machine.trail.last_sequence,
        )

    def watch_callers(
        self, follow: FollowService, claim_holder: DeferredClaimHolder, verifier: CallVerifier
    ) -> None:
        """Add metrics of followers, claims and refused calls."""
        self._gauge("followers", "Routers that follow here.", lambda: follow.follower_count)
        self.metrics.total(
            "claim_replies",
            "1",
            "Answers of the claim holder, by call and rejection.",
            lambda: _claim_reply_samples(claim_holder),
        )
        self._gauge("claim_records", "Keys on record here.", lambda: _record_count(claim_holder))
        self._gauge(
            "claim_holder_is_voting",
            "1 when the holder votes.",
            lambda: int(_is_voting(claim_holder)),
        )
        self.metrics.total(
            "calls_refused",
            "1",
            "Calls refused as not signed by this cluster or not fresh, by reason.",
            lambda: [
                Sample(verifier.refusals[reason], {"reason": str(reason)})
                for reason in AuthenticationOutcome
            ],
        )

    def _gauge(self, name: str, description: str, read: ReadValue, unit: str = "1") -> None:
        """Create a gauge with one value."""
        self.metrics.gauge(name, unit, description, lambda: [Sample(read())])

    def _total(self, name: str, description: str, read: ReadValue, unit: str = "1") -> None:
        """Create a counter with one value."""
        self.metrics.total(name, unit, description, lambda: [Sample(read())])


def _role_samples(replica: Replica) -> list[Sample]:
    """Return samples of 1 for the replica's role and 0 for the others."""
    role = replica.core.role if replica.failure is None else "failed"
    return [Sample(int(role == name), {"role": name}) for name in _ROLES]


def _claim_reply_samples(claim_holder: DeferredClaimHolder) -> list[Sample]:
    """Return the holder's answers by call and rejection."""
    replies = claim_holder.inner.replies if claim_holder.inner is not None else {}
    return [
        Sample(count, {"call": call, "rejection": str(rejection) or "none"})
        for (call, rejection), count in replies.items()
    ]


def _record_count(claim_holder: DeferredClaimHolder) -> int:
    """Return how many keys the holder has on record."""
    return len(claim_holder.inner.holder) if claim_holder.inner is not None else 0


def _is_voting(claim_holder: DeferredClaimHolder) -> bool:
    """Return whether the holder votes."""
    return claim_holder.inner is not None and claim_holder.inner.holder.is_voting(read_clock())
