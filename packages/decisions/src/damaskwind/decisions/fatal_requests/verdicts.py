"""Come to verdicts on suspects by ends of targets, and by answers to requests that lack them.

An end that makes parts of prompts fatal needs contrast, see `evidence`. Where a router has seen
too few answers, or where targets end under most requests, the verdict is put off until there is
more evidence, unless the suspects are cleared or raised by others meanwhile. Of suspects that were
blamed together, some may be cleared later; then the verdict is on the others.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskwind.decisions.fatal_requests.evidence import (
    CLOSE_ENDS,
    LastEnd,
    SendEvidence,
    Suspect,
    find_blamed,
    find_last_end,
    last_end_of,
)
from damaskwind.decisions.fatal_requests.prompt_outcomes import PromptOutcomes
from damaskwind.decisions.fatal_requests.suspicion import FATAL_ENDS, SuspicionTable

__all__ = ["VerdictMaker"]

# How long a verdict waits for answers. Longer ago, targets may have run another software version.
MAX_PENDING_S = 10.0
MAX_PENDING = 64


class _PendingVerdict(NamedTuple):
    service: str
    last_end: LastEnd
    since_s: float
    ends: int


class VerdictMaker:
    """The verdicts of one process on the suspects in its table; times are monotonic."""

    def __init__(self, table: SuspicionTable) -> None:
        self._table = table
        self._outcomes = PromptOutcomes()
        self._pending: dict[bytes, _PendingVerdict] = {}
        # The members of the groups that this process has blamed.
        self._groups: dict[bytes, tuple[bytes, ...]] = {}

    def record_answer(self, service: str, parts: Iterable[bytes], now_s: float) -> list[Suspect]:
        """Record a whole answer; return the suspects to which ends of targets count by now."""
        self._outcomes.record(service, parts, True, now_s)
        due = []
        for digest, item in list(self._pending.items()):
            if not self._is_open(item, now_s):
                del self._pending[digest]
            elif self._has_contrast(item.service, item.last_end, item.ends, now_s):
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

        def has_contrast(found: LastEnd) -> bool:
            return self._is_due(service, found, now_s)

        sends = tuple(sends)
        blamed = find_blamed(sends, self._table.level, has_contrast)
        last_ends = [find_last_end(send, self._table.level) for send in sends]
        for found in last_ends:
            if found is not None and found.blamed in blamed:
                self._blame(found)
        if not any(item.level.ends >= CLOSE_ENDS for item in blamed):
            # An end that nothing explains so far.
            for send in sends:
                parts = (item.digest for item in send.parts)
                self._outcomes.record(service, parts, False, now_s)
        return blamed

    def _is_due(self, service: str, found: LastEnd, now_s: float) -> bool:
        """Return whether an end leads to a verdict at once; put it off otherwise."""
        before = self._pending.pop(found.blamed.digest, None)
        is_same = before is not None and self._is_open(before, now_s)
        ends = before.ends + 1 if is_same else FATAL_ENDS
        if self._has_contrast(service, found, ends, now_s):
            return True
        self._pending[found.blamed.digest] = _PendingVerdict(service, found, now_s, ends)
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

    def _has_contrast(self, service: str, found: LastEnd, ends: int, now_s: float) -> bool:
        firsts_s = [self._table.first_end_s(digest) for digest in found.members]
        since_s = min(now_s if first_s is None else first_s for first_s in firsts_s)
        if self._outcomes.are_ends_by_chance(service, found.members, ends, since_s):
            return False
        return self._outcomes.are_missing(service, found.members, since_s)
