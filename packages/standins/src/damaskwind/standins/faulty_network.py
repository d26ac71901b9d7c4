"""A network between processes that fails on demand.

In process:

    network = FaultyNetwork(reactor, seed=1)
    link = network.add_link("router-1", "tcp", target)
    link.impair(Direction(to_caller=Impairment(blackhole=True)))
    await network.stop()

As a process of its own, with a control address over HTTP:

    python -m damaskwind.standins.faulty_network READY_FILE [SEED]
"""

import json
import random
import sys
from pathlib import Path
from typing import Any

from damaskwind.model.targets import Address
from damaskwind.standins.fault_schedule import ScheduledFault, seeded_schedule
from damaskwind.standins.impairment import Direction, Impairment

__all__ = ["FaultyNetwork", "NetworkProcess", "main"]


class FaultyNetwork:
    """Links by name, each TCP or UDP, on loopback."""

    def __init__(self, reactor: Any, seed: int = 1) -> None:
        self._reactor = reactor
        self._seed = seed
        self.links: dict[str, Any] = {}
        self._timers: list[Any] = []

    def add_link(self, name: str, kind: str, target: Address | None = None) -> Any:
        """Open a link; its `address` is what callers are given."""
        from damaskwind.standins.tcp_link import TcpLink
        from damaskwind.standins.udp_link import UdpLink

        kinds = {"tcp": TcpLink, "udp": UdpLink}
        source = random.Random(f"{self._seed}/{name}")
        self.links[name] = kinds[kind](self._reactor, target, source)
        return self.links[name]

    def heal(self) -> None:
        """Make every link perfect again."""
        for link in self.links.values():
            link.impair(Direction())

    def run_schedule(self, schedule: list[ScheduledFault]) -> None:
        """Bring about the faults of a schedule from now on."""
        for fault in schedule:
            link = self.links[fault.link]
            begin = self._reactor.callLater(fault.start_s, link.impair, fault.direction)
            end = self._reactor.callLater(fault.end_s, link.impair, Direction())
            self._timers += [begin, end]

    async def stop(self) -> None:
        """Close every link."""
        from twisted.internet.defer import maybeDeferred

        from damaskwind.runtime.bridge import to_future

        for timer in self._timers:
            if timer.active():
                timer.cancel()
        for link in self.links.values():
            await to_future(maybeDeferred(link.close))


class NetworkProcess:
    """A network and its control address."""

    def __init__(self, reactor: Any, ready_file: str, seed: int) -> None:
        from klein import Klein

        from damaskwind.standins.listening import Listener

        self.network = FaultyNetwork(reactor, seed)
        self._seed = seed
        self._ready_file = ready_file
        app = Klein()
        app.route("/links", methods=["POST"])(self._add)
        app.route("/links/<name>/target", methods=["POST"])(self._retarget)
        app.route("/links/<name>/impair", methods=["POST"])(self._impair)
        app.route("/links/<name>/<action>", methods=["POST"])(self._act)
        app.route("/heal", methods=["POST"])(self._heal)
        app.route("/schedule", methods=["POST"])(self._schedule)
        self._listener = Listener(reactor, app, "127.0.0.1", 0)

    async def start(self) -> None:
        """Open the control address and write the ready file."""
        self._listener.start()
        path = Path(self._ready_file)
        partial = path.with_suffix(".partial")
        ready = {"control_address": str(self._listener.address)}
        partial.write_text(json.dumps(ready), encoding="utf-8")
        partial.replace(path)

    async def stop(self) -> None:
        """Close everything."""
        await self.network.stop()
        await self._listener.stop()

    def _add(self, request: Any) -> bytes:
        """Open a link and return its address."""
        from damaskwind.runtime.settings import parse_address

        order = json.loads(request.content.read())
        target = parse_address(order["target"]) if order.get("target") else None
        link = self.network.add_link(order["name"], order["kind"], target)
        return json.dumps({"address": str(link.address)}).encode()

    def _retarget(self, request: Any, name: str) -> bytes:
        """Point a link at another target."""
        from damaskwind.runtime.settings import parse_address

        order = json.loads(request.content.read())
        self.network.links[name].target = parse_address(order["target"])
        return b"{}"

    def _impair(self, request: Any, name: str) -> bytes:
        """Change how a link behaves; for UDP perhaps for one `sender` only."""
        order = json.loads(request.content.read())
        direction = Direction(
            Impairment(**order.get("to_target", {})), Impairment(**order.get("to_caller", {}))
        )
        if order.get("sender"):
            self.network.links[name].impair(direction, order["sender"])
        else:
            self.network.links[name].impair(direction)
        return b"{}"

    def _act(self, request: Any, name: str, action: str) -> bytes:
        """Cut a TCP link, make it half-open, or refuse and accept new connections."""
        link = self.network.links[name]
        actions = {
            "cut": link.cut,
            "half_open": link.half_open,
            "refuse": lambda: setattr(link, "accepting", False),
            "accept": lambda: setattr(link, "accepting", True),
        }
        actions[action]()
        return b"{}"

    def _heal(self, request: Any) -> bytes:
        """Make every link perfect again."""
        self.network.heal()
        return b"{}"

    def _schedule(self, request: Any) -> bytes:
        """Draw and run a schedule; return it."""
        order = json.loads(request.content.read())
        schedule = seeded_schedule(random.Random(order.get("seed", self._seed)), **order["draw"])
        self.network.run_schedule(schedule)
        return json.dumps(schedule).encode()


def main(arguments: list[str]) -> int:
    """Run a network until SIGTERM."""
    from damaskwind.standins.serving import serve_until_signal

    seed = int(arguments[1]) if len(arguments) > 1 else 1
    return serve_until_signal(lambda reactor: NetworkProcess(reactor, arguments[0], seed))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
