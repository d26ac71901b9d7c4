"""Come to verdicts on suspects by ends of targets, and by answers to requests that lack them.

An end that makes parts of prompts fatal needs contrast, see `evidence`. Where a router has seen
too few answers, the verdict is put off until it has, unless the suspects are cleared or raised by
others meanwhile. Of suspects that were blamed together, some may be cleared later; then the verdict
is on the others. Where an end leads to several verdicts, it is on the suspect that was
in flight at the ends before it too.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from damaskwind.decisions.fatal_requests.answered_prompts import AnsweredPrompts
from damaskwind.decisions.fatal_requests.evidence import (
    CLOSE_ENDS,
    LastEnd,
    SendEvidence,
    Suspect,
    find_blamed,
    last_end_of,
)
from damaskwind.decisions.fatal_requests.suspicion import FATAL_ENDS, SuspicionTable

__all__ = ["VerdictMaker"]

# How long a verdict waits for answers. Longer ago, targets may have run another software version.
MAX_PENDING_S = 10.0
MAX_PENDING = 64


class _PendingVerdict(NamedTuple):
    service: str
    last_end: LastEnd
    since_s: float


class VerdictMaker:
    """The verdicts of one process on the suspects in its table; times are monotonic."""

    def __init__(self, table: SuspicionTable) -> None:
        self._table = table
        self._answers = AnsweredPrompts()
        self._pending: dict[bytes, _PendingVerdict] = {}
        # The suspects of which one is to blame for the last ends of a service's targets.
        self._doubted: dict[str, frozenset[Suspect]] = {}
        # The members of the groups that this process has blamed.
        self._groups: dict[bytes, tuple[bytes, ...]] = {}

    def record_answer(self, service: str, parts: Iterable[bytes], now_s: float) -> list[Suspect]:
        """Record a whole answer; return the suspects to which ends of targets count by now."""
        self._answers.record(service, parts, now_s)
        due = []
        for digest, item in list(self._pending.items()):
            if not self._is_open(item, now_s):
                del self._pending[digest]
            elif self._has_contrast(item.service, item.last_end, now_s):
                del self._pending[digest]
                due.append(self._blame(item.last_end))
        return due

    def narrow_groups(self) -> list[Suspect]:
        """Return what remains of groups that were blamed, where the rest is cleared by now."""
        remaining = []
        for digest, members in list(self._groups.items()):
            close = tuple(item for item in members if self._table.level(item).ends == CLOSE_ENDS)
            if len(close) == len(members):
                continue
            del self._groups[digest]
            if close and self._table.level(digest).ends >= FATAL_ENDS:
                remaining.append(self._blame(last_end_of(close, self._table.level)))
        return remaining

    def record_target_end(
        self, service: str, sends: Iterable[SendEvidence], now_s: float
    ) -> list[Suspect]:
        """Return the suspects to which the end of a target counts that had these in flight."""

        def decide(found: Sequence[LastEnd]) -> LastEnd | None:
            return self._decide(service, found, now_s)

        return find_blamed(sends, self._table.level, decide)

    def _decide(self, service: str, found: Sequence[LastEnd], now_s: float) -> LastEnd | None:
        """Return the verdict to which an end leads, if it leads to just one by now."""
        due = [item for item in found if self._is_due(service, item, now_s)]
        if len(due) > 1:
            before = self._doubted.get(service, frozenset())
            again = [item for item in due if item.blamed in before]
            self._doubted[service] = frozenset(item.blamed for item in again or due)
            due = again
        if len(due) != 1:
            return None
        self._doubted.pop(service, None)
        self._blame(due[0])
        return due[0]

    def _is_due(self, service: str, found: LastEnd, now_s: float) -> bool:
        """Return whether an end may lead to a verdict at once; put it off otherwise."""
        if not found.needs_contrast or self._has_contrast(service, found, now_s):
            return True
        self._pending.pop(found.blamed.digest, None)
        self._pending[found.blamed.digest] = _PendingVerdict(service, found, now_s)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        return False

    def _is_open(self, item: _PendingVerdict, now_s: float) -> bool:
        """Return whether a verdict may still follow from the ends seen here."""
        return now_s - item.since_s < MAX_PENDING_S and self._is_undecided(item.last_end)

    def _blame(self, found: LastEnd) -> Suspect:
        """Return the suspect to which an end counts, and remember the members of a group."""
        if len(found.members) > 1:
            self._groups[found.blamed.digest] = found.members
            if len(self._groups) > MAX_PENDING:
                del self._groups[next(iter(self._groups))]
        return found.blamed

    def pending(self) -> int:
        """Return the number of verdicts that wait for answers."""
        return len(self._pending)

    def _is_undecided(self, found: LastEnd) -> bool:
        """Return whether each suspect still lacks one end, and the group is not fatal."""
        levels = [self._table.level(digest) for digest in found.members]
        is_fatal = self._table.level(found.blamed.digest).ends >= FATAL_ENDS
        return not is_fatal and all(level.ends == CLOSE_ENDS for level in levels)

    def _has_contrast(self, service: str, found: LastEnd, now_s: float) -> bool:
        firsts_s = [self._table.first_end_s(digest) for digest in found.members]
        since_s = min(now_s if first_s is None else first_s for first_s in firsts_s)
        return self._answers.are_missing(service, found.members, since_s)
