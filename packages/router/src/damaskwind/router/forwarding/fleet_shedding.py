"""Shed requests as all routers do, and report what is observed here for the decision."""

from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.admission.fleet_shedding import SHEDDING_WAIT_FRACTION
from damaskwind.decisions.admission.shed_aggregator import ShedNews
from damaskwind.decisions.admission.shed_counts import (
    GroupCounts,
    GroupKey,
    ShedReport,
    ShedTally,
)
from damaskwind.decisions.admission.shed_cutoff import FULL, Cutoff, admits_hash
from damaskwind.decisions.admission.shed_follower import FollowedCutoff, ShedFollower
from damaskwind.decisions.admission.shed_return import draw_return_s
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.router.forwarding.admission_gate import GateRefusal
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.recorded_sends import RecordedSends
from damaskwind.router.forwarding.service_throttles import ServiceThrottles
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["FleetShedding"]

# Reported by a router that has received no request yet, so that replicas count it.
NOTHING_OBSERVED = (ShedReport(0),)


class _Logged(NamedTuple):
    """What was last logged of a service: the replica followed, and shares in tenths."""

    host: str = ""
    tenths: tuple[tuple[int, int], ...] = ()


class FleetShedding:
    """One router's counts by priority and client account, and the gate that sheds requests."""

    def __init__(
        self,
        target_states: TargetStates,
        admissions: PoolAdmissions,
        tallies: Tallies,
        random: Random,
    ) -> None:
        self._target_states = target_states
        self._admissions = admissions
        self._tallies = tallies
        self._random = random
        self._follower = ShedFollower()
        self._counts: dict[str, ShedTally] = {}
        self._unstarted: set[int] = set()
        self._logged: dict[str, _Logged] = {}
        target_states.view.on_shed_news.append(self._observe)
        target_states.view.count_for_shedding = self.reports

    def attach(self, throttles: ServiceThrottles, sends: RecordedSends) -> None:
        """Count the outcomes of sends, and replace the throttles while cut-offs are received."""
        throttles.is_covered = self.is_covered
        sends.on_started.append(self._record_started)
        sends.on_ended.append(self._record_ended)

    def check(self, call: Call) -> GateRefusal | None:
        """Refuse a request at once if all routers shed it now."""
        now_s = read_clock()
        followed = self._followed(call.service, now_s)
        self._log_change(call.service, followed)
        key = _group(call)
        share = 1.0 if followed is None else followed.share(key)
        is_shedding = followed is not None and followed.is_shedding
        max_wait_fraction = SHEDDING_WAIT_FRACTION if is_shedding else None
        self._admissions.limit_waits(call.service, max_wait_fraction)
        if share >= 1.0 or self._admits(call, key, share, followed, now_s):
            self._unstarted.add(call.number)
            self._count(call, asked=1, admitted=1)
            return None
        self._count(call, asked=1)
        return self._refusal(call, key, share, followed, now_s)

    def is_covered(self, service: str) -> bool:
        """Return whether a cut-off is in force for a service, be it open or not."""
        return self._followed(service, read_clock()) is not None

    def record_final(self, call: Call, outcome: AttemptOutcome | None) -> None:
        """Count a request that has ended before its answer began; no outcome if its caller left."""
        if call.number not in self._unstarted:
            return
        self._unstarted.discard(call.number)
        if outcome is None:
            if read_clock() - call.started_s > call.route.objective_s:
                self._count(call, late=1)
        elif outcome.end is AttemptEnd.NOT_RUN:
            self._count(call, refused=1)
        else:
            self._count(call, late=1)

    def reports(self) -> tuple[ShedReport, ...]:
        """Return this router's counts of the last second."""
        now_s = read_clock()
        reports = tuple(
            tally.report(
                target_digest(service),
                self._admissions.waiting(service),
                self._held(service),
                now_s,
            )
            for service, tally in self._counts.items()
        )
        return reports or NOTHING_OBSERVED

    def shed_services(self) -> float:
        """Return for how many services requests are shed now."""
        now_s = read_clock()
        followed = (self._followed(service, now_s) for service in self._counts)
        return float(sum(item is not None and item.is_shedding for item in followed))

    def cutoff_age_s(self) -> float:
        """Return the age of the oldest cut-off in force, or 0 if there is none."""
        now_s = read_clock()
        followed = (self._followed(service, now_s) for service in self._counts)
        return max((item.age_s for item in followed if item is not None), default=0.0)

    def _followed(self, service: str, now_s: float) -> FollowedCutoff | None:
        return self._follower.followed(target_digest(service), now_s)

    def _admits(
        self, call: Call, key: GroupKey, share: float, followed: FollowedCutoff, now_s: float
    ) -> bool:
        if self._follower.is_idle(followed.cutoff.service, now_s):
            return True
        request_id = call.facts.request_id or call.digest
        return admits_hash(share, followed.cutoff.salt, key.account, request_id)

    def _refusal(
        self, call: Call, key: GroupKey, share: float, followed: FollowedCutoff, now_s: float
    ) -> GateRefusal:
        """Return the refusal of a shed request, with the inputs of the decision for the log."""
        retry_after_s = draw_return_s(
            followed.cutoff.spare_per_s, call.route.objective_s, call.left_s(), self._random
        )
        self._tally(call.service).add_return(now_s + retry_after_s, now_s)
        is_account = any(item.of == key.account for item in followed.cutoff.accounts)
        cause = "account" if is_account else "priority"
        self._tallies.count("shed", cause=cause, priority=str(key.priority))
        why = (
            f"shed by {cause}: {share:.3f} of priority {key.priority} admitted, "
            f"by {followed.host} {followed.age_s:.2f} s ago"
        )
        return GateRefusal(why, retry_after_s)

    def _record_started(self, call: Call) -> None:
        """Count an answer that has begun, in time or late."""
        if call.number not in self._unstarted:
            return
        self._unstarted.discard(call.number)
        is_late = read_clock() - call.started_s > call.route.objective_s
        self._count(call, in_time=int(not is_late), late=int(is_late))

    def _record_ended(self, call: Call, took_s: float) -> None:
        """Count the work of an attempt: how long it was held at its target."""
        self._count(call, ended=1, work=round(took_s * 1000))

    def _count(self, call: Call, **counts: int) -> None:
        self._tally(call.service).add(GroupCounts(*_group(call), **counts), read_clock())

    def _tally(self, service: str) -> ShedTally:
        return self._counts.setdefault(service, ShedTally())

    def _held(self, service: str) -> int:
        """Return how many requests this router holds at the targets of a service."""
        states = self._target_states
        records = states.view.serving(service)
        return sum(states.loads.own_in_flight(record.target_id) for record in records)

    def _observe(self, host: str, news: ShedNews) -> None:
        """Apply a replica's cut-offs, and log what changes by them."""
        now_s = read_clock()
        if not self._follower.observe(host, news, now_s):
            logger.info("cut-off ignored", told_by=host, why="earlier life of the replica")
        for service in self._counts:
            self._log_change(service, self._followed(service, now_s))

    def _log_change(self, service: str, followed: FollowedCutoff | None) -> None:
        """Log when shedding begins, changes by a tenth or ends, or another replica is followed."""
        is_shedding = followed is not None and followed.is_shedding
        cutoff = followed.cutoff if followed else None
        state = _Logged(followed.host, _tenths(cutoff)) if is_shedding else _Logged()
        if state == self._logged.get(service, _Logged()):
            return
        self._logged[service] = state
        logger.info(
            "cut-off changed",
            service=service,
            is_shedding=is_shedding,
            told_by=followed.host if followed else "",
            age_s=round(followed.age_s, 2) if followed else None,
            levels=[[item.of, item.permille / FULL] for item in cutoff.levels] if cutoff else [],
            accounts=len(cutoff.accounts) if cutoff else 0,
            load=cutoff.load_permille / FULL if cutoff else None,
        )


def _tenths(cutoff: Cutoff) -> tuple[tuple[int, int], ...]:
    return tuple((item.of, round(10 * item.permille / FULL)) for item in cutoff.levels)


def _group(call: Call) -> GroupKey:
    """Return the group of a request; requests without a client account are one group."""
    account = target_digest(call.account.name) if call.account else 0
    return GroupKey(account, call.priority)
