"""A replicated table of targets, merged from their reports at all processes.

A report reaches one control replica. The table of each process merges the reports
that it received itself with the updates received from others. Merging is commutative
and idempotent, so reordering, repetition and delay are harmless: the later incarnation
of a target wins; within an incarnation the phase only advances (serving, leaving, gone),
and within a phase the higher sequence number wins. An incarnation that is leaving or
gone never returns. Gone targets are kept as tombstones until no late report of them can
be in transit. See Shapiro et al., "Conflict-free Replicated Data Types", SSS 2011.

A target that restarts under the same id begins a new incarnation, identified by its
start time. A target that does not report its start time has a single incarnation, and a
record without start time changes nothing about a target that has reported one. The
clock may be stepped back between two incarnations: an earlier start time counts as later
once the known incarnation has been silent for a long time, and the record then counts
how often this happened.

Processes of earlier versions pass records on without the software version. Within an
incarnation, such a record leaves a known version as it is, and a late record still adds it.

A target that is back under its id with another software version replaces its record. Its former
version then has a tombstone of its own, one for each service and version, so that processes that
start later know of it too.
"""

from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

from damaskwind.decisions.membership.target_entry import (
    TargetEntry,
    address_owner,
    contested_addresses,
    record_hash,
)
from damaskwind.decisions.membership.target_record import (
    PhaseChange,
    TargetPhase,
    TargetRecord,
)
from damaskwind.model.targets import Address

__all__ = ["Changes", "SilentTargets", "TargetTable"]

# Reports are delayed by seconds at most; a minute is far above any such delay.
TOMBSTONE_S = 60.0
# A target without reports for this long is removed. This is far above any partition that
# a running target may go through (tens of seconds), since a removed target gets no requests.
FORGET_S = 45.0
# An incarnation that was silent for this long has ended: eight heartbeats, and more than
# any partition delays a report. After that, an earlier start time means that the target's
# clock was stepped back, and not that a report is late.
STALE_INCARNATION_S = 10.0
# A report that puts the end of a cold period later by at most this belongs to the same period.
COLD_PERIOD_TOLERANCE_S = 0.3


class Changes(NamedTuple):
    """The changes of a table, complete up to `revision`.

    `phases` holds the targets of which the recipient has the record and only the phase
    changed.
    """

    records: tuple[TargetRecord, ...]
    revision: int
    phases: tuple[PhaseChange, ...] = ()


class SilentTargets(NamedTuple):
    """The targets silent since some time, and the oldest last-seen time of the others.

    Targets that are gone are in neither group.
    """

    target_ids: tuple[str, ...]
    others_seen_s: float


class TargetTable:
    """All targets known to one process.

    `revision` grows with each change that has to be propagated. Tables with the same
    contents have the same `digest`; it is 0 for an empty one.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, TargetEntry] = {}
        self._contested: dict[Address, list[TargetEntry]] = {}
        self._contested_revision = -1
        self.digest = 0

    def merge(self, record: TargetRecord, received_s: float) -> bool:
        """Merge a record received at `received_s`; tell whether it changed anything.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 0.0), table.merge(new._replace(sequence=3), 1.0)
        (True, False)
        >>> table.merge(new._replace(phase=TargetPhase.GONE, sequence=0), 2.0)
        True
        >>> table.merge(new._replace(sequence=9), 3.0)
        False
        >>> table.merge(new._replace(sequence=0, born_ms=1_790_000_000_000), 4.0)
        True
        """
        entry = self._entries.get(record.target_id)
        if entry is None or (record.incarnation > entry.record.incarnation and record.service):
            self._add(record, entry, received_s)
            if entry is not None:
                self._remember_version(entry.record, record, received_s)
            return True
        if record.incarnation < entry.record.incarnation:
            return False
        if record.incarnation > entry.record.incarnation:
            return self._end_unknown_incarnation(entry, record, received_s)
        if not record.version:
            record = record._replace(version=entry.record.version)
        elif not entry.record.version and record.service and entry.record.service:
            self._put(entry, entry.record._replace(version=record.version), entry.last_seen_s)
            self._merge_known_incarnation(entry, record, received_s)
            return True
        return self._merge_known_incarnation(entry, record, received_s)

    def _merge_known_incarnation(
        self, entry: TargetEntry, record: TargetRecord, received_s: float
    ) -> bool:
        """Merge a record of the known incarnation; tell whether it changed anything."""
        if record.phase < entry.record.phase:
            return False
        if record.phase == entry.record.phase:
            return self._merge_same_phase(entry, record, received_s)
        if not record.service:
            record = entry.record._replace(phase=record.phase)
        if record.phase is TargetPhase.GONE and entry.record.phase is TargetPhase.SERVING:
            entry.gone_at_s = received_s
        self._put(entry, record, received_s)
        return True

    def report(self, record: TargetRecord, now_s: float) -> bool:
        """Merge a report sent by a target itself; tell whether it changed anything.

        A report that names another service than the known one comes from another process
        with the same target id, and is ignored.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.report(new._replace(born_ms=9_000), 0.0)
        True
        >>> back = new._replace(sequence=0, born_ms=5_000)
        >>> table.report(back, 5.0), table.report(back, 5.0 + STALE_INCARNATION_S)
        (False, True)
        """
        entry = self._entries.get(record.target_id)
        if entry is None:
            return self.merge(record, now_s)
        known = entry.record
        is_foreign = known.service not in ("", record.service)
        if is_foreign or record.born_ms == known.superseded_born_ms != 0:
            return False
        has_ended = now_s - entry.last_seen_s >= STALE_INCARNATION_S
        if 0 < record.born_ms < known.born_ms and has_ended:
            steps, superseded_born_ms = known.clock_steps + 1, known.born_ms
        else:
            steps, superseded_born_ms = known.clock_steps, known.superseded_born_ms
        record = record._replace(
            clock_steps=steps,
            superseded_born_ms=superseded_born_ms,
            cold_sequence=self._cold_period_sequence(record, now_s),
        )
        changed = self.merge(record, now_s)
        self.mark_seen(record.target_id, now_s, record.born_ms)
        return changed

    def _cold_period_sequence(self, record: TargetRecord, now_s: float) -> int:
        """Return the first sequence of a report's cold period: its own if it starts a new one.

        A period is new if it ends later than the known one.
        """
        entry = self._entries[record.target_id]
        if record.born_ms != entry.record.born_ms:
            return 0
        is_new = (
            record.cold_s > 0
            and now_s + record.cold_s > entry.cold_until_s + COLD_PERIOD_TOLERANCE_S
        )
        return record.sequence if is_new else entry.record.cold_sequence

    def leave(self, target_id: str, now_s: float, now_ms: int = 0) -> bool:
        """Record that a target, known here or not, announced that it is gone.

        The announcement names no incarnation: it ends the known one. For an unknown
        target it ends every incarnation started before `now_ms`, the Unix time in ms.
        """
        entry = self._entries.get(target_id)
        steps, born_ms = entry.record.incarnation if entry else (0, now_ms)
        unknown_address = Address("0.0.0.0", 0)
        gone = TargetRecord(target_id, "", unknown_address, "", TargetPhase.GONE, 0)
        return self.merge(gone._replace(born_ms=born_ms, clock_steps=steps), now_s)

    def mark_seen(self, target_id: str, seen_s: float, born_ms: int = 0) -> None:
        """Record that some process received a report of an incarnation at `seen_s`."""
        entry = self._entries.get(target_id)
        if entry is not None and entry.record.born_ms == born_ms:
            entry.last_seen_s = max(entry.last_seen_s, seen_s)

    def is_heartbeat(self, record: TargetRecord) -> bool:
        """Tell whether a report contains nothing new about a serving target.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.is_heartbeat(new), table.merge(new, 1.0), table.is_heartbeat(new)
        (False, True, True)
        >>> table.is_heartbeat(new._replace(phase=TargetPhase.LEAVING))
        False
        """
        entry = self._entries.get(record.target_id)
        if entry is None or entry.record.phase is not TargetPhase.SERVING:
            return False
        known = entry.record
        return known == record._replace(
            sequence=known.sequence,
            cold_s=known.cold_s,
            clock_steps=known.clock_steps,
            superseded_born_ms=known.superseded_born_ms,
            cold_sequence=known.cold_sequence,
            version=record.version or known.version,
        )

    def incarnation_of(self, target_id: str) -> tuple[int, int] | None:
        """Return the known incarnation of a target, or `None` if it is unknown."""
        entry = self._entries.get(target_id)
        return entry.record.incarnation if entry else None

    def phase_of(self, target_id: str) -> TargetPhase | None:
        """Return the phase of a target, or `None` if it is unknown."""
        entry = self._entries.get(target_id)
        return entry.record.phase if entry else None

    def record_of(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target, or `None` if it is unknown."""
        entry = self._entries.get(target_id)
        return entry.record if entry else None

    def last_seen_s(self, target_id: str) -> float:
        """Return when any process last received a report of a target; -inf if unknown."""
        entry = self._entries.get(target_id)
        return entry.last_seen_s if entry else float("-inf")

    def age_s(self, target_id: str, now_s: float, heartbeat_s: float) -> float:
        """Return for how long a target has run, estimated from its first known report.

        Later reports reach a process only if they contain something new, so the
        sequence in the record does not advance with each heartbeat.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 10.0), table.age_s("t", 40.0, 1.2)
        (True, 34.8)
        """
        entry = self._entries.get(target_id)
        if entry is None:
            return 0.0
        return now_s - entry.first_seen_s + entry.first_sequence * heartbeat_s

    def is_superseded(self, target_id: str, heartbeat_s: float) -> bool:
        """Tell whether a target that did not announce its end lost its address to a later one.

        A partition may hold back a report until its sender has crashed and another target
        has started and reported from the same address; such a late report must not route
        requests there again. Among targets seen recently, the one with the shorter run time
        by its first known report started later, whichever of them was seen first. A target
        that has been silent for three heartbeats loses the address to one seen after that,
        since it may have ended at a younger age.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("new", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 1)
        >>> table.merge(new, 0.0), table.merge(new._replace(target_id="old", sequence=40), 1.0)
        (True, True)
        >>> table.is_superseded("old", 1.2), table.is_superseded("new", 1.2)
        (True, False)
        """
        entry = self._entries.get(target_id)
        if entry is None:
            return False
        if self._contested_revision != self.revision:
            self._contested = contested_addresses(self._entries.values())
            self._contested_revision = self.revision
        contenders = self._contested.get(entry.record.address)
        return contenders is not None and address_owner(contenders, heartbeat_s) is not entry

    def __len__(self) -> int:
        """Return the number of known targets, including those that are gone."""
        return len(self._entries)

    def changed_since(self, revision: int, limit: int | None = None) -> Changes:
        """Return the records changed after a revision, at most the `limit` oldest changes.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 1.0), table.merge(new._replace(target_id="u"), 1.0)
        (True, True)
        >>> some = table.changed_since(0, limit=1)
        >>> some.revision, [record.target_id for record in some.records]
        (1, ['t'])
        >>> table.changed_since(some.revision).revision
        2
        """
        changed = [entry for entry in self._entries.values() if entry.changed_revision > revision]
        if limit is None or len(changed) <= limit:
            return Changes(tuple(entry.record for entry in changed), self.revision)
        changed = nsmallest(limit, changed, key=lambda entry: entry.changed_revision)
        last_revision = changed[-1].changed_revision if changed else revision
        return Changes(tuple(entry.record for entry in changed), last_revision)

    def compact_changes_since(self, revision: int, limit: int) -> Changes:
        """Return at most `limit` changes for a recipient that knows all up to a revision.

        Targets of which only the phase changed after it are returned as phase changes.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> left = new._replace(phase=TargetPhase.LEAVING, sequence=5)
        >>> table.merge(new, 1.0), table.merge(left, 2.0)
        (True, True)
        >>> table.compact_changes_since(1, 9).phases[0].phase
        <TargetPhase.LEAVING: 1>
        >>> len(table.compact_changes_since(0, 9).records)
        1
        """
        changes = self.changed_since(revision, limit)
        records = [
            record
            for record in changes.records
            if self._entries[record.target_id].content_revision > revision
        ]
        described_ids = {record.target_id for record in records}
        phases = [
            PhaseChange(record.target_id, record.phase, record.sequence, record.incarnation)
            for record in changes.records
            if record.target_id not in described_ids
        ]
        return Changes(tuple(records), changes.revision, tuple(phases))

    def expand_phases(self, phases: Iterable[PhaseChange]) -> list[TargetRecord]:
        """Return the known records with phase changes applied; skip unknown incarnations."""
        records = []
        for change in phases:
            entry = self._entries.get(change.target_id)
            if entry is not None and entry.record.incarnation == change.incarnation:
                records.append(entry.record._replace(phase=change.phase, sequence=change.sequence))
        return records

    def with_remaining_cold_time(
        self, records: Iterable[TargetRecord], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Return known records with `cold_s` set to the cold time that remains at `now_s`.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new._replace(cold_s=3.0), 1.0)
        True
        >>> [table.with_remaining_cold_time([new], now_s)[0].cold_s for now_s in (2.5, 9.0)]
        [1.5, 0.0]
        """
        return tuple(self._with_remaining_cold_time(record, now_s) for record in records)

    def _with_remaining_cold_time(self, record: TargetRecord, now_s: float) -> TargetRecord:
        cold_s = max(0.0, self._entries[record.target_id].cold_until_s - now_s)
        return record if record.cold_s == cold_s else record._replace(cold_s=cold_s)

    def silent_since(self, since_s: float, now_s: float) -> SilentTargets:
        """Return the targets not seen since a time, and how fresh the others are.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 1.0), table.merge(new._replace(target_id="u"), 5.0)
        (True, True)
        >>> table.silent_since(3.0, now_s=6.0)
        SilentTargets(target_ids=('t',), others_seen_s=5.0)
        """
        silent, others_seen_s = [], now_s
        for target_id, entry in self._entries.items():
            if entry.record.phase is TargetPhase.GONE:
                continue
            if entry.last_seen_s < since_s:
                silent.append(target_id)
            else:
                others_seen_s = min(others_seen_s, entry.last_seen_s)
        return SilentTargets(tuple(silent), others_seen_s)

    def mark_others_seen(self, silent_targets: SilentTargets) -> None:
        """Record that some process has seen all targets except the silent ones.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 1.0), table.merge(new._replace(target_id="u"), 1.0)
        (True, True)
        >>> table.mark_others_seen(SilentTargets(("t",), 5.0))
        >>> table.last_seen_s("t"), table.last_seen_s("u")
        (1.0, 5.0)
        """
        silent = frozenset(silent_targets.target_ids)
        for target_id, entry in self._entries.items():
            if target_id not in silent and entry.record.phase is not TargetPhase.GONE:
                entry.last_seen_s = max(entry.last_seen_s, silent_targets.others_seen_s)

    def serving(self) -> list[TargetRecord]:
        """Return the records of all targets that accept requests."""
        phase = TargetPhase.SERVING
        return [entry.record for entry in self._entries.values() if entry.record.phase is phase]

    def serving_or_leaving(self) -> list[TargetRecord]:
        """Return the records of all targets that are not gone."""
        gone = TargetPhase.GONE
        return [entry.record for entry in self._entries.values() if entry.record.phase is not gone]

    def departed(self, now_s: float, within_s: float) -> list[TargetRecord]:
        """Return the records of targets that went from serving to gone within a time.

        A target that announces that it is gone without a leaving phase before still
        finishes its requests; one that was leaving has finished them already.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new, 0.0), table.leave("t", 1.0)
        (True, True)
        >>> len(table.departed(2.0, 2.0)), len(table.departed(4.0, 2.0))
        (1, 0)
        """
        oldest_s = now_s - within_s
        return [entry.record for entry in self._entries.values() if entry.gone_at_s >= oldest_s]

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of each service's targets, also of those that are gone.

        Targets that report none count as `""` until they are gone.

        >>> from damaskwind.model.targets import Address
        >>> table = TargetTable()
        >>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        >>> table.merge(new._replace(version="v1"), 0.0), table.leave("t", 1.0)
        (True, True)
        >>> table.versions()
        {'s': {'v1'}}
        """
        versions: dict[str, set[str]] = {}
        for entry in self._entries.values():
            record = entry.record
            if record.service and (record.version or record.phase is not TargetPhase.GONE):
                versions.setdefault(record.service, set()).add(record.version)
        return versions

    def forget(self, now_s: float) -> list[str]:
        """Remove tombstones and silent targets that are too old; return their ids."""
        expired = [
            target_id
            for target_id, entry in self._entries.items()
            if now_s - entry.last_seen_s
            > (TOMBSTONE_S if entry.record.phase is TargetPhase.GONE else FORGET_S)
        ]
        for target_id in expired:
            self.digest ^= record_hash(self._entries.pop(target_id).record)
            self._contested_revision = -1
        return expired

    def _merge_same_phase(
        self, entry: TargetEntry, record: TargetRecord, received_s: float
    ) -> bool:
        """Merge a report of the same phase; tell whether more than the heartbeat changed."""
        if record.phase is TargetPhase.GONE:
            return False
        if record.cold_sequence > entry.record.cold_sequence:
            sequence = max(record.sequence, entry.record.sequence)
            self._put(entry, record._replace(sequence=sequence), received_s)
            return True
        if record.sequence <= entry.record.sequence:
            return False
        if record.cold_sequence != entry.record.cold_sequence:
            record = record._replace(cold_sequence=entry.record.cold_sequence)
        entry.last_seen_s = max(entry.last_seen_s, received_s)
        unchanged = entry.record._replace(sequence=record.sequence, cold_s=record.cold_s)
        if record == unchanged:
            entry.record = record
            return False
        self._put(entry, record, received_s)
        return True

    def _end_unknown_incarnation(
        self, entry: TargetEntry, record: TargetRecord, received_s: float
    ) -> bool:
        """Merge the end of a later incarnation of which nothing else is known here."""
        if entry.record.phase is TargetPhase.SERVING:
            entry.gone_at_s = received_s
        ended = entry.record._replace(
            phase=record.phase,
            born_ms=record.born_ms,
            clock_steps=record.clock_steps,
            version=record.version,
        )
        self._put(entry, ended, received_s)
        return True

    def _add(self, record: TargetRecord, former: TargetEntry | None, received_s: float) -> None:
        """Add a record, in place of the former one of the same id if there is one."""
        self.revision += 1
        self.digest ^= record_hash(record) ^ (record_hash(former.record) if former else 0)
        self._entries[record.target_id] = TargetEntry(record, received_s, self.revision)

    def _remember_version(
        self, former: TargetRecord, record: TargetRecord, received_s: float
    ) -> None:
        """Keep a tombstone of the version that a target ran before, if it runs another now."""
        if not former.version or former.version == record.version:
            return
        tombstone = _version_tombstone(former.service, former.version)
        entry = self._entries.get(tombstone.target_id)
        if entry is None:
            self._add(tombstone, None, received_s)
        else:
            entry.last_seen_s = max(entry.last_seen_s, received_s)

    def _put(self, entry: TargetEntry, record: TargetRecord, received_s: float) -> None:
        self._remember_version(entry.record, record, received_s)
        self.revision += 1
        self.digest ^= record_hash(entry.record) ^ record_hash(record)
        known = entry.record._replace(
            phase=record.phase, sequence=record.sequence, cold_s=record.cold_s
        )
        if known != record:
            entry.content_revision = self.revision
        if record.cold_sequence > entry.record.cold_sequence:
            entry.cold_until_s = max(entry.cold_until_s, received_s + record.cold_s)
        entry.record = record
        entry.last_seen_s = max(entry.last_seen_s, received_s)
        entry.changed_revision = self.revision


def _version_tombstone(service: str, version: str) -> TargetRecord:
    """Return the tombstone of a software version; it is the same at all processes.

    Its id holds a space, which no id in the path of a report can.
    """
    address = Address("0.0.0.0", 0)
    gone = TargetRecord(f"{service} {version}", service, address, "", TargetPhase.GONE, 0)
    return gone._replace(version=version)
