"""Know which services are brittle, and bound what one router sends to their targets."""

from random import Random

from loguru import logger

from damaskwind.decisions.admission.pool_admission import TargetSlots
from damaskwind.decisions.admission.slot_owners import NewsOrigin
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.slot_granting import ONSET_S, SlotGranting
from damaskwind.router.forwarding.slot_permits import Permit, PermitUse, SlotPermits
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import BrittleReport, News
from damaskwind.wire.peers import peers_digest

__all__ = ["BrittleServices"]

# A target that has not answered for this time no longer counts as brittle.
BRITTLE_TTL_S = 10.0
# Each replica tells about once a second which services are brittle.
TOLD_TTL_S = 3.0


class _Service:
    """What is known of one service: which targets said when that they are brittle."""

    def __init__(self) -> None:
        self.said_s: dict[str, float] = {}
        self.since_s = float("inf")
        self.told_s = float("-inf")

    def says_so(self, now_s: float) -> bool:
        """Return whether a target said lately that it is brittle."""
        return any(now_s - said_s < BRITTLE_TTL_S for said_s in self.said_s.values())

    def is_brittle(self, now_s: float) -> bool:
        """Return whether the service is brittle, by its targets or by what other routers heard."""
        return now_s - self.told_s < TOLD_TTL_S or self.says_so(now_s)


class BrittleServices:
    """The services whose targets say that they are brittle, as one router knows them.

    A request is sent to such a target only with a permit for one of its slots.
    """

    def __init__(self, view: FleetView, random: Random) -> None:
        self._view = view
        # By the digests under which replicas know services.
        self._services: dict[int, _Service] = {}
        self.granting = SlotGranting(view, self._since)
        self.permits = SlotPermits(self.granting, view.node_id, view.own_peer.host, random)
        view.on_gone.append(self._forget)
        view.on_brittle_news.append(self._handle_news)
        view.on_stop.append(self.permits.stop)
        view.report_brittle = self._report

    def observe(self, target: TargetRecord, refusals_per_s: int | None) -> None:
        """Record what a target's answer says: the refusals that it bears, `None` for any."""
        digest = target_digest(target.service)
        service = self._services.get(digest)
        if service is None:
            if refusals_per_s is None:
                return
            service = self._services[digest] = _Service()
        now_s = read_clock()
        was_brittle = service.is_brittle(now_s)
        if refusals_per_s is None:
            service.said_s.pop(target.target_id, None)
        else:
            service.said_s[target.target_id] = now_s
        is_brittle = service.is_brittle(now_s)
        if is_brittle == was_brittle:
            return
        service.since_s = now_s
        logger.info(
            "service brittle" if is_brittle else "service no longer brittle",
            service=target.service,
            target=target.target_id,
            refusals_per_s=refusals_per_s,
        )

    def is_brittle(self, service: str) -> bool:
        """Return whether targets of a service say that they are brittle."""
        if not self._services:
            return False
        known = self._services.get(target_digest(service))
        return known is not None and known.is_brittle(read_clock())

    def is_bounded(self, service: str) -> bool:
        """Return whether a request to a service needs a permit now.

        When a target says for the first time that it is brittle, it is not so for some seconds, in
        which the routers learn who grants its slots.
        """
        if not self.is_brittle(service):
            return False
        has_granters = bool(self.granting.owners.endpoints)
        return has_granters or read_clock() - self._since(service) >= ONSET_S

    def count(self) -> int:
        """Return the number of services that are brittle now."""
        now_s = read_clock()
        return sum(service.is_brittle(now_s) for service in self._services.values())

    def limit_slots(
        self, service: str, free_slots: list[TargetSlots], arriving: int = 0
    ) -> list[TargetSlots]:
        """Return the free slots of targets, where they are brittle those that were granted.

        More are asked for where requests wait, or are `arriving`.
        """
        if not self.is_bounded(service):
            return free_slots
        targets = [self._view.targets.record_of(item.target_id) for item in free_slots]
        self.permits.fill(service, [item for item in targets if item is not None], arriving)
        return [
            item._replace(free=float(self.permits.unused(item.target_id)), is_exact=True)
            for item in free_slots
        ]

    def settle(self, service: str) -> None:
        """Give back the permits that no request needs."""
        if self.is_brittle(service):
            self.permits.settle(service)

    def expected_gap_s(self, service: str) -> float | None:
        """Return the time between two sends of this router to a service at its even share.

        It is `None` where permits are not needed.
        """
        if not self.is_bounded(service):
            return None
        slots = sum(target.slots for target in self._view.serving(service))
        return self.permits.work_s(service) * self._view.routers / max(slots, 1)

    def permitted(self, service: str) -> frozenset[str]:
        """Return the targets of a service for which this router has an unused permit."""
        targets = self._view.serving(service)
        return frozenset(item.target_id for item in targets if self.permits.unused(item.target_id))

    def use(self, target: TargetRecord) -> Permit | None:
        """Take a permit for a request that is sent to a target now, `None` if there is none."""
        return self.permits.use(target.target_id)

    def give_back(self, permit: Permit, use: PermitUse) -> None:
        """Give back the permit of an attempt that has ended."""
        self.permits.give_back(permit, use)

    def _since(self, service: str) -> float:
        """Return since when a service is known as brittle."""
        known = self._services.get(target_digest(service))
        return read_clock() if known is None else min(known.since_s, read_clock())

    def _report(self) -> BrittleReport:
        """Return the services whose targets said to this router that they are brittle."""
        endpoints = self.granting.owners.endpoints
        if not self._services and not endpoints:
            return BrittleReport()
        now_s = read_clock()
        digests = [digest for digest, item in self._services.items() if item.says_so(now_s)]
        return BrittleReport(tuple(digests), peers_digest(endpoints))

    def _handle_news(self, host: str, news: News) -> None:
        """Take note of the brittle services, and of the routers that grant slots."""
        now_s = read_clock()
        services, granters = news.brittle if news.brittle is not None else ((), None)
        for digest, age_s in services:
            service = self._services.setdefault(digest, _Service())
            service.told_s = now_s
            service.since_s = min(service.since_s, now_s - age_s)
        origin = NewsOrigin(news.leads, news.is_current)
        if self.granting.owners.update(origin, granters, now_s):
            ages_s = {item.endpoint.host: item.age_s for item in granters}
            logger.info("slot granters named", ages_s=ages_s, leads=news.leads, told_by=host)

    def _forget(self, target_id: str) -> None:
        for service in self._services.values():
            service.said_s.pop(target_id, None)
        self.granting.forget(target_id)
        self.permits.forget(target_id)
