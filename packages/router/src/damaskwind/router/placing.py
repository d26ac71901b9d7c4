"""Choose a target for a request immediately, or queue the request until one has capacity."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from damaskwind.decisions.admission.queue import QueuedRequest
from damaskwind.model.configuration import Configuration
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.request_queues import RequestQueues
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.target_signals import TargetSignalTracker
from damaskwind.router.work import WorkItem

__all__ = ["Placing"]

_NO_TARGET_RETRY_S = 2.0
_RETRY_JITTER_S = 0.5
# Number of targets recorded in rank order. Targets of plain services are chosen at random
# and have no rank.
_RANKED_TARGETS = {TargetKind.ENGINE: 4, TargetKind.SERVICE: 0}


class Placing:
    """Combine the placers, target health, target signals and the request queues.

    A request is counted at its target as soon as the target is chosen, so that the
    next choice takes it into account.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        health: TargetHealth,
        signals: TargetSignalTracker,
        queues: RequestQueues,
        configuration: Callable[[], Configuration],
        clock: Any,
        random: Random,
    ) -> None:
        self._random = random
        self._directory = directory
        self._health = health
        self._signals = signals
        self._queues = queues
        self._configuration = configuration
        self._clock = clock
        self.in_flight: Counter[str] = Counter()
        directory.watch(queues.capacity_changed)

    async def place(self, work: WorkItem, tried: frozenset[str]) -> TargetView:
        """Return a target, with the request counted as started there.

        Raise `RefusedError` when no target can be found before the deadline.
        """
        service = work.query.pool.service
        if self._queues.is_empty(service):
            target = self._try_place(work, tried)
            if target is not None:
                return target
        name = work.priority.name
        request = QueuedRequest(work.request_id, work.account.name, name, work.deadline_s)
        work.record.add_event("queued", self._clock.seconds())
        return await self._queues.wait(
            service, request, lambda: self._try_place(work, tried, is_retry=True), work.caller
        )

    def end(self, work: WorkItem, target: TargetView, succeeded: bool) -> None:
        """Record that a request no longer occupies its target."""
        self.in_flight[target.target_id] -= 1
        if not self.in_flight[target.target_id]:
            del self.in_flight[target.target_id]
        self._directory.placers[work.kind].record_finished(
            work.request_id, succeeded, self._clock.seconds()
        )
        self._directory.capacity_changed()

    def _try_place(
        self, work: WorkItem, tried: frozenset[str], is_retry: bool = False
    ) -> TargetView | None:
        """Choose a target now, or return `None` to wait; raise `RefusedError` if none exists."""
        now_s = self._clock.seconds()
        unavailable = self._signals.paused_or_leaving()
        ejected = self._health.ejected(work.query.pool.service)
        excluded = tried | unavailable | ejected | self._full_targets(work)
        placer = self._directory.placers[work.kind]
        query = work.query._replace(excluded=excluded)
        choice = placer.place(query, now_s)
        target = self._directory.find(choice.target_id) if choice.target_id else None
        if target is not None or not is_retry:
            snapshot = placer.pool_snapshot(query, _RANKED_TARGETS[work.kind], now_s)
            work.record.record_choice(choice, snapshot, now_s)
        if target is None:
            if not is_retry:
                self._check_exists(work, tried)
            if unavailable:
                self._check_available(work, tried | unavailable)
            return None
        self.in_flight[target.target_id] += 1
        self._health.record_sent(target)
        placer.record_started(
            work.request_id,
            target.target_id,
            work.query.chat_digest,
            work.query.need_tokens,
            now_s,
        )
        return target

    def _full_targets(self, work: WorkItem) -> frozenset[str]:
        """Return the targets that are at the pool's concurrency limit for this router."""
        if not self.in_flight:
            return frozenset()
        service = self._configuration().services.get(work.query.pool.service)
        if service is None:
            return frozenset()
        limit = service.max_concurrent_requests
        return frozenset(name for name, count in self.in_flight.items() if count >= limit)

    def _check_exists(self, work: WorkItem, tried: frozenset[str]) -> None:
        """Raise `RefusedError` when no untried target serves this, so that waiting is useless."""
        if not self._directory.serves(work.query.pool, tried):
            detail = "no live target can serve this request"
            refusal = Refusal(Reason.NO_TARGET, Verdict.NOT_RUN, detail, _NO_TARGET_RETRY_S)
            raise RefusedError(refusal)

    def _check_available(self, work: WorkItem, excluded: frozenset[str]) -> None:
        """Raise `RefusedError` when all targets that are left are paused or leaving."""
        if not self._directory.serves(work.query.pool, excluded):
            detail = "every live target that can serve this request wants none now"
            pause_left_s = self._signals.pause_left_s(self._directory.offering(work.query.pool))
            retry_s = _NO_TARGET_RETRY_S if pause_left_s is None else pause_left_s
            retry_s += self._random.uniform(0.0, _RETRY_JITTER_S)
            raise RefusedError(Refusal(Reason.NO_TARGET, Verdict.NOT_RUN, detail, retry_s))
