"""Measure gossip: bytes, latencies, load ages, false suspicions and processor time.

The nodes run in one process on a small seeded event loop that delays and loses
datagrams. Bytes and simulated times depend only on the seed; processor times depend
on the machine and its load.
"""

import heapq
import itertools
import json
import time
from collections.abc import Callable
from random import Random
from statistics import mean, quantiles
from typing import Any, NamedTuple

import defopt

from damaskwind.decisions.membership.messages import RouterRecord, RouterState
from damaskwind.decisions.membership.outputs import RouterGone, TargetChanged, TargetGone
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.model.targets import (
    Address,
    FencingMode,
    LoadReport,
    ModelOffer,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.router.membership.node import Datagram, GossipNode

__all__ = ["Fleet", "main"]

TICK_S = 0.1
LEASE_S = 15.0
KEY = "benchmark-key"


class Conditions(NamedTuple):
    """Delays and loss of datagrams in the network."""

    near_delay_s: float = 0.0005
    far_delay_s: float = 0.002
    loss: float = 0.0


class Fleet:
    """Routers and targets on one simulated clock."""

    def __init__(
        self,
        routers: int,
        targets: int,
        domains: int,
        seed: int,
        conditions: Conditions | None = None,
        parameters: MembershipParameters | None = None,
        near: bool = False,
    ) -> None:
        self.near = near
        self.random = Random(seed)
        self.conditions = conditions or Conditions()
        self.now_s = 0.0
        self.nodes: dict[Address, GossipNode] = {}
        self.cpu_s: dict[Address, float] = {}
        self.events: list[tuple[float, Address, Any]] = []
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.silent_targets: set[str] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.domains = [f"domain-{index:02d}" for index in range(domains)]
        self.loads: dict[str, tuple[int, float]] = {}
        seeds = tuple(self._address(index) for index in range(min(8, routers)))
        for index in range(routers):
            self._add_router(index, seeds, parameters)
        self.target_names = [f"target-{index:04d}" for index in range(targets)]
        self.sequences = dict.fromkeys(self.target_names, 0)
        for index, name in enumerate(self.target_names):
            self.at(self.random.random() * 4.0, lambda name=name, i=index: self._announce(name, i))

    @staticmethod
    def _address(index: int) -> Address:
        return Address(f"10.0.{index // 250}.{index % 250}", 7000)

    def _add_router(self, index: int, seeds: tuple, parameters: Any) -> None:
        address = self._address(index)
        domain = self.domains[index % len(self.domains)]
        own_record = RouterRecord(
            f"router-{index:04d}",
            1764691200000,
            RouterState.ALIVE,
            domain,
            address,
            address._replace(port=7001),
        )
        random = Random(self.random.random())
        near = self.domains if self.near else ()
        node = GossipNode(own_record, "benchmark", KEY, seeds, random, 0.0, parameters, near)
        node.handler = lambda event: self.events.append((self.now_s, address, event))
        self.nodes[address] = node
        self.cpu_s[address] = 0.0
        self.at(self.random.random() * TICK_S, lambda: self._tick(address))

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Run an action at a simulated time."""
        heapq.heappush(self._queue, (when_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Run the clock up to a simulated time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = until_s

    def _tick(self, address: Address) -> None:
        node = self.nodes.get(address)
        if node is None:
            return
        started_s = time.process_time()
        sends = node.tick(self.now_s)
        self.cpu_s[address] += time.process_time() - started_s
        self._send(address, sends)
        self.at(self.now_s + TICK_S, lambda: self._tick(address))

    def _send(self, source: Address, sends: list[Datagram]) -> None:
        for datagram in sends:
            if self.random.random() < self.conditions.loss or self.cut(source, datagram.address):
                continue
            delay_s = self.conditions.near_delay_s * (0.5 + self.random.random())
            self.at(self.now_s + delay_s, lambda d=datagram: self._deliver(source, d))

    def _deliver(self, source: Address, datagram: Datagram) -> None:
        node = self.nodes.get(datagram.address)
        if node is None:
            return
        started_s = time.process_time()
        sends = node.receive(datagram.payload, source, self.now_s)
        self.cpu_s[datagram.address] += time.process_time() - started_s
        self._send(datagram.address, sends)

    def announcement(self, name: str, index: int, state: TargetState) -> TargetAnnouncement:
        """Return the next announcement of a target."""
        self.sequences[name] += 1
        load = self.random.randrange(100_000)
        self.loads[name] = (load, self.now_s)
        return TargetAnnouncement(
            name,
            1764691200000,
            self.sequences[name],
            TargetKind.ENGINE,
            "damaskwind-pool",
            self.domains[index % len(self.domains)],
            Address(f"10.1.{index // 250}.{index % 250}", 8000),
            state,
            LEASE_S,
            LoadReport(load, 200_000, 10, 2, 0.2),
            (ModelOffer("damask", "2", ("ledger", "lookup")),),
            FencingMode.CHECKED,
        )

    def _announce(self, name: str, index: int) -> None:
        if name in self.silent_targets:
            return
        domain = self.domains[index % len(self.domains)]
        near = [
            address
            for address, node in self.nodes.items()
            if node.core.router_table.own_record.failure_domain == domain
        ]
        interval_s = 2.0
        if near:
            address = self.random.choice(near)
            announcement = self.announcement(name, index, TargetState.SERVING)
            body_bytes = len(json.dumps(announcement._asdict(), default=str))
            started_s = time.process_time()
            self.nodes[address].announce(announcement, body_bytes, self.now_s)
            self.cpu_s[address] += time.process_time() - started_s
            interval_s = self.nodes[address].core.next_announcement_s(LEASE_S)
        jitter = 0.9 + 0.2 * self.random.random()
        self.at(self.now_s + interval_s * jitter, lambda: self._announce(name, index))

    def leave_target(self, name: str) -> float:
        """Announce that a target is leaving; return the time."""
        self.silent_targets.add(name)
        index = self.target_names.index(name)
        address = self.random.choice(list(self.nodes))
        announcement = self.announcement(name, index, TargetState.LEAVING)
        self.nodes[address].announce(announcement, 450, self.now_s)
        return self.now_s

    def reset_counters(self) -> None:
        """Reset the byte counters and discard the events."""
        self.events.clear()
        for address, node in self.nodes.items():
            node.pacer.reset_counters(self.now_s)
            self.cpu_s[address] = 0.0
        self._counted_from_s = self.now_s

    def format_bytes(self) -> str:
        """Format the mean, the highest mean and the highest second over all routers."""
        counters = [node.pacer.counters(self.now_s) for node in self.nodes.values()]
        means = [c.mean_bytes_per_s for c in counters]
        highest = max(c.highest_second_bytes for c in counters)
        highest_ten = max(c.highest_ten_seconds_bytes_per_s for c in counters)
        deferred = sum(c.deferred_sends for c in counters)
        dropped = sum(c.dropped_sends for c in counters)
        elapsed_s = self.now_s - self._counted_from_s
        cpu = mean(self.cpu_s[address] for address in self.nodes) / elapsed_s
        return (
            f"bytes/s mean {mean(means):.0f}, worst router {max(means):.0f}, highest second"
            f" {highest}, highest ten seconds {highest_ten:.0f}, deferred {deferred},"
            f" dropped {dropped}, core {100 * cpu:.2f}%"
        )

    def format_kinds(self) -> str:
        """Format the bytes per second by kind, as a mean over the routers."""
        totals: dict[str, float] = {}
        for node in self.nodes.values():
            counters = node.pacer.counters(self.now_s)
            for direction, kinds in (("out", counters.sent_bytes), ("in", counters.received_bytes)):
                for kind, size in kinds.items():
                    totals[f"{direction} {kind}"] = totals.get(f"{direction} {kind}", 0) + size
        scale = len(self.nodes) * (self.now_s - self._counted_from_s)
        return ", ".join(f"{name} {size / scale:.0f}" for name, size in sorted(totals.items()))

    def load_ages(self) -> list[float]:
        """Return the age of each near target's load report at each router."""
        ages = []
        for node in self.nodes.values():
            domain = node.core.router_table.own_record.failure_domain
            views = node.core.targets(self.now_s)
            ages += [view.report_age_s for view in views if view.failure_domain == domain]
        return ages

    def count_missing_views(self) -> int:
        """Return the total number of live targets missing from the routers' views."""
        live = len(self.target_names) - len(self.silent_targets)
        return sum(live - len(node.core.targets(self.now_s)) for node in self.nodes.values())


def summarize(values: list[float]) -> str:
    """Format the median, p99 and maximum of some values."""
    if len(values) < 2:
        return f"{values}"
    percentiles = quantiles(values, n=100, method="inclusive")
    return f"p50 {percentiles[49]:.2f}, p99 {percentiles[98]:.2f}, max {max(values):.2f}"


def measure_steady_state(fleet: Fleet, settle_s: float, measure_s: float) -> None:
    """Measure the steady state."""
    fleet.run(settle_s)
    print(f"  after {settle_s:.0f} s: target views missing {fleet.count_missing_views()}")
    fleet.reset_counters()
    ages: list[float] = []
    for step in range(int(measure_s / 5)):
        fleet.run(settle_s + 5 * (step + 1))
        ages += fleet.load_ages()
    gone = sum(isinstance(event, TargetGone) for _, _, event in fleet.events)
    dead = sum(isinstance(event, RouterGone) for _, _, event in fleet.events)
    suspicions = sum(node.core.suspicions for node in fleet.nodes.values())
    print(f"  steady: {fleet.format_bytes()}")
    print(f"  {fleet.format_kinds()}")
    print(
        f"  load age {summarize(ages)} s; false lapses {gone}, false deaths {dead},"
        f" suspicions since start {suspicions}; views missing {fleet.count_missing_views()}"
    )


def measure_leaves(fleet: Fleet, count: int) -> None:
    """Measure the time until a leave reaches each router and the last one."""
    times: list[float] = []
    last: list[float] = []
    for name in fleet.target_names[:count]:
        fleet.events.clear()
        left_s = fleet.leave_target(name)
        fleet.run(left_s + 4.0)
        delays_s = [
            when_s - left_s
            for when_s, _, event in fleet.events
            if isinstance(event, TargetGone) and event.target_id == name
        ]
        times += delays_s
        last.append(max(delays_s) if len(delays_s) == len(fleet.nodes) else 4.0)
    print(f"  leave to each router {summarize(times)} s; to the last one {summarize(last)} s")
    returned = sum(
        isinstance(event, TargetChanged) and event.target.target_id in fleet.silent_targets
        for _, _, event in fleet.events
    )
    print(f"  targets that came back after leaving: {returned}")


def measure_total_failure(fleet: Fleet) -> None:
    """Silence every target and remove a third of the routers at once."""
    fleet.reset_counters()
    fleet.silent_targets.update(fleet.target_names)
    for address in list(fleet.nodes)[::3]:
        del fleet.nodes[address]
    fleet.run(fleet.now_s + 60.0)
    remaining = sum(len(node.core.targets(fleet.now_s)) for node in fleet.nodes.values())
    live = [len(node.core.routers()) for node in fleet.nodes.values()]
    print(f"  everything fails: {fleet.format_bytes()}")
    print(f"  {fleet.format_kinds()}")
    print(
        f"  targets still held {remaining}; routers held alive {min(live)} to {max(live)}"
        f" of {len(fleet.nodes)}"
    )


def main(
    *,
    routers: int = 50,
    targets: int = 250,
    domains: int = 1,
    loss: float = 0.0,
    seed: int = 1,
    settle_s: float = 40.0,
    measure_s: float = 30.0,
    leaving: int = 10,
    fail: bool = True,
    near: bool = False,
    bytes_per_s: int = 4096,
) -> None:
    """Run one fleet through steady state, leaves and a general failure.

    :param routers: number of routers
    :param targets: number of targets
    :param domains: number of failure domains over which they are spread
    :param loss: share of datagrams that are lost
    :param seed: seed of all random choices
    :param settle_s: simulated seconds before the measurement
    :param measure_s: simulated seconds of the steady state
    :param leaving: number of targets that leave, one after the other
    :param fail: whether to end with a general failure
    :param near: whether all failure domains are near each other
    :param bytes_per_s: control traffic budget of each router
    """
    print(f"{routers} routers, {targets} targets, {domains} domains, loss {loss}, seed {seed}")
    parameters = MembershipParameters(control_bytes_per_s=bytes_per_s)
    fleet = Fleet(routers, targets, domains, seed, Conditions(loss=loss), parameters, near)
    measure_steady_state(fleet, settle_s, measure_s)
    if leaving:
        measure_leaves(fleet, leaving)
    if fail:
        measure_total_failure(fleet)


if __name__ == "__main__":
    defopt.run(main)
