"""Deterministic simulation of a small cluster of cores with injected faults.

Time, delays and losses come from one seeded generator, so the seed and the sequence
of commands reproduce a history exactly.
"""

import heapq
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

import msgspec

from damaskwind.decisions.replication.core import ReplicaCore
from damaskwind.decisions.replication.events import (
    AppendEntries,
    Apply,
    BecameLeader,
    Input,
    InstallSnapshot,
    LeaderEnded,
    Output,
    ProposalOutcome,
    Propose,
    ProposeMembership,
    ReadReady,
    ReadRequest,
    Received,
    Send,
    SendSnapshot,
    SnapshotTaken,
    Tick,
    TruncateFrom,
    WritesDurable,
    WriteState,
)
from damaskwind.decisions.replication.log import initial_log
from damaskwind.decisions.replication.membership import is_majority
from damaskwind.decisions.replication.messages import (
    ChangeKind,
    Envelope,
    LogEntry,
    Member,
    MembershipChange,
    Outcome,
    PersistentState,
    Timing,
)
from damaskwind.decisions.replication.tests.disk import Disk
from damaskwind.decisions.replication.tests.invariants import (
    check_commit,
    check_lease,
    check_promotion,
)
from damaskwind.decisions.replication.tests.machines import SOUND_DELAY_S, SYNC_S, Network, Node
from damaskwind.decisions.replication.tests.oracle import InvariantError, Oracle

__all__ = ["JOIN_INTERVAL_S", "Cluster"]

TICK_INTERVAL_S = 0.1
JOIN_INTERVAL_S = 0.7
LATE_REFUSAL_RATIO = 0.2
LATE_REFUSAL_S = 3.0
RECOVERY_LIMIT_S = 60.0
CLOCK_RATES = (0.96, 1.0, 1.05, 1.0, 0.97)


class Cluster:
    """A simulated cluster: nodes, network, event queue and the checking oracle.

    With `voters` only that many nodes vote. The others ask to join as learners, and
    one of them replaces a voter that was silent for `replace_after_s`. Without
    `max_batch_entries` a batch may be so small that a learner catches up slowly.
    """

    def __init__(
        self,
        seed: int,
        size: int = 3,
        *,
        syncs: bool = True,
        new_identity: bool = True,
        voters: int | None = None,
        replace_after_s: float = 1.5,
        max_batch_entries: int | None = None,
    ):
        self.random = Random(seed)
        self.network = Network(self.random)
        self.oracle = Oracle()
        self.timing = Timing(
            election_timeout_max_s=self.random.choice([1.1, 2.0]),
            max_batch_entries=self.random.choice([1, 2, 256]),
            replace_after_s=self.random.choice([float("inf"), 1.5, 3.0]),
        )
        if voters is not None:
            self.timing = self.timing._replace(
                replace_after_s=replace_after_s, least_voters=voters, most_voters=voters
            )
        if max_batch_entries is not None:
            self.timing = self.timing._replace(max_batch_entries=max_batch_entries)
        self.timing = self.timing._replace(remove_after_s=2 * self.timing.replace_after_s)
        self.syncs = syncs
        self.new_identity = new_identity
        self.clocks_are_trusted = True
        self.now_s = 0.0
        self._ids = count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._reads: dict[str, tuple[int, bool]] = {}
        self.nodes: dict[str, Node] = {}
        members = [Member(name, f"{name}1") for name in "abcdefgh"[:size]]
        state, entries = initial_log(members[:voters])
        for member in members[:voters]:
            self._add_node(member, Disk(state, entries))
        for member in members[voters:] if voters is not None else ():
            self._add_node(member, Disk(PersistentState(), ()))

    # Commands.

    def run(self, duration_s: float) -> None:
        """Advance the simulated time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def propose(self, name: str) -> str:
        """Propose a new command at a node; return its id."""
        proposal_id = f"p{next(self._ids)}"
        if self.is_paused(self.nodes[name]):
            return proposal_id
        self.feed(self.nodes[name], Propose(proposal_id, proposal_id.encode()))
        return proposal_id

    def read(self, name: str, by_lease: bool = False) -> str:
        """Request a read from a node; return its id."""
        read_id = f"r{next(self._ids)}"
        if self.is_paused(self.nodes[name]):
            return read_id
        self._reads[read_id] = (self.oracle.visible_index, by_lease)
        self.feed(self.nodes[name], ReadRequest(read_id, by_lease))
        return read_id

    def change(self, name: str, change: MembershipChange) -> None:
        """Propose a membership change at a node."""
        proposal_id = f"m{next(self._ids)}"
        self.feed(self.nodes[name], ProposeMembership(proposal_id, change))

    def crash(self, name: str) -> None:
        """Crash a node; its unsynced writes are lost."""
        node = self.nodes[name]
        if node.core is not None:
            node.core = None
            node.incarnation += 1
            node.crashed_s = self.clock_s(node)
            node.disk.crash(self.random)

    def start(self, name: str) -> None:
        """Start a node from its disk."""
        node = self.nodes[name]
        if node.core is None and not node.has_ended:
            self._boot(node)

    def lose_disk(self, name: str) -> None:
        """Crash a node and replace its disk by an empty one, with a new identity."""
        self.crash(name)
        node = self.nodes[name]
        node.disk = Disk(PersistentState(), ())
        if self.new_identity:
            node.member = Member(name, f"{name}{next(self._ids)}")

    def add(self) -> bool:
        """Start an additional node with an empty disk, unless there are too many; it asks to join.

        Returns whether it was started.
        """
        name = next((name for name in "abcdefg" if name not in self.nodes), None)
        if name is not None:
            member = Member(name, f"{name}{next(self._ids)}")
            self._add_node(member, Disk(PersistentState(), ()))
        return name is not None

    def end(self, name: str) -> None:
        """End a node for good; it stays a member until the others remove it."""
        self.crash(name)
        self.nodes[name].has_ended = True

    def pause(self, name: str, duration_s: float) -> None:
        """Pause a process; its clock keeps running."""
        self.nodes[name].paused_until_s = self.now_s + duration_s

    def jump_clock(self, name: str, by_s: float) -> None:
        """Let a clock jump; from then on no lease is trusted."""
        self.nodes[name].offset_s += by_s
        self.clocks_are_trusted = False

    def take_snapshot(self, name: str) -> None:
        """Let a node save its applied state and compact its log."""
        node = self.nodes[name]
        if node.core is None or node.core.applied_index <= node.disk.snapshot.index:
            return
        if node.disk.cached:
            return
        snapshot = node.core.snapshot_at(node.core.applied_index)
        node.disk.save_snapshot(snapshot, msgspec.msgpack.encode(node.applied))
        self.feed(node, SnapshotTaken(snapshot.index))

    def heal(self) -> None:
        """Remove all network faults."""
        self.network.cut.clear()
        self.network.loss = self.network.duplication = self.network.late = 0.0
        self.network.delay_s = SOUND_DELAY_S

    def leader(self) -> Node | None:
        """Return the running leader of the highest term."""
        leaders = [node for node in self.running() if node.core.role == "leader"]
        return max(leaders, key=lambda node: node.core.term, default=None)

    def has_leader_with_lease(self) -> bool:
        """Return whether there is a running leader with a valid lease."""
        leader = self.leader()
        return leader is not None and leader.core.holds_lease(self.clock_s(leader))

    def stabilize(self, limit_s: float = 6.0) -> None:
        """Remove all faults, start all nodes and wait for a leader."""
        self.heal()
        for name, node in self.nodes.items():
            self.start(name)
            node.paused_until_s = self.now_s
            node.sync_s = SYNC_S
        end_s = self.now_s + limit_s
        while self.now_s < end_s and not self.has_leader_with_lease():
            self.run(0.1)

    def await_repair(self, name: str, limit_s: float = 12.0) -> bool:
        """Advance time until a node is a voter; return whether that happened in time."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            self.run(0.1)
            leader = self.leader()
            if leader and self.nodes[name].member in leader.core.membership.voters:
                return True
        return False

    def voters(self) -> list[str]:
        """Return the names of the running voters by the newest log that names any."""
        cores = [node.core for node in self.running() if node.core.membership.voters]
        newest = max(cores, key=lambda core: (core.term, core.last_index))
        running = {node.member for node in self.running()}
        return [voter.replica_id for voter in newest.membership.voters if voter in running]

    def has_all_voters(self) -> bool:
        """Return whether there are as many voters as configured, and all of them run."""
        leader = self.leader()
        if leader is None:
            return False
        voters = leader.core.membership.voters
        running = {node.member for node in self.running()}
        return len(voters) == self.timing.most_voters and running.issuperset(voters)

    def await_voters(self, limit_s: float) -> float | None:
        """Advance time until `has_all_voters`; return how long it took, `None` if too long."""
        started_s = self.now_s
        while not self.has_all_voters():
            if self.now_s >= started_s + limit_s:
                return None
            self.run(0.05)
        return self.now_s - started_s

    def running(self) -> list[Node]:
        """Return the running nodes."""
        return [node for node in self.nodes.values() if node.core is not None]

    def check_recovery(self) -> None:
        """Remove all faults and check that a majority confirms a proposal again."""
        self.stabilize()
        end_s = self.now_s + RECOVERY_LIMIT_S
        while self.now_s < end_s:
            self.run(0.5)
            leader = self.leader()
            if leader is None:
                continue
            proposal_id = self.propose(leader.member.replica_id)
            self.run(0.5)
            if proposal_id in self.oracle.confirmed:
                return
        if self._can_serve():
            raise InvariantError("no change was confirmed although a majority ran")

    # Events.

    def feed(self, node: Node, event: Input) -> None:
        """Feed an event to a node's core, if it is running, and execute the outputs."""
        if node.core is None:
            return
        commit_index = node.core.commit_index
        members = node.core.membership
        outputs = node.core.step(event, self.clock_s(node))
        check_commit(self, node, commit_index)
        for output in outputs:
            check_promotion(self, node, members, commit_index, output)
            self._execute(node, output)

    def clock_s(self, node: Node) -> float:
        """Return the time of a node's clock."""
        return self.now_s * node.rate + node.offset_s

    def is_paused(self, node: Node) -> bool:
        """Return whether a node's process is paused."""
        return self.now_s < node.paused_until_s

    def _add_node(self, member: Member, disk: Disk) -> None:
        rate = CLOCK_RATES[len(self.nodes) % len(CLOCK_RATES)]
        node = self.nodes[member.replica_id] = Node(member, disk, rate)
        self._boot(node)

    def _boot(self, node: Node) -> None:
        disk = node.disk
        log = disk.recover()
        random = Random(self.random.random())
        node.core = ReplicaCore(
            node.member,
            disk.state,
            log,
            self.timing,
            random,
            self.clock_s(node),
            node.crashed_s,
        )
        disk.entries = list(log.entries(log.snapshot.index + 1, log.last_index))
        node.applied = msgspec.msgpack.decode(disk.data, type=list[LogEntry]) if disk.data else []
        self._tick(node, node.incarnation)
        self._ask_to_join(node, node.incarnation)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._ids), action))

    def _tick(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation:
            return
        self._at(TICK_INTERVAL_S, partial(self._tick, node, incarnation))
        if not self.is_paused(node):
            self.feed(node, Tick())
        if node.core is not None:
            check_lease(self, node)

    def _ask_to_join(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation or node.core is None:
            return
        self._at(self.join_interval_s(node), partial(self._ask_to_join, node, incarnation))
        members = node.core.membership
        if node.member not in (*members.voters, *members.learners):
            change = MembershipChange(ChangeKind.ADD_LEARNER, node.member)
            for name in list(self.nodes):
                other = self.nodes[name]
                if self.network.arrivals(node.member.replica_id, name) and not self.is_paused(
                    other
                ):
                    self.forward_join(other, node.member)
                    self.change(name, change)

    def join_interval_s(self, node: Node) -> float:
        """Return the time between two requests of a node to be added."""
        return JOIN_INTERVAL_S

    def forward_join(self, node: Node, member: Member) -> None:
        """Let a node forward a request to its leader, which `member` refuses in another life."""
        leader = node.core.leader if node.core is not None else None
        is_former = leader is not None and leader.replica_id == member.replica_id
        if is_former and leader != member:
            self.tell_ended(node, leader, node.core.term)

    def tell_ended(self, node: Node, leader: Member, term: int) -> None:
        """Let the refusal of a forwarded request arrive at a node, which may be late."""
        incarnation = node.incarnation
        news = LeaderEnded(leader, term)
        for delay_s in self.network.arrivals(leader.replica_id, node.member.replica_id):
            is_late = self.random.random() < LATE_REFUSAL_RATIO
            wait_s = self.random.uniform(delay_s, LATE_REFUSAL_S) if is_late else delay_s
            self._at(wait_s, partial(self._end_leader, node, incarnation, news))

    def _end_leader(self, node: Node, incarnation: int, news: LeaderEnded) -> None:
        if node.incarnation == incarnation and not self.is_paused(node):
            self.feed(node, news)

    def _deliver(self, envelope: Envelope) -> None:
        node = self.nodes.get(envelope.recipient.replica_id)
        if node is None:
            return
        if self.is_paused(node):
            wait_s = node.paused_until_s - self.now_s
            self._at(wait_s, partial(self._deliver, envelope))
            return
        self.feed(node, Received(envelope))

    def _sync(self, node: Node, incarnation: int, write_id: int) -> None:
        if node.incarnation != incarnation:
            return
        if self.is_paused(node):
            wait_s = node.paused_until_s - self.now_s
            self._at(wait_s, partial(self._sync, node, incarnation, write_id))
            return
        if self.syncs or self.random.random() < 0.2:
            node.disk.sync(write_id)
        self.feed(node, WritesDurable(write_id))

    # Outputs.

    def _execute(self, node: Node, output: Output) -> None:
        handler = _OUTPUT_HANDLERS.get(type(output))
        if handler is not None:
            handler(self, node, output)

    def _send(self, node: Node, output: Send) -> None:
        envelope = output.envelope
        recipient = envelope.recipient.replica_id
        for delay_s in self.network.arrivals(node.member.replica_id, recipient):
            self._at(delay_s, partial(self._deliver, envelope))

    def _send_snapshot(self, node: Node, output: SendSnapshot) -> None:
        message = output.envelope.message._replace(snapshot=node.disk.snapshot, data=node.disk.data)
        self._send(node, Send(output.envelope._replace(message=message)))

    def _write(self, node: Node, output: AppendEntries | WriteState | TruncateFrom) -> None:
        node.disk.write(output)
        delay_s = self.random.uniform(0.001, node.sync_s)
        self._at(delay_s, partial(self._sync, node, node.incarnation, output.write_id))

    def _install(self, node: Node, output: InstallSnapshot) -> None:
        node.applied = msgspec.msgpack.decode(output.data, type=list[LogEntry])
        for entry in node.applied:
            self.oracle.check_applied(entry)
        self._write(node, output)

    def _apply(self, node: Node, output: Apply) -> None:
        for entry in output.entries:
            expected = node.applied[-1].index + 1 if node.applied else 1
            if entry.index != expected:
                raise InvariantError(f"{node.member} applied {entry} in place of index {expected}")
            self.oracle.check_applied(entry)
            node.applied.append(entry)

    def _outcome(self, node: Node, output: ProposalOutcome) -> None:
        if output.outcome is Outcome.COMMITTED:
            self.oracle.check_committed(output.proposal_id, output.index)
        elif output.outcome is Outcome.REFUSED:
            self.oracle.record_refusal(output.proposal_id)

    def _read_ready(self, node: Node, output: ReadReady) -> None:
        visible_index, by_lease = self._reads[output.read_id]
        if by_lease and not self.clocks_are_trusted:
            return
        self.oracle.check_read(output.read_id, output.index, visible_index)

    def _became_leader(self, node: Node, output: BecameLeader) -> None:
        self.oracle.check_elected(output.term, node.member)
        for other in self.running():
            check_lease(self, other)

    def _can_serve(self) -> bool:
        """Return whether a majority is running for every membership known to a running node."""
        running = [node.member for node in self.running()]
        known = {node.core.membership.voters for node in self.running()} - {()}
        return bool(known) and all(is_majority(voters, running) for voters in known)


_OUTPUT_HANDLERS: dict[type, Callable] = {
    Send: Cluster._send,
    SendSnapshot: Cluster._send_snapshot,
    WriteState: Cluster._write,
    AppendEntries: Cluster._write,
    TruncateFrom: Cluster._write,
    InstallSnapshot: Cluster._install,
    Apply: Cluster._apply,
    ProposalOutcome: Cluster._outcome,
    ReadReady: Cluster._read_ready,
    BecameLeader: Cluster._became_leader,
}
