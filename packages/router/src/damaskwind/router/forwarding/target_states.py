"""What one router believes of the targets: one place for all that it has observed.

Observations go in (sends, answers, ends, words of load, losses), candidates come out.
Nothing here sends, waits or decides where a request goes.
"""

from collections.abc import Collection
from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.admission.pool_admission import TargetPlaces
from damaskwind.decisions.health.circuit import HealthPolicy
from damaskwind.decisions.health.ejection import PoolHealth
from damaskwind.decisions.health.pace import PoolPace
from damaskwind.decisions.load.held_requests import LoadEstimator
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.decisions.target_words.said import Said
from damaskwind.decisions.target_words.words import TargetWords, Wish
from damaskwind.router.forwarding.cold_targets import ColdTargets
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.target_activity import TargetActivity
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s

__all__ = ["SendResult", "TargetStates", "free_slots_of"]

# A target that refused is left alone so long, unless there is no other: about as
# long as a queue of short requests takes to shrink.
REFUSED_AVOID_S = 0.1
EJECTION_S = 1.0

# A first report is under way for less than this; a connection that was made longer
# before it than the reports counted in it leads to the former life.
LATE_REPORT_S = 1.0


def free_slots_of(candidate: Candidate) -> TargetPlaces:
    """Return how many places of a target are free by its own word.

    Of one that tells no load nothing is known: a guess from own sends would have
    requests wait, and be turned away, while its places are free.
    """
    held = candidate.load if candidate.has_told_load else 0.0
    return TargetPlaces(candidate.target_id, candidate.slots - held)


def _incarnation(target: TargetRecord) -> tuple[str, tuple[int, int]]:
    """Return what tells one life of a target from all others."""
    return (target.target_id, target.life)


class SendResult(NamedTuple):
    """How one send ended, as far as it says something of the target.

    `was_refused` is the target's own word that it did not run the request,
    `was_reached` that a connection to it stood, `is_displaced` that another
    target answered at its address.
    """

    is_good: bool
    was_reached: bool = True
    was_refused: bool = False
    is_displaced: bool = False


class TargetStates:
    """The beliefs of one router; targets that are gone are forgotten."""

    def __init__(
        self,
        view: FleetView,
        connections: TargetConnections,
        heartbeat_s: float,
        random: Random,
    ) -> None:
        self.view = view
        self.connections = connections
        self.loads = LoadEstimator()
        self.activity = TargetActivity()
        self.signals = TargetWords()
        self._heartbeat_s = heartbeat_s
        self._random = random
        self._health: dict[str, PoolHealth] = {}
        self._latencies: dict[str, PoolPace] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._displaced_s: dict[str, float] = {}
        view.on_gone.append(self.forget)
        view.on_load_sum.append(self._take_load_sum)
        view.count_held = self.loads.tell
        view.on_restarted.append(self.reset)
        self.cold = ColdTargets(view, random)

    def _take_load_sum(self, host: str, held: HeldSum) -> None:
        """Take what a replica says that all routers hold."""
        self.loads.take_sum(host, held, read_clock())

    def reset(self, record: TargetRecord) -> None:
        """Believe nothing that was learned of a target before it started again.

        What was sent to the former life may have run, and no more of its answer comes.
        """
        target_id = record.target_id
        self.forget(target_id)
        for health in self._health.values():
            health.forget(target_id)
        started_s = record.sequence * self._heartbeat_s + LATE_REPORT_S
        self.connections.abort_older(target_id, read_clock() - started_s)

    def forget(self, target_id: str) -> None:
        """Drop what was learned of a target that is gone."""
        self.loads.forget(target_id)
        self._avoided_until_s.pop(target_id, None)
        self._displaced_s.pop(target_id, None)
        self.activity.forget(target_id)
        self.connections.forget(target_id)
        self.cold.forget(target_id)
        for latency in self._latencies.values():
            latency.forget(target_id)

    def note_sent(self, target: TargetRecord, now_s: float) -> None:
        """Note that a request is being sent."""
        self._pool_health(target.service, now_s).note_sent(target.target_id, now_s)
        self.cold.note_sent(target, now_s)

    def note_answer_begun(
        self, service: str, target_id: str, objective_share: float, now_s: float
    ) -> None:
        """Note that an answer began after this part of its objective."""
        self._pool_latency(service).observe(target_id, objective_share, now_s)

    def note_signal(self, target: TargetRecord, said: Said) -> None:
        """Take what a target asks for in an answer."""
        signal = self.signals.hear(_incarnation(target), said, read_clock())
        if signal is not Wish.NOTHING:
            logger.info(
                "target asks",
                target=target.target_id,
                service=target.service,
                wish=signal.value,
                rest_s=round(said.rest_s, 3),
                phase=target.phase.name.lower(),
            )

    def note_ended(self, target: TargetRecord, ended: SendResult, now_s: float) -> None:
        """Take what the end of a send says of the target."""
        target_id = target.target_id
        if ended.is_displaced:
            self._displaced_s[target_id] = now_s
            logger.warning("target displaced", target=target_id, address=str(target.address))
        if ended.was_refused:
            self._avoided_until_s[target_id] = now_s + REFUSED_AVOID_S
            return
        if not ended.was_reached:
            self.connections.watch(target_id, target.address)
        health = self._pool_health(target.service, now_s)
        health.observe(target_id, ended.is_good, now_s, self._random)

    def takes_work(self, record: TargetRecord, now_s: float) -> bool:
        """Tell whether a target may be sent to, by operators' orders and its own words."""
        return self._signal(record, now_s) is Wish.NOTHING and self.view.takes_work(record)

    def _signal(self, record: TargetRecord, now_s: float) -> Wish:
        """Return what a target wants now by its own words; mostly there are none."""
        return self.signals.wish(_incarnation(record), now_s) if self.signals else Wish.NOTHING

    def still_takes_work(self, target: TargetRecord) -> bool:
        """Tell whether a target takes work that took some when a request was placed there."""
        known = self.view.targets.record_of(target.target_id)
        return (
            known is not None and known.life == target.life and self.takes_work(known, read_clock())
        )

    def serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may be sent to."""
        now_s = read_clock()
        return [item for item in self.view.serving(service) if self.takes_work(item, now_s)]

    def has_announced_leaving(self, target: TargetRecord) -> bool:
        """Tell whether a target said in an answer that it leaves."""
        return self.signals.wish(_incarnation(target), read_clock()) is Wish.LEAVE

    def rest_left_s(self, records: Collection[TargetRecord], now_s: float) -> float | None:
        """Return the seconds until one of these targets has rested, if all that serve rest."""
        if any(self.takes_work(record, now_s) for record in records):
            return None
        lives = [_incarnation(record) for record in records if self.view.takes_work(record)]
        return self.signals.rest_left_s(lives, now_s)

    def serving_or_draining(self, service: str) -> dict[str, TargetRecord]:
        """Return the targets of a service that take work or still finish theirs, by id."""
        return {record.target_id: record for record in self.view.serving_or_draining(service)}

    def are_all_unreachable(
        self, records: dict[str, TargetRecord], has_tried: bool, now_s: float
    ) -> bool:
        """Tell whether sending would only wait for connections that don't come about.

        Unreachable targets are tried every 0.4 s without a request, which would
        wait 0.3 s for each. A lone one still gets one try of each request: one lost
        packet is no sign that it is gone.
        """
        serving = [
            target_id for target_id, record in records.items() if self.takes_work(record, now_s)
        ]
        has_a_try = len(serving) == 1 and not has_tried
        is_unreachable = self.connections.is_unreachable
        return not has_a_try and all(is_unreachable(target_id) for target_id in serving)

    def candidates(
        self, records: Collection[TargetRecord], now_s: float, is_engine: bool
    ) -> list[Candidate]:
        """Describe a pool's targets as placement sees them."""
        # Once for all targets of a pool: each look goes through all of them.
        health = {
            service: self._pool_health(service, now_s)
            for service in {record.service for record in records}
        }
        ids = [record.target_id for record in records]
        loads = self.loads.estimates(ids, self.view.routers, now_s)
        known = self.loads.known(ids, now_s)
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
        """Describe one target, by the health of its pool."""
        target_id = record.target_id
        is_doubtful = (
            self._avoided_until_s.get(target_id, 0.0) > now_s
            or self.connections.is_unreachable(target_id)
            or self.activity.is_unresponsive(target_id, now_s, is_engine, last_woken_s())
            or self.view.is_silent(target_id, now_s)
            or self._is_displaced(target_id)
            or self.view.targets.is_superseded(target_id, self._heartbeat_s)
            or not health.may_send(target_id, now_s, self._random)
        )
        warmth = self.cold.warmth(record, now_s)
        signal = self._signal(record, now_s)
        takes_work = signal is Wish.NOTHING and self.view.takes_work(record) and warmth.may_send
        is_leaving = signal is Wish.LEAVE or record.phase is not TargetPhase.SERVING
        return Candidate(
            target_id,
            record.failure_domain,
            load,
            record.slots,
            is_doubtful,
            takes_work,
            self.view.targets.age_s(target_id, now_s, self._heartbeat_s),
            warmth.is_cold or self._pool_latency(record.service).is_slow(target_id, now_s),
            is_known,
            not takes_work and not is_leaving,
        )

    def free_slots(self, service: str, now_s: float) -> list[TargetPlaces]:
        """Return the targets that may be sent to, with their free places."""
        candidates = self.candidates(self.serving(service), now_s, True)
        sound = [item for item in candidates if not item.is_doubtful]
        return [free_slots_of(item) for item in sound or candidates]

    def _is_displaced(self, target_id: str) -> bool:
        """Tell whether another target answers at its address, and it was not heard since."""
        displaced_s = self._displaced_s.get(target_id)
        return displaced_s is not None and self.view.targets.heard_s(target_id) < displaced_s

    def _pool_health(self, service: str, now_s: float) -> PoolHealth:
        """Return the health of a service's targets, brought up to who serves now."""
        health = self._health.get(service)
        if health is None:
            policy = HealthPolicy(ejection_base_s=EJECTION_S)
            health = self._health[service] = PoolHealth(policy)
        ids = [record.target_id for record in self.view.serving(service)]
        health.set_targets(ids, now_s)
        return health

    def _pool_latency(self, service: str) -> PoolPace:
        """Return the pace of a service's targets."""
        latency = self._latencies.get(service)
        if latency is None:
            latency = self._latencies[service] = PoolPace()
        return latency
