"""One UDP link through the faulty network.

All datagrams to a process go through one link, which knows their senders by
the address that they came from: each sender may have its own impairment.
Datagrams that the process sends back to the link's port return to the sender.
"""

import random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from damaskwind.model.targets import Address
from damaskwind.standins.impairment import Direction, Impairment, Shaper

__all__ = ["UdpLink"]

ANY_SENDER = ""


class _Inlet(DatagramProtocol):
    """Take datagrams from the senders."""

    noisy = False

    def __init__(self, link: "UdpLink") -> None:
        self._link = link

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a datagram on to the target."""
        self._link.from_sender(datagram, Address(*addr))


class _Outlet(DatagramProtocol):
    """Stand for one sender towards the target."""

    noisy = False

    def __init__(self, link: "UdpLink", sender: Address) -> None:
        self._link = link
        self._sender = sender

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a datagram back to the sender."""
        self._link.from_target(datagram, self._sender)


class UdpLink:
    """Listen on a port of its own and pass datagrams on to `target`."""

    def __init__(self, reactor: Any, target: Address | None, source: random.Random) -> None:
        self.clock = reactor
        self.target = target
        self._source = source
        self._rules: dict[str, Direction] = {}
        self._shapers: dict[Address, tuple[Shaper, Shaper]] = {}
        self._outlets: dict[Address, Any] = {}
        self._timers: set[Any] = set()
        self.passed = 0
        self.lost = 0
        self._port = reactor.listenUDP(0, _Inlet(self), interface="127.0.0.1")
        self.address = Address("127.0.0.1", self._port.getHost().port)

    def impair(self, direction: Direction, sender: str = ANY_SENDER) -> None:
        """Change the link for one sender (`IP:port`), or for all without a rule."""
        self._rules[sender] = direction
        for address, shapers in self._shapers.items():
            self._apply_rule(address, shapers)

    def _apply_rule(self, sender: Address, shapers: tuple[Shaper, Shaper]) -> None:
        """Set the shapers of a sender by its rule."""
        any_rule = self._rules.get(ANY_SENDER, Direction())
        rule = self._rules.get(str(sender), any_rule)
        shapers[0].impairment, shapers[1].impairment = rule

    def impairments(self) -> tuple[Impairment, Impairment]:
        """Return how both directions behave for senders without a rule."""
        return tuple(self._rules.get(ANY_SENDER, Direction()))

    def _shapers_of(self, sender: Address) -> tuple[Shaper, Shaper]:
        """Return the shapers of a sender."""
        if sender not in self._shapers:
            self._shapers[sender] = (Shaper(self._source), Shaper(self._source))
            self._apply_rule(sender, self._shapers[sender])
        return self._shapers[sender]

    def _outlet_of(self, sender: Address) -> Any:
        """Return the port that stands for a sender."""
        if sender not in self._outlets:
            protocol = _Outlet(self, sender)
            self._outlets[sender] = self.clock.listenUDP(0, protocol, interface="127.0.0.1")
        return self._outlets[sender]

    def from_sender(self, datagram: bytes, sender: Address) -> None:
        """Take a datagram on its way to the target."""
        outlet = self._outlet_of(sender)

        def send(data: bytes) -> None:
            if self.target is not None:
                outlet.write(data, tuple(self.target))

        self._pass_on(datagram, self._shapers_of(sender)[0], send)

    def from_target(self, datagram: bytes, sender: Address) -> None:
        """Take a datagram on its way back."""
        send = self._port.write
        self._pass_on(datagram, self._shapers_of(sender)[1], lambda data: send(data, tuple(sender)))

    def _pass_on(self, datagram: bytes, shaper: Shaper, send: Any) -> None:
        """Lose, change or delay a datagram."""
        if shaper.drops():
            self.lost += 1
            return
        self.passed += 1
        data = shaper.corrupt(datagram)
        now_s = self.clock.seconds()
        wait_s = shaper.due_s(now_s, len(data), in_order=False) - now_s
        if wait_s <= 0:
            send(data)
            return

        def due() -> None:
            self._timers.discard(timer)
            send(data)

        timer = self.clock.callLater(wait_s, due)
        self._timers.add(timer)

    def close(self) -> Any:
        """Close every port."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        for outlet in self._outlets.values():
            outlet.stopListening()
        return self._port.stopListening()
