"""The registry of placement policies, and the baselines to measure against.

A policy is a function from a `Situation` to a `PlacementChoice`; decorate it with
`placement_policy` to give it a name that a configuration can use.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from damaskwind.decisions.load.estimate import LoadBook
from damaskwind.decisions.placement.messages import (
    CandidateNote,
    CandidateOutcome,
    PlacementChoice,
    PlacementQuery,
    PlacementReason,
)
from damaskwind.decisions.placement.pools import Tier
from damaskwind.decisions.placement.rank import scores
from damaskwind.decisions.placement.spills import SpillMemory

__all__ = ["PLACEMENT_POLICIES", "Situation", "placement_policy"]


class Situation(NamedTuple):
    """All that a policy may look at.

    `chat_key` is what to hash: the chat's digest, or for one of many parallel
    requests of one chat the digest and a part number; then `is_part` is set.
    """

    query: PlacementQuery
    tier: Tier
    chat_key: bytes
    is_part: bool
    book: LoadBook
    memory: SpillMemory
    mean_tokens: float
    load_factor: float
    random: Random
    turns: Iterator[int]
    now_s: float


Policy = Callable[[Situation], PlacementChoice]
PLACEMENT_POLICIES: dict[str, Policy] = {}


def placement_policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def register(policy: Policy) -> Policy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


def _allowed(situation: Situation) -> list[int]:
    """Return the positions of the targets that the query does not exclude."""
    excluded = situation.query.excluded
    return [i for i, name in enumerate(situation.tier.target_ids) if name not in excluded]


def _estimate(situation: Situation, position: int) -> float:
    """Return the estimated load of the target at a position."""
    target_id = situation.tier.target_ids[position]
    return situation.book.estimate_tokens(target_id, situation.now_s)


def _baseline_choice(situation: Situation, position: int) -> PlacementChoice:
    """Wrap a baseline's pick."""
    target_id = situation.tier.target_ids[position]
    load_tokens = _estimate(situation, position)
    note = CandidateNote(target_id, 0, load_tokens, float("inf"), CandidateOutcome.CHOSEN)
    return PlacementChoice(target_id, PlacementReason.BASELINE, (note,))


@placement_policy("round_robin")
def round_robin(situation: Situation) -> PlacementChoice:
    """Give each target a request in turn."""
    allowed = _allowed(situation)
    return _baseline_choice(situation, allowed[next(situation.turns) % len(allowed)])


@placement_policy("least_loaded")
def least_loaded(situation: Situation) -> PlacementChoice:
    """Choose the target with the least estimated load."""
    allowed = _allowed(situation)
    return _baseline_choice(situation, min(allowed, key=lambda i: _estimate(situation, i)))


@placement_policy("two_choices")
def two_choices(situation: Situation) -> PlacementChoice:
    """Choose the less loaded of two targets drawn at random.

    Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    allowed = _allowed(situation)
    drawn = situation.random.sample(allowed, min(2, len(allowed)))
    return _baseline_choice(situation, min(drawn, key=lambda i: _estimate(situation, i)))


@placement_policy("rendezvous")
def rendezvous(situation: Situation) -> PlacementChoice:
    """Choose the chat's first ranked target, whatever its load."""
    chat_scores = scores(situation.chat_key, situation.tier.seeds)
    best = max(_allowed(situation), key=chat_scores.__getitem__)
    return _baseline_choice(situation, best)
