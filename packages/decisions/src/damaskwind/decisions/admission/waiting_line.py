"""Order the requests that wait for a pool: who is next, and who can't be served in time.

The pattern: more comes than can begin in time. The most urgent are next; among
equals those of accounts that have had no more than their share lately (a virtual counter
of work served: Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024);
then those who can still be served within their objective, before those who came back
after a refusal and can't: the other way round, a surge ends with nobody served in time.
Each fourth place goes to the earliest deadline alone, so that neither these nor a rank
starve.
"""

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["FairQueue", "PoolRequest"]

# One place in so many goes to the earliest deadline whatever its rank: a fourth of
# the places keeps every kind above the quarter below which it counts as starved.
DEADLINE_TURN = 4
# An account is over its share beyond so many times the mean of those served lately:
# shares are uneven by nature, the largest of ten has some three times the mean.
SHARE_MULTIPLE = 4.0
# What an account was served counts for about so long.
SHARE_MEMORY_S = 4.0


class PoolRequest(NamedTuple):
    """A request that asks for a place; `rank` 0 is the most urgent.

    `arrived_s` and `deadline_s` are monotonic; `objective_s` counts from its
    arrival. `came_back` tells that its caller was turned away before. With a
    `target_id` it waits for that target, which holds what it shares with others.
    """

    number: int
    rank: int
    account: str
    arrived_s: float
    deadline_s: float
    objective_s: float
    came_back: bool = False
    target_id: str = ""


class _ServedWork(NamedTuple):
    """Work served to an account, decayed up to a time."""

    work: float
    at_s: float


class FairQueue:
    """The tickets that wait.

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
        """Let a request wait."""
        self._requests[request.number] = request

    def remove(self, number: int) -> PoolRequest | None:
        """Take a request out whose caller left or who was given up on."""
        return self._requests.pop(number, None)

    def clear(self) -> tuple[PoolRequest, ...]:
        """Take out all."""
        requests = tuple(self._requests.values())
        self._requests.clear()
        return requests

    def ordered(self, now_s: float) -> list[PoolRequest]:
        """Return those who wait, the next one first."""
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
        self, now_s: float, can_run: Callable[[str], bool], is_surge: bool = False
    ) -> PoolRequest | None:
        """Take out the next request of those whose target can take one now.

        In a surge those that came back get the open turns only: a place that one
        of them takes is one that a request of the next moment, which could be
        served within its objective, does not find.
        """
        runs = {target_id: can_run(target_id) for target_id in self._targets()}
        if not any(runs.values()):
            return None
        ready = [request for request in self.ordered(now_s) if runs[request.target_id]]
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
        """Return how many wait for a target."""
        return sum(request.target_id == target_id for request in self._requests.values())

    def _targets(self) -> set[str]:
        """Return the targets that somebody waits for."""
        return {request.target_id for request in self._requests.values()}

    def record_served(self, account: str, now_s: float) -> None:
        """Count a request as served to its account."""
        self._served[account] = _ServedWork(self._recent_work(account, now_s) + 1.0, now_s)

    def _recent_work(self, account: str, now_s: float) -> float:
        """Return what an account was served lately."""
        served = self._served.get(account)
        if served is None:
            return 0.0
        return served.work * max(0.0, 1.0 - (now_s - served.at_s) / SHARE_MEMORY_S)

    def _over_share(self, now_s: float) -> set[str]:
        """Return the accounts far above the mean, and forget those long unseen."""
        work_by_account = {account: self._recent_work(account, now_s) for account in self._served}
        self._served = {name: self._served[name] for name, work in work_by_account.items() if work}
        active = [work for work in work_by_account.values() if work]
        limit = SHARE_MULTIPLE * sum(active) / max(len(active), 1)
        return {account for account, work in work_by_account.items() if work > limit}
