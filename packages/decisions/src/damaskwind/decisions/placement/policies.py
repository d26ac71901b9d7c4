"""Registry of placement policies, and baseline policies for comparison.

A policy is a function from a `PlacementContext` to a `PlacementChoice`; the decorator
`placement_policy` registers it under a name that a configuration can use.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from damaskwind.decisions.load.estimate import LoadTable
from damaskwind.decisions.placement.messages import (
    CandidateOutcome,
    CandidateResult,
    PlacementChoice,
    PlacementQuery,
    PlacementReason,
)
from damaskwind.decisions.placement.pools import Tier
from damaskwind.decisions.placement.rank import scores
from damaskwind.decisions.placement.spills import SpillCache

__all__ = ["PLACEMENT_POLICIES", "PlacementContext", "placement_policy"]


class PlacementContext(NamedTuple):
    """The input of a policy.

    `chat_key` is the key to hash: the chat's digest or, if `is_shard` is set, the digest
    and a shard number for one of many parallel requests of one chat.
    """

    query: PlacementQuery
    tier: Tier
    chat_key: bytes
    is_shard: bool
    load_table: LoadTable
    spills: SpillCache
    mean_tokens: float
    load_factor: float
    random: Random
    round_robin_counter: Iterator[int]
    now_s: float


Policy = Callable[[PlacementContext], PlacementChoice]
PLACEMENT_POLICIES: dict[str, Policy] = {}


def placement_policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def register(policy: Policy) -> Policy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


def _allowed(context: PlacementContext) -> list[int]:
    """Return the positions of the targets that the query does not exclude."""
    excluded = context.query.excluded
    return [i for i, name in enumerate(context.tier.target_ids) if name not in excluded]


def _estimate(context: PlacementContext, position: int) -> float:
    """Return the estimated load of the target at a position."""
    target_id = context.tier.target_ids[position]
    return context.load_table.estimate_tokens(target_id, context.now_s)


def _baseline_choice(context: PlacementContext, position: int) -> PlacementChoice:
    """Return the choice of a baseline policy."""
    target_id = context.tier.target_ids[position]
    load_tokens = _estimate(context, position)
    result = CandidateResult(target_id, 0, load_tokens, float("inf"), CandidateOutcome.CHOSEN)
    return PlacementChoice(target_id, PlacementReason.BASELINE, (result,))


@placement_policy("round_robin")
def round_robin(context: PlacementContext) -> PlacementChoice:
    """Choose the targets in turn."""
    allowed = _allowed(context)
    return _baseline_choice(context, allowed[next(context.round_robin_counter) % len(allowed)])


@placement_policy("least_loaded")
def least_loaded(context: PlacementContext) -> PlacementChoice:
    """Choose the target with the least estimated load."""
    allowed = _allowed(context)
    return _baseline_choice(context, min(allowed, key=lambda i: _estimate(context, i)))


@placement_policy("two_choices")
def two_choices(context: PlacementContext) -> PlacementChoice:
    """Choose the less loaded of two targets drawn at random.

    Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    allowed = _allowed(context)
    drawn = context.random.sample(allowed, min(2, len(allowed)))
    return _baseline_choice(context, min(drawn, key=lambda i: _estimate(context, i)))


@placement_policy("rendezvous")
def rendezvous(context: PlacementContext) -> PlacementChoice:
    """Choose the chat's first target in rank, regardless of load."""
    chat_scores = scores(context.chat_key, context.tier.seeds)
    best = max(_allowed(context), key=chat_scores.__getitem__)
    return _baseline_choice(context, best)
