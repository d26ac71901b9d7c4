"""Gossip-based membership of routers and targets.

The core takes announcements, decoded messages and ticks, and returns the
datagrams to send and the resulting events. It does no I/O: the caller passes
`now_s` and the number of bytes that the pacer would release.
"""

from collections.abc import Iterable
from random import Random

from damaskwind.decisions.membership.announcing import AnnouncementScheduler
from damaskwind.decisions.membership.handlers import HANDLERS
from damaskwind.decisions.membership.live_target import MAX_LEASE_S
from damaskwind.decisions.membership.messages import (
    GoneReason,
    Message,
    Probe,
    RouterRecord,
    RouterState,
)
from damaskwind.decisions.membership.outputs import (
    AnnouncementOutcome,
    Output,
    Send,
    TargetGone,
)
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.rumours import group_updates
from damaskwind.decisions.membership.sizes import RECORD_LIMIT_BYTES, estimate_bytes
from damaskwind.decisions.membership.state import MembershipState
from damaskwind.decisions.membership.targets import MergeOutcome
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetState,
    TargetView,
)

__all__ = ["MembershipCore"]

_UNLIMITED_BYTES = 1 << 30
_MAINTENANCE_INTERVAL_S = 60.0
_LEAVING_STATES = (TargetState.LEAVING, TargetState.LAPSED)


class MembershipCore:
    """The membership protocol of one router, driven by its inputs."""

    def __init__(
        self,
        own_record: RouterRecord,
        seeds: tuple[Address, ...],
        random: Random,
        now_s: float,
        parameters: MembershipParameters | None = None,
        near_domains: Iterable[str] = (),
    ) -> None:
        self.parameters = parameters or MembershipParameters()
        self.seeds = tuple(seed for seed in seeds if seed != own_record.address)
        self.suspicions = 0
        self._state = MembershipState(
            own_record, random, now_s, self.parameters, frozenset(near_domains)
        )
        self.router_table = self._state.routers
        self.target_table = self._state.targets
        self._prober = self._state.prober
        self._gossip = self._state.gossip
        self._announcements = AnnouncementScheduler(
            self.parameters.announcement_share * self.parameters.control_bytes_per_s, now_s
        )
        self._next_maintenance_s = now_s + _MAINTENANCE_INTERVAL_S
        self._has_left = False
        self._started_s = now_s
        self.target_table.lease_floor_s = self._lease_floor_s()

    @property
    def now_s(self) -> float:
        """Return the time of the latest input."""
        return self._state.now_s

    # Local inputs

    def announce(
        self, announcement: TargetAnnouncement, now_s: float
    ) -> tuple[AnnouncementOutcome, Output]:
        """Process a target's announcement."""
        self._state.advance(now_s)
        self._announcements.record_announcement(self.now_s)
        target_id = announcement.target_id
        if announcement.state in _LEAVING_STATES:
            tombstone = self.target_table.announce_leave(announcement, self.now_s)
            if tombstone is not None:
                self._state.publish_leave(tombstone)
            accepted = tombstone is not None
        elif estimate_bytes(announcement) > RECORD_LIMIT_BYTES:
            known = self.target_table.known_incarnation(target_id)
            return AnnouncementOutcome(False, known, too_large=True), self._state.take_output()
        else:
            would_return = self._state.would_return(target_id, announcement.incarnation)
            outcome = self.target_table.announce(announcement, self.now_s)
            accepted = outcome not in (MergeOutcome.STALE, MergeOutcome.TOMBSTONED)
            self._state.publish_target(target_id, outcome, would_return, forward=True)
        known = self.target_table.known_incarnation(target_id)
        return AnnouncementOutcome(accepted, known), self._state.take_output()

    def next_announcement_s(self, lease_s: float) -> float:
        """Return after how many seconds a target should announce itself again.

        See `AnnouncementScheduler`.
        """
        self._announcements.bytes_per_s = self._announcement_bytes_per_s()
        return self._announcements.next_interval_s(
            lease_s, self._local_targets_per_router(), self.now_s
        )

    def _announcement_bytes_per_s(self) -> float:
        """Return the share of the byte budget that is reserved for announcements."""
        parameters = self.parameters
        large = self._local_members() > parameters.small_domain_members
        share = parameters.large_announcement_share if large else parameters.announcement_share
        return share * parameters.control_bytes_per_s

    def _local_members(self) -> int:
        """Return the number of live routers and targets in the local failure domain."""
        return self._local_targets() + self._local_routers()

    def _local_targets(self) -> int:
        """Return the number of live targets in the local failure domain."""
        local_domain = self.router_table.own_record.failure_domain
        live = self.target_table.live.values()
        return sum(target.record.failure_domain == local_domain for target in live)

    def _local_routers(self) -> int:
        """Return the number of live routers in the local failure domain, at least 1."""
        return max(len(self.router_table.ring(self.router_table.own_record.failure_domain)), 1)

    def _local_targets_per_router(self) -> float:
        """Return the number of targets per router in the local failure domain."""
        return self._local_targets() / self._local_routers()

    def _lease_floor_s(self) -> float:
        """Return the shortest lease that gossip can currently keep renewed."""
        self._announcements.bytes_per_s = self._announcement_bytes_per_s()
        large = self._local_members() > self.parameters.small_domain_members
        if large and self.now_s < self._started_s + self.parameters.warm_up_s:
            return MAX_LEASE_S
        by_budget_s = self._announcements.lease_floor_s(self._local_targets_per_router())
        by_gap_s = self.parameters.gaps_per_lease * self.target_table.renewal_gap_s
        return min(max(by_budget_s, by_gap_s), MAX_LEASE_S)

    def observe_load(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Record a load that an engine reported with a response."""
        self._state.advance(now_s)
        self.target_table.observe(target_id, report, self.now_s)

    def publish_revision(self, revision: int) -> None:
        """Report the configuration revision in force here with the next probes."""
        self._gossip.revision = max(revision, self._gossip.revision)

    def publish_spills(self, notes: Iterable[SpillNote], now_s: float) -> None:
        """Gossip spill notes to the routers of this and the near failure domains."""
        self._state.advance(now_s)
        self._gossip.spills.publish(notes, self.now_s)

    def leave(self, now_s: float) -> Output:
        """Announce that this router leaves; the core sends nothing afterwards."""
        self._state.advance(now_s)
        peers = self._gossip.flood_peers()
        updates = group_updates([self.router_table.leave(self.now_s)])
        for router_id in peers:
            self._state.send_to(router_id, updates, Urgency.LEAVE)
        self._has_left = True
        return self._state.take_output()

    # Messages and ticks

    def receive(
        self,
        sender_id: str,
        sender_incarnation: int,
        source: Address,
        message: Message,
        now_s: float,
        headroom_bytes: int = _UNLIMITED_BYTES,
    ) -> Output:
        """Process an authenticated message from another router."""
        self._state.advance(now_s)
        handler = HANDLERS.get(type(message))
        if self._has_left or handler is None or sender_id == self.router_table.own_record.router_id:
            return self._state.take_output()
        self._gossip.headroom_bytes = headroom_bytes
        sender = self._state.sender_record(sender_id, sender_incarnation)
        local_domain = self.router_table.own_record.failure_domain
        self._state.sender_is_local = sender is not None and sender.failure_domain == local_domain
        handler(self._state, sender, source, message, self.now_s)
        return self._state.take_output()

    def tick(self, now_s: float, headroom_bytes: int = _UNLIMITED_BYTES) -> Output:
        """Run periodic work; to be called about ten times a second."""
        self._state.advance(now_s)
        if self._has_left:
            return self._state.take_output()
        self._gossip.headroom_bytes = headroom_bytes
        self._check_probes()
        for tombstone in self.target_table.expire_leases(self.now_s):
            self._state.events.append(TargetGone(tombstone.target_id, GoneReason.LAPSED))
        for target_id in self._state.damper.release(self.now_s):
            self._state.emit_target_changed(target_id)
        if self._prober.start_round(self.now_s):
            self.target_table.lease_floor_s = self._lease_floor_s()
            self._state.sends += self._gossip.probe_round(self.seeds, self.now_s)
        self._state.sends += self._gossip.flood(self.now_s)
        self._state.sends += self._gossip.flood_notes(self.now_s)
        self._run_maintenance()
        return self._state.take_output()

    def handle_dropped(self, send: Send) -> None:
        """Handle a send that the pacer dropped before it left the host."""
        if isinstance(send.message, Probe):
            self._prober.cancel(send.message.nonce)

    def routers(self) -> list[RouterRecord]:
        """Return the routers that are considered alive, including this one."""
        return self.router_table.live()

    def targets(self, now_s: float) -> list[TargetView]:
        """Return the targets that may receive requests."""
        self._state.advance(now_s)
        return [
            self.target_table.view(target_id, self.now_s)
            for target_id in self.target_table.live
            if not self._state.damper.is_suppressed(target_id, self.now_s)
        ]

    def _check_probes(self) -> None:
        """Probe indirectly after a timeout, suspect on failure, declare old suspects dead."""
        parameters = self.parameters
        for nonce, router_id in self._prober.take_late(parameters.probe_timeout_s, self.now_s):
            self._state.sends += self._gossip.request_indirect_probes(nonce, router_id)
        for router_id in self._prober.take_failed(parameters.indirect_timeout_s, self.now_s):
            record = self.router_table.get(router_id)
            if record is not None and record.state == RouterState.ALIVE:
                self.suspicions += 1
                self._state.merge_router(record._replace(state=RouterState.SUSPECT), forward=True)
        for record in self.router_table.suspects_since(self.now_s - parameters.suspicion_s):
            self._state.merge_router(record._replace(state=RouterState.DEAD), forward=True)

    def _run_maintenance(self) -> None:
        """Drop expired tombstones, departed routers and old spill notes."""
        if self.now_s < self._next_maintenance_s:
            return
        self._next_maintenance_s = self.now_s + _MAINTENANCE_INTERVAL_S
        self.target_table.tombstones.expire(self.now_s)
        self.router_table.forget(self.now_s)
        self._gossip.spills.forget(self.now_s)
