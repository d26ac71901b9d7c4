"""Histories in which disks are lost one after another, each once the last one counts again.

A replica that is back without its disk must be able to take another one's place `CATCH_UP_S`
after its return. As many disks as are tolerated are lost then, at times with the power of all
other replicas.
"""

import sys

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from damaskwind.decisions.replication.messages import Timing
from damaskwind.decisions.replication.tests.cluster import Cluster
from damaskwind.decisions.replication.tests.histories import (
    CATCH_UP_S,
    FAILURES,
    VOTERS_LIMIT_S,
    PlannedLogHistory,
    nodes,
)

__all__ = ["LostDiskHistory"]

PROPOSE_INTERVAL_S = 0.1
POWER_LOST_S = 0.4
AWAY_MS = (50, 100, 250, 500, 900, 1200, 2000, 3000)


class LostDiskHistory(PlannedLogHistory):
    """Histories of three, five or seven replicas whose disks are lost one after another."""

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        size=st.sampled_from([3, 3, 5, 7]),
        has_sound_clocks=st.booleans(),
        patience=st.integers(0, 5),
    )
    def begin(self, seed: int, size: int, has_sound_clocks: bool, patience: int) -> None:
        """Start a cluster and let it elect a leader."""
        self.has_sound_clocks = has_sound_clocks
        self.patience = patience
        self.leaderless_steps = 0
        self.cluster = Cluster(
            seed,
            size,
            voters=size,
            replace_after_s=CATCH_UP_S / 2,
            max_batch_entries=Timing().max_batch_entries,
            **type(self).cluster_arguments,
        )
        self.cluster.stabilize()

    @precondition(lambda self: self.has_sound_clocks)
    @rule(
        node=nodes,
        other=nodes,
        away_ms=st.sampled_from(AWAY_MS),
        proposes=st.booleans(),
        loses_power=st.booleans(),
    )
    def lose_disks_in_turn(
        self, node: int, other: int, away_ms: int, proposes: bool, loses_power: bool
    ) -> None:
        """Lose a voter's disk; lose as many as are tolerated once it must count again.

        A change has to be confirmed afterwards, though no fault is removed in between.
        """
        cluster = self.cluster
        cluster.stabilize()
        if cluster.await_voters(VOTERS_LIMIT_S) is None:
            return
        leader = cluster.leader()
        names = sorted(cluster.voters(), key=lambda name: (cluster.nodes[name] is not leader, name))
        first = names[node % len(names)]
        cluster.lose_disk(first)
        cluster.run(away_ms / 1000)
        cluster.start(first)
        self.run_with_proposals(CATCH_UP_S, proposes)
        self.lose_tolerated(other, loses_power)
        self.check_confirms()

    def lose_tolerated(self, at: int, loses_power: bool) -> None:
        """Lose as many disks of voters as are tolerated, at times with all other power."""
        cluster = self.cluster
        voters = cluster.voters()
        tolerated = (cluster.timing.least_voters - 1) // 2
        lost = sorted({voters[(at + step) % len(voters)] for step in range(tolerated)})
        kept = [node.member.replica_id for node in cluster.running()]
        kept = [name for name in kept if loses_power and name not in lost]
        for name in lost:
            cluster.lose_disk(name)
        for name in kept:
            cluster.crash(name)
        cluster.run(POWER_LOST_S)
        for name in kept:
            cluster.start(name)
        cluster.run(1.0 - POWER_LOST_S)
        for name in lost:
            cluster.start(name)

    def run_with_proposals(self, duration_s: float, proposes: bool) -> None:
        """Advance time; propose a change again and again meanwhile, if asked to."""
        end_s = self.cluster.now_s + duration_s
        while self.cluster.now_s < end_s:
            leader = self.cluster.leader()
            if proposes and leader is not None:
                self.cluster.propose(leader.member.replica_id)
            self.cluster.run(min(PROPOSE_INTERVAL_S, end_s - self.cluster.now_s))

    def teardown(self) -> None:
        """Check the recovery; then lose the leader's disk, and others once it is back."""
        super().teardown()
        if sys.exc_info()[1] is None and hasattr(self, "cluster") and self.has_sound_clocks:
            draw = self.cluster.random
            away_ms = draw.choice(AWAY_MS)
            proposes, loses_power = draw.random() < 0.5, draw.random() < 0.5
            try:
                self.lose_disks_in_turn(0, draw.randrange(7), away_ms, proposes, loses_power)
            except FAILURES:
                self.record_failure()
                raise
