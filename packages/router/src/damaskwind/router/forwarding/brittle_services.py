"""Keep what a router's targets say about being brittle, and bound what it sends to them."""

from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from damaskwind.decisions.admission.brittle_pool import BrittlePool, BrittleSlots
from damaskwind.decisions.admission.pool_admission import TargetSlots
from damaskwind.decisions.admission.service_throttle import ServiceStats
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock

__all__ = ["BrittleServices"]

# Targets whose requests are listed in one log line.
MAX_LOGGED_TARGETS = 16


class BrittleServices:
    """The services of one router whose targets say that they are brittle."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        # Counts a request from its placement on, before its connection is established; set by
        # `PoolAdmissions`.
        self.held_at_targets: Callable[[str], Mapping[str, int]] = lambda service: {}
        self._pools: dict[str, BrittlePool] = {}
        view.on_gone.append(self._forget)
        view.on_load_sum.append(self._update)

    def observe(self, target: TargetRecord, refusals_per_s: int | None) -> None:
        """Record what the head of a target's answer says."""
        pool = self._pools.get(target.service)
        if pool is None:
            if refusals_per_s is None:
                return
            pool = self._pools[target.service] = BrittlePool()
        now_s = read_clock()
        was_brittle = pool.is_brittle(now_s)
        pool.observe(target.target_id, refusals_per_s, now_s)
        if pool.is_brittle(now_s) != was_brittle:
            logger.info(
                "service brittle" if not was_brittle else "service no longer brittle",
                service=target.service,
                target=target.target_id,
                refusals_per_s=refusals_per_s,
            )

    def is_brittle(self, service: str) -> bool:
        """Return whether targets of a service say that they are brittle."""
        pool = self._pools.get(service)
        return pool is not None and pool.is_brittle(read_clock())

    def count(self) -> int:
        """Return the number of services that are brittle now."""
        return sum(self.is_brittle(service) for service in self._pools)

    def record_refusal(self, target: TargetRecord) -> None:
        """Record that a target refused a request for lack of room."""
        if target.service not in self._pools:
            return
        now_s = read_clock()
        self._pools[target.service].record_refusal(target.target_id, now_s)
        held = dict(sorted(self.held_at_targets(target.service).items())[:MAX_LOGGED_TARGETS])
        logger.info(
            "brittle target refused",
            service=target.service,
            target=target.target_id,
            held=held,
            **self._pool(target.service).describe(now_s),
        )

    def take(self, service: str) -> bool:
        """Return whether another request may be sent to a brittle service now."""
        all_slots = sum(record.slots for record in self._view.serving(service))
        return self._pools[service].take(all_slots, read_clock())

    def limit_slots(self, service: str, free_slots: list[TargetSlots]) -> list[TargetSlots]:
        """Return the free slots of targets, where they are brittle only those of this router."""
        if not self.is_brittle(service):
            return free_slots
        free = self._pool(service).free_slots(
            self._slots(service, (item.target_id for item in free_slots))
        )
        return [
            item._replace(free=float(free[item.target_id]), is_exact=True) for item in free_slots
        ]

    def steer(self, service: str, candidates: list[Candidate]) -> list[Candidate]:
        """Return candidates with this router's own slots first, where they are brittle."""
        if not self.is_brittle(service):
            return candidates
        pool, now_s = self._pool(service), read_clock()
        targets = self._slots(service, (item.target_id for item in candidates))
        held = {item.target_id: item.held for item in targets}
        preference, free = pool.preference(targets), pool.free_slots(targets)
        return [
            item._replace(
                load=held[item.target_id] + preference[item.target_id],
                is_doubtful=item.is_doubtful
                or not free[item.target_id]
                or pool.has_refused(item.target_id, now_s),
            )
            for item in candidates
        ]

    def _pool(self, service: str) -> BrittlePool:
        """Return the pool of a service, with this router's place among all."""
        pool = self._pools[service]
        pool.set_place(self._view.sources.router_index or 0, self._view.routers)
        return pool

    def _slots(self, service: str, target_ids: Iterable[str]) -> list[BrittleSlots]:
        held = self.held_at_targets(service)
        records = (self._view.targets.record_of(target_id) for target_id in target_ids)
        return [
            BrittleSlots(record.target_id, record.slots, held.get(record.target_id, 0))
            for record in records
            if record is not None
        ]

    def _forget(self, target_id: str) -> None:
        for pool in self._pools.values():
            pool.forget(target_id)

    def _update(self, host: str, load_sum: HeldSum) -> None:
        """Update by the counts of all routers."""
        if not self._pools:
            return
        totals, own = dict(load_sum.services), dict(self._view.count_services())
        for service, pool in self._pools.items():
            digest, used_share = target_digest(service), pool.used_share
            total = totals.get(digest, ServiceStats())
            targets = len(self._view.serving(service))
            pool.update(own.get(digest, ServiceStats()), total, targets, read_clock())
            if pool.used_share < used_share:
                logger.info(
                    "brittle service used less",
                    service=service,
                    part=round(pool.used_share, 2),
                    asked=total.asked,
                    turned_away=total.turned_away,
                    told_by=host,
                )
