"""A network of proxy links that inject faults on demand.

In process:

    network = FaultyNetwork(reactor, seed=1)
    link = network.add_link("router-1", "tcp", target)
    link.impair(Direction(to_caller=Impairment(blackhole=True)))
    await network.stop()

As a process of its own, controlled over HTTP:

    python -m damaskwind.standins.faulty_network READY_FILE [SEED]
"""

import random
import sys
from typing import Any

from twisted.internet.defer import maybeDeferred

from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import to_future
from damaskwind.standins.fault_schedule import ScheduledFault
from damaskwind.standins.impairment import LinkImpairment
from damaskwind.standins.tcp_link import TcpLink
from damaskwind.standins.udp_link import UdpLink

__all__ = ["FaultyNetwork", "main"]


class FaultyNetwork:
    """Named TCP and UDP links on loopback.

    Each link draws from a generator seeded by `seed` and its name.
    """

    def __init__(self, reactor: Any, seed: int = 1) -> None:
        self._reactor = reactor
        self._seed = seed
        self.links: dict[str, Any] = {}
        self._timers: list[Any] = []

    def add_link(self, name: str, kind: str, target: Address | None = None) -> Any:
        """Open a link to `target`; callers connect to its `address`."""
        kinds = {"tcp": TcpLink, "udp": UdpLink}
        rng = random.Random(f"{self._seed}/{name}")
        self.links[name] = kinds[kind](self._reactor, target, rng)
        return self.links[name]

    def heal(self) -> None:
        """Remove all impairments."""
        for link in self.links.values():
            link.impair(LinkImpairment())

    def run_schedule(self, schedule: list[ScheduledFault]) -> None:
        """Inject the faults of a schedule; its times count from now."""
        for fault in schedule:
            link = self.links[fault.link]
            begin = self._reactor.callLater(fault.start_s, link.impair, fault.direction)
            end = self._reactor.callLater(fault.end_s, link.impair, LinkImpairment())
            self._timers += [begin, end]

    async def stop(self) -> None:
        """Close every link."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        for link in self.links.values():
            await to_future(maybeDeferred(link.close))


def main(arguments: list[str]) -> int:
    """Run a network until SIGTERM."""
    from damaskwind.standins.serving import serve_until_signal

    def build(reactor: Any) -> Any:
        # Imported only now, since importing klein installs the default reactor if there is none.
        from damaskwind.standins.network_control import NetworkProcess

        return NetworkProcess(reactor, arguments[0], seed)

    seed = int(arguments[1]) if len(arguments) > 1 else 1
    return serve_until_signal(build)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
