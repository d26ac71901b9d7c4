"""Queue requests by priority class within their deadlines.

Classes share the service by weight through stride scheduling ("Stride
Scheduling: Deterministic Proportional-Share Resource Management", Waldspurger
and Weihl, MIT 1995), so that none starves; ties go to the lower rank. When the
queue is full the newest request of the lowest class is shed first. A request
that can't be served in time is refused at once, not close to its deadline, and
the refusal says when to retry.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from damaskwind.decisions.admission.drain_rate import DrainRate
from damaskwind.model.configuration import PriorityClass
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["AdmissionQueue", "OfferResult", "QueuedRequest", "RefusedRequest"]

SCAN_LIMIT = 32
RESERVE_S = 0.1
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class QueuedRequest(NamedTuple):
    """A request to queue; `deadline_s` is the caller's deadline on the router's clock."""

    request_id: str
    account: str
    priority_class: str
    deadline_s: float


class RefusedRequest(NamedTuple):
    """A request that leaves the queue without being served, and its refusal."""

    request: QueuedRequest
    refusal: Refusal


class OfferResult(NamedTuple):
    """Whether a request was queued, and the requests refused as a consequence.

    `refused` holds the request that was shed to make room, or the offered request
    itself if it was not queued.
    """

    queued: bool
    refused: tuple[RefusedRequest, ...] = ()


class _QueueEntry(NamedTuple):
    """A queued request and the time at which it expires."""

    request: QueuedRequest
    expires_s: float


class _ClassQueue:
    """The waiting requests of one class and its pass value in stride scheduling."""

    def __init__(self, priority_class: PriorityClass) -> None:
        self.priority_class = priority_class
        self.waiting: deque[_QueueEntry] = deque()
        self.pass_value = 0.0


class AdmissionQueue:
    """The queue of requests for one pool of targets.

    `limit_requests` bounds all classes together; in addition each class has its own
    bound and timeout. The queue has no timer: call `expire` at the time returned by
    `next_expiry_s`.
    """

    def __init__(self, classes: Mapping[str, PriorityClass], limit_requests: int) -> None:
        self.limit_requests = limit_requests
        self._queues: dict[str, _ClassQueue] = {}
        self._rate = DrainRate()
        self.set_classes(classes)

    def __len__(self) -> int:
        return sum(len(queue.waiting) for queue in self._queues.values())

    def set_classes(self, classes: Mapping[str, PriorityClass]) -> None:
        """Apply the configured classes; a removed class keeps its queued requests."""
        for name, priority_class in classes.items():
            queue = self._queues.setdefault(name, _ClassQueue(priority_class))
            queue.priority_class = priority_class
        for name in [name for name in self._queues if name not in classes]:
            if not self._queues[name].waiting:
                del self._queues[name]

    def offer(self, request: QueuedRequest, now_s: float) -> OfferResult:
        """Queue a request, or refuse it at once."""
        queue = self._queues[request.priority_class]
        expires_s = min(
            now_s + queue.priority_class.queue_timeout_s, request.deadline_s - RESERVE_S
        )
        if now_s + self._expected_wait_s(queue) >= expires_s:
            return OfferResult(False, (self._refuse(request, "no target in time"),))
        if len(queue.waiting) >= queue.priority_class.queue_limit_requests:
            return OfferResult(False, (self._refuse(request, "its class's queue is full"),))
        shed: tuple[RefusedRequest, ...] = ()
        if len(self) >= self.limit_requests:
            victim = self._shed_below(queue.priority_class.rank)
            if victim is None:
                return OfferResult(False, (self._refuse(request, "the queue is full"),))
            shed = (victim,)
        self._append(queue, _QueueEntry(request, expires_s))
        return OfferResult(True, shed)

    def _append(self, queue: _ClassQueue, entry: _QueueEntry) -> None:
        """Append a request to its class; an idle class accumulates no credit."""
        if not queue.waiting:
            backlogged = [other.pass_value for other in self._queues.values() if other.waiting]
            queue.pass_value = max(queue.pass_value, min(backlogged, default=queue.pass_value))
        queue.waiting.append(entry)

    def _expected_wait_s(self, queue: _ClassQueue) -> float:
        """Estimate the wait of a new request from its class's share of the drain rate."""
        per_s = self._rate.per_s()
        if per_s is None or not queue.waiting:
            return 0.0
        backlogged = [other for other in self._queues.values() if other.waiting]
        weights = sum(other.priority_class.weight for other in backlogged)
        return len(queue.waiting) / (per_s * queue.priority_class.weight / weights)

    def _shed_below(self, rank: int) -> RefusedRequest | None:
        """Remove and refuse the newest request of the lowest class below `rank`."""
        lower = [
            queue
            for queue in self._queues.values()
            if queue.waiting and queue.priority_class.rank > rank
        ]
        if not lower:
            return None
        lowest = max(lower, key=lambda queue: queue.priority_class.rank)
        return self._refuse(lowest.waiting.pop().request, "shed for a higher class")

    def _refuse(self, request: QueuedRequest, detail: str) -> RefusedRequest:
        """Return a refusal: the request was not sent; retry when the backlog is served."""
        per_s = self._rate.per_s()
        fallback_s = self._queues[request.priority_class].priority_class.queue_timeout_s
        backlog_s = len(self) / per_s if per_s else fallback_s
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s))
        refusal = Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_s)
        return RefusedRequest(request, refusal)

    def next_ready(
        self, now_s: float, can_run: Callable[[QueuedRequest], bool] = lambda request: True
    ) -> QueuedRequest | None:
        """Remove and return the next request that `can_run`, by class and then by age.

        Within a class the first `SCAN_LIMIT` requests are examined, so that a
        request without a target does not block those behind it.
        """
        by_pass_value = sorted(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: (queue.pass_value, queue.priority_class.rank),
        )
        for queue in by_pass_value:
            for index in range(min(SCAN_LIMIT, len(queue.waiting))):
                entry = queue.waiting[index]
                if now_s < entry.expires_s and can_run(entry.request):
                    del queue.waiting[index]
                    queue.pass_value += 1.0 / queue.priority_class.weight
                    self._rate.record_departure(now_s, backlog=bool(len(self)))
                    return entry.request
        return None

    def expire(self, now_s: float) -> tuple[RefusedRequest, ...]:
        """Remove and refuse all expired requests."""
        expired = []
        for queue in self._queues.values():
            class_expired = [entry for entry in queue.waiting if entry.expires_s <= now_s]
            if class_expired:
                queue.waiting = deque(kept for kept in queue.waiting if kept.expires_s > now_s)
                expired += class_expired
        return tuple(self._refuse(entry.request, "no target in time") for entry in expired)

    def next_expiry_s(self) -> float | None:
        """Return when the next request expires, or `None` if the queue is empty."""
        times = [entry.expires_s for queue in self._queues.values() for entry in queue.waiting]
        return min(times, default=None)

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        for queue in self._queues.values():
            for index, entry in enumerate(queue.waiting):
                if entry.request.request_id == request_id:
                    del queue.waiting[index]
                    return True
        return False
