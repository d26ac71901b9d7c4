"""The state of the targets as one router observes it.

Observations go in (sends, answers, outcomes, reported loads, failures), candidates for
placement come out. Nothing here sends, waits or chooses a target.
"""

from collections.abc import Collection
from math import inf
from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.admission.pool_admission import TargetSlots
from damaskwind.decisions.health.circuit import HealthPolicy
from damaskwind.decisions.health.ejection import PoolHealth
from damaskwind.decisions.health.slow_targets import SlowTargetDetector
from damaskwind.decisions.load.held_requests import LoadEstimator, TargetLoad
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.decisions.retries.hedging import OVERDUE_AVOID_S
from damaskwind.decisions.target_signals.answer_signals import AnswerSignals
from damaskwind.decisions.target_signals.signal_table import SignalTable, TargetSignal
from damaskwind.router.forwarding.brittle_services import BrittleServices
from damaskwind.router.forwarding.cold_targets import ColdTargets
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.request_suspicions import RequestSuspicions
from damaskwind.router.forwarding.service_reach import ServiceReach
from damaskwind.router.forwarding.target_activity import TargetActivity
from damaskwind.router.forwarding.target_speeds import TargetSpeeds
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s

__all__ = ["SendResult", "TargetStates", "free_slots_of"]

# A target that refused a request is avoided for this time, unless there is no other: about
# the time in which a queue of short requests shrinks.
REFUSED_AVOID_S = 0.1
EJECTION_S = 1.0

# Upper bound of the delay of a target's first report. The sequence number of a report counts
# the heartbeats of an incarnation and so gives its age; a connection that is older by more than
# this bound leads to the former incarnation.
LATE_REPORT_S = 1.0


def free_slots_of(candidate: Candidate) -> TargetSlots:
    """Return the number of free slots of a target by its reported load.

    A target that reports no load counts as empty: an estimate from this router's own sends
    would queue and reject requests while slots are free.
    """
    load = candidate.load if candidate.has_known_load else 0.0
    room = candidate.room
    free_tokens = inf if room is None else room.free_tokens
    return TargetSlots(candidate.target_id, candidate.slots - load, free_tokens)


def _incarnation(target: TargetRecord) -> tuple[str, tuple[int, int]]:
    """Return a key that identifies one incarnation of a target."""
    return (target.target_id, target.incarnation)


class SendResult(NamedTuple):
    """What the outcome of one attempt implies for the state of its target.

    `was_reached` means that a connection to the target was established, `was_refused` that the
    target answered that it did not run the request, `is_displaced` that another target
    answered at its address, `is_relay_failure` that the request went through another router and
    it is not known which of the two failed.
    """

    is_good: bool
    was_reached: bool = True
    was_refused: bool = False
    is_displaced: bool = False
    is_relay_failure: bool = False


class TargetStates:
    """The state of all targets as one router observes it; targets that are gone are dropped."""

    def __init__(
        self,
        view: FleetView,
        connections: TargetConnections,
        heartbeat_s: float,
        random: Random,
    ) -> None:
        self.view = view
        self.connections = connections
        self.reach = ServiceReach(view, connections, random)
        self.suspicions = RequestSuspicions(view.suspicions)
        self.loads = LoadEstimator()
        self.brittle = BrittleServices(view, random)
        self.target_speeds = TargetSpeeds()
        self.activity = TargetActivity()
        self.signals = SignalTable()
        # Whether any target has reported how long work takes there.
        self.reports_work_time = False
        self._heartbeat_s = heartbeat_s
        self._random = random
        self._health: dict[str, PoolHealth] = {}
        self._slow_detectors: dict[str, SlowTargetDetector] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._displaced_s: dict[str, float] = {}
        view.on_gone.append(self.forget)
        view.on_load_sum.append(self._observe_load_sum)
        view.count_held = self.loads.report_to
        view.on_restarted.append(self.reset)
        self.cold = ColdTargets(view, random)

    def _observe_load_sum(self, host: str, load_sum: HeldSum) -> None:
        """Apply a replica's sums of the requests that all routers have at each target."""
        self.loads.observe_sum(host, load_sum, read_clock())

    def reset(self, record: TargetRecord) -> None:
        """Drop the observations of a target's former incarnation and abort its connections.

        A request sent to that incarnation may have run, but no more of its answer will arrive.
        """
        target_id = record.target_id
        self.forget(target_id)
        for health in self._health.values():
            health.forget(target_id)
        age_s = record.sequence * self._heartbeat_s + LATE_REPORT_S
        self.connections.abort_older(target_id, read_clock() - age_s)

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that is gone."""
        self.loads.forget(target_id)
        self.target_speeds.forget(target_id)
        self._avoided_until_s.pop(target_id, None)
        self._displaced_s.pop(target_id, None)
        self.activity.forget(target_id)
        self.connections.forget(target_id)
        self.cold.forget(target_id)
        for detector in self._slow_detectors.values():
            detector.forget(target_id)

    def record_sent(self, target: TargetRecord, now_s: float) -> None:
        """Record that a request is being sent to a target."""
        self._pool_health(target.service, now_s).record_sent(target.target_id, now_s)
        self.cold.record_sent(target, now_s)

    def record_speed(self, target: TargetRecord, load: TargetLoad | None) -> None:
        """Record the speed that a target reports, unless it is of an earlier incarnation."""
        known = self.view.targets.record_of(target.target_id)
        if load is not None and known is not None and known.incarnation == target.incarnation:
            self.target_speeds.observe(target, load, read_clock())

    def record_probe(self, target: TargetRecord, load: TargetLoad) -> bool:
        """Record the load that a target reported to a probe; tell whether it still serves."""
        if not self.still_takes_work(target):
            return False
        self.loads.observe_report(target.target_id, load, read_clock())
        self.record_speed(target, load)
        return True

    def work_time(self, target_id: str, now_s: float) -> float:
        """Return how long work takes at a target, relative to the usual time."""
        record = self.view.targets.record_of(target_id)
        return 1.0 if record is None else self.target_speeds.work_time(record, now_s)

    def record_answer_started(
        self, service: str, target_id: str, objective_share: float, now_s: float
    ) -> None:
        """Record that an answer began after this fraction of its latency objective.

        The time by which the target is known to be slower than usual is no reason to avoid it
        for longer than that.
        """
        share = objective_share / max(self.work_time(target_id, now_s), 1.0)
        self._slow_detector(service).observe(target_id, share, now_s)

    def record_overdue(
        self, target: TargetRecord, objective_share: float, now_s: float, is_engine: bool
    ) -> None:
        """Record that a target has not answered a request that was then canceled there.

        A target that reports no load is avoided for some time: the request no longer counts
        as held there, which would make the target look idle.
        """
        if not is_engine:
            self._avoided_until_s[target.target_id] = now_s + OVERDUE_AVOID_S
        self.record_answer_started(target.service, target.target_id, objective_share, now_s)

    def record_signals(self, target: TargetRecord, signals: AnswerSignals) -> None:
        """Record what a target asks for in an answer: a pause, or no requests as it is leaving."""
        signal = self.signals.observe(_incarnation(target), signals, read_clock())
        if signal is not TargetSignal.NOTHING:
            logger.info(
                "target asks",
                target=target.target_id,
                service=target.service,
                wish=signal.value,
                rest_s=round(signals.rest_s, 3),
                phase=target.phase.name.lower(),
            )

    def record_ended(self, target: TargetRecord, result: SendResult, now_s: float) -> None:
        """Update the state of a target from the outcome of an attempt."""
        target_id = target.target_id
        if result.is_displaced:
            self._displaced_s[target_id] = now_s
            logger.warning("target displaced", target=target_id, address=str(target.address))
        if result.was_refused:
            self._avoided_until_s[target_id] = now_s + REFUSED_AVOID_S
            return
        if result.is_relay_failure:
            return
        if not result.was_reached:
            self.connections.watch(target_id, target.address)
            self.reach.note_failure(target)
        health = self._pool_health(target.service, now_s)
        health.observe(target_id, result.is_good, now_s, self._random)

    def takes_work(self, record: TargetRecord, now_s: float) -> bool:
        """Tell whether a target may be sent to, by evacuations, its phase and its own signals."""
        return self._signal(record, now_s) is TargetSignal.NOTHING and self.view.takes_work(record)

    def _signal(self, record: TargetRecord, now_s: float) -> TargetSignal:
        """Return the signal of a target that is in force now; usually there is none."""
        return (
            self.signals.signal(_incarnation(record), now_s)
            if self.signals
            else TargetSignal.NOTHING
        )

    def still_takes_work(self, target: TargetRecord) -> bool:
        """Tell whether the incarnation that a request was placed at still takes work."""
        known = self.view.targets.record_of(target.target_id)
        return (
            known is not None
            and known.incarnation == target.incarnation
            and self.takes_work(known, read_clock())
        )

    def runs_version(self, target: TargetRecord) -> bool:
        """Tell whether a target still runs the software version by which it was placed.

        A target may be back under its id with another one. One whose version was not known, as
        processes of earlier versions pass records on, runs the same if it is still in that life.
        """
        known = self.view.targets.record_of(target.target_id)
        if known is None or known.version == target.version:
            return True
        return not target.version and known.incarnation == target.incarnation

    def present_version(self, target: TargetRecord) -> str:
        """Return the software version of a target that `runs_version`, which may be known since."""
        known = self.view.targets.record_of(target.target_id)
        return target.version if known is None else known.version

    def serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may be sent to."""
        now_s = read_clock()
        return [item for item in self.view.serving(service) if self.takes_work(item, now_s)]

    def has_announced_leaving(self, target: TargetRecord) -> bool:
        """Tell whether a target announced in an answer that it is leaving."""
        return self.signals.signal(_incarnation(target), read_clock()) is TargetSignal.LEAVE

    def pause_left_s(self, records: Collection[TargetRecord], now_s: float) -> float | None:
        """Return the seconds until the first pause ends, if all serving targets are paused."""
        if any(self.takes_work(record, now_s) for record in records):
            return None
        incarnations = [_incarnation(record) for record in records if self.view.takes_work(record)]
        return self.signals.pause_left_s(incarnations, now_s)

    def serving_or_draining(self, service: str) -> dict[str, TargetRecord]:
        """Return the targets of a service that take work or still finish their requests, by id."""
        return {record.target_id: record for record in self.view.serving_or_draining(service)}

    def are_all_unreachable(
        self, records: dict[str, TargetRecord], has_tried: bool, now_s: float
    ) -> bool:
        """Tell whether a send would only wait for connections that can't be established.

        Unreachable targets are probed every 0.4 s without a request, since a request would
        wait 0.3 s for each. If only one target serves, each request still tries it once: a
        single lost packet does not mean that the target is gone.
        """
        serving = [
            target_id for target_id, record in records.items() if self.takes_work(record, now_s)
        ]
        may_try_lone_target = len(serving) == 1 and not has_tried
        return not may_try_lone_target and all(
            self._is_unreachable(records[target_id]) for target_id in serving
        )

    def _is_unreachable(self, record: TargetRecord) -> bool:
        """Tell whether a target can be reached neither from here nor through another router."""
        if self.reach.is_relayed(record):
            return False
        return self.connections.is_unreachable(record.target_id) or self.reach.is_cut(
            record.service
        )

    def candidates(
        self, records: Collection[TargetRecord], now_s: float, is_engine: bool
    ) -> list[Candidate]:
        """Return the targets of a pool as candidates for placement."""
        # Looked up once per pool, not per target, since each lookup visits all its targets.
        health = {
            service: self._pool_health(service, now_s)
            for service in {record.service for record in records}
        }
        ids = [record.target_id for record in records]
        loads = self.loads.estimates(ids, self.view.routers, now_s)
        known = self.loads.known_targets(ids, now_s)
        return [
            self._candidate(
                record,
                loads[record.target_id],
                record.target_id in known,
                now_s,
                is_engine,
                health[record.service],
            )
            for record in records
        ]

    def _candidate(
        self,
        record: TargetRecord,
        load: float,
        is_known: bool,
        now_s: float,
        is_engine: bool,
        health: PoolHealth,
    ) -> Candidate:
        """Return one target as a candidate for placement."""
        target_id = record.target_id
        is_doubtful = (
            self._avoided_until_s.get(target_id, 0.0) > now_s
            or self._is_unreachable(record)
            or self.activity.is_unresponsive(target_id, now_s, is_engine, last_woken_s())
            or self.view.is_silent(target_id, now_s)
            or self._is_displaced(target_id)
            or self.view.targets.is_superseded(target_id, self._heartbeat_s)
            or not health.may_send(target_id, now_s, self._random)
        )
        cold_state = self.cold.cold_state(record, now_s)
        signal = self._signal(record, now_s)
        takes_work = (
            signal is TargetSignal.NOTHING and self.view.takes_work(record) and cold_state.may_send
        )
        is_leaving = signal is TargetSignal.LEAVE or record.phase is not TargetPhase.SERVING
        return Candidate(
            target_id,
            record.failure_domain,
            load,
            record.slots,
            is_doubtful,
            takes_work,
            self.view.targets.age_s(target_id, now_s, self._heartbeat_s),
            cold_state.is_cold or self._slow_detector(record.service).is_slow(target_id, now_s),
            is_known,
            not takes_work and not is_leaving,
            self.target_speeds.expected_start_s(record, load, now_s),
            version=record.version,
        )

    def free_slots(self, service: str, now_s: float) -> list[TargetSlots]:
        """Return the free slots of the targets that may be sent to, healthy ones if any."""
        candidates = self.candidates(self.serving(service), now_s, True)
        healthy = [item for item in candidates if not item.is_doubtful]
        return [free_slots_of(item) for item in healthy or candidates]

    def _is_displaced(self, target_id: str) -> bool:
        """Tell whether another target answered at its address and it has not reported since."""
        displaced_s = self._displaced_s.get(target_id)
        return displaced_s is not None and self.view.targets.last_seen_s(target_id) < displaced_s

    def _pool_health(self, service: str, now_s: float) -> PoolHealth:
        """Return the health of a service's targets, updated to those that serve now."""
        health = self._health.get(service)
        if health is None:
            policy = HealthPolicy(ejection_base_s=EJECTION_S)
            health = self._health[service] = PoolHealth(policy)
        ids = [record.target_id for record in self.view.serving(service)]
        health.set_targets(ids, now_s)
        return health

    def _slow_detector(self, service: str) -> SlowTargetDetector:
        """Return the detector of slow targets of a service."""
        detector = self._slow_detectors.get(service)
        if detector is None:
            detector = self._slow_detectors[service] = SlowTargetDetector()
        return detector
