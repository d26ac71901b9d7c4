"""Keep the targets that announced themselves to this router alone.

This is what a router falls back on when it runs without gossip; it takes
announcements and gives events as the membership service does.
"""

from collections.abc import Callable
from typing import Any

from damaskwind.decisions.membership.messages import GoneReason
from damaskwind.decisions.membership.outputs import (
    AnnouncementOutcome,
    Event,
    TargetChanged,
    TargetGone,
)
from damaskwind.model.targets import TargetAnnouncement, TargetState, TargetView

__all__ = ["LocalAnnouncements", "view_of"]

_RENEWALS_PER_LEASE = 3


def view_of(announcement: TargetAnnouncement) -> TargetView:
    """Return what an announcement tells of its target."""
    load = announcement.load
    return TargetView(
        target_id=announcement.target_id,
        incarnation=announcement.incarnation,
        kind=announcement.kind,
        service=announcement.service,
        failure_domain=announcement.failure_domain,
        address=announcement.address,
        state=announcement.state,
        load_tokens=load.load_tokens,
        capacity_tokens=load.capacity_tokens,
        report_age_s=load.age_s,
        models=announcement.models,
    )


class LocalAnnouncements:
    """The targets known by their own announcements, each for as long as its lease."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._known: dict[str, tuple[int, int]] = {}
        self._leases: dict[str, Any] = {}
        self._handlers: list[Callable[[Event], None]] = []

    def subscribe(self, handler: Callable[[Event], None]) -> None:
        """Call `handler` with every event from now on."""
        self._handlers.append(handler)

    def announce(self, announcement: TargetAnnouncement, body_bytes: int) -> AnnouncementOutcome:
        """Take an announcement unless a newer one is known."""
        target_id = announcement.target_id
        newest = (announcement.incarnation, announcement.sequence)
        if newest <= self._known.get(target_id, (-1, -1)):
            return AnnouncementOutcome(False, self._known[target_id][0])
        self._known[target_id] = newest
        self._end_lease(target_id)
        if announcement.state is TargetState.SERVING:
            lease = self._clock.callLater(announcement.lease_s, self._lapse, target_id)
            self._leases[target_id] = lease
            self._tell(TargetChanged(view_of(announcement)))
        else:
            self._tell(TargetGone(target_id, GoneReason.LEAVING))
        return AnnouncementOutcome(True, announcement.incarnation)

    def next_announcement_s(self, lease_s: float) -> float:
        """Return when a target with this lease should announce itself again."""
        return lease_s / _RENEWALS_PER_LEASE

    def stop(self) -> None:
        """End every lease without telling anybody."""
        for target_id in list(self._leases):
            self._end_lease(target_id)

    def _lapse(self, target_id: str) -> None:
        """Give up a target that did not renew its lease."""
        del self._leases[target_id]
        self._tell(TargetGone(target_id, GoneReason.LAPSED))

    def _end_lease(self, target_id: str) -> None:
        """Forget a lease that was renewed or given back."""
        lease = self._leases.pop(target_id, None)
        if lease is not None:
            lease.cancel()

    def _tell(self, event: Event) -> None:
        """Pass an event to every subscriber."""
        for handler in self._handlers:
            handler(event)
