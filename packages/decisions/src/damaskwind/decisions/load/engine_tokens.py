"""Estimate the memory and the prefill work that engines hold, from one router of many.

Like the number of requests (`held_requests`), the tokens at an engine are known from the
sum of what all routers hold there, less what this router reported for that sum, plus what it
holds now. A prompt part that several requests share counts once.
"""

from collections.abc import Collection
from math import sqrt
from typing import NamedTuple

from damaskwind.decisions.load.held_requests import MIN_COVERAGE_SHARE, SUM_TTL_S, target_digest
from damaskwind.decisions.load.request_cost import RequestCost
from damaskwind.decisions.load.token_sums import (
    HeldTokens,
    TokenSum,
    TokenSums,
    held_tokens,
    parts_of,
)

__all__ = ["EngineTokens", "EngineUse"]

# For this time after its last use by this router a prompt part is assumed to be cached.
CACHED_S = 20.0
# The time over which the change of sums is averaged, in sums of one target.
CHANGE_WEIGHT = 0.02


class EngineUse(NamedTuple):
    """What an engine holds: memory, unfinished prefill, and its prompt parts in use.

    `cached_parts` are those that are probably cached. `age_s` is the age of the sum, `None`
    if only the requests of this router are known. `change_tokens` is how much the memory held
    at an engine usually changes within that age (root mean square).
    """

    held_tokens: int
    prefill_tokens: int
    held_parts: frozenset[int]
    cached_parts: frozenset[int]
    age_s: float | None
    change_tokens: float = 0.0


class _Send(NamedTuple):
    """A request in progress; `prefill_tokens` is 0 once its answer has begun."""

    cost: RequestCost
    prefill_tokens: int


class _Received(NamedTuple):
    """The sums of a replica, and what this router had reported for them."""

    sums: dict[int, TokenSum]
    own: dict[int, HeldTokens]
    routers: int
    at_s: float


class EngineTokens:
    """One router's estimate of the tokens at each engine.

    >>> from damaskwind.decisions.load.request_cost import PromptPart
    >>> tokens = EngineTokens()
    >>> cost = RequestCost((PromptPart(1, 1000),), 100, 50)
    >>> tokens.record_sent(1, "a", cost, 0.0); tokens.record_sent(2, "a", cost, 0.0)
    >>> tokens.use("a", 0.1).held_tokens, tokens.use("a", 0.1).prefill_tokens
    (1300, 1200)
    """

    def __init__(self) -> None:
        self._sends: dict[str, dict[int, _Send]] = {}
        self._used_s: dict[str, dict[int, float]] = {}
        self._last_reported: dict[str, dict[int, HeldTokens]] = {}
        self._received: dict[str, _Received] = {}
        # The best of these and the time at which it was chosen: a placement asks for each target.
        self._best_sums: tuple[float, _Received | None] | None = None
        self._change_per_s = 0.0

    def record_sent(self, number: int, target_id: str, cost: RequestCost, now_s: float) -> None:
        """Record a request that is being sent to an engine."""
        prefill = cost.prefill_tokens(self.use(target_id, now_s).cached_parts)
        self._sends.setdefault(target_id, {})[number] = _Send(cost, prefill)
        used_s = self._used_s.setdefault(target_id, {})
        for part in cost.shared:
            # Reinserted, so that the parts are in order of their last use.
            used_s.pop(part.digest, None)
            used_s[part.digest] = now_s

    def record_started(self, number: int, target_id: str) -> None:
        """Record that an answer began: its prompt has been read."""
        sends = self._sends.get(target_id, {})
        if number in sends:
            sends[number] = sends[number]._replace(prefill_tokens=0)

    def record_ended(self, number: int, target_id: str) -> None:
        """Record that an engine no longer works on a request."""
        self._sends.get(target_id, {}).pop(number, None)

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone or has restarted."""
        self._sends.pop(target_id, None)
        self._used_s.pop(target_id, None)
        digest = target_digest(target_id)
        for received in self._received.values():
            received.sums.pop(digest, None)

    def report_to(self, replica: str) -> tuple[HeldTokens, ...]:
        """Return what this router holds at each engine, and remember it for the next sum."""
        held = [self._held_here(name) for name, sends in self._sends.items() if sends]
        self._last_reported[replica] = {item.target: item for item in held}
        return tuple(held)

    def observe_sums(self, replica: str, sums: TokenSums, now_s: float) -> None:
        """Process the sums that a replica returned for the last report to it."""
        by_target = {item.target: item for item in sums.targets}
        own = self._last_reported.get(replica, {})
        self._observe_changes(replica, by_target, now_s - sums.age_s)
        self._best_sums = None
        self._received[replica] = _Received(by_target, own, sums.routers, now_s - sums.age_s)

    def _observe_changes(self, replica: str, sums: dict[int, TokenSum], at_s: float) -> None:
        """Learn how much the memory held at a target changes, as squared tokens per second."""
        before = self._received.get(replica)
        if before is None or not 0.0 < at_s - before.at_s < SUM_TTL_S:
            return
        for target, total in sums.items():
            change = held_tokens(total) - held_tokens(before.sums.get(target, TokenSum(target)))
            per_s = change * change / (at_s - before.at_s)
            self._change_per_s += CHANGE_WEIGHT * (per_s - self._change_per_s)

    def use(self, target_id: str, now_s: float) -> EngineUse:
        """Return what an engine holds now, as far as this router knows."""
        best = self._best(now_s)
        if best is None:
            return self.own_use(target_id, now_s)
        here = self._held_here(target_id)
        own_parts = {part.digest for part in here.parts}
        cached = own_parts | self._recently_used(target_id, now_s)
        total = best.sums.get(here.target, TokenSum(here.target))
        told = best.own.get(here.target, HeldTokens(here.target))
        their_parts = parts_of(total)
        unshared = max(total.unshared_tokens - told.unshared_tokens, 0) + here.unshared_tokens
        shared = sum(part.tokens for part in here.parts if part.digest not in their_parts)
        prefill = max(total.prefill_tokens - told.prefill_tokens, 0) + here.prefill_tokens
        return EngineUse(
            unshared + total.shared_tokens + shared,
            prefill,
            frozenset(own_parts | their_parts),
            frozenset(cached | their_parts),
            round(now_s - best.at_s, 3),
            sqrt(self._change_per_s * max(now_s - best.at_s, 0.0)),
        )

    def own_use(self, target_id: str, now_s: float) -> EngineUse:
        """Return what this router alone holds at an engine."""
        here = self._held_here(target_id)
        parts = frozenset(part.digest for part in here.parts)
        held_tokens = here.unshared_tokens + sum(part.tokens for part in here.parts)
        cached = parts | self._recently_used(target_id, now_s)
        return EngineUse(held_tokens, here.prefill_tokens, parts, cached, None)

    def has_sums(self, now_s: float) -> bool:
        """Return whether a recent sum is available."""
        return self._best(now_s) is not None

    def _held_here(self, target_id: str) -> HeldTokens:
        """Return what this router's own requests hold at an engine."""
        sends = self._sends.get(target_id, {}).values()
        parts = {part for send in sends for part in send.cost.shared}
        return HeldTokens(
            target_digest(target_id),
            sum(send.cost.unshared_tokens for send in sends),
            sum(send.prefill_tokens for send in sends),
            tuple(sorted(parts)),
        )

    def _recently_used(self, target_id: str, now_s: float) -> Collection[int]:
        """Return the parts that this router used at a target recently."""
        used_s = self._used_s.get(target_id, {})
        while used_s and now_s - next(iter(used_s.values())) >= CACHED_S:
            del used_s[next(iter(used_s))]
        return used_s.keys()

    def _best(self, now_s: float) -> _Received | None:
        """Return the sums to use now."""
        if self._best_sums is None or self._best_sums[0] != now_s:
            self._best_sums = (now_s, self._choose_best(now_s))
        return self._best_sums[1]

    def _choose_best(self, now_s: float) -> _Received | None:
        """Return the freshest of the sums that cover about as many routers as the largest."""
        usable = [item for item in self._received.values() if now_s - item.at_s < SUM_TTL_S]
        if not usable:
            return None
        enough = MIN_COVERAGE_SHARE * max(item.routers for item in usable)
        return max((item for item in usable if item.routers >= enough), key=lambda item: item.at_s)
