"""Count what one router observes of a service by priority and client account.

The counts of the last second travel to the replicas, which sum them over all routers.
"""

from collections import Counter, deque
from collections.abc import Iterable
from operator import add
from typing import NamedTuple

__all__ = ["GroupCounts", "GroupKey", "ShedReport", "ShedTally", "is_plausible", "sum_groups"]

# The length of the sliding window, and the number of slots it is divided into.
WINDOW_S = 1.0
SLOTS = 4
# Largest sum of a count that a router is believed to have in a second: ten times what one can do.
MAX_COUNT = 20_000
# Largest work of one router in a second: 4,000 requests that each took a minute.
MAX_WORK = 240_000_000
# Groups that one router may report, more than its traffic of one second can contain.
MAX_GROUPS = 512
# Seconds ahead for which the callers told to return are counted.
RETURN_BINS = 4


class GroupKey(NamedTuple):
    """The digest of a client account and a priority, 0 being the most urgent."""

    account: int
    priority: int


class GroupCounts(NamedTuple):
    """Counts of one client account at one priority over one second.

    `asked` counts received requests, `admitted` those that were not shed. Of the admitted ones,
    `in_time` began within their objective, `late` did not, and `refused` found no place. `work`
    sums the work of the `ended` ones: the milliseconds for which they were held at a target.
    """

    account: int
    priority: int
    asked: int = 0
    admitted: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    ended: int = 0
    work: int = 0

    @property
    def key(self) -> GroupKey:
        """Return the client account and the priority."""
        return GroupKey(self.account, self.priority)

    def plus(self, other: "GroupCounts") -> "GroupCounts":
        """Return the sum of two counts of the same group."""
        sums = (left + right for left, right in zip(self[2:], other[2:], strict=True))
        return GroupCounts(self.account, self.priority, *sums)


class ShedReport(NamedTuple):
    """One router's counts of a service, which is identified by its digest.

    `waiting` requests are queued at the router, and `held` ones are at targets. `returning`
    counts the callers that it told to return within each of the next seconds.
    """

    service: int
    waiting: int = 0
    held: int = 0
    groups: tuple[GroupCounts, ...] = ()
    returning: tuple[int, ...] = ()


def is_plausible(report: ShedReport) -> bool:
    """Return whether all figures of a report are within what a router can observe.

    >>> is_plausible(ShedReport(7, 1, 4, (GroupCounts(3, 0, 5, 5),)))
    True
    >>> is_plausible(ShedReport(7, 1, 4, (GroupCounts(3, 0, -5, 5),)))
    False
    """
    if len(report.groups) > MAX_GROUPS or len(report.returning) > RETURN_BINS:
        return False
    figures = [report.waiting, report.held, *report.returning]
    for group in report.groups:
        # The configuration does not exclude negative priorities.
        figures += (abs(group.priority), *group[2:-1])
    totals = [sum(counts) for counts in list(zip(*report.groups, strict=True))[2:-1]]
    works = [group.work for group in report.groups]
    has_work = min(works, default=0) >= 0 and sum(works) <= MAX_WORK
    return has_work and all(0 <= figure <= MAX_COUNT for figure in (*figures, *totals))


class _Slot(NamedTuple):
    started_s: float
    groups: dict[GroupKey, GroupCounts]


class ShedTally:
    """One router's sliding counts of one service, and the returns that it has announced.

    >>> tally = ShedTally()
    >>> tally.add(GroupCounts(5, 0, asked=1), 0.0); tally.add(GroupCounts(5, 0, asked=1), 0.6)
    >>> [tally.report(7, 0, 0, at_s).groups[0].asked for at_s in (0.9, 1.3)]
    [2, 1]
    >>> tally.add_return(2.5, now_s=1.0); tally.report(7, 0, 0, 1.0).returning
    (0, 1, 0, 0)
    >>> tally.report(7, 0, 0, 9.0)
    ShedReport(service=7, waiting=0, held=0, groups=(), returning=())
    """

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()
        self._returns: Counter[int] = Counter()

    def add(self, counts: GroupCounts, now_s: float) -> None:
        """Add counts made now."""
        if not self._slots or now_s - self._slots[-1].started_s >= WINDOW_S / SLOTS:
            self._slots.append(_Slot(now_s, {}))
        groups, key = self._slots[-1].groups, counts.key
        groups[key] = groups[key].plus(counts) if key in groups else counts
        self._drop_expired(now_s)

    def add_return(self, at_s: float, now_s: float) -> None:
        """Count a caller that was told to return at a time; kept in tenths of a second."""
        self._returns[int(at_s * 10)] += 1
        self._drop_expired(now_s)

    def report(self, service: int, waiting: int, held: int, now_s: float) -> ShedReport:
        """Return the counts of the last second."""
        self._drop_expired(now_s)
        groups = sum_groups(item for slot in self._slots for item in slot.groups.values())
        largest = sorted(groups.values(), key=lambda item: -item.asked)[:MAX_GROUPS]
        return ShedReport(service, waiting, held, tuple(largest), self._returning(now_s))

    def _returning(self, now_s: float) -> tuple[int, ...]:
        if not self._returns:
            return ()
        bins = [0] * RETURN_BINS
        for tenth, callers in self._returns.items():
            index = int(max(0.0, tenth / 10 - now_s))
            if index < RETURN_BINS:
                bins[index] += callers
        return tuple(bins)

    def _drop_expired(self, now_s: float) -> None:
        while self._slots and now_s - self._slots[0].started_s >= WINDOW_S:
            self._slots.popleft()
        for tenth in [tenth for tenth in self._returns if tenth < int(now_s * 10)]:
            del self._returns[tenth]


def sum_groups(items: Iterable[GroupCounts]) -> dict[GroupKey, GroupCounts]:
    """Return the sums of counts by group."""
    sums: dict[tuple[int, int], list[int]] = {}
    for item in items:
        before = sums.get(item[:2])
        sums[item[:2]] = list(item[2:]) if before is None else list(map(add, before, item[2:]))
    return {GroupKey(*key): GroupCounts(*key, *counts) for key, counts in sums.items()}
