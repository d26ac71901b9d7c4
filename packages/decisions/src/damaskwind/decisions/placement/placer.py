"""Place chats on targets using a named policy."""

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
    """The mean load of a tier and when it was computed."""

    tokens: float
    computed_s: float


class Placer:
    """One router's placement state: its targets, their loads, and the chats that spilled.

    `near_domains` are the failure domains whose targets are ranked together with
    those of the router's own: a chat has the same home there on every router.
    With `None` every failure domain is near.
    Targets of other failure domains are considered only if no near one can take the
    request, one domain after the other in an order determined by the chat's digest.
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
        """Change the policy and the load factor; targets and loads are kept.

        Raises `KeyError` if the policy is not registered.
        """
        self._policy = PLACEMENT_POLICIES[policy_name]
        self._load_factor = load_factor

    def set_router_count(self, router_count: int) -> None:
        """Set how many routers share the targets."""
        self.load_table.router_count = max(1, router_count)

    def set_near_domains(self, near_domains: Iterable[str]) -> None:
        """Change the near failure domains, for example when one is unreachable; keep the loads."""
        self._table.set_nearness(_nearness(self._failure_domain, near_domains))

    def update_target(self, view: TargetView, now_s: float) -> None:
        """Add or update a target; `observe_report` updates its load."""
        self._table.update(view)

    def remove_target(self, target_id: str) -> None:
        """Remove a target and its load."""
        self._table.remove(target_id)
        self._tier_of_target.pop(target_id, None)
        self.load_table.forget(target_id)

    def targets(self) -> tuple[TargetView, ...]:
        """Return all known targets."""
        return self._table.views()

    def estimate_tokens(self, target_id: str, now_s: float) -> float:
        """Return the estimated outstanding work at a target, in tokens."""
        return self.load_table.estimate_tokens(target_id, now_s)

    def observe_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Process a load report received now; `age_s` is the time since it was measured."""
        self.load_table.observe(target_id, report, now_s)

    def place(self, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Choose a target. Call `started` when the request is sent to it."""
        pool = self._table.pool(query.pool)
        choice = self._place_in(pool.near, query, now_s)
        if choice.target_id is not None:
            return choice
        return self._place_far(pool, query, now_s, choice)

    def pool_snapshot(self, query: PlacementQuery, ranked_count: int, now_s: float) -> PoolSnapshot:
        """Return the loads of the near targets, to explain a placement just made.

        A chat that fits on its home is placed after only one target was considered; the
        snapshot includes the targets that would have been next.
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

    def record_started(
        self, request_id: str, target_id: str, chat_digest: str, need_tokens: float, now_s: float
    ) -> None:
        """Record that a request was just sent to a target."""
        self.load_table.record_started(request_id, target_id, need_tokens, now_s)
        self._add_to_mean(target_id, need_tokens)
        self._chat_of_request[request_id] = chat_digest
        self._chats_in_flight[chat_digest] += 1

    def record_finished(self, request_id: str, done: bool, now_s: float) -> None:
        """Record the end of a request; `done` is set if it was served completely."""
        self.load_table.record_finished(request_id, done, now_s)
        chat_digest = self._chat_of_request.pop(request_id, None)
        if chat_digest is None:
            return
        self._chats_in_flight[chat_digest] -= 1
        if self._chats_in_flight[chat_digest] <= 0:
            del self._chats_in_flight[chat_digest]

    def observe_spill_note(self, note: SpillNote, now_s: float) -> None:
        """Process a spill note received from a peer."""
        self._spills.record_from_peer(note, now_s)

    def pop_spill_notes(self, now_s: float) -> tuple[SpillNote, ...]:
        """Remove and return own spill notes not yet gossiped, oldest first."""
        return self._spills.pop_notes()

    def _place_in(self, tier: Tier, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Choose a target of one tier by the policy."""
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
        """Try the far failure domains in the order of their scores for the chat."""
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
        """Add a request to the cached mean, as it is added to its target's load.

        Otherwise a burst within one refresh interval would exceed a bound computed
        from the outdated mean, even on targets that are all nearly idle.
        """
        tier = self._tier_of_target.get(target_id)
        mean = self._means.get(tier.number) if tier is not None else None
        if mean is not None:
            mean_tokens = mean.tokens + need_tokens / len(tier.target_ids)
            self._means[tier.number] = mean._replace(tokens=mean_tokens)

    def _mean_without(self, excluded: frozenset[str], tier: Tier, now_s: float) -> float:
        """Return the mean load of the targets that are not excluded.

        An excluded target is often idle because it is ejected or just failed. Including
        it would lower the mean so that the other targets exceed the bound.
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
        """Return the mean estimated load of a tier, recomputed after the refresh interval."""
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
        """Return the key suffix that shards a chat with many parallel requests.

        Each peer is assumed to have as many requests of the chat in flight as this
        router. The chat is split into shards that each add at most a share of the mean
        load to a target, so that it fits below the bound; the last prefix digest selects
        the shard. Usually there is one shard, and the suffix is empty.
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
    """Return a chat's rendezvous score for a far failure domain, from its first target's seed."""
    return xxhash.xxh3_64_intdigest(chat_key, tier.seeds[0])


def _nearness(own_domain: str, near_domains: Iterable[str] | None) -> Callable[[str], bool]:
    """Return a predicate that is true for near failure domains."""
    if near_domains is None:
        return lambda failure_domain: True
    return frozenset((own_domain, *near_domains)).__contains__
