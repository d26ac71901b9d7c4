"""Holders and histories with a seeded fault, by name."""

from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.tests.histories import History

__all__ = ["SEEDED_FAULTS", "LoadsStaleFile"]


class IgnoresIncarnations(ClaimHolder):
    """Accepts writes that depend on promises of outdated incarnations."""

    def _are_promises_current(self, promises):
        return True


class SkipsCatchUp(ClaimHolder):
    """Votes right after a restart."""

    def is_voting(self, now_s):
        return True


class CatchesUpFromOne(ClaimHolder):
    """Reads too few other holders before it votes."""

    def catch_up_quorum(self):
        return 1


class TakesStaleWrites(ClaimHolder):
    """Accepts writes below its promise."""

    def write(self, message, now_s):
        entry = self._find(message.key, now_s)
        if entry is not None:
            entry.promised = message.ballot
        return super().write(message, now_s)


class LoadsStaleFile(History):
    """Restores the state of an earlier clean stop after a crash."""

    loads_stale_file = True


SEEDED_FAULTS = {
    holder.__name__: holder
    for holder in (IgnoresIncarnations, SkipsCatchUp, CatchesUpFromOne, TakesStaleWrites)
}
