"""Hold requests that no target can take yet, one queue for each pool.

A request is tried again whenever a target may have got room, and at intervals,
since estimates fall with time alone.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from damaskwind.decisions.admission.queue import AdmissionQueue, QueuedRequest, RefusedRequest
from damaskwind.model.configuration import PriorityClass
from damaskwind.model.exception import RefusedError
from damaskwind.router.caller import Caller

__all__ = ["RequestQueues"]

_QUEUE_LIMIT_REQUESTS = 1000
_PUMP_INTERVAL_S = 0.05
_PUMP_DELAY_S = 0.002
Found = TypeVar("Found")


class _Entry(NamedTuple):
    """A waiting request: how to try it, and whom to tell."""

    attempt: Callable[[], Any]
    served: Deferred


class RequestQueues:
    """The queues of all pools and the timers that they need."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._classes: Mapping[str, PriorityClass] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._entries: dict[str, _Entry] = {}
        self._pump_timer: Any = None

    def __len__(self) -> int:
        return len(self._entries)

    def set_classes(self, classes: Mapping[str, PriorityClass]) -> None:
        """Follow the confirmed priority classes."""
        self._classes = classes
        for queue in self._queues.values():
            queue.set_classes(classes)

    def is_empty(self, pool: str) -> bool:
        """Tell whether nobody waits for a pool, so that a newcomer may go straight in."""
        queue = self._queues.get(pool)
        return queue is None or not len(queue)

    def wait(
        self, pool: str, request: QueuedRequest, attempt: Callable[[], Any], caller: Caller
    ) -> Deferred:
        """Queue a request; the Deferred gives what `attempt` found, or `RefusedError`.

        `attempt` returns `None` while no target can take the request, and raises
        `RefusedError` when no wait helps.
        """
        served: Deferred = Deferred(lambda cancelled: self._remove(pool, request.request_id))
        self._entries[request.request_id] = _Entry(attempt, served)
        queue = self._queues.get(pool)
        if queue is None:
            queue = self._queues[pool] = AdmissionQueue(self._classes, _QUEUE_LIMIT_REQUESTS)
        offer = queue.offer(request, self._clock.seconds())
        self._refuse(offer.refused)
        caller.when_gone(served.cancel)
        if offer.queued:
            self._schedule(_PUMP_DELAY_S)
        return served

    def capacity_changed(self) -> None:
        """Try the waiting requests soon: a target may have got room."""
        if self._entries:
            self._schedule(_PUMP_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        """Try the waiting requests after a delay, or sooner when that is planned."""
        due_s = self._clock.seconds() + delay_s
        if self._pump_timer is not None:
            if self._pump_timer.getTime() <= due_s:
                return
            self._pump_timer.cancel()
        self._pump_timer = self._clock.callLater(delay_s, self._pump)

    def _pump(self) -> None:
        """Serve what can be served, give up on what is late, and plan the next look."""
        self._pump_timer = None
        now_s = self._clock.seconds()
        for queue in list(self._queues.values()):
            self._serve(queue, now_s)
            self._refuse(queue.expire(now_s))
        if self._entries:
            expiries = [queue.next_expiry_s() for queue in self._queues.values()]
            soonest_s = min((at_s for at_s in expiries if at_s is not None), default=now_s)
            self._schedule(min(_PUMP_INTERVAL_S, max(soonest_s - now_s, 0.0)))

    def _serve(self, queue: AdmissionQueue, now_s: float) -> None:
        """Take out every request of a queue that a target can take."""
        found: dict[str, Any] = {}

        def can_run(request: QueuedRequest) -> bool:
            try:
                result = self._entries[request.request_id].attempt()
            except RefusedError as error:
                result = Failure(error)
            if result is not None:
                found[request.request_id] = result
            return result is not None

        while len(queue):
            request = queue.next_ready(now_s, can_run)
            if request is None:
                return
            entry = self._entries.pop(request.request_id)
            entry.served.callback(found.pop(request.request_id))

    def _refuse(self, refused: tuple[RefusedRequest, ...]) -> None:
        """Tell requests that they are refused."""
        for item in refused:
            entry = self._entries.pop(item.request.request_id, None)
            if entry is not None:
                entry.served.errback(RefusedError(item.refusal))

    def _remove(self, pool: str, request_id: str) -> None:
        """Strike off a request whose caller went away."""
        if self._entries.pop(request_id, None) is not None:
            self._queues[pool].remove(request_id)
