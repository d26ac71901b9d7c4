"""Queue requests by priority class within their deadlines.

Classes share the service by weight through stride scheduling ("Stride
Scheduling: Deterministic Proportional-Share Resource Management", Waldspurger
and Weihl, MIT 1995), so that none starves; ties go to the lower rank. When the
queue is full the newest request of the lowest class is shed first. A request
that can't be served in time gets its final answer at once, with when to come
back, never near its deadline.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from damaskwind.decisions.admission.drain_rate import DrainRate
from damaskwind.model.configuration import PriorityClass
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["AdmissionQueue", "GivenUp", "Offer", "QueuedRequest"]

SCAN_LIMIT = 32
RESERVE_S = 0.1
LEAST_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0


class QueuedRequest(NamedTuple):
    """A request that waits; `deadline_s` is its caller's, on the router's clock."""

    request_id: str
    account: str
    priority_class: str
    deadline_s: float


class GivenUp(NamedTuple):
    """A request that leaves the queue unserved, with the answer it gets now."""

    request: QueuedRequest
    refusal: Refusal


class Offer(NamedTuple):
    """Whether a request was queued, and who was given up on to make room.

    A request that was not queued is itself among `given_up`.
    """

    queued: bool
    given_up: tuple[GivenUp, ...] = ()


class _Waiting(NamedTuple):
    """A queued request and the time at which it is given up on."""

    request: QueuedRequest
    give_up_s: float


class _ClassQueue:
    """The waiting requests of one class and its place in the schedule."""

    def __init__(self, priority_class: PriorityClass) -> None:
        self.priority_class = priority_class
        self.waiting: deque[_Waiting] = deque()
        self.passed = 0.0


class AdmissionQueue:
    """The queue before one pool of targets.

    `limit_requests` bounds all classes together; each class has its own bound
    and time besides. The queue holds no timer: call `expire` at the time that
    `next_expiry_s` names.
    """

    def __init__(self, classes: Mapping[str, PriorityClass], limit_requests: int) -> None:
        self.limit_requests = limit_requests
        self._queues: dict[str, _ClassQueue] = {}
        self._rate = DrainRate()
        self.set_classes(classes)

    def __len__(self) -> int:
        return sum(len(queue.waiting) for queue in self._queues.values())

    def set_classes(self, classes: Mapping[str, PriorityClass]) -> None:
        """Follow a new configuration; a class that went keeps what it queued."""
        for name, priority_class in classes.items():
            queue = self._queues.setdefault(name, _ClassQueue(priority_class))
            queue.priority_class = priority_class
        for name in [name for name in self._queues if name not in classes]:
            if not self._queues[name].waiting:
                del self._queues[name]

    def offer(self, request: QueuedRequest, now_s: float) -> Offer:
        """Queue a request, or say at once that it is given up on."""
        queue = self._queues[request.priority_class]
        give_up_s = min(
            now_s + queue.priority_class.queue_timeout_s, request.deadline_s - RESERVE_S
        )
        if now_s + self._expected_wait_s(queue) >= give_up_s:
            return Offer(False, (self._give_up(request, "no target in time"),))
        if len(queue.waiting) >= queue.priority_class.queue_limit_requests:
            return Offer(False, (self._give_up(request, "its class's queue is full"),))
        shed: tuple[GivenUp, ...] = ()
        if len(self) >= self.limit_requests:
            victim = self._shed_below(queue.priority_class.rank)
            if victim is None:
                return Offer(False, (self._give_up(request, "the queue is full"),))
            shed = (victim,)
        self._append(queue, _Waiting(request, give_up_s))
        return Offer(True, shed)

    def _append(self, queue: _ClassQueue, waiting: _Waiting) -> None:
        """Put a request last; a class that was idle earns no credit for that."""
        if not queue.waiting:
            busy = [other.passed for other in self._queues.values() if other.waiting]
            queue.passed = max(queue.passed, min(busy, default=queue.passed))
        queue.waiting.append(waiting)

    def _expected_wait_s(self, queue: _ClassQueue) -> float:
        """Estimate the wait at the end of a class from its share of the drain rate."""
        per_s = self._rate.per_s()
        if per_s is None or not queue.waiting:
            return 0.0
        busy = [other for other in self._queues.values() if other.waiting]
        weights = sum(other.priority_class.weight for other in busy)
        return len(queue.waiting) / (per_s * queue.priority_class.weight / weights)

    def _shed_below(self, rank: int) -> GivenUp | None:
        """Give up on the newest request of the lowest class below `rank`."""
        lower = [
            queue
            for queue in self._queues.values()
            if queue.waiting and queue.priority_class.rank > rank
        ]
        if not lower:
            return None
        lowest = max(lower, key=lambda queue: queue.priority_class.rank)
        return self._give_up(lowest.waiting.pop().request, "shed for a higher class")

    def _give_up(self, request: QueuedRequest, detail: str) -> GivenUp:
        """Make the final answer: nothing was sent, come back after the backlog."""
        per_s = self._rate.per_s()
        fallback_s = self._queues[request.priority_class].priority_class.queue_timeout_s
        backlog_s = len(self) / per_s if per_s else fallback_s
        retry_after_s = min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, backlog_s))
        refusal = Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_s)
        return GivenUp(request, refusal)

    def next_ready(
        self, now_s: float, can_run: Callable[[QueuedRequest], bool] = lambda request: True
    ) -> QueuedRequest | None:
        """Take out the next request that `can_run`, by class and then by age.

        Within a class at most the first `SCAN_LIMIT` requests are looked at, so
        that one request without a target does not hold up those behind it.
        """
        order = sorted(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: (queue.passed, queue.priority_class.rank),
        )
        for queue in order:
            for index in range(min(SCAN_LIMIT, len(queue.waiting))):
                waiting = queue.waiting[index]
                if now_s < waiting.give_up_s and can_run(waiting.request):
                    del queue.waiting[index]
                    queue.passed += 1.0 / queue.priority_class.weight
                    self._rate.count(now_s, backlog=bool(len(self)))
                    return waiting.request
        return None

    def expire(self, now_s: float) -> tuple[GivenUp, ...]:
        """Give up on every request whose time in the queue is over."""
        over = []
        for queue in self._queues.values():
            late = [waiting for waiting in queue.waiting if waiting.give_up_s <= now_s]
            if late:
                queue.waiting = deque(w for w in queue.waiting if w.give_up_s > now_s)
                over += late
        return tuple(self._give_up(waiting.request, "no target in time") for waiting in over)

    def next_expiry_s(self) -> float | None:
        """Return when `expire` has something to do next."""
        times = [waiting.give_up_s for queue in self._queues.values() for waiting in queue.waiting]
        return min(times, default=None)

    def remove(self, request_id: str) -> bool:
        """Take out a request whose caller went away."""
        for queue in self._queues.values():
            for index, waiting in enumerate(queue.waiting):
                if waiting.request.request_id == request_id:
                    del queue.waiting[index]
                    return True
        return False
