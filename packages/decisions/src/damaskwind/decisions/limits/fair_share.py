"""Divide whole units among claimants by max-min fairness."""

from collections.abc import Mapping

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["fair_shares"]


def fair_shares(total: int, wanted: Mapping[str, int], turn: str) -> dict[str, int]:
    """Give everyone what it wants or, where that is too much, an equal part.

    Units that can't be divided equally go round: `turn` names the present order.

    >>> fair_shares(10, {"a": 2, "b": 20, "c": 20}, "")
    {'a': 2, 'b': 4, 'c': 4}
    >>> sum(fair_shares(2, {name: 1 for name in "abcdefgh"}, "3").values())
    2
    """
    shares = dict.fromkeys(wanted, 0)
    left = max(0, total)
    open_names = [name for name, amount in wanted.items() if amount > 0]
    while open_names and left >= len(open_names):
        each = left // len(open_names)
        for name in open_names:
            given = min(each, wanted[name] - shares[name])
            shares[name] += given
            left -= given
        open_names = [name for name in open_names if shares[name] < wanted[name]]
    for name in rendezvous_order(turn, open_names)[:left]:
        shares[name] += 1
    return shares
