"""Drive the core of the replicated log and execute its outputs in order.

Everything except the journal's writes runs on the event loop's thread. A
`StorageError` stops the replica permanently: the content of its disk is then
unknown, so it must neither vote nor answer requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any
from uuid import uuid4

from loguru import logger

from damaskwind.control.replica.election_log import ElectionLog
from damaskwind.control.replica.leader_contact import LeaderContact
from damaskwind.control.replica.replicated_state import ReplicatedState
from damaskwind.control.replica.transport import Transport
from damaskwind.control.replica.waiters import ConditionWaiters
from damaskwind.control.storage.journal import Journal, JournalWrite, TakeSnapshot
from damaskwind.control.storage.writer import GroupCommitWriter
from damaskwind.decisions.replication.core import ReplicaCore
from damaskwind.decisions.replication.events import (
    AppendEntries,
    Apply,
    BecameLeader,
    Input,
    InstallSnapshot,
    ProposalOutcome,
    Propose,
    ProposeMembership,
    ReadReady,
    ReadRefused,
    ReadRequest,
    Received,
    RepairStarted,
    Send,
    SendSnapshot,
    SnapshotTaken,
    SteppedDown,
    Tick,
    TruncateFrom,
    WritesDurable,
    WriteState,
)
from damaskwind.decisions.replication.log import initial_log, recover_log
from damaskwind.decisions.replication.messages import (
    Envelope,
    Member,
    Membership,
    MembershipChange,
    Outcome,
    RefusalReason,
    Timing,
)
from damaskwind.model.exception import StorageError
from damaskwind.runtime.clock import read_clock

__all__ = ["Replica"]

TICKS_PER_HEARTBEAT = 4
COMMIT_ANNOUNCEMENT_ID = "commit-announcement"


class Replica:
    """One replica of the log: journal, consensus core, transport and state machine."""

    def __init__(
        self,
        member: Member,
        journal: Journal,
        state: ReplicatedState,
        transport: Transport,
        timing: Timing,
        random: Random,
        snapshot_every_entries: int,
        silent_since_s: float | None = None,
    ) -> None:
        self.member = member
        self.state = state
        self.transport = transport
        self.timing = timing
        self.failure: StorageError | None = None
        self.on_applied: list[Callable[[], None]] = []
        self.on_failure: list[Callable[[StorageError], None]] = []
        self._random = random
        self._snapshot_every_entries = snapshot_every_entries
        self._silent_since_s = silent_since_s
        self._snapshot_index = journal.snapshot.index
        self._is_taking_snapshot = False
        self._leader_contact = LeaderContact(member)
        self._pending: dict[str, asyncio.Future] = {}
        self._waiters = ConditionWaiters()
        self._events: deque[Input] = deque()
        self._members: Membership | None = None
        self._elections = ElectionLog()
        self._is_announcing = False
        self._announced_index = 0
        self._is_stepping = False
        self._is_stopped = False
        self._ticker: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self.core = self._make_core(journal)
        if journal.snapshot.index:
            state.restore(journal.snapshot.index, journal.read_snapshot()[1])
        state.recall_addresses(journal.entries)
        self.writer = GroupCommitWriter(journal, self._handle_durable, self._fail)

    def _make_core(self, journal: Journal) -> ReplicaCore:
        """Build the core from the durable state."""
        log = recover_log(journal.snapshot, journal.entries)
        return ReplicaCore(
            self.member,
            journal.state,
            log,
            self.timing,
            self._random,
            read_clock(),
            self._silent_since_s,
        )

    @property
    def has_log(self) -> bool:
        """Return whether this replica has ever been part of a log."""
        return self.core.last_index > 0

    @property
    def is_running(self) -> bool:
        """Return whether this replica has neither failed nor been stopped."""
        return self.failure is None and not self._is_stopped

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.is_running and self.core.role == "leader"

    def leading_term(self) -> int | None:
        """Return the term in which this replica leads with a valid lease, or `None`."""
        has_lease = self.is_leader and self.core.holds_lease(read_clock())
        return self.core.term if has_lease else None

    @property
    def is_current(self) -> bool:
        """Return whether this replica presumably has all committed state.

        The staleness is bounded in time: by the lease if this replica leads,
        else by a message from the leader less than an election timeout ago.
        """
        if not self.is_running:
            return False
        now_s = read_clock()
        if self.core.holds_lease(now_s):
            return True
        contact = self._leader_contact
        is_fresh = now_s - contact.seen_s < self.timing.election_timeout_min_s
        committed_index = max(contact.commit_index, self.core.commit_index)
        return is_fresh and self.state.applied_index >= committed_index

    def start(self) -> None:
        """Start the periodic ticks."""
        self._tick()

    async def found_cluster(self, journal: Journal) -> None:
        """Write the initial log of a new cluster whose only voter is this replica.

        The journal must be empty. The other replicas join afterwards.
        """
        state, entries = initial_log((self.member,))
        writes: list[JournalWrite] = [WriteState(0, state), AppendEntries(0, entries)]
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, journal.write, writes)
        self.core = self._make_core(journal)
        logger.info("cluster founded", replica=self.member.replica_id)

    async def stop(self) -> None:
        """Stop the ticks, finish pending journal writes and close connections."""
        self._is_stopped = True
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        self._resolve_pending_as_unknown()
        for task in list(self._tasks):
            task.cancel()
        await self.writer.close()
        await self.transport.close()

    def receive(self, envelope: Envelope) -> None:
        """Process a message from another replica."""
        self._elections.record_received(envelope, self.core, read_clock())
        self._leader_contact.record(envelope, self.core.term, read_clock())
        self.feed(Received(envelope))

    async def propose(self, payload: bytes, timeout_s: float) -> ProposalOutcome:
        """Propose a command at this replica; refused unless it leads."""
        proposal_id = uuid4().hex
        return await self._request(proposal_id, Propose(proposal_id, payload), timeout_s)

    async def propose_change(self, change: MembershipChange, timeout_s: float) -> ProposalOutcome:
        """Propose a membership change at this replica; refused unless it leads."""
        proposal_id = uuid4().hex
        return await self._request(proposal_id, ProposeMembership(proposal_id, change), timeout_s)

    async def read_index(self, timeout_s: float) -> ReadReady | ReadRefused:
        """Confirm leadership with a majority and return the read index."""
        read_id = uuid4().hex
        return await self._request(read_id, ReadRequest(read_id), timeout_s)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it did within the timeout."""
        return await self._waiters.wait_until(condition, timeout_s)

    def feed(self, event: Input) -> None:
        """Pass one input to the core and execute its outputs.

        Inputs that arise during this are queued; once the replica has stopped,
        inputs are dropped.
        """
        if not self.is_running:
            return
        self._events.append(event)
        if self._is_stepping:
            return
        self._is_stepping = True
        try:
            while self._events and self.failure is None:
                for output in self.core.step(self._events.popleft(), read_clock()):
                    _HANDLERS[type(output)](self, output)
        finally:
            self._is_stepping = False
        self._log_member_changes()
        self._take_snapshot_if_due()
        self._waiters.wake()

    def _log_member_changes(self) -> None:
        """Log the voters and learners when the membership has changed."""
        members = self.core.membership
        if members == self._members:
            return
        self._members = members
        logger.info(
            "members changed",
            voters=[member.replica_id for member in members.voters],
            learners=[member.replica_id for member in members.learners],
            identities=[member.identity for member in members.voters + members.learners],
            leads=self.is_leader,
        )

    async def _request(self, request_id: str, event: Input, timeout_s: float) -> Any:
        """Pass a request to the core and wait for its result."""
        if not self.is_running:
            return _failure_result(event)
        result = asyncio.get_running_loop().create_future()
        self._pending[request_id] = result
        self.feed(event)
        try:
            return await asyncio.wait_for(result, max(timeout_s, 0.0))
        except TimeoutError:
            return _timeout_result(event)
        finally:
            self._pending.pop(request_id, None)

    def _tick(self) -> None:
        """Pass a tick to the core and schedule the next one."""
        loop = asyncio.get_running_loop()
        period_s = self.timing.heartbeat_s / TICKS_PER_HEARTBEAT
        self._ticker = loop.call_later(period_s, self._tick)
        self.feed(Tick())

    def _resolve(self, request_id: str, result: Any) -> None:
        """Set the result of the pending request with this id."""
        waiter = self._pending.get(request_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def _resolve_pending_as_unknown(self) -> None:
        """Resolve all pending requests as unknown: proposals may still commit elsewhere."""
        for request_id in list(self._pending):
            self._resolve(request_id, ProposalOutcome(request_id, Outcome.UNKNOWN))

    def _take_snapshot_if_due(self) -> None:
        """Take a snapshot if enough entries were applied since the last one."""
        index = self.state.applied_index
        if self._is_taking_snapshot or index - self._snapshot_index < self._snapshot_every_entries:
            return
        self._is_taking_snapshot = True
        write = TakeSnapshot(self.core.snapshot_at(index), self.state.snapshot())
        self.writer.submit(write)

    def _handle_durable(self, group: list[JournalWrite]) -> None:
        """Report durable writes and snapshots to the core."""
        write_ids = [write.write_id for write in group if not isinstance(write, TakeSnapshot)]
        if write_ids:
            self.feed(WritesDurable(max(write_ids)))
        for write in group:
            if isinstance(write, TakeSnapshot):
                self._is_taking_snapshot = False
                self._snapshot_index = max(self._snapshot_index, write.snapshot.index)
                self.feed(SnapshotTaken(write.snapshot.index))

    def _fail(self, error: StorageError) -> None:
        """Stop this replica permanently after a storage failure."""
        logger.critical("storage failed; this replica stops", error=str(error))
        self.failure = error
        if self._ticker is not None:
            self._ticker.cancel()
        self._resolve_pending_as_unknown()
        self._waiters.wake()
        for callback in self.on_failure:
            callback(error)

    def _write(self, output: Any) -> None:
        self.writer.submit(output)

    def _send(self, output: Send) -> None:
        self._elections.record_sent(output.envelope, self.core, read_clock())
        self.transport.send(output.envelope)

    def _send_snapshot(self, output: SendSnapshot) -> None:
        task = asyncio.ensure_future(self._load_and_send_snapshot(output.envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load_and_send_snapshot(self, envelope: Envelope) -> None:
        """Read the newest durable snapshot and send it, unless its recipient has ended.

        Another life of the recipient drops it, and needs the link for a snapshot of its own.
        """
        if await self.transport.runs_as_another(envelope.recipient):
            return
        try:
            snapshot, data = await self.writer.read_snapshot()
        except StorageError as error:
            self._fail(error)
            return
        message = envelope.message._replace(snapshot=snapshot, data=data)
        self.transport.send(envelope._replace(message=message))

    def _apply(self, output: Apply) -> None:
        self.state.apply(output.entries)
        for callback in self.on_applied:
            callback()
        if self.is_leader:
            self._announce_commit()

    def _announce_commit(self) -> None:
        """Start a round of append requests, which carries the commit index.

        Otherwise the followers would learn the commit index only with the next
        heartbeat. A read request starts a round as soon as none is in flight,
        so that many commits share one round.
        """
        if not self._is_announcing and self.state.applied_index > self._announced_index:
            self._is_announcing = True
            self._announced_index = self.state.applied_index
            self._events.append(ReadRequest(COMMIT_ANNOUNCEMENT_ID))

    def _install(self, output: InstallSnapshot) -> None:
        self.writer.submit(output)
        self.state.restore(output.snapshot.index, output.data)
        self._snapshot_index = output.snapshot.index
        for callback in self.on_applied:
            callback()

    def _resolve_proposal(self, output: ProposalOutcome) -> None:
        self._resolve(output.proposal_id, output)

    def _resolve_read(self, output: ReadReady | ReadRefused) -> None:
        if output.read_id == COMMIT_ANNOUNCEMENT_ID:
            self._is_announcing = False
            if self.is_leader:
                self._announce_commit()
            return
        self._resolve(output.read_id, output)

    def _log_election_won(self, output: BecameLeader) -> None:
        logger.info("became leader", replica=self.member.replica_id, term=output.term)

    def _log_repair(self, output: RepairStarted) -> None:
        logger.info(
            "membership repaired",
            change=output.change.kind.value,
            replica=output.change.member.replica_id,
            identity=output.change.member.identity,
            silent_s=output.silent_s,
            term=self.core.term,
        )

    def _handle_step_down(self, output: SteppedDown) -> None:
        """Drop appends that were not sent; log the cause, the peers' last responses and calls."""
        self.transport.drop_appends()
        logger.info(
            "stepped down",
            replica=self.member.replica_id,
            term=output.term,
            cause=output.cause,
            quorum_age_s=output.quorum_age_s,
            answers=[tuple(answer) for answer in output.answers],
            slowest_call_s=round(self.transport.slowest_call_s(), 3),
        )


def _timeout_result(event: Input) -> ProposalOutcome | ReadRefused:
    """Return the result of a request that timed out."""
    if isinstance(event, ReadRequest):
        return ReadRefused(event.read_id, RefusalReason.NO_QUORUM, None)
    return ProposalOutcome(event.proposal_id, Outcome.UNKNOWN)


def _failure_result(event: Input) -> ProposalOutcome | ReadRefused:
    """Return the result of a request to a replica that is not running."""
    if isinstance(event, ReadRequest):
        return ReadRefused(event.read_id, RefusalReason.NO_QUORUM, None)
    refused = RefusalReason.STEPPED_DOWN
    return ProposalOutcome(event.proposal_id, Outcome.REFUSED, 0, refused)


_HANDLERS: dict[type, Callable[[Replica, Any], None]] = {
    Send: Replica._send,
    SendSnapshot: Replica._send_snapshot,
    WriteState: Replica._write,
    AppendEntries: Replica._write,
    TruncateFrom: Replica._write,
    InstallSnapshot: Replica._install,
    Apply: Replica._apply,
    ReadReady: Replica._resolve_read,
    ReadRefused: Replica._resolve_read,
    ProposalOutcome: Replica._resolve_proposal,
    BecameLeader: Replica._log_election_won,
    RepairStarted: Replica._log_repair,
    SteppedDown: Replica._handle_step_down,
}
