"""Place chats on targets by a named policy."""

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import nlargest
from itertools import count
from random import Random
from typing import NamedTuple

import xxhash

from damaskwind.decisions.load.estimate import LoadTable
from damaskwind.decisions.placement import bounded
from damaskwind.decisions.placement.messages import (
    PlacementChoice,
    PlacementQuery,
    PlacementReason,
    PoolSnapshot,
    RankedTarget,
    SpillNote,
)
from damaskwind.decisions.placement.policies import PLACEMENT_POLICIES, PlacementContext
from damaskwind.decisions.placement.pools import Pool, PoolTable, Tier
from damaskwind.decisions.placement.rank import scores
from damaskwind.decisions.placement.spills import SpillCache
from damaskwind.model.targets import LoadReport, TargetView

__all__ = ["Placer"]

# The default policy registers itself on import.
DEFAULT_POLICY = bounded.bounded_rendezvous.__name__
MEAN_REFRESH_S = 0.05
MEAN_REFRESH_S_PER_TARGET = 2e-3
MAX_MEAN_REFRESH_S = 2.0
MAX_CACHED_MEANS = 1000
SHARD_MEAN_SHARE = 0.25
_NO_TARGET = PlacementChoice(None, PlacementReason.NO_TARGET, ())


class _CachedMean(NamedTuple):
    """The mean load of a tier as computed at a time."""

    tokens: float
    computed_s: float


class Placer:
    """One router's placement: its targets, their loads, and the chats that spilled.

    `near_domains` are the failure domains whose targets rank together with the
    router's own: a chat keeps its home there whichever router it comes through;
    `None` makes every failure domain a near one.
    Targets of other failure domains are asked only when no near one can take the
    request, one domain after the other in an order that the chat's digest draws.
    """

    def __init__(
        self,
        policy_name: str,
        router_id: str,
        failure_domain: str,
        load_factor: float,
        random: Random,
        near_domains: Iterable[str] | None = (),
    ) -> None:
        self.router_id = router_id
        self._random = random
        self._round_robin_counter = count(random.randrange(1 << 16))
        self._failure_domain = failure_domain
        self._table = PoolTable(_nearness(failure_domain, near_domains))
        self.load_table = LoadTable()
        self._spills = SpillCache()
        self._means: dict[int, _CachedMean] = {}
        self._tier_of_target: dict[str, Tier] = {}
        self._chats_in_flight: Counter[str] = Counter()
        self._chat_of_request: dict[str, str] = {}
        self.set_policy(policy_name, load_factor)

    def set_policy(self, policy_name: str, load_factor: float) -> None:
        """Change the policy and the bound, keeping targets and loads.

        Raises `KeyError` for a name that is not registered.
        """
        self._policy = PLACEMENT_POLICIES[policy_name]
        self._load_factor = load_factor

    def set_router_count(self, router_count: int) -> None:
        """Say how many routers share the targets."""
        self.load_table.router_count = max(1, router_count)

    def set_near_domains(self, near_domains: Iterable[str]) -> None:
        """Change the near failure domains, as when one is out of reach; keep the loads."""
        self._table.set_nearness(_nearness(self._failure_domain, near_domains))

    def update_target(self, view: TargetView, now_s: float) -> None:
        """Add a target or replace what is known of it (its load: see `observe_report`)."""
        self._table.update(view)

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""
        self._table.remove(target_id)
        self._tier_of_target.pop(target_id, None)
        self.load_table.forget(target_id)

    def targets(self) -> tuple[TargetView, ...]:
        """Return every known target."""
        return self._table.views()

    def estimate_tokens(self, target_id: str, now_s: float) -> float:
        """Return the estimated work in hand at a target."""
        return self.load_table.estimate_tokens(target_id, now_s)

    def observe_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take in a load report that arrived now; its `age_s` says when it was measured."""
        self.load_table.observe(target_id, report, now_s)

    def place(self, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Choose a target. Call `started` when the request is sent there."""
        pool = self._table.pool(query.pool)
        choice = self._place_in(pool.near, query, now_s)
        if choice.target_id is not None:
            return choice
        return self._place_far(pool, query, now_s, choice)

    def pool_snapshot(self, query: PlacementQuery, ranked_count: int, now_s: float) -> PoolSnapshot:
        """Tell how the near targets stand, for the record of a placement just made.

        A chat that finds room at home is placed after a look at one target: this
        names the ones that it would have gone to next.
        """
        tier = self._table.pool(query.pool).near
        if not tier.target_ids:
            return PoolSnapshot(0, 0.0, ())
        mean_tokens = self._mean_without(query.excluded, tier, now_s)
        chat_key = query.chat_digest.encode() + self._shard_suffix(
            query, mean_tokens, len(tier.target_ids)
        )
        chat_scores = scores(chat_key, tier.seeds)
        best = nlargest(ranked_count, chat_scores)
        first = [tier.target_ids[chat_scores.index(score)] for score in best]
        loads = [RankedTarget(name, self.load_table.estimate_tokens(name, now_s)) for name in first]
        return PoolSnapshot(len(tier.target_ids), mean_tokens, tuple(loads))

    def started(
        self, request_id: str, target_id: str, chat_digest: str, need_tokens: float, now_s: float
    ) -> None:
        """Count a request that was just sent to a target."""
        self.load_table.started(request_id, target_id, need_tokens, now_s)
        self._add_to_mean(target_id, need_tokens)
        self._chat_of_request[request_id] = chat_digest
        self._chats_in_flight[chat_digest] += 1

    def finished(self, request_id: str, done: bool, now_s: float) -> None:
        """End a request; `done` says that it was served to its end."""
        self.load_table.finished(request_id, done, now_s)
        chat_digest = self._chat_of_request.pop(request_id, None)
        if chat_digest is None:
            return
        self._chats_in_flight[chat_digest] -= 1
        if self._chats_in_flight[chat_digest] <= 0:
            del self._chats_in_flight[chat_digest]

    def observe_spill_note(self, note: SpillNote, now_s: float) -> None:
        """Take in a peer's note."""
        self._spills.record_from_peer(note, now_s)

    def pop_spill_notes(self, now_s: float) -> tuple[SpillNote, ...]:
        """Return own notes not yet gossiped, oldest first, and forget them."""
        return self._spills.pop_notes()

    def _place_in(self, tier: Tier, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Ask the policy for a target of one tier."""
        if not tier.target_ids or query.excluded.issuperset(tier.target_ids):
            return _NO_TARGET
        mean_tokens = self._mean_without(query.excluded, tier, now_s)
        shard_suffix = self._shard_suffix(query, mean_tokens, len(tier.target_ids))
        context = PlacementContext(
            query,
            tier,
            query.chat_digest.encode() + shard_suffix,
            bool(shard_suffix),
            self.load_table,
            self._spills,
            mean_tokens,
            self._load_factor,
            self._random,
            self._round_robin_counter,
            now_s,
        )
        choice = self._policy(context)
        if choice.target_id is not None:
            self._tier_of_target[choice.target_id] = tier
        return choice

    def _place_far(
        self, pool: Pool, query: PlacementQuery, now_s: float, near_choice: PlacementChoice
    ) -> PlacementChoice:
        """Ask the far failure domains in the chat's own order."""
        chat_key = query.chat_digest.encode()
        candidates = near_choice.candidates
        for tier in sorted(pool.far, key=lambda tier: _domain_score(chat_key, tier), reverse=True):
            choice = self._place_in(tier, query, now_s)
            candidates += choice.candidates
            if choice.target_id is not None:
                return PlacementChoice(choice.target_id, PlacementReason.REMOTE_DOMAIN, candidates)
        reason = PlacementReason.NONE_UNDER_BOUND if candidates else PlacementReason.NO_TARGET
        return PlacementChoice(None, reason, candidates)

    def _add_to_mean(self, target_id: str, need_tokens: float) -> None:
        """Count a request in the mean that is kept, as its target's own load does.

        Else a burst within one refresh would stand over the bound of a mean that
        does not know of it, on targets that are all nearly idle.
        """
        tier = self._tier_of_target.get(target_id)
        mean = self._means.get(tier.number) if tier is not None else None
        if mean is not None:
            mean_tokens = mean.tokens + need_tokens / len(tier.target_ids)
            self._means[tier.number] = mean._replace(tokens=mean_tokens)

    def _mean_without(self, excluded: frozenset[str], tier: Tier, now_s: float) -> float:
        """Return the mean load of the targets that may be chosen.

        An excluded target is often idle (ejected, or just failed); counted in, it
        would put the rest over the bound of a mean that they can't bring about.
        """
        mean_tokens = self._mean_tokens(tier, now_s)
        excluded_ids = excluded.intersection(tier.target_ids) if excluded else ()
        target_count = len(tier.target_ids)
        if len(excluded_ids) in (0, target_count):
            return mean_tokens
        rest_tokens = mean_tokens * target_count - sum(
            self.load_table.estimate_tokens(target_id, now_s) for target_id in excluded_ids
        )
        return max(rest_tokens, 0.0) / (target_count - len(excluded_ids))

    def _mean_tokens(self, tier: Tier, now_s: float) -> float:
        """Return the mean estimated load of a tier, computed again when it is old."""
        refresh_s = MEAN_REFRESH_S + MEAN_REFRESH_S_PER_TARGET * len(tier.target_ids)
        refresh_s = min(refresh_s, MAX_MEAN_REFRESH_S)
        mean = self._means.get(tier.number)
        if mean is not None and now_s - mean.computed_s < refresh_s:
            return mean.tokens
        if len(self._means) > MAX_CACHED_MEANS:
            self._means.clear()
        mean = _CachedMean(self.load_table.mean_tokens(tier.target_ids, now_s), now_s)
        self._means[tier.number] = mean
        return mean.tokens

    def _shard_suffix(self, query: PlacementQuery, mean_tokens: float, target_count: int) -> bytes:
        """Split a chat with many parallel requests so that it fits below the bound.

        With so many requests of one chat in flight here, and as many at each
        peer, the chat is cut into shard_count that each put a share of the mean load on
        a target; the prefix chain's end draws the part. Usually there is one part.
        """
        parallel = self._chats_in_flight.get(query.chat_digest, 0) - 1
        if parallel <= 0:
            return b""
        tokens = parallel * self.load_table.router_count * query.need_tokens
        shard_count = 1
        while shard_count < target_count and shard_count * SHARD_MEAN_SHARE * mean_tokens < tokens:
            shard_count *= 2
        tail = query.prefix_digests[-1] if query.prefix_digests else ""
        shard = xxhash.xxh3_64_intdigest(tail.encode()) % shard_count
        return f"/{shard}".encode() if shard else b""


def _domain_score(chat_key: bytes, tier: Tier) -> int:
    """Score a far failure domain for a chat by its first target's seed."""
    return xxhash.xxh3_64_intdigest(chat_key, tier.seeds[0])


def _nearness(own_domain: str, near_domains: Iterable[str] | None) -> Callable[[str], bool]:
    """Return the test for near failure domains."""
    if near_domains is None:
        return lambda failure_domain: True
    return frozenset((own_domain, *near_domains)).__contains__
