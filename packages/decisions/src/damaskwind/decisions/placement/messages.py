"""Define the inputs and the results of a placement."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "SHORT_DIGEST_HEX",
    "CandidateResult",
    "CandidateOutcome",
    "PlacementChoice",
    "PlacementQuery",
    "PlacementReason",
    "PoolName",
    "PoolSnapshot",
    "RankedTarget",
    "SpillNote",
    "short_digest",
]

SHORT_DIGEST_HEX = 7


def short_digest(chat_digest: str) -> str:
    """Return the first 28 bits of a digest in hex, which identify a chat in gossip.

    >>> short_digest("00112233445566778899aabbccddeeff")
    '0011223'
    """
    return chat_digest[:SHORT_DIGEST_HEX]


class PlacementReason(StrEnum):
    """Why a target was chosen, or why none was."""

    HOME = "home"
    SPILLED = "spilled"
    SPILL_NOTE = "spill_note"
    RETURNED_TO_LAST = "returned_to_last"
    REMOTE_DOMAIN = "remote_domain"
    BASELINE = "baseline"
    NONE_UNDER_BOUND = "none_under_bound"
    NO_TARGET = "no_target"


class CandidateOutcome(StrEnum):
    """The outcome for one candidate."""

    CHOSEN = "chosen"
    OVER_BOUND = "over_bound"
    THINNED = "thinned"
    FULL = "full"
    EXCLUDED = "excluded"


class PoolName(NamedTuple):
    """The name of the set of targets that can serve a query.

    `model` is empty for a plain service. An empty `adapter` requests none; an empty
    `version` matches any.
    """

    service: str
    model: str = ""
    version: str = ""
    adapter: str = ""


class PlacementQuery(NamedTuple):
    """A request to be placed on a target.

    `need_tokens` estimates the work: prompt tokens not expected in the cache
    plus tokens to generate. `prefix_digests` is the chat's prefix chain, oldest
    first. `excluded` contains the targets that this request has already tried.
    `is_new` is set if the chat has no answer yet, so that no target has a cache for it.
    """

    chat_digest: str
    prefix_digests: tuple[str, ...]
    account: str
    need_tokens: float
    failure_domain: str
    pool: PoolName
    excluded: frozenset[str] = frozenset()
    is_new: bool = False


class CandidateResult(NamedTuple):
    """One target that was considered, with its load, its bound and the outcome."""

    target_id: str
    rank: int
    estimated_load_tokens: float
    bound_tokens: float
    outcome: CandidateOutcome


class PlacementChoice(NamedTuple):
    """The chosen target, if any, the reason, and the candidates considered.

    On `NONE_UNDER_BOUND` the caller should queue the request and try again;
    `NO_TARGET` means that no live target offers what the query requires.
    """

    target_id: str | None
    reason: PlacementReason
    candidates: tuple[CandidateResult, ...]


class RankedTarget(NamedTuple):
    """A target in a chat's rendezvous ranking, with its estimated load."""

    target_id: str
    estimated_load_tokens: float


class PoolSnapshot(NamedTuple):
    """The load of a pool's near targets at a placement, including those not considered.

    `first_in_rank` lists the first targets of the chat's ranking, its home first.
    """

    target_count: int
    mean_load_tokens: float
    first_in_rank: tuple[RankedTarget, ...]


class SpillNote(NamedTuple):
    """A gossip message: the target, away from its home, that last served a chat."""

    chat_short_digest: str
    target_id: str
