"""Output of the membership core: datagrams to send and events to handle."""

from typing import NamedTuple

from damaskwind.decisions.membership.messages import GoneReason, Message, RouterRecord
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import Address, LoadReport, TargetView

__all__ = [
    "AnnouncementOutcome",
    "Event",
    "LoadHeard",
    "Output",
    "RevisionHeard",
    "RouterGone",
    "RouterJoined",
    "Send",
    "SpillHeard",
    "TargetChanged",
    "TargetGone",
    "Urgency",
]


class AnnouncementOutcome(NamedTuple):
    """Result of an announcement, with the known incarnation of its target.

    `too_large` is set if the announcement does not fit into a datagram.
    """

    accepted: bool
    incarnation: int
    too_large: bool = False


class Send(NamedTuple):
    """A message for the router at `address`."""

    router_id: str
    address: Address
    message: Message
    urgency: Urgency


class TargetChanged(NamedTuple):
    """A target joined or changed; `target` is its current view."""

    target: TargetView


class TargetGone(NamedTuple):
    """A target left or its lease expired: it gets no new requests."""

    target_id: str
    reason: GoneReason


class LoadHeard(NamedTuple):
    """A fresher load of a target was received.

    The request counts of the report are not gossiped and are 0.
    """

    target_id: str
    report: LoadReport


class RouterJoined(NamedTuple):
    """A router joined, returned or changed its peer address."""

    router: RouterRecord


class RouterGone(NamedTuple):
    """A router left or is considered dead."""

    router: RouterRecord


class RevisionHeard(NamedTuple):
    """A router reported the configuration revision that it has in force and serves."""

    router_id: str
    peer_address: Address
    revision: int


class SpillHeard(NamedTuple):
    """Spill notes were received from routers of the local or a near failure domain."""

    notes: tuple[SpillNote, ...]


Event = (
    TargetChanged | TargetGone | LoadHeard | RouterJoined | RouterGone | RevisionHeard | SpillHeard
)


class Output(NamedTuple):
    """The sends and events caused by one input, in order."""

    sends: list[Send]
    events: list[Event]
