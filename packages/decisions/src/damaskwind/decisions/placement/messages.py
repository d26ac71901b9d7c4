"""What goes into a placement and what comes out of it."""

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
    """Return the first 28 bits of a digest, in hex: enough to name a chat in gossip.

    >>> short_digest("00112233445566778899aabbccddeeff")
    '0011223'
    """
    return chat_digest[:SHORT_DIGEST_HEX]


class PlacementReason(StrEnum):
    """Say why a target was chosen, or why none was."""

    HOME = "home"
    SPILLED = "spilled"
    SPILL_NOTE = "spill_note"
    RETURNED_TO_LAST = "returned_to_last"
    REMOTE_DOMAIN = "remote_domain"
    BASELINE = "baseline"
    NONE_UNDER_BOUND = "none_under_bound"
    NO_TARGET = "no_target"


class CandidateOutcome(StrEnum):
    """Say what became of one candidate."""

    CHOSEN = "chosen"
    OVER_BOUND = "over_bound"
    THINNED = "thinned"
    FULL = "full"
    EXCLUDED = "excluded"


class PoolName(NamedTuple):
    """The targets that can serve a query; a plain service leaves the model empty.

    An empty `adapter` asks for none; an empty `version` takes any.
    """

    service: str
    model: str = ""
    version: str = ""
    adapter: str = ""


class PlacementQuery(NamedTuple):
    """A request that wants a target.

    `need_tokens` estimates the work: prompt tokens not expected in the cache
    plus tokens to generate. `prefix_digests` is the chat's prefix chain, oldest
    first. `excluded` names targets that this request has already tried. `is_new`
    says that the chat has no answer yet, so that no cache is lost wherever it goes.
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
    """How one target looked when it was considered."""

    target_id: str
    rank: int
    estimated_load_tokens: float
    bound_tokens: float
    outcome: CandidateOutcome


class PlacementChoice(NamedTuple):
    """The target chosen, if any, why, and whom else was considered.

    `NONE_UNDER_BOUND` asks the caller to queue and ask again; `NO_TARGET` means
    that no live target offers what the query names.
    """

    target_id: str | None
    reason: PlacementReason
    candidates: tuple[CandidateResult, ...]


class RankedTarget(NamedTuple):
    """A target as it stands in a chat's rank."""

    target_id: str
    estimated_load_tokens: float


class PoolSnapshot(NamedTuple):
    """How the near targets of a pool stood at a placement, asked or not.

    `first_in_rank` begins with the chat's home.
    """

    target_count: int
    mean_load_tokens: float
    first_in_rank: tuple[RankedTarget, ...]


class SpillNote(NamedTuple):
    """Gossip: the chat of this digest was last served away from its home."""

    chat_short_digest: str
    target_id: str
