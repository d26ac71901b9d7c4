"""Divide an account's limit over failure domains, and order names by rendezvous.

Every router computes the slices itself from the configured limit and the configured
list of failure domains, so that they never sum to more than the limit, even while
the network is partitioned.
"""

from collections.abc import Iterable, Sequence

import xxhash

from damaskwind.decisions.limits.messages import AccountLimit, LimitPolicy

__all__ = ["choose_allocator", "divide_limit", "floor_of", "rendezvous_order"]


def _weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Order names by highest random weight for a key.

    "Using Name-Based Mappings to Increase Hit Rates", Thaler and Ravishankar,
    IEEE/ACM Transactions on Networking, 1998.

    >>> rendezvous_order("account", ["a", "b"]) == rendezvous_order("account", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name))


def choose_allocator(account: str, routers: Sequence[str]) -> str:
    """Return the router of a domain that allocates for an account."""
    return min(routers, key=lambda name: _weight(account, name))


def _divide(total: int, ordered: Sequence[str]) -> dict[str, int]:
    """Divide whole units evenly; the first names get the remainder."""
    quotient, remainder = divmod(total, len(ordered))
    return {name: quotient + (index < remainder) for index, name in enumerate(ordered)}


def divide_limit(
    account: str, limit: AccountLimit, domains: Sequence[str]
) -> dict[str, AccountLimit]:
    """Return each failure domain's slice of an account's limit.

    >>> slices = divide_limit("a", AccountLimit(2, 100.0), ["x", "y", "z"])
    >>> sorted(one.max_concurrent_requests for one in slices.values())
    [0, 1, 1]
    """
    ordered = rendezvous_order(account, set(domains))
    units = _divide(limit.max_concurrent_requests, ordered)
    tokens = _divide(int(limit.max_tokens_per_s), ordered)
    return {name: AccountLimit(units[name], tokens[name]) for name in ordered}


def floor_of(domain_slice: AccountLimit, policy: LimitPolicy) -> AccountLimit:
    """Return the share that each router of a domain may use without a lease.

    >>> floor_of(AccountLimit(2, 6400), LimitPolicy())
    AccountLimit(max_concurrent_requests=0, max_tokens_per_s=10)
    """
    share = policy.floor_share / policy.floor_routers
    return AccountLimit(
        int(domain_slice.max_concurrent_requests * share),
        int(domain_slice.max_tokens_per_s * share),
    )
