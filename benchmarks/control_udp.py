"""Run membership services on loopback UDP sockets and print their cost.

All services share one process and reactor; the printed processor time is that of the
process divided by the number of services.
"""

import time
from random import Random

import defopt
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from damaskwind.decisions.membership.outputs import TargetGone
from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.router.membership.service import MembershipService, MembershipSettings
from damaskwind.runtime.clock import read_clock

__all__ = ["main"]

LEASE_S = 15.0
ANNOUNCEMENT_BYTES = 400
DOMAINS = ("bangsar-hall", "cyberjaya-a", "shah-alam-b")


class ServiceFleet:
    """Membership services and the targets that announce themselves to them."""

    def __init__(self, routers: int, targets: int, seed: int) -> None:
        self.random = Random(seed)
        self.services: list[MembershipService] = []
        self.sequence = 0
        self.targets = [f"target-{index}" for index in range(targets)]
        self.leave_started_s: list[float] = []
        self.leave_delays_s: list[float] = []
        addresses: list[Address] = []
        for index in range(routers):
            settings = MembershipSettings(
                f"router-{index}",
                "benchmark",
                "key",
                DOMAINS[index % len(DOMAINS)],
                Address("127.0.0.1", 0),
                Address("127.0.0.1", 1),
                tuple(addresses[:2]),
            )
            service = MembershipService(settings, reactor, Random(seed + index))
            service.subscribe(self._record_leave)
            addresses.append(service.start())
            self.services.append(service)

    def _record_leave(self, event: object) -> None:
        if isinstance(event, TargetGone) and self.leave_started_s:
            self.leave_delays_s.append(read_clock() - self.leave_started_s[-1])

    def announce_all(self, state: TargetState = TargetState.SERVING) -> None:
        """Announce every target to a router of its domain."""
        self.sequence += 1
        for index, name in enumerate(self.targets):
            domain = index % len(DOMAINS)
            near = self.services[domain :: len(DOMAINS)]
            announcement = TargetAnnouncement(
                name,
                1,
                self.sequence,
                TargetKind.ENGINE,
                "pool",
                DOMAINS[domain],
                Address("127.0.0.1", 9),
                state,
                LEASE_S,
                LoadReport(self.random.randrange(9999), 10_000, 1, 0, 0.1),
            )
            self.random.choice(near).announce(announcement, ANNOUNCEMENT_BYTES)


def main(
    *, routers: int = 8, targets: int = 9, settle_s: float = 15.0, measure_s: float = 20.0
) -> None:
    """Run and measure the services, let all targets leave, and print the figures.

    :param routers: number of services
    :param targets: number of targets
    :param settle_s: seconds before the measurement
    :param measure_s: seconds of the measurement
    """
    fleet = ServiceFleet(routers, targets, 1)
    announcing = LoopingCall(fleet.announce_all)
    announcing.start(2.0)
    start_figures = {}

    def measure() -> None:
        start_figures["cpu_s"] = time.process_time()
        for service in fleet.services:
            service.node.pacer.reset_counters(service._clock())

    def leave() -> None:
        cpu_s = time.process_time() - start_figures["cpu_s"]
        core_share = cpu_s / measure_s / routers
        counters = [service.counters() for service in fleet.services]
        print(f"{routers} services, {targets} targets on UDP, {measure_s:.0f} s")
        print(
            f"  routers known {sorted({int(c['routers']) for c in counters})},"
            f" targets known {sorted({int(c['targets']) for c in counters})}"
        )
        means = [c["mean_bytes_per_s"] for c in counters]
        highest = max(c["highest_second_bytes"] for c in counters)
        print(
            f"  bytes/s mean {sum(means) / routers:.0f}, worst {max(means):.0f},"
            f" highest second {highest:.0f}; core {100 * core_share:.2f}% a router;"
            f" suspicions {sum(int(c['suspicions']) for c in counters)},"
            f" dropped {sum(int(c['dropped_sends']) for c in counters)}"
        )
        announcing.stop()
        fleet.leave_started_s.append(read_clock())
        fleet.announce_all(TargetState.LEAVING)

    def finish() -> None:
        expected = routers * targets
        print(
            f"  leaves heard {len(fleet.leave_delays_s)} of {expected},"
            f" the last after {max(fleet.leave_delays_s, default=0):.2f} s"
        )
        for service in fleet.services:
            service.stop()
        reactor.callLater(0.5, reactor.stop)

    reactor.callLater(settle_s, measure)
    reactor.callLater(settle_s + measure_s, leave)
    reactor.callLater(settle_s + measure_s + 5.0, finish)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main)
