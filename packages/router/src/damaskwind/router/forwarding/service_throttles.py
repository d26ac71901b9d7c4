"""Throttle requests to services that report no load, by what all routers observe of them."""

from collections.abc import Callable
from random import Random

from loguru import logger

from damaskwind.decisions.admission.service_tally import ServiceReport, ServiceTally
from damaskwind.decisions.admission.service_throttle import ServiceStats, ServiceThrottle
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.router.forwarding.admission_gate import GateRefusal
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock

__all__ = ["ServiceThrottles"]

# An answer counts as late if it took more than this fraction of its objective.
LATE_SHARE = 0.8
# A rejected caller retries after a fraction of the objective between these: the same share of
# requests is admitted then, and the answer may still be in time.
RETRY_AFTER_SHARES = (0.2, 0.5)
# A sum over a smaller fraction of the routers does not represent the fleet and is ignored.
COVERED_SHARE = 0.9
# The admitted share is logged when it has changed by at least this much.
LOGGED_CHANGE = 0.1


class ServiceThrottles:
    """One router's recent counts of each service, and the share of requests that it admits."""

    def __init__(self, target_states: TargetStates, random: Random) -> None:
        self._target_states = target_states
        self._view = view = target_states.view
        self._random = random
        self._tallies: dict[str, ServiceTally] = {}
        self._throttles: dict[str, ServiceThrottle] = {}
        self._logged_shares: dict[str, float] = {}
        # Tells whether the cut-offs of all routers hold for a service; set by `FleetShedding`.
        self.is_covered: Callable[[str], bool] = lambda service: False
        view.on_load_sum.append(self._update)
        view.count_services = self.recent_counts

    def check(self, call: Call) -> GateRefusal | None:
        """Refuse a request to a service that reports no load if it exceeds the admitted share.

        Where cut-offs of the whole fleet hold for the service, these decide instead, since they
        know priorities and client accounts. Where its targets are brittle, their slots bound what
        is sent. The request is counted in any case.
        """
        if call.key is not None:
            return None
        if self._target_states.brittle.is_bounded(call.service):
            self._count(call.service, ServiceStats(asked=1))
            return None
        if self.admits(call.service) or self.is_covered(call.service):
            return None
        return GateRefusal("service overloaded", self.retry_after_s(call))

    def admits(self, service: str) -> bool:
        """Count a request for a service, and tell whether it is admitted."""
        self._count(service, ServiceStats(asked=1))
        return self._random.random() < self.admitted_share(service)

    def admitted_share(self, service: str) -> float:
        """Return the share of a service's requests that is admitted now."""
        throttle = self._throttles.get(service)
        return throttle.admitted_share_at(read_clock()) if throttle else 1.0

    def retry_after_s(self, call: Call) -> float:
        """Return the seconds after which a caller that is rejected here should retry."""
        return round(self._random.uniform(*RETRY_AFTER_SHARES) * call.route.objective_s, 3)

    def record_answer(self, call: Call, took_s: float) -> None:
        """Record that a target answered after `took_s`."""
        is_late = took_s > LATE_SHARE * call.route.objective_s
        stats = ServiceStats(answered=1, late=int(is_late), busy_ms=round(took_s * 1000))
        self._count(call.service, stats)

    def record_rejection(self, call: Call) -> None:
        """Record that a target refused a request because it had no free slot."""
        self._count(call.service, ServiceStats(turned_away=1))

    def recent_counts(self) -> tuple[ServiceReport, ...]:
        """Return this router's counts of the last second."""
        now_s = read_clock()
        stats = {service: tally.recent(now_s) for service, tally in self._tallies.items()}
        return tuple(
            ServiceReport(target_digest(service), item)
            for service, item in stats.items()
            if any(item)
        )

    def _count(self, service: str, stats: ServiceStats) -> None:
        self._tallies.setdefault(service, ServiceTally()).add(stats, read_clock())

    def _update(self, host: str, load_sum: HeldSum) -> None:
        """Update the admitted shares from the counts of all routers."""
        if load_sum.routers < COVERED_SHARE * self._view.routers:
            return
        now_s = read_clock()
        totals = dict(load_sum.services)
        for service in self._tallies:
            throttle = self._throttles.setdefault(service, ServiceThrottle())
            stats = totals.get(target_digest(service), ServiceStats())
            slots = sum(record.slots for record in self._target_states.serving(service))
            throttle.update(stats, slots, now_s)
            self._log(service, throttle.admitted_share, stats, host)

    def _log(self, service: str, share: float, stats: ServiceStats, host: str) -> None:
        if abs(share - self._logged_shares.get(service, 1.0)) < LOGGED_CHANGE:
            return
        self._logged_shares[service] = share
        logger.info(
            "service pace changed",
            service=service,
            part=round(share, 2),
            asked=stats.asked,
            answered=stats.answered,
            late=stats.late,
            turned_away=stats.turned_away,
            busy_ms=stats.busy_ms,
            told_by=host,
        )
