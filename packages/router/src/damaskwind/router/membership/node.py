"""Combine the membership core, the pacer and the codec into one gossip node.

The node has no socket and no clock. It takes datagrams and `now_s`, returns datagrams,
and passes events to a handler. The service runs it on a UDP port.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from damaskwind.decisions.membership.core import MembershipCore
from damaskwind.decisions.membership.messages import Custom, Message, News, RouterRecord
from damaskwind.decisions.membership.outputs import AnnouncementOutcome, Event, Output, Send
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.rumours import split_updates
from damaskwind.decisions.pacing.pacer import ControlPacer
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address, LoadReport, TargetAnnouncement
from damaskwind.router.membership.codec import Codec, DatagramFault

__all__ = ["HTTP_OVERHEAD_BYTES", "Datagram", "GossipNode"]

# HTTP headers of a small request and its answer, added to the size of each announcement.
HTTP_OVERHEAD_BYTES = 300
CUSTOM_LIMIT_BYTES = 1000


class Datagram(NamedTuple):
    """Bytes for the router at `address`."""

    payload: bytes
    address: Address


class _Queued(NamedTuple):
    """A datagram in the pacer, with the send that it encodes."""

    datagram: Datagram
    send: Send


def _kind_name(message: Message) -> str:
    """Return the kind under which a message's bytes are counted."""
    if isinstance(message, Custom):
        return message.kind
    if isinstance(message, News) and message.repair:
        return "repair"
    return type(message).__name__.lower()


class GossipNode:
    """The gossip of one router, without socket and clock."""

    def __init__(
        self,
        own_record: RouterRecord,
        cluster: str,
        cluster_key: str,
        seeds: tuple[Address, ...],
        random: Random,
        now_s: float,
        parameters: MembershipParameters | None = None,
        near_domains: Iterable[str] = (),
    ) -> None:
        parameters = parameters or MembershipParameters()
        self.core = MembershipCore(own_record, seeds, random, now_s, parameters, near_domains)
        self.pacer = ControlPacer(parameters.control_bytes_per_s, now_s)
        self.oversized_sends = 0
        self.faults: Counter[DatagramFault] = Counter()
        self.handler: Callable[[Event], None] = lambda event: None
        self._codec = Codec(own_record.router_id, cluster, cluster_key)
        self._kind_handlers: dict[str, Callable[[str, bytes], None]] = {}

    def announce(
        self, announcement: TargetAnnouncement, body_bytes: int, now_s: float
    ) -> AnnouncementOutcome:
        """Handle a target's announcement, whose body had `body_bytes`."""
        self.pacer.received(body_bytes, "announcement", now_s, HTTP_OVERHEAD_BYTES)
        outcome, output = self.core.announce(announcement, now_s)
        self._apply_output(output, now_s)
        return outcome

    def receive(self, payload: bytes, source: Address, now_s: float) -> list[Datagram]:
        """Handle a received datagram; return the datagrams to send now."""
        received = self._codec.decode(payload)
        if isinstance(received, DatagramFault):
            self.faults[received] += 1
            self.pacer.received(len(payload), "faulty", now_s)
            return []
        message = received.message
        if isinstance(message, Custom):
            self.pacer.received(len(payload), message.kind, now_s)
            self._dispatch_custom(received.sender_id, message)
            return []
        self.pacer.received(len(payload), _kind_name(message), now_s)
        output = self.core.receive(
            received.sender_id,
            received.incarnation,
            source,
            message,
            now_s,
            self.pacer.headroom_bytes(now_s),
        )
        self._apply_output(output, now_s)
        return self.release(now_s)

    def tick(self, now_s: float) -> list[Datagram]:
        """Run the periodic work of the core; return the datagrams to send now."""
        self._apply_output(self.core.tick(now_s, self.pacer.headroom_bytes(now_s)), now_s)
        return self.release(now_s)

    def leave(self, now_s: float) -> list[Datagram]:
        """Announce that this router leaves; return the datagrams to send now."""
        self._apply_output(self.core.leave(now_s), now_s)
        return self.release(now_s)

    def observe_load(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Record a load report from an engine's answer."""
        self.core.observe_load(target_id, report, now_s)

    def publish_spills(self, notes: Iterable[SpillNote], now_s: float) -> None:
        """Queue spill notes for gossip."""
        self.core.publish_spills(notes, now_s)

    def register_kind(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Call `handler(router_id, payload)` for each datagram of this kind."""
        self._kind_handlers[kind] = handler

    def send(
        self, kind: str, router_id: str, payload: bytes, urgency: Urgency, now_s: float
    ) -> bool:
        """Queue a datagram of another component; return `False` if the router is unknown."""
        record = self.core.router_table.get(router_id)
        if record is None:
            return False
        if len(payload) > CUSTOM_LIMIT_BYTES:
            raise MessageError(f"a payload of {len(payload)} bytes is too large")
        send = Send(router_id, record.address, Custom(kind, payload), urgency)
        self._enqueue(send, now_s)
        return True

    def release(self, now_s: float) -> list[Datagram]:
        """Return the datagrams that the pacer allows now; report dropped ones to the core."""
        ready = [queued.datagram for queued in self.pacer.pop_ready(now_s)]
        for queued in self.pacer.pop_dropped():
            self.core.handle_dropped(queued.send)
        return ready

    def _apply_output(self, output: Output, now_s: float) -> None:
        """Queue the sends of an output and pass its events to the handler."""
        for send in output.sends:
            self._enqueue(send, now_s)
        for event in output.events:
            self.handler(event)

    def _enqueue(self, send: Send, now_s: float) -> None:
        """Encode a send and queue it."""
        message = send.message
        incarnation = self.core.router_table.own_record.incarnation
        try:
            payload = self._codec.encode(message, incarnation)
        except MessageError:
            self._enqueue_halves(send, now_s)
            return
        queued = _Queued(Datagram(payload, send.address), send)
        self.pacer.offer(queued, len(payload), send.urgency, _kind_name(message), now_s)

    def _enqueue_halves(self, send: Send, now_s: float) -> None:
        """Queue updates that compressed less than expected as two datagrams."""
        halves = split_updates(send.message) if isinstance(send.message, News) else ()
        self.oversized_sends += not halves
        for half in halves:
            self._enqueue(send._replace(message=half), now_s)

    def _dispatch_custom(self, sender_id: str, message: Custom) -> None:
        """Pass a datagram of another component to its handler."""
        handler = self._kind_handlers.get(message.kind)
        if handler is None:
            self.faults[DatagramFault.UNKNOWN_KIND] += 1
            return
        handler(sender_id, message.payload)
