"""Nodes and network of a simulated cluster."""

from random import Random

from damaskwind.decisions.replication.core import ReplicaCore
from damaskwind.decisions.replication.messages import LogEntry, Member
from damaskwind.decisions.replication.tests.disk import Disk

__all__ = ["SOUND_DELAY_S", "SYNC_S", "Network", "Node"]

SYNC_S = 0.03
SOUND_DELAY_S = (0.001, 0.02)


class Network:
    """Cut links, and the delays and fault rates of the others.

    `delay_s` is the range of the one-way delay of messages that are not late.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.late = 0.0
        self.delay_s = SOUND_DELAY_S

    def arrivals(self, source: str, destination: str) -> list[float]:
        """Return the delay of each delivered copy of a message, in seconds."""
        random = self.random
        if (source, destination) in self.cut or random.random() < self.loss:
            return []
        copies = 2 if random.random() < self.duplication else 1
        return [self._delay_s() for _ in range(copies)]

    def _delay_s(self) -> float:
        if self.random.random() < self.late:
            return self.random.uniform(0.05, 3.0)
        return self.random.uniform(*self.delay_s)


class Node:
    """A node: its clock, its disk, and its core while it is running.

    One that `has_ended` was replaced and never starts again.
    """

    def __init__(self, member: Member, disk: Disk, rate: float) -> None:
        self.member = member
        self.disk = disk
        self.rate = rate
        self.offset_s = 0.0
        self.incarnation = 0
        self.crashed_s: float | None = None
        self.core: ReplicaCore | None = None
        self.applied: list[LogEntry] = []
        self.paused_until_s = 0.0
        self.sync_s = SYNC_S
        self.has_ended = False
