"""What the membership core returns: datagrams to send and events to handle."""

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
    """What became of an announcement; a stale one names the incarnation known.

    `too_large` is set when the announcement does not fit a datagram.
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
    """A target joined or changed; `target` is how it stands now."""

    target: TargetView


class TargetGone(NamedTuple):
    """A target left or lapsed: no new work for it."""

    target_id: str
    reason: GoneReason


class LoadHeard(NamedTuple):
    """A fresher load of a target; requests in hand are not gossiped and stand at 0."""

    target_id: str
    report: LoadReport


class RouterJoined(NamedTuple):
    """A router is there, or is back."""

    router: RouterRecord


class RouterGone(NamedTuple):
    """A router left or is held dead."""

    router: RouterRecord


class RevisionHeard(NamedTuple):
    """A router has this configuration revision in force and serves it to followers."""

    router_id: str
    peer_address: Address
    revision: int


class SpillHeard(NamedTuple):
    """Spill notes of routers in this failure domain."""

    notes: tuple[SpillNote, ...]


Event = (
    TargetChanged | TargetGone | LoadHeard | RouterJoined | RouterGone | RevisionHeard | SpillHeard
)


class Output(NamedTuple):
    """The sends and events that one input caused, in order."""

    sends: list[Send]
    events: list[Event]
