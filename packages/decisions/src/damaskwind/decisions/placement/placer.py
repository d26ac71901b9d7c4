"""Place chats on targets by a named policy."""

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import nlargest
from itertools import count
from random import Random
from typing import NamedTuple

import xxhash

from damaskwind.decisions.load.estimate import LoadBook
from damaskwind.decisions.placement import bounded
from damaskwind.decisions.placement.messages import (
    PlacementChoice,
    PlacementQuery,
    PlacementReason,
    PoolSurvey,
    RankedTarget,
    SpillNote,
)
from damaskwind.decisions.placement.policies import PLACEMENT_POLICIES, Situation
from damaskwind.decisions.placement.pools import Pool, PoolTable, Tier
from damaskwind.decisions.placement.rank import scores
from damaskwind.decisions.placement.spills import SpillMemory
from damaskwind.model.targets import LoadReport, TargetView

__all__ = ["Placer"]

# The default policy registers itself on import.
DEFAULT_POLICY = bounded.bounded_rendezvous.__name__
MEAN_REFRESH_S = 0.05
MEAN_REFRESH_S_PER_TARGET = 2e-3
MAX_MEAN_REFRESH_S = 2.0
MEANS_LIMIT = 1000
PART_MEAN_SHARE = 0.25
_NO_TARGET = PlacementChoice(None, PlacementReason.NO_TARGET, ())


class _Mean(NamedTuple):
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
        self._turns = count(random.randrange(1 << 16))
        self._failure_domain = failure_domain
        self._table = PoolTable(_nearness(failure_domain, near_domains))
        self.book = LoadBook()
        self._memory = SpillMemory()
        self._means: dict[int, _Mean] = {}
        self._chosen_in: dict[str, Tier] = {}
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
        self.book.router_count = max(1, router_count)

    def set_near_domains(self, near_domains: Iterable[str]) -> None:
        """Change the near failure domains, as when one is out of reach; keep the loads."""
        self._table.set_nearness(_nearness(self._failure_domain, near_domains))

    def update_target(self, view: TargetView, now_s: float) -> None:
        """Add a target or replace what is known of it (its load: see `observe_report`)."""
        self._table.update(view)

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""
        self._table.remove(target_id)
        self._chosen_in.pop(target_id, None)
        self.book.forget(target_id)

    def targets(self) -> tuple[TargetView, ...]:
        """Return every known target."""
        return self._table.views()

    def estimate_tokens(self, target_id: str, now_s: float) -> float:
        """Return the estimated work in hand at a target."""
        return self.book.estimate_tokens(target_id, now_s)

    def observe_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take in a load report that arrived now; its `age_s` says when it was measured."""
        self.book.observe(target_id, report, now_s)

    def place(self, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Choose a target. Call `started` when the request is sent there."""
        pool = self._table.pool(query.pool)
        choice = self._place_in(pool.near, query, now_s)
        if choice.target_id is not None:
            return choice
        return self._place_far(pool, query, now_s, choice)

    def survey(self, query: PlacementQuery, ranked_count: int, now_s: float) -> PoolSurvey:
        """Tell how the near targets stand, for the record of a placement just made.

        A chat that finds room at home is placed after a look at one target: this
        names the ones that it would have gone to next.
        """
        tier = self._table.pool(query.pool).near
        if not tier.target_ids:
            return PoolSurvey(0, 0.0, ())
        mean_tokens = self._mean_without(query.excluded, tier, now_s)
        chat_key = query.chat_digest.encode() + self._part(query, mean_tokens, len(tier.target_ids))
        chat_scores = scores(chat_key, tier.seeds)
        best = nlargest(ranked_count, chat_scores)
        first = [tier.target_ids[chat_scores.index(score)] for score in best]
        loads = [RankedTarget(one, self.book.estimate_tokens(one, now_s)) for one in first]
        return PoolSurvey(len(tier.target_ids), mean_tokens, tuple(loads))

    def started(
        self, request_id: str, target_id: str, chat_digest: str, need_tokens: float, now_s: float
    ) -> None:
        """Count a request that was just sent to a target."""
        self.book.started(request_id, target_id, need_tokens, now_s)
        self._raise_mean(target_id, need_tokens)
        self._chat_of_request[request_id] = chat_digest
        self._chats_in_flight[chat_digest] += 1

    def finished(self, request_id: str, done: bool, now_s: float) -> None:
        """End a request; `done` says that it was served to its end."""
        self.book.finished(request_id, done, now_s)
        chat_digest = self._chat_of_request.pop(request_id, None)
        if chat_digest is None:
            return
        self._chats_in_flight[chat_digest] -= 1
        if self._chats_in_flight[chat_digest] <= 0:
            del self._chats_in_flight[chat_digest]

    def heard_spill(self, note: SpillNote, now_s: float) -> None:
        """Take in a peer's note."""
        self._memory.heard(note, now_s)

    def take_spill_notes(self, now_s: float) -> tuple[SpillNote, ...]:
        """Return own notes not yet gossiped, oldest first, and forget them."""
        return self._memory.take_notes()

    def _place_in(self, tier: Tier, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Ask the policy for a target of one tier."""
        if not tier.target_ids or query.excluded.issuperset(tier.target_ids):
            return _NO_TARGET
        mean_tokens = self._mean_without(query.excluded, tier, now_s)
        part = self._part(query, mean_tokens, len(tier.target_ids))
        situation = Situation(
            query,
            tier,
            query.chat_digest.encode() + part,
            bool(part),
            self.book,
            self._memory,
            mean_tokens,
            self._load_factor,
            self._random,
            self._turns,
            now_s,
        )
        choice = self._policy(situation)
        if choice.target_id is not None:
            self._chosen_in[choice.target_id] = tier
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

    def _raise_mean(self, target_id: str, need_tokens: float) -> None:
        """Count a request in the mean that is kept, as its target's own load does.

        Else a burst within one refresh would stand over the bound of a mean that
        does not know of it, on targets that are all nearly idle.
        """
        tier = self._chosen_in.get(target_id)
        mean = self._means.get(tier.number) if tier is not None else None
        if mean is not None:
            raised_tokens = mean.tokens + need_tokens / len(tier.target_ids)
            self._means[tier.number] = mean._replace(tokens=raised_tokens)

    def _mean_without(self, excluded: frozenset[str], tier: Tier, now_s: float) -> float:
        """Return the mean load of the targets that may be chosen.

        An excluded target is often idle (ejected, or just failed); counted in, it
        would put the rest over the bound of a mean that they can't bring about.
        """
        mean_tokens = self._mean_tokens(tier, now_s)
        left_out = excluded.intersection(tier.target_ids) if excluded else ()
        target_count = len(tier.target_ids)
        if len(left_out) in (0, target_count):
            return mean_tokens
        rest_tokens = mean_tokens * target_count - sum(
            self.book.estimate_tokens(target_id, now_s) for target_id in left_out
        )
        return max(rest_tokens, 0.0) / (target_count - len(left_out))

    def _mean_tokens(self, tier: Tier, now_s: float) -> float:
        """Return the mean estimated load of a tier, computed again when it is old."""
        refresh_s = MEAN_REFRESH_S + MEAN_REFRESH_S_PER_TARGET * len(tier.target_ids)
        refresh_s = min(refresh_s, MAX_MEAN_REFRESH_S)
        mean = self._means.get(tier.number)
        if mean is not None and now_s - mean.computed_s < refresh_s:
            return mean.tokens
        if len(self._means) > MEANS_LIMIT:
            self._means.clear()
        mean = _Mean(self.book.mean_tokens(tier.target_ids, now_s), now_s)
        self._means[tier.number] = mean
        return mean.tokens

    def _part(self, query: PlacementQuery, mean_tokens: float, target_count: int) -> bytes:
        """Split a chat with many parallel requests so that it fits below the bound.

        With so many requests of one chat in flight here, and as many at each
        peer, the chat is cut into parts that each put a share of the mean load on
        a target; the prefix chain's end draws the part. Usually there is one part.
        """
        parallel = self._chats_in_flight.get(query.chat_digest, 0) - 1
        if parallel <= 0:
            return b""
        tokens = parallel * self.book.router_count * query.need_tokens
        parts = 1
        while parts < target_count and parts * PART_MEAN_SHARE * mean_tokens < tokens:
            parts *= 2
        tail = query.prefix_digests[-1] if query.prefix_digests else ""
        part = xxhash.xxh3_64_intdigest(tail.encode()) % parts
        return f"/{part}".encode() if part else b""


def _domain_score(chat_key: bytes, tier: Tier) -> int:
    """Score a far failure domain for a chat by its first target's seed."""
    return xxhash.xxh3_64_intdigest(chat_key, tier.seeds[0])


def _nearness(own_domain: str, near_domains: Iterable[str] | None) -> Callable[[str], bool]:
    """Return the test for near failure domains."""
    if near_domains is None:
        return lambda failure_domain: True
    return frozenset((own_domain, *near_domains)).__contains__
