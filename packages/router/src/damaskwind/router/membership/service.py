"""Own the datagram socket of a router and run the membership core on it."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from damaskwind.decisions.membership.messages import RouterRecord
from damaskwind.decisions.membership.outputs import AnnouncementOutcome, Event
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import Address, LoadReport, TargetAnnouncement, TargetView

__all__ = ["MembershipService", "MembershipSettings"]


class MembershipSettings(NamedTuple):
    """Who this router is and whom it asks first; `address` with port 0 takes a free one."""

    router_id: str
    cluster: str
    cluster_key: str
    failure_domain: str
    address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    control_bytes_per_s: int = 4096


class MembershipService:
    """The routers and targets that this router knows, kept by gossip."""

    def __init__(self, settings: MembershipSettings, reactor: Any, random: Random) -> None: ...

    def start(self) -> Address:
        """Open the socket and return its address."""

    def stop(self) -> None:
        """Tell peers that this router leaves and close the socket."""

    def subscribe(self, handler: Callable[[Event], None]) -> None:
        """Call `handler` with every event from now on."""

    def announce(self, announcement: TargetAnnouncement, body_bytes: int) -> AnnouncementOutcome:
        """Take a target's announcement, which cost `body_bytes` on the wire."""

    def next_announcement_s(self, lease_s: float) -> float:
        """Return when a target with this lease should announce itself again."""

    def observe_load(self, target_id: str, report: LoadReport) -> None:
        """Take a load that came with an engine's answer."""

    def publish_revision(self, revision: int) -> None:
        """Tell peers which configuration revision is in force here."""

    def publish_spills(self, notes: Iterable[SpillNote]) -> None:
        """Pass spill notes to the routers of this failure domain."""

    def register_kind(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Call `handler(router_id, payload)` for each datagram of this kind."""

    def send(self, kind: str, router_id: str, payload: bytes, urgency: Urgency) -> bool:
        """Queue a datagram of another part; `False` when the router is unknown."""

    def routers(self) -> list[RouterRecord]:
        """Return the routers held alive, this one among them."""

    def targets(self) -> list[TargetView]:
        """Return the targets that may take work."""

    def counters(self) -> dict[str, float]:
        """Return the counters for the metrics by name."""
