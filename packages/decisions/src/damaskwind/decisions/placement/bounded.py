"""Serve chats at their home while it is under the load bound; spill in rank order.

The candidates of a chat are the target that last served it away from home, then its
home, then the rest of its rendezvous ranking. A chat that returns keeps its target until
the load nears the bound; a chat that is new, or has to move anyway, takes only a target
that is well below it. Since each chat has its own ranking, the chats that leave a hot
target scatter over all others instead of herding onto the one that looks idle. After
Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018,
with estimated loads and gradual spilling.
"""

from collections.abc import Iterator
from typing import NamedTuple

from damaskwind.decisions.load.bound import (
    LoadLevels,
    SpillRamp,
    levels_for,
    spill_draw,
    spill_share,
)
from damaskwind.decisions.placement.messages import (
    CandidateOutcome,
    CandidateResult,
    PlacementChoice,
    PlacementReason,
    short_digest,
)
from damaskwind.decisions.placement.policies import PlacementContext, placement_policy
from damaskwind.decisions.placement.rank import rank_order, scores
from damaskwind.decisions.placement.spills import LastTarget

__all__ = ["bounded_rendezvous"]

STAY_RAMP = SpillRamp(0.6, 1.0, 0.1)
NEW_RAMP = SpillRamp(0.2, 1.0, 0.3)
HOME_RAMP = SpillRamp(0.2, 1.0, 0.3)
MOVE_RAMP = SpillRamp(-0.7, 1.6, 1.2)
MIN_HEADROOM_REQUESTS = 2.0
MAX_CANDIDATES = 64


class _Candidate(NamedTuple):
    """One target to evaluate; `rank` 0 is the home."""

    position: int
    rank: int
    ramp: SpillRamp
    reason: PlacementReason


def _candidates(
    context: PlacementContext, chat_scores: list[int], last: LastTarget | None
) -> Iterator[_Candidate]:
    """Yield the candidates in order; the full ranking is computed only if needed."""
    target_ids = context.tier.target_ids
    home = chat_scores.index(max(chat_scores))
    ramp = NEW_RAMP if context.query.is_new else STAY_RAMP
    tried = set()
    if last is not None and last.target_id in target_ids:
        position = target_ids.index(last.target_id)
        reason = PlacementReason.SPILL_NOTE if last.from_peer else PlacementReason.RETURNED_TO_LAST
        tried.add(position)
        yield _Candidate(position, 0 if position == home else -1, ramp, reason)
        ramp = HOME_RAMP
    if home not in tried:
        tried.add(home)
        yield _Candidate(home, 0, ramp, PlacementReason.HOME)
    for rank, position in enumerate(rank_order(chat_scores)[:MAX_CANDIDATES]):
        if position not in tried:
            yield _Candidate(position, rank, MOVE_RAMP, PlacementReason.SPILLED)


def _levels(context: PlacementContext, target_id: str, ramp: SpillRamp) -> LoadLevels:
    """Return the load levels of a target for a ramp."""
    load = context.load_table.load(target_id)
    error_sd_tokens = load.error_sd_tokens(context.now_s)
    min_headroom_tokens = MIN_HEADROOM_REQUESTS * context.query.need_tokens
    capacity_tokens = load.capacity_tokens or float("inf")
    return levels_for(
        ramp,
        context.mean_tokens,
        context.load_factor,
        error_sd_tokens,
        min_headroom_tokens,
        capacity_tokens,
    )


def _evaluate(context: PlacementContext, candidate: _Candidate) -> CandidateResult:
    """Evaluate one candidate."""
    target_id = context.tier.target_ids[candidate.position]
    load_tokens = context.load_table.estimate_tokens(target_id, context.now_s)
    levels = _levels(context, target_id, candidate.ramp)
    share = spill_share(load_tokens, levels)
    if target_id in context.query.excluded:
        outcome = CandidateOutcome.EXCLUDED
    elif load_tokens >= (context.load_table.load(target_id).capacity_tokens or float("inf")):
        outcome = CandidateOutcome.FULL
    elif share >= 1.0:
        outcome = CandidateOutcome.OVER_BOUND
    elif share > 0.0 and _draw(context, candidate) < share:
        outcome = CandidateOutcome.THINNED
    else:
        outcome = CandidateOutcome.CHOSEN
    return CandidateResult(target_id, candidate.rank, load_tokens, levels.bound_tokens, outcome)


def _draw(context: PlacementContext, candidate: _Candidate) -> float:
    """Return the chat's hash draw at a candidate."""
    return spill_draw(context.chat_key, context.tier.seeds[candidate.position])


def _first_under_bound(results: list[CandidateResult]) -> CandidateResult | None:
    """Return the first candidate under the bound, when all were over their spill levels.

    The least loaded one is not used, since every router would choose the same.
    """
    refused = (CandidateOutcome.EXCLUDED, CandidateOutcome.FULL)
    for result in results:
        if result.outcome not in refused and result.estimated_load_tokens <= result.bound_tokens:
            return result
    return None


def _record_spill(
    context: PlacementContext, target_id: str, rank: int, last: LastTarget | None
) -> None:
    """Record a chat that is served away from home, or at home again after that."""
    if not context.is_shard and (rank != 0 or last is not None):
        chat = short_digest(context.query.chat_digest)
        context.spills.record(chat, target_id, context.now_s)


@placement_policy("bounded_rendezvous")
def bounded_rendezvous(context: PlacementContext) -> PlacementChoice:
    """Place a chat on the first target in its order that is under the load bound."""
    chat = short_digest(context.query.chat_digest)
    last = None if context.is_shard else context.spills.last_target(chat, context.now_s)
    chat_scores = scores(context.chat_key, context.tier.seeds)
    results: list[CandidateResult] = []
    for candidate in _candidates(context, chat_scores, last):
        result = _evaluate(context, candidate)
        results.append(result)
        if result.outcome is CandidateOutcome.CHOSEN:
            _record_spill(context, result.target_id, result.rank, last)
            return PlacementChoice(result.target_id, candidate.reason, tuple(results))
    fallback = _first_under_bound(results)
    if fallback is None:
        return PlacementChoice(None, PlacementReason.NONE_UNDER_BOUND, tuple(results))
    _record_spill(context, fallback.target_id, fallback.rank, last)
    return PlacementChoice(fallback.target_id, PlacementReason.SPILLED, tuple(results))
