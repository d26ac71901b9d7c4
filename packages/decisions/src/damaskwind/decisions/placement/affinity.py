"""Choose a target for a request by the part of its prompt shared with earlier requests.

The key is the last shared part of the prompt. Rendezvous hashing ranks the
targets for it, so that requests with the same part go to the same target from
every router, and a target that joins or leaves moves only its own keys.
A target above the load bound is skipped for the next in rank: "Consistent
Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, SODA 2018.
Without a key the least loaded target takes the request, preferably a near one.

A second target is returned as the donor, from which the engine may copy the
cached parts that it lacks. It is the home if that was skipped, is leaving or has
just left. For the home itself it is the next in rank, which was the home before
it joined, or while it was above the bound. It runs the same software version, since
what another one has cached may not fit.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from damaskwind.decisions.placement.engine_memory import EngineRoom, first_with_room, most_room
from damaskwind.decisions.placement.rank import rank_order, scores, target_seed

__all__ = [
    "AffinityPolicy",
    "Candidate",
    "Choice",
    "affinity_key",
    "choose_target",
    "confine",
    "exceeds_limit",
    "policy_for",
    "read_cost_factor",
]

# With up to this many routers, the sends of others that one router can't see are within the
# slack. With more, each router receives reports of a target less often while all send to it.
FULL_SLACK_ROUTERS = 16
# Sums are half a second old. Where engines hold five requests, two more arrive in that time.
# With the full slack, 1 in 100 sends exceeded the users' bound in the worst five seconds
# (65 routers, 30 engines, 60 requests/s); with this value none did.
MIN_SLACK_WITH_SUMS_REQUESTS = 1.5
# With the factor 1, more requests leave their home and more are late. It grows where less than
# the usual share of the slots is free: with a constant factor, moved requests made more answers
# late than before at loads of 1.0 and above (57 routers).
READ_COST_FACTOR = 2.0
USUAL_FREE_SHARE = 0.2
# The users' bound: a target holds at most this multiple of the mean and this many requests more.
LIMIT_FACTOR = 2.0
LIMIT_REQUESTS = 3.0
MIN_FREE_SHARE = 0.02


class AffinityPolicy(NamedTuple):
    """The load bound of a target chosen by key, relative to the mean.

    The users' bound is twice the mean plus three requests, over all routers. Each router
    sees loads that are some hundred ms old, so the bound here is lower.
    `far_penalty_requests` is the cost of leaving the failure domain, in requests. A
    target younger than `min_donor_age_s` is a poor donor, since callers use a part
    again only after some seconds. `read_s` is the time to read the shared parts of a prompt at
    a target that lacks them, and `near_ranks` the number of targets whose expected start is
    compared.
    """

    load_factor: float = 1.6
    load_slack_requests: float = 2.5
    far_penalty_requests: float = 0.75
    min_donor_age_s: float = 6.0
    read_s: float = 0.0
    near_ranks: int = 5


def policy_for(routers: int, has_sums: bool = False) -> AffinityPolicy:
    """Return the policy for one of `routers` routers.

    Beyond `FULL_SLACK_ROUTERS` routers the slack is reduced in inverse proportion to their
    number. With sums of the requests of all routers it is at least
    `MIN_SLACK_WITH_SUMS_REQUESTS`: with 65 to 300 routers, 3 to 7 in 100 requests then leave
    their home (5 to 9 with the reduced slack), and at most 0.5 in 100 exceed the users'
    bound in any five seconds. Without sums, the reduced slack keeps a hot part from
    overloading its home before most routers have received a report of it: with 65 routers
    and a tenth of all requests for one part, 1.7 in 100 exceed the users' bound with the
    full slack and 0.4 in 100 with the reduced one.

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

    `load` is the estimated number of requests that it holds, running or waiting.
    `is_doubtful` marks a target that failed recently or whose reports are missing.
    `takes_work` is not set if it is leaving or has just left; its cache can still be
    copied. `age_s` is the time since its start. A target with `is_slow` gets work only
    if all others are above the bound, but is a good donor. With `has_known_load`,
    `load` is based on the target's own report or on the sums of all routers. A
    target with `is_held_back` serves and counts for the mean, but gets no work because an
    operator excluded it or it is cold. `start_s` is the time after which it is expected to
    start an answer, `None` in a pool whose targets do not report their speed. `room` is its
    memory for the request, `None` if that is not considered. `version` is that of its software.
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
    start_s: float | None = None
    room: EngineRoom | None = None
    version: str = ""


class Choice(NamedTuple):
    """The chosen target, its rank for the key, and the bound applied.

    `donor_id` is the other target that most likely has the shared part cached. `rival_id` is
    the next target in rank that could have been chosen as well. `passed_over` is the target
    that would have been chosen but for its memory or its prefill work.
    """

    candidate: Candidate
    rank: int
    bound: float
    donor_id: str = ""
    rival_id: str = ""
    passed_over: str = ""


def affinity_key(part_ids: Sequence[bytes]) -> bytes | None:
    """Return the last part of a prompt that is shared with other requests.

    The very last part belongs to the request alone.

    >>> affinity_key([b"system", b"subject", b"own"]), affinity_key([])
    (b'subject', None)
    """
    if not part_ids:
        return None
    return part_ids[max(len(part_ids) - 2, 0)]


def confine(candidates: Sequence[Candidate], version: str) -> list[Candidate]:
    """Return the candidates with work only for those of a software version.

    The others serve as before and count for the mean.

    >>> pool = [Candidate(name, "d", 0.0, 8, False, version=name) for name in ("v1", "v2")]
    >>> [(item.takes_work, item.is_held_back) for item in confine(pool, "v2")]
    [(False, True), (True, False)]
    """
    return [
        (
            item
            if item.version == version
            else item._replace(takes_work=False, is_held_back=item.takes_work or item.is_held_back)
        )
        for item in candidates
    ]


def exceeds_limit(candidates: Sequence[Candidate], chosen: Candidate) -> bool:
    """Tell whether one more request would put a target over the users' bound.

    An estimate from this router's own sends is no reason to refuse: it assumes that many others
    send as much.

    >>> pool = [Candidate(name, "d", load, 8, False) for name, load in (("a", 5.0), ("b", 0.0))]
    >>> [exceeds_limit(pool, item._replace(load=load)) for item, load in zip(pool, (7.0, 7.1))]
    [False, True]
    """
    limit = LIMIT_FACTOR * _mean_load(candidates, _healthy(candidates)) + LIMIT_REQUESTS
    return chosen.has_known_load and chosen.load + 1.0 > limit


def choose_target(
    candidates: Sequence[Candidate],
    key: bytes | None,
    near_domain: str,
    policy: AffinityPolicy,
    random: Random,
) -> Choice | None:
    """Choose a target, or return `None` if there is no candidate.

    >>> pool = [Candidate(name, "d", load, 8, False) for name, load in (("a", 9.0), ("b", 0.0))]
    >>> choose_target(pool, None, "d", AffinityPolicy(), Random(1)).candidate.target_id
    'b'
    """
    healthy = _healthy(candidates)
    if not healthy:
        return None
    if key is None:
        bound = _load_bound(candidates, healthy, policy)
        return _choose_without_key(healthy, near_domain, policy, random, bound)
    ranking = _rank_by_key(candidates, healthy, key, policy)
    below = [item for item in ranking.ranked if item.load < ranking.bound]
    choice = _choose_with_room(candidates, ranking, below, policy)
    choice = choice or _choose_to_wait(candidates, ranking, below, policy)
    if choice is not None:
        return choice
    pool = healthy if len(_with_room(healthy)) == len(healthy) else _with_room(below)
    return _least_loaded(pool or healthy, near_domain, policy, random)


class _KeyRanking(NamedTuple):
    """The healthy targets in rank order for a key, the load bound, and the pool's share in use."""

    key: bytes
    ranked: list[Candidate]
    bound: float
    used_share: float


def _healthy(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the targets that take work, without the doubtful ones if there are others."""
    serving = [item for item in candidates if item.takes_work]
    return [item for item in serving if not item.is_doubtful] or serving


def _rank_by_key(
    candidates: Sequence[Candidate],
    healthy: Sequence[Candidate],
    key: bytes,
    policy: AffinityPolicy,
) -> _KeyRanking:
    """Rank the healthy targets for a key, and compute the load bound of the pool."""
    used_share = _mean_load(candidates, healthy) / max(healthy[0].slots, 1)
    bound = _load_bound(candidates, healthy, policy)
    return _KeyRanking(key, _rank(healthy, key), bound, used_share)


def _mean_load(candidates: Sequence[Candidate], healthy: Sequence[Candidate]) -> float:
    """Return the mean load of the pool.

    The users' bound uses the mean over all serving targets, so those held back lower it.
    """
    held_back = [item for item in candidates if item.is_held_back and not item.is_doubtful]
    return sum(item.load for item in (*healthy, *held_back)) / (len(healthy) + len(held_back))


def _load_bound(
    candidates: Sequence[Candidate], healthy: Sequence[Candidate], policy: AffinityPolicy
) -> float:
    """Return the load above which a target is skipped."""
    mean = _mean_load(candidates, healthy)
    return policy.load_factor * mean + policy.load_slack_requests


def _choose_without_key(
    healthy: Sequence[Candidate],
    near_domain: str,
    policy: AffinityPolicy,
    random: Random,
    bound: float,
) -> Choice:
    """Choose the target that starts first, else the least loaded, among those that have room.

    If none has room, choose the one that will have it soonest.
    """
    with_room = _with_room(healthy)
    if not with_room:
        return Choice(healthy[most_room([item.room for item in healthy])], 0, 0.0)
    if any(item.start_s is None for item in healthy):
        return _least_loaded(with_room, near_domain, policy, random)
    return _soonest(with_room, near_domain, policy, random, bound)


def _soonest(
    candidates: Sequence[Candidate],
    near_domain: str,
    policy: AffinityPolicy,
    random: Random,
    bound: float,
) -> Choice:
    """Return the target below the bound that is expected to start first; ties are random."""
    allowed = [item for item in candidates if item.load < bound and not item.is_slow]
    if not allowed:
        return _least_loaded(candidates, near_domain, policy, random)

    def cost(item: Candidate) -> tuple[float, float]:
        far = 0.0 if item.failure_domain == near_domain else policy.far_penalty_requests
        return item.start_s * (1.0 + far / max(item.slots, 1)), random.random()

    return Choice(min(allowed, key=cost), 0, bound)


def _choose_with_room(
    candidates: Sequence[Candidate],
    ranking: _KeyRanking,
    below: Sequence[Candidate],
    policy: AffinityPolicy,
) -> Choice | None:
    """Choose in rank order among the targets below the bound that are not slow and have room."""
    usable = [item for item in below if not item.is_slow]
    position = first_with_room([item.room for item in usable])
    if position is None:
        return None
    chosen = _first_soon(usable, position, policy, ranking.used_share)
    passed_over = usable[0].target_id if position else ""
    rival_id = next((item.target_id for item in usable if item is not chosen), "")
    donor_id = _donor(candidates, ranking.key, chosen, policy)
    rank = ranking.ranked.index(chosen)
    return Choice(chosen, rank, ranking.bound, donor_id, rival_id, passed_over)


def _choose_to_wait(
    candidates: Sequence[Candidate],
    ranking: _KeyRanking,
    below: Sequence[Candidate],
    policy: AffinityPolicy,
) -> Choice | None:
    """Choose the home of a request that no target has room for: it needs the least there."""
    usable = [item for item in below if not item.is_slow]
    if not below or (not usable and _with_room(below)):
        return None
    item = (usable or below)[0]
    donor_id = _donor(candidates, ranking.key, item, policy)
    return Choice(item, ranking.ranked.index(item), ranking.bound, donor_id)


def _with_room(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the candidates whose memory has room, or is not considered."""
    return [item for item in candidates if item.room is None or item.room.fits]


def _first_soon(
    usable: Sequence[Candidate], position: int, policy: AffinityPolicy, used_share: float
) -> Candidate:
    """Return the first from `position` in rank that loses less time than its cached parts save.

    It is compared with the next in rank only, so that each key has few targets that cache its
    parts, and the requests of all routers, which share the same sums, spread by their keys.
    """
    near = _with_room(usable[position:])[: policy.near_ranks]
    if any(item.start_s is None for item in near):
        return usable[position]
    read_s = read_cost_factor(used_share) * policy.read_s
    latest_s = min(item.start_s for item in near) + read_s
    return next(item for item in near if item.start_s <= latest_s)


def read_cost_factor(used_share: float) -> float:
    """Return by what factor the time to read a prompt counts in a pool with this share in use.

    Reading also delays the requests that arrive at the engine meanwhile. The delay that more
    work causes to all others grows as the inverse square of the free share (the derivative of
    the mean queue of M/M/1: Kleinrock, "Queueing Systems", volume 1, 1975).

    >>> [round(read_cost_factor(share), 1) for share in (0.2, 0.8, 0.9, 1.5)]
    [2.0, 2.0, 8.0, 200.0]
    """
    free_share = max(1.0 - used_share, MIN_FREE_SHARE)
    return READ_COST_FACTOR * max(1.0, USUAL_FREE_SHARE / free_share) ** 2


def _rank(candidates: Sequence[Candidate], key: bytes) -> list[Candidate]:
    """Return the candidates in rank order for the key."""
    order = rank_order(scores(key, [target_seed(item.target_id) for item in candidates]))
    return [candidates[position] for position in order]


def _donor(
    candidates: Sequence[Candidate], key: bytes, chosen: Candidate, policy: AffinityPolicy
) -> str:
    """Return the target most likely to have the key's part if the chosen one does not."""
    ranked = _rank([item for item in candidates if not item.is_doubtful], key)
    if chosen not in ranked:
        return ""
    others = [item for item in ranked if item is not chosen and item.version == chosen.version]
    old = [item for item in others if item.age_s >= policy.min_donor_age_s]
    return next((item.target_id for item in old or others), "")


def _least_loaded(
    candidates: Sequence[Candidate], near_domain: str, policy: AffinityPolicy, random: Random
) -> Choice:
    """Return the least loaded target by its share of used slots; ties are broken at random."""

    def cost(item: Candidate) -> tuple[float, float]:
        far = 0.0 if item.failure_domain == near_domain else policy.far_penalty_requests
        return (item.load + far) / max(item.slots, 1) + item.is_slow, random.random()

    return Choice(min(candidates, key=cost), 0, 0.0)
