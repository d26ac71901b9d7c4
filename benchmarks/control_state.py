"""Measure the memory and processor time of a router that knows a large fleet.

One node is filled with the records of all routers and targets and then ticks without
peers; the figures are its memory and the processor time of its ticks and of answering
a probe.
"""

import time
import tracemalloc
from random import Random

import defopt

from damaskwind.decisions.membership.messages import News, Probe, RouterRecord, RouterState
from damaskwind.decisions.membership.tests.samples import announcement
from damaskwind.model.targets import Address
from damaskwind.router.membership.node import GossipNode

__all__ = ["main"]


def record(index: int, domains: int) -> RouterRecord:
    """Return the record of one router."""
    address = Address(f"10.0.{index // 250}.{index % 250}", 7000)
    domain = f"domain-{index % domains:02d}"
    return RouterRecord(f"router-{index:05d}", 1, RouterState.ALIVE, domain, address, address)


def main(*, routers: int = 2100, targets: int = 10_000, domains: int = 40) -> None:
    """Fill a node and measure it.

    :param routers: number of routers that the node knows
    :param targets: number of targets that the node knows
    :param domains: number of failure domains over which they are spread
    """
    tracemalloc.start()
    node = GossipNode(record(0, domains), "benchmark", "key", (), Random(1), 0.0)
    core = node.core
    for start in range(1, routers, 10):
        group = tuple(record(i, domains) for i in range(start, min(start + 10, routers)))
        core.receive("router-00001", 1, Address("10.0.0.1", 7000), News(group, repair=True), 0.0)
    for index in range(targets):
        domain = f"domain-{index % domains:02d}"
        core.announce(announcement(f"target-{index:05d}", domain=domain, lease_s=60.0), 0.0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{len(core.routers())} routers, {len(core.target_table.live)} targets")
    print(f"  memory {size_bytes / 1e6:.1f} MB")
    started_s = time.process_time()
    for step in range(1, 101):
        node.tick(step * 0.1)
    print(f"  ticks {100 * (time.process_time() - started_s) / 10:.2f}% of a core")
    peer = record(domains, domains)
    probe = Probe(-1, 1, peer, b"x" * 240)
    started_s = time.process_time()
    for step in range(200):
        core.receive(peer.router_id, 1, peer.address, probe, 10.0 + step * 0.001)
    print(f"  a probe answered {1e6 * (time.process_time() - started_s) / 200:.0f} us")


if __name__ == "__main__":
    defopt.run(main)
