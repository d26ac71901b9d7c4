"""Keep chats at home while it is under the load bound, and spill along their rank.

A chat is first looked for where it was last served away from home, then at its
home, then down its own ranked list. Chats that return hold their place until the
target nears the bound; chats that are new, or have to move anyway, take only a
target that is well below it. Since each chat has its own ranked list, the chats
that leave a hot target scatter over all others in place of herding onto the one
that looked idle. After Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing
with bounded loads", SODA 2018, with estimated loads and gradual spilling.
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
    CandidateNote,
    CandidateOutcome,
    PlacementChoice,
    PlacementReason,
    short_digest,
)
from damaskwind.decisions.placement.policies import Situation, placement_policy
from damaskwind.decisions.placement.rank import rank_order, scores
from damaskwind.decisions.placement.spills import LastPlace

__all__ = ["bounded_rendezvous"]

STAY_RAMP = SpillRamp(0.6, 1.0, 0.1)
NEW_RAMP = SpillRamp(0.2, 1.0, 0.3)
HOME_RAMP = SpillRamp(0.2, 1.0, 0.3)
MOVE_RAMP = SpillRamp(-0.7, 1.6, 1.2)
LEAST_ROOM_REQUESTS = 2.0
MAX_CANDIDATES = 64


class _Candidate(NamedTuple):
    """One target in the order of trial; `rank` 0 is home."""

    position: int
    rank: int
    ramp: SpillRamp
    reason: PlacementReason


def _candidates(
    situation: Situation, chat_scores: list[int], last: LastPlace | None
) -> Iterator[_Candidate]:
    """Yield the candidates in order; the full ranking is made only when needed."""
    target_ids = situation.tier.target_ids
    home = chat_scores.index(max(chat_scores))
    hold = NEW_RAMP if situation.query.is_new else STAY_RAMP
    tried = set()
    if last is not None and last.target_id in target_ids:
        position = target_ids.index(last.target_id)
        reason = PlacementReason.SPILL_NOTE if last.from_peer else PlacementReason.RETURNED_TO_LAST
        tried.add(position)
        yield _Candidate(position, 0 if position == home else -1, hold, reason)
        hold = HOME_RAMP
    if home not in tried:
        tried.add(home)
        yield _Candidate(home, 0, hold, PlacementReason.HOME)
    for rank, position in enumerate(rank_order(chat_scores)[:MAX_CANDIDATES]):
        if position not in tried:
            yield _Candidate(position, rank, MOVE_RAMP, PlacementReason.SPILLED)


def _levels(situation: Situation, target_id: str, ramp: SpillRamp) -> LoadLevels:
    """Return the levels of a target for a ramp."""
    load = situation.book.load(target_id)
    error_sd_tokens = load.error_sd_tokens(situation.now_s)
    least_room_tokens = LEAST_ROOM_REQUESTS * situation.query.need_tokens
    capacity_tokens = load.capacity_tokens or float("inf")
    return levels_for(
        ramp,
        situation.mean_tokens,
        situation.load_factor,
        error_sd_tokens,
        least_room_tokens,
        capacity_tokens,
    )


def _try(situation: Situation, candidate: _Candidate) -> CandidateNote:
    """Judge one candidate."""
    target_id = situation.tier.target_ids[candidate.position]
    load_tokens = situation.book.estimate_tokens(target_id, situation.now_s)
    levels = _levels(situation, target_id, candidate.ramp)
    share = spill_share(load_tokens, levels)
    if target_id in situation.query.excluded:
        outcome = CandidateOutcome.EXCLUDED
    elif load_tokens >= (situation.book.load(target_id).capacity_tokens or float("inf")):
        outcome = CandidateOutcome.FULL
    elif share >= 1.0:
        outcome = CandidateOutcome.OVER_BOUND
    elif share > 0.0 and _draw(situation, candidate) < share:
        outcome = CandidateOutcome.THINNED
    else:
        outcome = CandidateOutcome.CHOSEN
    return CandidateNote(target_id, candidate.rank, load_tokens, levels.bound_tokens, outcome)


def _draw(situation: Situation, candidate: _Candidate) -> float:
    """Draw the chat's number at a candidate."""
    return spill_draw(situation.chat_key, situation.tier.seeds[candidate.position])


def _first_under_bound(notes: list[CandidateNote]) -> CandidateNote | None:
    """Return the chat's first candidate that could take it, when all were over their levels.

    Not the least loaded one: every router would choose the same.
    """
    refused = (CandidateOutcome.EXCLUDED, CandidateOutcome.FULL)
    for note in notes:
        if note.outcome not in refused and note.estimated_load_tokens <= note.bound_tokens:
            return note
    return None


def _remember(situation: Situation, target_id: str, rank: int, last: LastPlace | None) -> None:
    """Note a chat that is served away from home, or that is back from there."""
    if not situation.is_part and (rank != 0 or last is not None):
        chat = short_digest(situation.query.chat_digest)
        situation.memory.note(chat, target_id, situation.now_s)


@placement_policy("bounded_rendezvous")
def bounded_rendezvous(situation: Situation) -> PlacementChoice:
    """Place a chat under the load bound, as near to its cache as the bound allows."""
    chat = short_digest(situation.query.chat_digest)
    last = None if situation.is_part else situation.memory.last(chat, situation.now_s)
    chat_scores = scores(situation.chat_key, situation.tier.seeds)
    notes: list[CandidateNote] = []
    for candidate in _candidates(situation, chat_scores, last):
        note = _try(situation, candidate)
        notes.append(note)
        if note.outcome is CandidateOutcome.CHOSEN:
            _remember(situation, note.target_id, note.rank, last)
            return PlacementChoice(note.target_id, candidate.reason, tuple(notes))
    fallback = _first_under_bound(notes)
    if fallback is None:
        return PlacementChoice(None, PlacementReason.NONE_UNDER_BOUND, tuple(notes))
    _remember(situation, fallback.target_id, fallback.rank, last)
    return PlacementChoice(fallback.target_id, PlacementReason.SPILLED, tuple(notes))
