"""The cut-off of a service: which share of which requests all routers admit.

A request is admitted if a hash of its client account and its id is below the share of its
group. The hash is equal at all routers, so that a caller gains nothing by asking another one
(DAGOR: Zhou and others, "Overload Control for Scaling WeChat Microservices", SoCC 2018).
"""

from collections.abc import Mapping
from hashlib import blake2b
from typing import NamedTuple

from damaskwind.decisions.admission.shed_counts import GroupKey

__all__ = ["FULL", "Cutoff", "Share", "allocate", "admits_hash", "share_of"]

# Shares are sent as whole numbers of thousandths.
FULL = 1000
# No group is admitted less than this fraction of the share of all; a quarter is promised, and
# the rest covers the noise of groups with a few requests per second.
FLOOR_FRACTION = 0.35


class Share(NamedTuple):
    """The admitted share, in thousandths, of a priority or of the account with this digest."""

    of: int
    permille: int


class Cutoff(NamedTuple):
    """The shares of a service, identified by its digest; what is not listed is admitted.

    The share of a request is the product of those of its priority and its account, but at least
    `floor_permille`. `salt` changes the hash from time to time, so that a caller that returns
    as told is not refused for the same reason for ever. `spare_per_s` is the capacity left for
    callers that return within each of the next seconds, as computed from the drain rate.
    `load_permille` is what is held at targets or waits, as a share of the slots.
    """

    service: int
    levels: tuple[Share, ...] = ()
    accounts: tuple[Share, ...] = ()
    floor_permille: int = 0
    salt: int = 0
    spare_per_s: tuple[int, ...] = ()
    load_permille: int = FULL

    @property
    def is_open(self) -> bool:
        """Return whether everything is admitted."""
        return not self.levels and not self.accounts


def share_of(cutoff: Cutoff, key: GroupKey) -> float:
    """Return the admitted share of a group, from 0 to 1.

    >>> cutoff = Cutoff(7, (Share(2, 400),), (Share(9, 500),), floor_permille=240)
    >>> [share_of(cutoff, GroupKey(*item)) for item in ((1, 0), (1, 2), (9, 0), (9, 2))]
    [1.0, 0.4, 0.5, 0.24]
    """
    level = _lookup(cutoff.levels, key.priority)
    account = _lookup(cutoff.accounts, key.account)
    return max(level * account // FULL, min(cutoff.floor_permille, FULL)) / FULL


def admits_hash(share: float, salt: int, account: int, request_id: bytes) -> bool:
    """Return whether a request is among the admitted share, equally at all routers.

    >>> sum(admits_hash(0.3, 1, 5, b"%d" % number) for number in range(1000)) in range(260, 341)
    True
    """
    digest = blake2b(b"%d:%d:%b" % (salt, account, request_id), digest_size=4).digest()
    return int.from_bytes(digest) < share * 2**32


def allocate(
    service: int,
    asked: Mapping[GroupKey, float],
    budget: float,
    kept_shares: Mapping[int, float],
) -> Cutoff:
    """Divide the work that a service can start in a second among the groups that ask for it.

    `kept_shares` gives the share that each account far above its usual rate keeps at least;
    the others are not cut before these.

    >>> asked = {GroupKey(1, 0): 50.0, GroupKey(1, 2): 50.0, GroupKey(2, 2): 60.0}
    >>> allocate(7, asked, 110.0, {2: 0.1}).accounts
    (Share(of=2, permille=241),)
    >>> allocate(7, asked, 100.0, {}).levels
    (Share(of=2, permille=455),)
    """
    total = sum(asked.values())
    overall = min(1.0, budget / max(total, 1e-9))
    floor = FLOOR_FRACTION * overall
    accounts = _cut_accounts(asked, total - budget, kept_shares, floor)
    demand: dict[int, float] = {}
    for key, work in asked.items():
        kept = work * accounts.get(key.account, 1.0)
        demand[key.priority] = demand.get(key.priority, 0.0) + kept
    levels = _cut_levels(demand, budget, floor)
    return Cutoff(service, _packed(levels), _packed(accounts), round(floor * FULL))


def _cut_accounts(
    asked: Mapping[GroupKey, float], excess: float, kept_shares: Mapping[int, float], floor: float
) -> dict[int, float]:
    """Return the shares of the accounts far above their usual rate, cut by the excess at most."""
    kept = {account: min(1.0, max(floor, share)) for account, share in kept_shares.items()}
    removable = sum(
        work * (1.0 - kept[key.account]) for key, work in asked.items() if key.account in kept
    )
    part = min(1.0, max(0.0, excess) / max(removable, 1e-9))
    return {account: 1.0 - (1.0 - share) * part for account, share in kept.items()}


def _cut_levels(demand: Mapping[int, float], budget: float, floor: float) -> dict[int, float]:
    """Return the shares of the priorities: the most urgent first, after the floor of each."""
    left = budget - floor * sum(demand.values())
    shares = {}
    for priority, work in sorted(demand.items()):
        given = min(work * (1.0 - floor), max(0.0, left))
        left -= given
        shares[priority] = floor + given / work if work else 1.0
    return shares


def _packed(shares: Mapping[int, float]) -> tuple[Share, ...]:
    """Return the shares below 1 as thousandths."""
    packed = (Share(of, min(FULL, round(share * FULL))) for of, share in shares.items())
    return tuple(share for share in packed if share.permille < FULL)


def _lookup(shares: tuple[Share, ...], of: int) -> int:
    """Return a listed share in thousandths, bounded to what is meaningful."""
    permille = next((share.permille for share in shares if share.of == of), FULL)
    return min(max(permille, 0), FULL)
