"""Queue requests that no target can accept yet, with one queue for each pool.

Queued requests are retried whenever a target may have gained capacity, and also
periodically, because load estimates decay with time alone.
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
    """A queued request: the function that tries to place it, and the Deferred of its result."""

    attempt: Callable[[], Any]
    placed: Deferred


class RequestQueues:
    """The queues of all pools, with the timer that retries queued requests."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._classes: Mapping[str, PriorityClass] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._entries: dict[str, _Entry] = {}
        self._pump_timer: Any = None

    def __len__(self) -> int:
        return len(self._entries)

    def set_classes(self, classes: Mapping[str, PriorityClass]) -> None:
        """Apply the confirmed priority classes to all queues."""
        self._classes = classes
        for queue in self._queues.values():
            queue.set_classes(classes)

    def is_empty(self, pool: str) -> bool:
        """Return whether a pool's queue is empty, so that a new request may bypass it."""
        queue = self._queues.get(pool)
        return queue is None or not len(queue)

    def wait(
        self, pool: str, request: QueuedRequest, attempt: Callable[[], Any], caller: Caller
    ) -> Deferred:
        """Queue a request; the Deferred fires with the result of `attempt` or `RefusedError`.

        `attempt` returns `None` while no target can accept the request, and raises
        `RefusedError` when waiting cannot help.
        """
        placed: Deferred = Deferred(lambda cancelled: self._remove(pool, request.request_id))
        self._entries[request.request_id] = _Entry(attempt, placed)
        queue = self._queues.get(pool)
        if queue is None:
            queue = self._queues[pool] = AdmissionQueue(self._classes, _QUEUE_LIMIT_REQUESTS)
        offer = queue.offer(request, self._clock.seconds())
        self._refuse(offer.refused)
        caller.when_gone(placed.cancel)
        if offer.queued:
            self._schedule(_PUMP_DELAY_S)
        return placed

    def capacity_changed(self) -> None:
        """Schedule a retry of the queued requests: a target may have gained capacity."""
        if self._entries:
            self._schedule(_PUMP_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        """Retry the queued requests after a delay, or earlier if that is already scheduled."""
        due_s = self._clock.seconds() + delay_s
        if self._pump_timer is not None:
            if self._pump_timer.getTime() <= due_s:
                return
            self._pump_timer.cancel()
        self._pump_timer = self._clock.callLater(delay_s, self._pump)

    def _pump(self) -> None:
        """Serve the requests that can be placed, refuse expired ones, schedule the next run."""
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
        """Remove every request from a queue that a target can accept now."""
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
            entry.placed.callback(found.pop(request.request_id))

    def _refuse(self, refused: tuple[RefusedRequest, ...]) -> None:
        """Fail queued requests with their refusals."""
        for item in refused:
            entry = self._entries.pop(item.request.request_id, None)
            if entry is not None:
                entry.placed.errback(RefusedError(item.refusal))

    def _remove(self, pool: str, request_id: str) -> None:
        """Remove a request whose caller disconnected."""
        if self._entries.pop(request_id, None) is not None:
            self._queues[pool].remove(request_id)
