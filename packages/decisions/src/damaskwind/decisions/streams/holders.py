"""Choose the replicas that hold which version began a stream."""

from collections.abc import Collection, Iterable

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["HOLDERS", "choose_holders"]

# Any two of them may be lost together with the router that wrote.
HOLDERS = 3


def choose_holders(key: bytes, hosts: Iterable[str], failing: Collection[str]) -> list[str]:
    """Return the holders of a key, the one to be asked first at the front.

    Those that fail now are left out while there are enough others.

    >>> hosts = ["a", "b", "c", "d"]
    >>> first = choose_holders(b"k", hosts, ())
    >>> len(first), first[0] in choose_holders(b"k", hosts, first[:1])
    (3, False)
    >>> sorted(choose_holders(b"k", ["a", "b"], ["a", "b"]))
    ['a', 'b']
    """
    order = rendezvous_order(key.hex(), hosts)
    return sorted(order, key=lambda host: host in failing)[:HOLDERS]
