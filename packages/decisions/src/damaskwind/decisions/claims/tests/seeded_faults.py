"""Holders and histories with a fault put in on purpose, by name."""

from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.tests.histories import History

__all__ = ["SEEDED_FAULTS", "LoadsStaleFile"]


class IgnoresIncarnations(ClaimHolder):
    """Counts promises of incarnations that were forgotten."""

    def _are_promises_current(self, promises):
        return True


class SkipsCatchUp(ClaimHolder):
    """Votes as soon as it restarted."""

    def is_voting(self, now_s):
        return True


class CatchesUpFromOne(ClaimHolder):
    """Reads too few others."""

    def catch_up_quorum(self):
        return 1


class TakesStaleWrites(ClaimHolder):
    """Accepts below its promise."""

    def write(self, message, now_s):
        entry = self._find(message.key, now_s)
        if entry is not None:
            entry.promised = message.ballot
        return super().write(message, now_s)


class LoadsStaleFile(History):
    """Holders go on from an old clean stop after a crash."""

    loads_stale_file = True


SEEDED_FAULTS = {
    holder.__name__: holder
    for holder in (IgnoresIncarnations, SkipsCatchUp, CatchesUpFromOne, TakesStaleWrites)
}
