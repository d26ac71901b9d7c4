"""Detect the accounts whose limits changed with the configuration.

Dividing a limit costs a hash for each failure domain, and most revisions of the
configuration change at most one account.
"""

from collections.abc import Iterator, Mapping, Sequence

from damaskwind.decisions.limits.messages import AccountLimit

__all__ = ["LimitChanges"]


class LimitChanges:
    """The applied limits, and the failure domains that they are divided over.

    >>> changes = LimitChanges()
    >>> one, two = AccountLimit(1, 10.0), AccountLimit(2, 10.0)
    >>> [name for name, _ in changes.update({"x": one, "y": one}, ["a"])]
    ['x', 'y']
    >>> [name for name, _ in changes.update({"x": one, "y": two}, ["a"])]
    ['y']
    """

    def __init__(self) -> None:
        self._domains: frozenset[str] = frozenset()
        self._limits: dict[str, AccountLimit] = {}

    def update(
        self, limits: Mapping[str, AccountLimit], domains: Sequence[str]
    ) -> Iterator[tuple[str, AccountLimit]]:
        """Yield each account whose limit changed; all accounts if the domains changed.

        A limit counts as applied when the next item is requested. If applying it
        fails, it and the limits after it are yielded again by the next call.
        """
        if frozenset(domains) != self._domains:
            self._domains = frozenset(domains)
            self._limits = {}
        for account in self._limits.keys() - limits.keys():
            del self._limits[account]
        for account, limit in limits.items():
            if self._limits.get(account) != limit:
                yield account, limit
                self._limits[account] = limit
