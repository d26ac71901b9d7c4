"""Order the requests that wait for a pool.

Under overload more requests arrive than can be served in time. The most urgent go first;
at equal urgency, those of accounts that have recently received no more than their share
(a virtual counter of work served: Sheng et al., "Fairness in Serving Large Language
Models", OSDI 2024). Next are first attempts, which can still be served within their
objective, before retries after a rejection, which can't: in the opposite order a surge
would end with no request served in time. Every fourth turn goes to the earliest deadline
regardless of this order, so that neither retries nor a rank starve.
"""

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["FairQueue", "PoolRequest"]


def _always_fits(request: "PoolRequest") -> bool:
    """Return true: the default where memory is not considered."""
    return True


# Every fourth turn goes to the earliest deadline regardless of rank. This keeps every
# kind of request above a quarter of the turns, below which it counts as starved.
DEADLINE_TURN = 4
# An account is over its share above this multiple of the mean of recently served accounts.
# Shares are naturally uneven: the largest of ten accounts has about three times the mean.
SHARE_MULTIPLE = 4.0
# The time over which served work decays to zero.
SHARE_MEMORY_S = 4.0


class PoolRequest(NamedTuple):
    """A request to a pool; `rank` 0 is the most urgent.

    `arrived_s` and `deadline_s` are times of a monotonic clock; `objective_s` counts
    from the arrival. `came_back` marks a retry after a rejection. A request with a
    `target_id` waits for that target, which holds what it shares with other requests.
    `need_tokens` is the memory that it needs there, 0 if that is not considered.
    """

    number: int
    rank: int
    account: str
    arrived_s: float
    deadline_s: float
    objective_s: float
    came_back: bool = False
    target_id: str = ""
    need_tokens: int = 0


class _ServedWork(NamedTuple):
    """The work served to an account, decayed up to `at_s`."""

    work: float
    at_s: float


class FairQueue:
    """The waiting requests of a pool, in the order described above.

    >>> queue = FairQueue()
    >>> queue.add(PoolRequest(1, 2, "a", 0.0, 9.0, 1.0))
    >>> queue.add(PoolRequest(2, 0, "b", 0.1, 4.0, 1.0))
    >>> [request.number for request in queue.ordered(0.2)]
    [2, 1]
    """

    def __init__(self) -> None:
        self._requests: dict[int, PoolRequest] = {}
        self._served: dict[str, _ServedWork] = {}
        self._turns = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: PoolRequest) -> None:
        """Add a request."""
        self._requests[request.number] = request

    def remove(self, number: int) -> PoolRequest | None:
        """Remove and return a request whose caller disconnected or that was rejected."""
        return self._requests.pop(number, None)

    def clear(self) -> tuple[PoolRequest, ...]:
        """Remove and return all requests."""
        requests = tuple(self._requests.values())
        self._requests.clear()
        return requests

    def ordered(self, now_s: float) -> list[PoolRequest]:
        """Return the waiting requests, the next one first."""
        over_share = self._over_share(now_s)

        def sort_key(request: PoolRequest) -> tuple[int, bool, bool, float, int]:
            is_over_share = request.account in over_share
            return (
                request.rank,
                is_over_share,
                request.came_back,
                request.deadline_s,
                request.number,
            )

        return sorted(self._requests.values(), key=sort_key)

    def pop_next(
        self,
        now_s: float,
        can_run: Callable[[str], bool],
        is_surge: bool = False,
        fits: Callable[[PoolRequest], bool] = _always_fits,
    ) -> PoolRequest | None:
        """Remove and return the next request that fits and whose target can accept one now.

        In a surge retries get only the deadline turns, since a slot taken by a retry is
        not available to the next first attempt, which could be served within its
        objective.
        """
        runs = {target_id: can_run(target_id) for target_id in self._targets()}
        if not any(runs.values()):
            return None
        ready = [
            request for request in self.ordered(now_s) if runs[request.target_id] and fits(request)
        ]
        is_deadline_turn = (self._turns + 1) % DEADLINE_TURN == 0
        if is_surge and not is_deadline_turn:
            ready = [request for request in ready if not request.came_back]
        if not ready:
            return None
        self._turns += 1
        request = min(ready, key=lambda item: item.deadline_s) if is_deadline_turn else ready[0]
        del self._requests[request.number]
        return request

    def waiting_for(self, target_id: str) -> int:
        """Return how many requests wait for a target."""
        return sum(request.target_id == target_id for request in self._requests.values())

    def is_ahead_of_all(self, request: PoolRequest) -> bool:
        """Return whether a request is more urgent than all that wait for its target."""
        waiting = self._requests.values()
        return all(
            request.rank < item.rank for item in waiting if item.target_id == request.target_id
        )

    def _targets(self) -> set[str]:
        """Return the targets that requests wait for."""
        return {request.target_id for request in self._requests.values()}

    def record_served(self, account: str, now_s: float) -> None:
        """Count a request as work served to its account."""
        self._served[account] = _ServedWork(self._recent_work(account, now_s) + 1.0, now_s)

    def _recent_work(self, account: str, now_s: float) -> float:
        """Return the decayed work served to an account."""
        served = self._served.get(account)
        if served is None:
            return 0.0
        return served.work * max(0.0, 1.0 - (now_s - served.at_s) / SHARE_MEMORY_S)

    def _over_share(self, now_s: float) -> set[str]:
        """Return the accounts far above the mean, and drop those without recent work."""
        work_by_account = {account: self._recent_work(account, now_s) for account in self._served}
        self._served = {name: self._served[name] for name, work in work_by_account.items() if work}
        active = [work for work in work_by_account.values() if work]
        limit = SHARE_MULTIPLE * sum(active) / max(len(active), 1)
        return {account for account, work in work_by_account.items() if work > limit}
