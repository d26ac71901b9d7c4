"""Run a router's gossip node on a UDP socket."""

import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from damaskwind.decisions.membership.messages import RouterRecord, RouterState
from damaskwind.decisions.membership.outputs import AnnouncementOutcome, Event
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import Address, LoadReport, TargetAnnouncement, TargetView
from damaskwind.router.membership.node import Datagram, GossipNode
from damaskwind.runtime.clock import read_clock

__all__ = ["MembershipService", "MembershipSettings", "read_clock"]

TICK_S = 0.1
_MAX_PACKET_BYTES = 2048


class MembershipSettings(NamedTuple):
    """The identity of a router and its seeds; port 0 in `address` selects a free port.

    Spill notes and load vectors are also sent to the routers of `near_domains`.
    """

    router_id: str
    cluster: str
    cluster_key: str
    failure_domain: str
    address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    control_bytes_per_s: int = 4096
    near_domains: tuple[str, ...] = ()


class _DatagramReceiver(DatagramProtocol):
    """Pass received datagrams to the service."""

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self._handle_datagram = received

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Handle a datagram received by Twisted."""
        self._handle_datagram(datagram, Address(*addr[:2]))


class MembershipService:
    """The live routers and targets, maintained by gossip.

    `clock` returns monotonic seconds. The incarnation is the wall clock's
    milliseconds at the start, so that it grows with each restart. If the wall clock
    was set back, the router learns its former incarnation from peers and exceeds it.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        reactor: Any,
        random: Random,
        clock: Callable[[], float] = read_clock,
        parameters: MembershipParameters | None = None,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._random = random
        self._clock = clock
        budget = settings.control_bytes_per_s
        parameters = parameters or MembershipParameters()
        self._parameters = parameters._replace(control_bytes_per_s=budget)
        self._handlers: list[Callable[[Event], None]] = []
        self._kind_handlers: dict[str, Callable[[str, bytes], None]] = {}
        self._node: GossipNode | None = None
        self._listener: Any = None
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor

    @property
    def node(self) -> GossipNode:
        """Return the gossip node; the service must have been started."""
        if self._node is None:
            raise RuntimeError("the membership service was not started")
        return self._node

    def start(self) -> Address:
        """Open the socket and return its address."""
        host, port = self._settings.address
        protocol = _DatagramReceiver(self._handle_datagram)
        self._listener = self._reactor.listenUDP(
            port, protocol, interface=host, maxPacketSize=_MAX_PACKET_BYTES
        )
        address = Address(host, self._listener.getHost().port)
        self._node = self._make_node(address)
        for kind, handler in self._kind_handlers.items():
            self._node.register_kind(kind, handler)
        self._ticking.start(TICK_S, now=False)
        return address

    def _make_node(self, address: Address) -> GossipNode:
        """Create the node after the port is known."""
        settings = self._settings
        own_record = RouterRecord(
            settings.router_id,
            time.time_ns() // 1_000_000,
            RouterState.ALIVE,
            settings.failure_domain,
            address,
            settings.peer_address,
        )
        node = GossipNode(
            own_record,
            settings.cluster,
            settings.cluster_key,
            settings.seeds,
            self._random,
            self._clock(),
            self._parameters,
            settings.near_domains,
        )
        node.handler = self._publish
        return node

    def stop(self) -> Any:
        """Announce to peers that this router leaves, and close the socket.

        The returned Deferred fires when the socket is closed.
        """
        if self._listener is None:
            return None
        if self._ticking.running:
            self._ticking.stop()
        self._send_datagrams(self.node.leave(self._clock()))
        listener, self._listener = self._listener, None
        return listener.stopListening()

    def subscribe(self, handler: Callable[[Event], None]) -> None:
        """Call `handler` with every event from now on."""
        self._handlers.append(handler)

    def announce(self, announcement: TargetAnnouncement, body_bytes: int) -> AnnouncementOutcome:
        """Handle a target's announcement, whose body had `body_bytes`."""
        now_s = self._clock()
        outcome = self.node.announce(announcement, body_bytes, now_s)
        self._send_datagrams(self.node.release(now_s))
        return outcome

    def next_announcement_s(self, lease_s: float) -> float:
        """Return the seconds until a target with this lease should announce itself again."""
        return self.node.core.next_announcement_s(lease_s)

    def observe_load(self, target_id: str, report: LoadReport) -> None:
        """Record a load report from an engine's answer."""
        self.node.observe_load(target_id, report, self._clock())

    def publish_revision(self, revision: int) -> None:
        """Publish to peers which configuration revision is in force here."""
        self.node.core.publish_revision(revision)

    def publish_spills(self, notes: Iterable[SpillNote]) -> None:
        """Publish spill notes to the routers of this and the near failure domains."""
        self.node.publish_spills(notes, self._clock())

    def register_kind(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Call `handler(router_id, payload)` for each datagram of this kind."""
        self._kind_handlers[kind] = handler
        if self._node is not None:
            self._node.register_kind(kind, handler)

    def send(self, kind: str, router_id: str, payload: bytes, urgency: Urgency) -> bool:
        """Queue a datagram of another component; return `False` if the router is unknown."""
        now_s = self._clock()
        queued = self.node.send(kind, router_id, payload, urgency, now_s)
        self._send_datagrams(self.node.release(now_s))
        return queued

    def count_control(self, kind: str, sent_bytes: int, received_bytes: int) -> None:
        """Charge control bytes of streams or calls to the budget."""
        now_s = self._clock()
        self.node.pacer.sent_on_stream(sent_bytes, kind, now_s)
        self.node.pacer.received_on_stream(received_bytes, kind, now_s)

    def routers(self) -> list[RouterRecord]:
        """Return the live routers, including this one."""
        return self.node.core.routers()

    def targets(self) -> list[TargetView]:
        """Return the targets that may be sent work."""
        return self.node.core.targets(self._clock())

    def counters(self) -> dict[str, float]:
        """Return the counters of the control traffic by name, for the metrics."""
        node = self.node
        paced = node.pacer.counters(self._clock())
        counters = {f"sent_bytes.{kind}": size for kind, size in paced.sent_bytes.items()}
        counters |= {f"received_bytes.{kind}": size for kind, size in paced.received_bytes.items()}
        counters |= {f"faults.{fault.value}": count for fault, count in node.faults.items()}
        return counters | {
            "deferred_sends": paced.deferred_sends,
            "dropped_sends": paced.dropped_sends,
            "oversized_sends": node.oversized_sends,
            "mean_bytes_per_s": paced.mean_bytes_per_s,
            "highest_second_bytes": paced.highest_second_bytes,
            "highest_ten_seconds_bytes_per_s": paced.highest_ten_seconds_bytes_per_s,
            "suspicions": node.core.suspicions,
            "routers": len(node.core.routers()),
            "targets": len(node.core.target_table.live),
        }

    def _tick(self) -> None:
        """Run the periodic work of the node."""
        self._send_datagrams(self.node.tick(self._clock()))

    def _handle_datagram(self, payload: bytes, source: Address) -> None:
        """Handle a received datagram."""
        self._send_datagrams(self.node.receive(payload, source, self._clock()))

    def _send_datagrams(self, datagrams: list[Datagram]) -> None:
        """Send datagrams; one that can't be sent counts as lost."""
        for datagram in datagrams:
            try:
                self._listener.write(datagram.payload, tuple(datagram.address))
            except OSError as error:
                logger.debug("datagram to {} not sent: {}", datagram.address, error)

    def _publish(self, event: Event) -> None:
        """Pass an event to every subscriber, even if one of them raises an exception."""
        for handler in self._handlers:
            try:
                handler(event)
            except Exception:
                logger.exception("a subscriber failed on {}", type(event).__name__)
