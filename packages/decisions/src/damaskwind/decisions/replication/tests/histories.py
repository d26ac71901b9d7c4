"""Stateful Hypothesis tests that check random fault histories against the oracle."""

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager, nullcontext
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from damaskwind.decisions.replication.log import LogError
from damaskwind.decisions.replication.messages import ChangeKind, MembershipChange
from damaskwind.decisions.replication.tests.cluster import Cluster
from damaskwind.decisions.replication.tests.machines import SYNC_S
from damaskwind.decisions.replication.tests.oracle import InvariantError
from damaskwind.decisions.replication.tests.seeded_bugs import SEEDED_BUGS

__all__ = [
    "CATCH_UP_S",
    "FAILURES",
    "FuzzResult",
    "LogHistory",
    "PlannedLogHistory",
    "WideLogHistory",
    "fuzz_log",
    "run_batch",
    "VOTERS_LIMIT_S",
    "nodes",
    "seeded",
]

FAILURES = (InvariantError, LogError)
STEPS = 30
BATCH = 100

# From the start of a new replica: when the one that it replaces ends, and from when that one no
# longer counts as a loss (the users' `catchUpS`).
REPLACED_AFTER_S = 1.0
CATCH_UP_S = 4.0
VOTERS_LIMIT_S = 12.0
CONFIRM_LIMIT_S = 12.0

nodes = st.integers(0, 6)
durations_ms = st.sampled_from([5, 20, 100, 400, 1000, 2500])


class LogHistory(RuleBasedStateMachine):
    """A history of commands to a cluster, followed by a check of its recovery."""

    run_count = 0
    first_failed: int | None = None
    cluster_arguments: dict[str, bool] = {}

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        size=st.sampled_from([3, 3, 3, 5]),
        has_sound_clocks=st.booleans(),
        patience=st.integers(0, 5),
    )
    def begin(self, seed: int, size: int, has_sound_clocks: bool, patience: int) -> None:
        """Start a cluster and let it elect a leader."""
        self.has_sound_clocks = has_sound_clocks
        self.patience = patience
        self.leaderless_steps = 0
        self.cluster = Cluster(seed, size, **type(self).cluster_arguments)
        self.cluster.stabilize()

    @invariant()
    def mend_when_stuck(self) -> None:
        """Remove the faults of a cluster that has been without a leader for many steps.

        Further steps would exercise little.
        """
        if self.cluster.has_leader_with_lease():
            self.leaderless_steps = 0
            return
        self.leaderless_steps += 1
        if self.leaderless_steps > self.patience:
            self.leaderless_steps = 0
            self.cluster.stabilize()

    def name(self, node: int) -> str:
        """Return the name of a node; 0 selects the leader, if there is one."""
        leader = self.cluster.leader()
        if node == 0 and leader is not None:
            return leader.member.replica_id
        names = sorted(self.cluster.nodes)
        return names[node % len(names)]

    @rule(duration_ms=durations_ms)
    def run_on(self, duration_ms: int) -> None:
        """Advance the simulated time."""
        self.cluster.run(duration_ms / 1000)

    @rule(node=nodes, times=st.integers(1, 4), duration_ms=durations_ms)
    def propose(self, node: int, times: int, duration_ms: int) -> None:
        """Propose commands at a node."""
        for _ in range(times):
            self.cluster.propose(self.name(node))
        self.cluster.run(duration_ms / 1000)

    @rule(duration_ms=durations_ms)
    def propose_everywhere(self, duration_ms: int) -> None:
        """Propose and read at every node, including a stale leader."""
        for name in list(self.cluster.nodes):
            self.cluster.propose(name)
            self.cluster.read(name)
            self.cluster.read(name, by_lease=True)
        self.cluster.run(duration_ms / 1000)

    @rule(node=nodes, by_lease=st.booleans())
    def read(self, node: int, by_lease: bool) -> None:
        """Request a read from a node."""
        self.cluster.read(self.name(node), by_lease)

    @rule(node=nodes, duration_ms=durations_ms, restarts=st.booleans())
    def crash(self, node: int, duration_ms: int, restarts: bool) -> None:
        """Crash a node, and optionally restart it after a while."""
        name = self.name(node)
        self.cluster.crash(name)
        self.cluster.run(duration_ms / 1000)
        if restarts:
            self.cluster.start(name)

    @rule(restarts=st.booleans())
    def crash_all(self, restarts: bool) -> None:
        """Crash every node at once."""
        for name in self.cluster.nodes:
            self.cluster.crash(name)
        self.start_all()

    @rule()
    def start_all(self) -> None:
        """Start every node that is down."""
        for name in self.cluster.nodes:
            self.cluster.start(name)

    @rule(node=nodes, duration_ms=durations_ms)
    def lose_disk(self, node: int, duration_ms: int) -> None:
        """Lose a disk; the replica returns with a new identity."""
        name = self.name(node)
        self.cluster.lose_disk(name)
        self.cluster.run(duration_ms / 1000)
        self.cluster.start(name)

    @rule(node=nodes, other=nodes)
    def lose_two(self, node: int, other: int) -> None:
        """Lose a disk, wait for the repair, and lose another disk right after."""
        name = self.name(node)
        self.cluster.lose_disk(name)
        self.cluster.start(name)
        self.cluster.await_repair(name)
        self.lose_disk(other, 1000)

    @rule(node=nodes, other=nodes)
    def cut_one_way(self, node: int, other: int) -> None:
        """Cut one direction of a link."""
        self.cluster.network.cut.add((self.name(node), self.name(other)))

    @rule(node=st.integers(1, 6), duration_ms=durations_ms)
    def cut_from_leader(self, node: int, duration_ms: int) -> None:
        """Cut the link from the leader to a node; the node still receives from all others."""
        self.cluster.network.cut.add((self.name(0), self.name(node)))
        self.cluster.run(duration_ms / 1000)

    @rule(node=nodes, duration_ms=durations_ms)
    def isolate(self, node: int, duration_ms: int) -> None:
        """Cut all links of a node."""
        name = self.name(node)
        for other in self.cluster.nodes:
            self.cluster.network.cut |= {(name, other), (other, name)}
        self.cluster.run(duration_ms / 1000)

    @rule(node=nodes, is_outgoing=st.booleans(), duration_ms=durations_ms)
    def cut_direction(self, node: int, is_outgoing: bool, duration_ms: int) -> None:
        """Cut all outgoing or all incoming links of a node."""
        name = self.name(node)
        for other in self.cluster.nodes:
            self.cluster.network.cut.add((name, other) if is_outgoing else (other, name))
        self.cluster.run(duration_ms / 1000)

    @rule(node=nodes, sync_s=st.sampled_from([SYNC_S, 0.3, 1.5]))
    def slow_disk(self, node: int, sync_s: float) -> None:
        """Change the sync latency of a disk."""
        self.cluster.nodes[self.name(node)].sync_s = sync_s

    @rule(mask=st.integers(1, 127))
    def split(self, mask: int) -> None:
        """Partition the cluster into two sides."""
        names = sorted(self.cluster.nodes)
        side = {name for at, name in enumerate(names) if mask >> at & 1}
        for name in names:
            for other in names:
                if (name in side) != (other in side):
                    self.cluster.network.cut.add((name, other))

    @rule()
    def heal(self) -> None:
        """Remove all network faults."""
        self.cluster.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        duplication=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def worsen(self, loss: float, duplication: float, late: float) -> None:
        """Drop, duplicate, delay and reorder messages."""
        network = self.cluster.network
        network.loss, network.duplication, network.late = loss, duplication, late

    @rule(shortest_s=st.sampled_from([0.001, 0.4]), spread_s=st.sampled_from([0.02, 0.3, 0.8]))
    def slow_down(self, shortest_s: float, spread_s: float) -> None:
        """Let messages take longer than the retry of a campaign or than a lease."""
        self.cluster.network.delay_s = (shortest_s, shortest_s + spread_s)

    @rule(node=nodes)
    def take_snapshot(self, node: int) -> None:
        """Let a node take a snapshot and compact its log."""
        self.cluster.take_snapshot(self.name(node))

    @precondition(lambda self: not self.has_sound_clocks)
    @rule(node=nodes, by_s=st.sampled_from([-2.0, 0.7, 1.5, 30.0]))
    def jump_clock(self, node: int, by_s: float) -> None:
        """Let a clock jump."""
        self.cluster.jump_clock(self.name(node), by_s)

    @rule(node=nodes, duration_ms=durations_ms)
    def pause(self, node: int, duration_ms: int) -> None:
        """Pause a process."""
        self.cluster.pause(self.name(node), duration_ms / 1000)

    @rule()
    def add_node(self) -> None:
        """Start an additional replica."""
        self.cluster.add()

    @rule(node=nodes, other=nodes)
    def remove(self, node: int, other: int) -> None:
        """Remove a member."""
        member = self.cluster.nodes[self.name(other)].member
        self.cluster.change(self.name(node), MembershipChange(ChangeKind.REMOVE, member))

    def teardown(self) -> None:
        """Remove all faults and check that no confirmed proposal is lost."""
        LogHistory.run_count += 1
        failure = sys.exc_info()[1]
        if isinstance(failure, FAILURES):
            self.record_failure()
        elif hasattr(self, "cluster"):
            try:
                self.cluster.check_recovery()
            except FAILURES:
                self.record_failure()
                raise

    def record_failure(self) -> None:
        """Record the number of the first failed history; later ones only shrink it."""
        if LogHistory.first_failed is None:
            LogHistory.first_failed = LogHistory.run_count


class WideLogHistory(LogHistory):
    """Histories of six or eight replicas with five voters, which tolerate two losses."""

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        size=st.sampled_from([6, 8]),
        has_sound_clocks=st.booleans(),
        patience=st.integers(0, 5),
    )
    def begin(self, seed: int, size: int, has_sound_clocks: bool, patience: int) -> None:
        """Start a cluster, let it elect a leader and add the learners."""
        self.has_sound_clocks = has_sound_clocks
        self.patience = patience
        self.leaderless_steps = 0
        self.cluster = Cluster(seed, size, voters=5, **type(self).cluster_arguments)
        self.cluster.stabilize()
        self.cluster.run(2.0)


class PlannedLogHistory(LogHistory):
    """Histories with the timing of a fleet whose voters are replaced as planned."""

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        size=st.sampled_from([3, 3, 5]),
        has_sound_clocks=st.booleans(),
        patience=st.integers(0, 5),
    )
    def begin(self, seed: int, size: int, has_sound_clocks: bool, patience: int) -> None:
        """Start a cluster and let it elect a leader."""
        self.has_sound_clocks = has_sound_clocks
        self.patience = patience
        self.leaderless_steps = 0
        arguments = type(self).cluster_arguments
        self.cluster = Cluster(seed, size, voters=size, replace_after_s=CATCH_UP_S / 2, **arguments)
        self.cluster.stabilize()

    @precondition(lambda self: self.has_sound_clocks)
    @rule(node=nodes, other=nodes, spare_ms=st.sampled_from([0, 300, 600, 1400, 2000]))
    def replace_then_lose_disks(self, node: int, other: int, spare_ms: int) -> None:
        """Replace a voter as planned; lose as many disks as are tolerated once the new one counts.

        A change has to be confirmed afterwards, though no fault is removed in between.
        """
        cluster = self.cluster
        cluster.stabilize()
        if cluster.await_voters(VOTERS_LIMIT_S) is None or not cluster.add():
            return
        cluster.run(REPLACED_AFTER_S)
        leader = cluster.leader()
        names = sorted(cluster.voters(), key=lambda name: (cluster.nodes[name] is not leader, name))
        cluster.end(names[node % len(names)])
        cluster.run(CATCH_UP_S - REPLACED_AFTER_S + spare_ms / 1000)
        voters = cluster.voters()
        tolerated = (cluster.timing.least_voters - 1) // 2
        lost = sorted({voters[(other + at) % len(voters)] for at in range(tolerated)})
        for name in lost:
            cluster.lose_disk(name)
        cluster.run(1.0)
        for name in lost:
            cluster.start(name)
        self.check_confirms()

    def teardown(self) -> None:
        """Check the recovery; then replace the leader, and lose disks once the new one counts."""
        super().teardown()
        if sys.exc_info()[1] is None and hasattr(self, "cluster") and self.has_sound_clocks:
            try:
                self.replace_then_lose_disks(0, self.cluster.random.randrange(7), 0)
            except FAILURES:
                self.record_failure()
                raise

    def check_confirms(self) -> None:
        """Check that a proposal is confirmed while faults, if any, remain."""
        cluster = self.cluster
        end_s = cluster.now_s + CONFIRM_LIMIT_S
        while cluster.now_s < end_s:
            leader = cluster.leader()
            proposal_id = cluster.propose(leader.member.replica_id) if leader is not None else ""
            cluster.run(0.5)
            if proposal_id in cluster.oracle.confirmed:
                return
        raise InvariantError("nothing is confirmed though no more was lost than is tolerated")


class FuzzResult(NamedTuple):
    """Result of a fuzzing run, with the shrunk failure if there was one.

    `first_failed` is the number of the first history that failed; later histories
    ran only to shrink it.
    """

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


@contextmanager
def seeded(bug: str | None) -> Iterator[None]:
    """Inject a seeded bug for the duration of the context."""
    patches: Callable[[], AbstractContextManager] = nullcontext
    arguments: dict[str, bool] = {}
    if bug is not None:
        patches, arguments = SEEDED_BUGS[bug]
    with ExitStack() as stack:
        stack.enter_context(patches())
        LogHistory.cluster_arguments = arguments
        stack.callback(setattr, LogHistory, "cluster_arguments", {})
        yield


def run_batch(
    seed: int | None,
    histories: int,
    shrinks: bool = True,
    history: type[LogHistory] = LogHistory,
) -> None:
    """Run `histories` histories, which are the same in each run if `seed` is None."""
    phases = [Phase.generate, Phase.shrink] if shrinks else [Phase.generate]
    profile = settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        derandomize=seed is None,
        deadline=None,
        database=None,
        phases=phases,
        verbosity=Verbosity.normal,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )

    class Seeded(history):
        """The histories of this batch."""

        cluster_arguments = LogHistory.cluster_arguments

    factory = with_seed(seed)(Seeded) if seed is not None else Seeded
    run_state_machine_as_test(factory, settings=profile)


def fuzz_log(
    seed: int,
    seconds: float,
    histories: int,
    bug: str | None = None,
    history: type[LogHistory] = LogHistory,
) -> FuzzResult:
    """Run histories until the time or the count is used up, or one of them fails."""
    started_s = time.monotonic()
    LogHistory.run_count = 0
    LogHistory.first_failed = None
    batch = 0
    failure = None
    with seeded(bug):
        while time.monotonic() - started_s < seconds and LogHistory.run_count < histories:
            try:
                run_batch(
                    seed + batch, min(BATCH, histories - LogHistory.run_count), history=history
                )
            except Exception as error:
                notes = "\n".join(getattr(error, "__notes__", ()))
                failure = f"{type(error).__name__}: {error}\n{notes}"
                break
            batch += 1
    duration_s = time.monotonic() - started_s
    return FuzzResult(LogHistory.run_count, duration_s, LogHistory.first_failed, failure)
