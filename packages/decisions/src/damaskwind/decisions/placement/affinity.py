"""Choose a target for a request by what its prompt shares with earlier ones.

The key is the last shared part of the prompt. Rendezvous hashing ranks the
targets for it, so that requests with the same part meet on the same target
from whichever router, and a target that comes or goes moves only its own keys.
A target above the load bound is passed over for the next in rank: "Consistent
Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, SODA 2018.
Without a key the least loaded target takes the request, a near one first.

Another target is named as the donor, from which the engine may copy what it
lacks: the home that was passed over, is leaving or has just left, or, for the
home itself, the next in rank, which was the home before it joined, or while it
was above the bound.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from damaskwind.decisions.placement.rank import rank_order, scores, target_seed

__all__ = [
    "AffinityPolicy",
    "Candidate",
    "Choice",
    "affinity_key",
    "choose_target",
    "policy_for",
]

# Up to so many routers, what one of them can't see of the others' sends is within the
# slack; with more, each hears a target more seldom while all send to it.
FULL_SLACK_ROUTERS = 16
# A sum is half a second old: where engines hold five requests, two come in that time, and
# with the whole slack 1 in 100 sends came above the users' bound in the worst five seconds
# (65 routers, 30 engines, 60 requests a second), with this none.
MIN_SLACK_WITH_SUMS_REQUESTS = 1.5


class AffinityPolicy(NamedTuple):
    """How far a keyed target may be above the mean.

    The users' bound is twice the mean plus three requests, seen by all routers
    together; each sees loads that are some hundred ms old, so this stays below.
    `far_penalty_requests` is what leaving the failure domain costs, in requests. A
    target younger than `min_donor_age_s` is a poor donor, since callers ask again
    for a part only after some seconds.
    """

    load_factor: float = 1.6
    load_slack_requests: float = 2.5
    far_penalty_requests: float = 0.75
    min_donor_age_s: float = 6.0


def policy_for(routers: int, has_sums: bool = False) -> AffinityPolicy:
    """Return the policy of one router among so many.

    One that knows what all hold together has `MIN_SLACK_WITH_SUMS_REQUESTS` at least: at 65 to
    300 routers 3 to 7 in 100 requests leave their home then, 5 to 9 with its part, and
    at most 0.5 in 100 come above the users' bound in any five seconds. For one that
    does not, the part prevents that a hot part overflows its home before most routers
    have heard of it: with 65 routers and a tenth of all requests for one part, 1.7 in
    100 come above the users' bound with the whole slack and 0.4 in 100 with its part.

    >>> policy_for(8).load_slack_requests, policy_for(64).load_slack_requests
    (2.5, 0.625)
    """
    policy = AffinityPolicy()
    slack = policy.load_slack_requests * min(1.0, FULL_SLACK_ROUTERS / max(routers, 1))
    if has_sums:
        slack = max(slack, MIN_SLACK_WITH_SUMS_REQUESTS)
    return policy._replace(load_slack_requests=slack)


class Candidate(NamedTuple):
    """A target that could take a request.

    `load` estimates the requests that it holds; `is_doubtful` marks one that
    has lately failed or not been heard. One that is leaving or has just left
    takes no work, but still holds what it has read. `age_s` counts from its start. One that
    `is_slow` gets work only when all others are above the bound, but is a
    healthy donor. Where it `has_known_load`, `load` rests on its own word
    or on what all routers hold there. One that `is_held_back` serves, and counts for the
    mean, but an operator or its being cold keeps work from it.
    """

    target_id: str
    failure_domain: str
    load: float
    slots: int
    is_doubtful: bool
    takes_work: bool = True
    age_s: float = 3600.0
    is_slow: bool = False
    has_known_load: bool = True
    is_held_back: bool = False


class Choice(NamedTuple):
    """The target chosen, its place in the key's ranking, and the bound applied.

    `donor_id` names the target that probably holds the shared part instead.
    """

    candidate: Candidate
    rank: int
    bound: float
    donor_id: str = ""


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
    near_domain: str,
    policy: AffinityPolicy,
    random: Random,
) -> Choice | None:
    """Choose a target, or return `None` when there is no candidate.

    >>> pool = [Candidate(name, "d", load, 8, False) for name, load in (("a", 9.0), ("b", 0.0))]
    >>> choose_target(pool, None, "d", AffinityPolicy(), Random(1)).candidate.target_id
    'b'
    """
    serving = [item for item in candidates if item.takes_work]
    healthy = [item for item in serving if not item.is_doubtful] or serving
    if not healthy:
        return None
    if key is None:
        return _least_loaded(healthy, near_domain, policy, random)
    # The users' mean is that of all that serve: those that are kept from work make it lower.
    held_back = [item for item in candidates if item.is_held_back and not item.is_doubtful]
    mean = sum(item.load for item in (*healthy, *held_back)) / (len(healthy) + len(held_back))
    bound = policy.load_factor * mean + policy.load_slack_requests
    ranked = _rank(healthy, key)
    for rank, item in enumerate(ranked):
        if item.load < bound and not item.is_slow:
            donor_id = _donor(candidates, key, item, policy)
            return Choice(item, rank, bound, donor_id)
    return _least_loaded(healthy, near_domain, policy, random)


def _rank(candidates: Sequence[Candidate], key: bytes) -> list[Candidate]:
    """Return the candidates in the key's order."""
    order = rank_order(scores(key, [target_seed(item.target_id) for item in candidates]))
    return [candidates[position] for position in order]


def _donor(
    candidates: Sequence[Candidate], key: bytes, chosen: Candidate, policy: AffinityPolicy
) -> str:
    """Return who probably holds the key's part if the chosen target does not."""
    ranked = _rank([item for item in candidates if not item.is_doubtful], key)
    if chosen not in ranked:
        return ""
    others = [item for item in ranked if item is not chosen]
    old = [item for item in others if item.age_s >= policy.min_donor_age_s]
    return next((item.target_id for item in old or others), "")


def _least_loaded(
    candidates: Sequence[Candidate], near_domain: str, policy: AffinityPolicy, random: Random
) -> Choice:
    """Return the least loaded target, by its share of slots; ties fall at random."""

    def cost(item: Candidate) -> tuple[float, float]:
        far = 0.0 if item.failure_domain == near_domain else policy.far_penalty_requests
        return (item.load + far) / max(item.slots, 1) + item.is_slow, random.random()

    return Choice(min(candidates, key=cost), 0, 0.0)
