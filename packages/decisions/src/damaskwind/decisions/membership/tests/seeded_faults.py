"""Target tables with seeded faults, by name."""

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.decisions.membership.target_table import TargetTable

__all__ = ["SEEDED_FAULTS"]


class Revives(TargetTable):
    """Accepts reports that move an incarnation back to an earlier phase."""

    def merge(self, record, received_s):
        entry = self._entries.get(record.target_id)
        if entry is not None and record.phase < entry.record.phase:
            self._put(entry, record, received_s)
            return True
        return super().merge(record, received_s)


class TrustsLast(TargetTable):
    """Ignores sequence numbers within a phase, so that the last received report wins."""

    def _merge_same_phase(self, entry, record, received_s):
        if record.phase is TargetPhase.GONE or record == entry.record:
            return False
        self._put(entry, record, received_s)
        return True


class BuriesSoon(TargetTable):
    """Removes tombstones after one second."""

    def forget(self, now_s):
        expired = [
            key
            for key, entry in self._entries.items()
            if entry.record.phase is TargetPhase.GONE and now_s - entry.last_seen_s > 1.0
        ]
        for key in expired:
            del self._entries[key]
        return []


class TellsNoMoves(TargetTable):
    """Changes an address without increasing the revision, so it is not propagated."""

    def _merge_same_phase(self, entry, record, received_s):
        revision, changed_revision = self.revision, entry.changed_revision
        changed = super()._merge_same_phase(entry, record, received_s)
        self.revision, entry.changed_revision = revision, changed_revision
        return changed


class MixesLives(TargetTable):
    """Orders a target's reports by phase and sequence, regardless of their incarnation."""

    def merge(self, record, received_s):
        entry = self._entries.get(record.target_id)
        if entry is not None and record.phase is not TargetPhase.SERVING:
            record = record._replace(born_ms=entry.record.born_ms)
        return super().merge(record, received_s)


_FAULTY_TABLES = (Revives, TrustsLast, BuriesSoon, TellsNoMoves, MixesLives)
SEEDED_FAULTS = {table.__name__: table for table in _FAULTY_TABLES}
