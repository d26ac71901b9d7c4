"""Choose a target for a request by what its prompt shares with earlier ones.

The key is the last shared part of the prompt. Rendezvous hashing ranks the
targets for it, so that requests with the same part meet on the same target
from whichever router, and a target that comes or goes moves only its own keys.
A target above the load bound is passed over for the next in rank: "Consistent
Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, SODA 2018.
Without a key the least loaded target takes the request, a near one first.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from damaskwind.decisions.placement.rank import rank_order, scores, target_seed

__all__ = ["AffinityPolicy", "Candidate", "Choice", "affinity_key", "choose_target"]


class AffinityPolicy(NamedTuple):
    """How far a keyed target may be above the mean.

    The users' bound is twice the mean plus three requests, seen by all routers
    together; each sees loads that are some hundred ms old, so this stays below.
    `far_requests` is what leaving the failure domain costs, in requests.
    """

    load_factor: float = 1.5
    load_slack_requests: float = 2.0
    far_requests: float = 0.75


class Candidate(NamedTuple):
    """A target that could take a request.

    `load` estimates the requests that it holds; `is_doubtful` marks one that
    has lately failed or not been heard.
    """

    target_id: str
    failure_domain: str
    load: float
    slots: int
    is_doubtful: bool


class Choice(NamedTuple):
    """The target chosen, its place in the key's ranking, and the bound applied."""

    candidate: Candidate
    rank: int
    bound: float


def affinity_key(part_ids: Sequence[bytes]) -> bytes | None:
    """Return the last part that a prompt shares with others.

    The last part of all belongs to the request itself.

    >>> affinity_key([b"system", b"subject", b"own"]), affinity_key([])
    (b'subject', None)
    """
    if not part_ids:
        return None
    return part_ids[max(len(part_ids) - 2, 0)]


def choose_target(
    candidates: Sequence[Candidate],
    key: bytes | None,
    near: str,
    policy: AffinityPolicy,
    random: Random,
) -> Choice | None:
    """Choose a target, or return `None` when there is no candidate.

    >>> pool = [Candidate(name, "d", load, 8, False) for name, load in (("a", 9.0), ("b", 0.0))]
    >>> choose_target(pool, None, "d", AffinityPolicy(), Random(1)).candidate.target_id
    'b'
    """
    sound = [item for item in candidates if not item.is_doubtful] or list(candidates)
    if not sound:
        return None
    if key is None:
        return _least_loaded(sound, near, policy, random)
    mean = sum(item.load for item in sound) / len(sound)
    bound = policy.load_factor * mean + policy.load_slack_requests
    order = rank_order(scores(key, [target_seed(item.target_id) for item in sound]))
    for rank, position in enumerate(order):
        if sound[position].load < bound:
            return Choice(sound[position], rank, bound)
    return _least_loaded(sound, near, policy, random)


def _least_loaded(
    candidates: Sequence[Candidate], near: str, policy: AffinityPolicy, random: Random
) -> Choice:
    """Return the least loaded target, by its share of slots; ties fall at random."""

    def cost(item: Candidate) -> tuple[float, float]:
        far = 0.0 if item.failure_domain == near else policy.far_requests
        return (item.load + far) / max(item.slots, 1), random.random()

    return Choice(min(candidates, key=cost), 0, 0.0)
