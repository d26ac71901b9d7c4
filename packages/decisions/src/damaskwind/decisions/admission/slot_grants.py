"""Grant the slots of brittle targets, those of each target by one router.

A brittle target falls over when it refuses more than a few requests in a second, summed over all
routers, so that these must not find out by refusals how much it bears. The router that grants a
target's slots has as many grants out as the target has slots, and each send needs one, also at
that router. Such credits bound a server's requests exactly, which limits of each client don't:
Cho and others, "Overload Control for Microsecond-Scale RPCs with Breakwater", OSDI 2020. A grant is
a lease (Gray and Cheriton, SOSP 1989): it ends if its holder doesn't renew it.

A target that refuses nevertheless bears fewer requests than it has slots: it gets one less, and one
more again after each while without a refusal.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["RENEW_INTERVAL_S", "SlotGrants"]

# A holder that has crashed, or whose message that it needs a grant no longer was lost, blocks a
# slot for this time.
GRANT_TTL_S = 2.0
# Three renewals may be lost before a grant ends.
RENEW_INTERVAL_S = 0.5
# A target that refused a request gets none for this time.
REFUSED_HOLD_S = 1.0
# A target that refused gets a slot more each time that this has passed.
REGAIN_INTERVAL_S = 2.0


class _Grant(NamedTuple):
    target_id: str
    holder: str
    expires_s: float


class _Limit(NamedTuple):
    """The requests that a target bore when it refused one, and when that was."""

    slots: int
    refused_s: float


class SlotGrants:
    """The grants of one router, for all targets whose slots it grants.

    >>> grants = SlotGrants()
    >>> grants.grant("a", 2, "r1", 1, 0.0), grants.grant("a", 2, "r2", 3, 0.1)
    ((1,), (2,))
    >>> grants.grant("a", 2, "r1", 1, 0.2)
    ()
    >>> grants.end([1]), grants.grant("a", 2, "r1", 1, 0.3)
    ({'a'}, (3,))
    >>> grants.renew([3], 2.0); grants.grant("a", 2, "r1", 2, 2.1)
    (4,)
    """

    def __init__(self) -> None:
        self._last_number = 0
        # In order of their expiry.
        self._grants: dict[int, _Grant] = {}
        self._in_use: Counter[str] = Counter()
        self._limits: dict[str, _Limit] = {}

    def grant(
        self, target_id: str, slots: int, holder: str, wanted: int, now_s: float
    ) -> tuple[int, ...]:
        """Grant up to `wanted` slots of a target; return the numbers of the grants."""
        self.drop_expired(now_s)
        free = self._bearable(target_id, slots, now_s) - self._in_use[target_id]
        numbers = tuple(self._last_number + 1 + index for index in range(min(wanted, free)))
        for number in numbers:
            self._grants[number] = _Grant(target_id, holder, now_s + GRANT_TTL_S)
            self._in_use[target_id] += 1
            self._last_number = number
        return numbers

    def renew(self, numbers: Iterable[int], now_s: float) -> None:
        """Renew grants whose requests are still at their targets; those that ended stay so."""
        for number in numbers:
            grant = self._grants.pop(number, None)
            if grant is not None:
                self._grants[number] = grant._replace(expires_s=now_s + GRANT_TTL_S)

    def end(self, numbers: Iterable[int]) -> set[str]:
        """End grants; return the targets that have free slots by that."""
        ended = [self._grants.pop(number, None) for number in numbers]
        targets = [grant.target_id for grant in ended if grant is not None]
        self._in_use.subtract(targets)
        return set(targets)

    def drop_expired(self, now_s: float) -> set[str]:
        """End the grants that were not renewed; return the targets that have free slots by that."""
        expired = []
        for number, grant in self._grants.items():
            if grant.expires_s > now_s:
                break
            expired.append(number)
        return self.end(expired)

    def record_refusal(self, target_id: str, now_s: float) -> None:
        """Record that a target refused a request while its grant was in use."""
        self._limits[target_id] = _Limit(max(self._in_use[target_id] - 1, 1), now_s)

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone; its grants end by themselves."""
        self._limits.pop(target_id, None)

    def in_use(self, target_id: str) -> int:
        """Return how many slots of a target are granted."""
        return self._in_use[target_id]

    def count(self) -> int:
        """Return how many slots of all targets are granted."""
        return len(self._grants)

    def holders(self, target_id: str) -> Mapping[str, int]:
        """Return how many slots of a target each router holds."""
        return Counter(item.holder for item in self._grants.values() if item.target_id == target_id)

    def _bearable(self, target_id: str, slots: int, now_s: float) -> int:
        """Return how many requests a target bears now."""
        limit = self._limits.get(target_id)
        if limit is None:
            return slots
        since_s = now_s - limit.refused_s
        if since_s < REFUSED_HOLD_S:
            return 0
        bearable = limit.slots + int(since_s / REGAIN_INTERVAL_S)
        if bearable >= slots:
            del self._limits[target_id]
        return min(bearable, slots)
