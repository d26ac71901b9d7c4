"""Divide whole units among claimants by max-min fairness."""

from collections.abc import Mapping

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["fair_shares"]


def fair_shares(total: int, wanted: Mapping[str, int], round_key: str) -> dict[str, int]:
    """Return each claimant's demand or, if the total is too small, an equal share.

    Units that can't be divided equally go to the first claimants in the rendezvous order
    of `round_key`, so that a new key in each round distributes them in turn.

    >>> fair_shares(10, {"a": 2, "b": 20, "c": 20}, "")
    {'a': 2, 'b': 4, 'c': 4}
    >>> sum(fair_shares(2, {name: 1 for name in "abcdefgh"}, "3").values())
    2
    """
    shares = dict.fromkeys(wanted, 0)
    remaining = max(0, total)
    unsatisfied = [name for name, amount in wanted.items() if amount > 0]
    while unsatisfied and remaining >= len(unsatisfied):
        equal_share = remaining // len(unsatisfied)
        for name in unsatisfied:
            granted = min(equal_share, wanted[name] - shares[name])
            shares[name] += granted
            remaining -= granted
        unsatisfied = [name for name in unsatisfied if shares[name] < wanted[name]]
    for name in rendezvous_order(round_key, unsatisfied)[:remaining]:
        shares[name] += 1
    return shares
