"""Derive from the routers' counts at one replica which requests all routers shed."""

from loguru import logger

from damaskwind.decisions.admission.shed_aggregator import ShedAggregator, ShedNews
from damaskwind.decisions.admission.shed_counts import ShedReport
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.membership.target_table import TargetTable

__all__ = ["ShedDecisions"]

# The same answer is given for this time, since each of 138 routers asks once a second.
CACHED_S = 0.1
# Sources of nonsense that are remembered, so that each is logged once.
MAX_LOGGED = 256


class ShedDecisions:
    """The counts and cut-offs of one replica, which started at `since_s` of its wall clock."""

    def __init__(self, table: TargetTable, since_s: int) -> None:
        self._table = table
        self._sums = ShedAggregator(since_s)
        self._news: ShedNews | None = None
        self._news_s = float("-inf")
        self._logged: set[tuple[str, int]] = set()
        self._shedding: set[int] = set()

    def report(self, router_id: str, reports: tuple[ShedReport, ...], now_s: float) -> None:
        """Replace the counts of a router; counts that no router can observe are ignored."""
        for service in self._sums.report(router_id, reports, now_s):
            self._log_ignored(router_id, service, "figures out of bounds")

    def news(self, routers: int, now_s: float) -> ShedNews | None:
        """Return the cut-offs for the routers, of which `routers` subscribe to this replica."""
        if now_s - self._news_s < CACHED_S:
            return self._news
        slots: dict[int, int] = {}
        for record in self._table.serving():
            service = target_digest(record.service)
            slots[service] = slots.get(service, 0) + record.slots
        self._news_s = now_s
        self._news = self._sums.decide(slots, routers, now_s)
        for service in self._sums.unknown_services(slots):
            self._log_ignored("", service, "unknown service")
        self._log_changes()
        return self._news

    def shed_services(self) -> float:
        """Return for how many services requests are shed."""
        return float(len(self._shedding))

    def _log_ignored(self, router_id: str, service: int, why: str) -> None:
        if (router_id, service) in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add((router_id, service))
        logger.warning("counts ignored", router=router_id, service=service, why=why)

    def _log_changes(self) -> None:
        """Log each service for which shedding has begun or ended."""
        cutoffs = self._news.cutoffs if self._news else ()
        shedding = {item.service for item in cutoffs if not item.is_open}
        for service in shedding ^ self._shedding:
            shedder = self._sums.shedders.get(service)
            logger.info(
                "shedding changed",
                service=service,
                is_shedding=service in shedding,
                routers=self._news.routers if self._news else 0,
                late_share=round(shedder.short_fraction, 3) if shedder else None,
                asked_per_s=round(shedder.asked_per_s, 1) if shedder else None,
                drain_per_s=round(shedder.drain_per_s, 1) if shedder else None,
            )
        self._shedding = shedding
