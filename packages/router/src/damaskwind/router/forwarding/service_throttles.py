"""Admit requests to services that tell no load by what all routers see of them."""

from random import Random

from loguru import logger

from damaskwind.decisions.admission.service_pace import ServicePace, ServiceSeen
from damaskwind.decisions.admission.service_tally import ServiceCount, ServiceTally
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock

__all__ = ["ServiceThrottles"]

# An answer is late for a router when it took more than this part of its objective.
LATE_SHARE = 0.8
# Who is turned away comes back after a part of the objective between these: there is room for
# the same part of requests then, and the answer may still be in time.
RETRY_AFTER_SHARES = (0.2, 0.5)
# A sum that covers fewer of the routers says nothing of the whole.
COVERED_SHARE = 0.9
# A part that is admitted is told in a log line when it has changed by so much.
LOGGED_CHANGE = 0.1


class ServiceThrottles:
    """What one router saw of each service, and the part of requests that it admits."""

    def __init__(self, target_states: TargetStates, random: Random) -> None:
        self._target_states = target_states
        self._view = view = target_states.view
        self._random = random
        self._tallies: dict[str, ServiceTally] = {}
        self._throttles: dict[str, ServicePace] = {}
        self._logged_shares: dict[str, float] = {}
        view.on_load_sum.append(self._update)
        view.count_services = self.recent_counts

    def admits(self, service: str) -> bool:
        """Count a request that comes for a service, and tell whether it may go on."""
        self._count(service, ServiceSeen(asked=1))
        return self._random.random() < self.admitted_share(service)

    def admitted_share(self, service: str) -> float:
        """Return the part of a service's requests that is admitted now."""
        throttle = self._throttles.get(service)
        return throttle.part_at(read_clock()) if throttle else 1.0

    def retry_after_s(self, call: Call) -> float:
        """Return when a caller that is turned away here should come back."""
        return round(self._random.uniform(*RETRY_AFTER_SHARES) * call.route.objective_s, 3)

    def answered(self, call: Call, took_s: float) -> None:
        """Note that a target answered after some time."""
        is_late = took_s > LATE_SHARE * call.route.objective_s
        seen = ServiceSeen(answered=1, late=int(is_late), busy_ms=round(took_s * 1000))
        self._count(call.service, seen)

    def turned_away(self, call: Call) -> None:
        """Note that a target had no place."""
        self._count(call.service, ServiceSeen(turned_away=1))

    def recent_counts(self) -> tuple[ServiceCount, ...]:
        """Return what was seen here in the last second."""
        now_s = read_clock()
        seen = {service: tally.recent(now_s) for service, tally in self._tallies.items()}
        return tuple(
            ServiceCount(target_digest(service), item)
            for service, item in seen.items()
            if any(item)
        )

    def _count(self, service: str, seen: ServiceSeen) -> None:
        self._tallies.setdefault(service, ServiceTally()).add(seen, read_clock())

    def _update(self, host: str, held: HeldSum) -> None:
        """Take what all routers saw."""
        if held.routers < COVERED_SHARE * self._view.routers:
            return
        now_s = read_clock()
        totals = dict(held.services)
        for service in self._tallies:
            throttle = self._throttles.setdefault(service, ServicePace())
            seen = totals.get(target_digest(service), ServiceSeen())
            slots = sum(record.slots for record in self._target_states.serving(service))
            throttle.take(seen, slots, now_s)
            self._log(service, throttle.part, seen, host)

    def _log(self, service: str, share: float, seen: ServiceSeen, host: str) -> None:
        if abs(share - self._logged_shares.get(service, 1.0)) < LOGGED_CHANGE:
            return
        self._logged_shares[service] = share
        logger.info(
            "service pace changed",
            service=service,
            part=round(share, 2),
            asked=seen.asked,
            answered=seen.answered,
            late=seen.late,
            turned_away=seen.turned_away,
            busy_ms=seen.busy_ms,
            told_by=host,
        )
