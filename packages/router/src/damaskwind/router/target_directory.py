"""Track the live targets from membership events and update the placers.

Engines and plain services have separate placers, so that neither kind of traffic
waits behind the other.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any

from damaskwind.decisions.membership.outputs import (
    Event,
    LoadHeard,
    SpillHeard,
    TargetChanged,
    TargetGone,
)
from damaskwind.decisions.placement.messages import PoolName, SpillNote
from damaskwind.decisions.placement.placer import Placer
from damaskwind.model.configuration import Policy
from damaskwind.model.targets import LoadReport, TargetKind, TargetView

__all__ = ["TargetDirectory"]

_SERVICE_PLACEMENT = "two_choices"


def _offers(view: TargetView, pool: PoolName) -> bool:
    """Return whether a target has the pool's model loaded, if the pool names one."""
    return not pool.model or any(
        offer.model == pool.model
        and pool.version in ("", offer.version)
        and (not pool.adapter or pool.adapter in offer.adapters)
        for offer in view.models
    )


class TargetDirectory:
    """The live targets by id, with one placer for each kind of target."""

    def __init__(
        self,
        router_id: str,
        failure_domain: str,
        near_domains: tuple[str, ...],
        policy: Policy,
        clock: Any,
        random: Random,
    ) -> None:
        self._clock = clock
        self._views: dict[str, TargetView] = {}
        self._watchers: list[Callable[[], None]] = []
        self.on_members_changed: Callable[[list[TargetView]], None] = lambda views: None
        # A chat has one home among the engines of the near domains, for its cached prefix.
        # Plain services have no cache to share, so no other domain counts as near.
        kinds = {
            TargetKind.ENGINE: (policy.placement, near_domains),
            TargetKind.SERVICE: (_SERVICE_PLACEMENT, ()),
        }
        self.placers = {
            kind: Placer(name, router_id, failure_domain, policy.load_factor, random, near)
            for kind, (name, near) in kinds.items()
        }
        self._handlers: dict[type, Callable[[Any], None]] = {
            TargetChanged: self._handle_changed,
            TargetGone: self._handle_gone,
            LoadHeard: self._handle_load,
            SpillHeard: self._handle_spill,
        }

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call `watcher` whenever a target may have gained capacity."""
        self._watchers.append(watcher)

    def handle_event(self, event: Event) -> None:
        """Apply a membership event."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
            self.capacity_changed()

    def capacity_changed(self) -> None:
        """Notify the watchers that a target may have gained capacity."""
        for watcher in self._watchers:
            watcher()

    def set_policy(self, policy: Policy) -> None:
        """Apply a confirmed policy."""
        self.placers[TargetKind.ENGINE].set_policy(policy.placement, policy.load_factor)

    def set_near_domains(self, near_domains: Iterable[str]) -> None:
        """Set the failure domains in which chats may have their homes."""
        self.placers[TargetKind.ENGINE].set_near_domains(near_domains)

    def set_router_counts(self, near_count: int, own_count: int) -> None:
        """Set how many routers share the engines and how many share the plain services."""
        self.placers[TargetKind.ENGINE].set_router_count(near_count)
        self.placers[TargetKind.SERVICE].set_router_count(own_count)

    def views(self) -> list[TargetView]:
        """Return every live target."""
        return list(self._views.values())

    def find(self, target_id: str) -> TargetView | None:
        """Return a live target."""
        return self._views.get(target_id)

    def serves(self, pool: PoolName, tried: frozenset[str]) -> bool:
        """Return whether a live target outside `tried` offers what a pool names."""
        return any(view.target_id not in tried for view in self.offering(pool))

    def offering(self, pool: PoolName) -> Iterator[TargetView]:
        """Return the live targets that offer what a pool names."""
        return (
            view
            for view in self._views.values()
            if view.service == pool.service and _offers(view, pool)
        )

    def observe_report(self, target_id: str, report: LoadReport) -> None:
        """Apply a load report of a target."""
        view = self._views.get(target_id)
        if view is not None:
            self.placers[view.kind].observe_report(target_id, report, self._clock.seconds())

    def _handle_changed(self, event: TargetChanged) -> None:
        """Add or update a target and apply the load that it reported."""
        view = event.target
        is_new = view.target_id not in self._views
        self._views[view.target_id] = view
        if is_new:
            self._notify_members_changed()
        self.placers[view.kind].update_target(view, self._clock.seconds())
        if view.report_age_s >= 0:
            report = LoadReport(
                int(view.load_tokens), view.capacity_tokens, 0, 0, view.report_age_s
            )
            self.observe_report(view.target_id, report)

    def _handle_gone(self, event: TargetGone) -> None:
        """Remove a target from placement; its requests in progress continue."""
        view = self._views.pop(event.target_id, None)
        if view is not None:
            self.placers[view.kind].remove_target(event.target_id)
            self._notify_members_changed()

    def _notify_members_changed(self) -> None:
        """Report the live targets to the subscriber."""
        self.on_members_changed(self.views())

    def _handle_load(self, event: LoadHeard) -> None:
        """Apply a load report that a peer forwarded."""
        self.observe_report(event.target_id, event.report)

    def _handle_spill(self, event: SpillHeard) -> None:
        """Record where chats were last served away from their homes."""
        now_s = self._clock.seconds()
        for note in event.notes:
            self.placers[TargetKind.ENGINE].observe_spill_note(note, now_s)

    def pop_spill_notes(self) -> tuple[SpillNote, ...]:
        """Return and clear this router's spill notes that are not yet published."""
        return self.placers[TargetKind.ENGINE].pop_spill_notes(self._clock.seconds())
