"""A UDP link of the faulty network: a proxy that impairs datagrams.

All datagrams to a process pass through one link, which identifies senders by
source address, so that each sender may have its own impairment. The link uses one
port per sender towards the process, which returns replies to that sender.
"""

import random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from damaskwind.model.targets import Address
from damaskwind.standins.impairment import Impairment, LinkImpairment, Shaper

__all__ = ["UdpLink"]

ANY_SENDER = ""


class _SenderProtocol(DatagramProtocol):
    """Receive datagrams from the senders."""

    noisy = False

    def __init__(self, link: "UdpLink") -> None:
        self._link = link

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Forward a datagram to the target."""
        self._link.forward_to_target(datagram, Address(*addr))


class _TargetProtocol(DatagramProtocol):
    """Represent one sender towards the target."""

    noisy = False

    def __init__(self, link: "UdpLink", sender: Address) -> None:
        self._link = link
        self._sender = sender

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Forward a reply to the sender."""
        self._link.forward_to_sender(datagram, self._sender)


class UdpLink:
    """Listen on a port of its own and forward datagrams to `target`."""

    def __init__(self, reactor: Any, target: Address | None, rng: random.Random) -> None:
        self.clock = reactor
        self.target = target
        self._rng = rng
        self._impairments: dict[str, LinkImpairment] = {}
        self._shapers: dict[Address, tuple[Shaper, Shaper]] = {}
        self._target_ports: dict[Address, Any] = {}
        self._timers: set[Any] = set()
        self.forwarded_count = 0
        self.lost_count = 0
        self._port = reactor.listenUDP(0, _SenderProtocol(self), interface="127.0.0.1")
        self.address = Address("127.0.0.1", self._port.getHost().port)

    def impair(self, link_impairment: LinkImpairment, sender: str = ANY_SENDER) -> None:
        """Impair one sender (`IP:port`), or all senders without an impairment of their own."""
        self._impairments[sender] = link_impairment
        for address, shapers in self._shapers.items():
            self._update_shapers(address, shapers)

    def _update_shapers(self, sender: Address, shapers: tuple[Shaper, Shaper]) -> None:
        """Set the shapers of a sender to its own impairment or the default one."""
        default = self._impairments.get(ANY_SENDER, LinkImpairment())
        effective = self._impairments.get(str(sender), default)
        shapers[0].impairment, shapers[1].impairment = effective

    def impairments(self) -> tuple[Impairment, Impairment]:
        """Return both directions' impairments of senders that have none of their own."""
        return tuple(self._impairments.get(ANY_SENDER, LinkImpairment()))

    def _shapers_of(self, sender: Address) -> tuple[Shaper, Shaper]:
        """Return the shapers of both directions of a sender."""
        if sender not in self._shapers:
            self._shapers[sender] = (Shaper(self._rng), Shaper(self._rng))
            self._update_shapers(sender, self._shapers[sender])
        return self._shapers[sender]

    def _target_port_of(self, sender: Address) -> Any:
        """Return the port that represents a sender towards the target."""
        if sender not in self._target_ports:
            protocol = _TargetProtocol(self, sender)
            self._target_ports[sender] = self.clock.listenUDP(0, protocol, interface="127.0.0.1")
        return self._target_ports[sender]

    def forward_to_target(self, datagram: bytes, sender: Address) -> None:
        """Forward a datagram to the target, as the sender's impairment allows."""
        target_port = self._target_port_of(sender)

        def send(data: bytes) -> None:
            if self.target is not None:
                target_port.write(data, tuple(self.target))

        self._forward(datagram, self._shapers_of(sender)[0], send)

    def forward_to_sender(self, datagram: bytes, sender: Address) -> None:
        """Forward a reply to the sender, as the sender's impairment allows."""
        send = self._port.write
        self._forward(datagram, self._shapers_of(sender)[1], lambda data: send(data, tuple(sender)))

    def _forward(self, datagram: bytes, shaper: Shaper, send: Any) -> None:
        """Drop, corrupt or delay a datagram."""
        if shaper.should_drop():
            self.lost_count += 1
            return
        self.forwarded_count += 1
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
        for target_port in self._target_ports.values():
            target_port.stopListening()
        return self._port.stopListening()
