"""Tests of a replica that loses its power at each step of its join.

They guard against a replica that is back without a vote, entries or an identity that it had
answered for.
"""

import unittest
from pathlib import Path
from random import Random
from typing import NamedTuple

from damaskwind.control.storage.folder import open_data_folder
from damaskwind.control.storage.journal import Journal, TakeSnapshot, open_journal
from damaskwind.control.storage.tests.power import PowerFileSystem, PowerLostError
from damaskwind.control.storage.tests.test_journal import append
from damaskwind.decisions.replication.events import InstallSnapshot, TruncateFrom, WriteState
from damaskwind.decisions.replication.messages import Member, PersistentState, Snapshot

FOLDER = Path("/data")
LOSSES = 40
LEADER = Member("b", "b1")
VOTE = WriteState(0, PersistentState(3, Member("a", "1")))
GROUPS = (
    (WriteState(0, PersistentState(2)),),
    (InstallSnapshot(0, Snapshot(5, 2), b"theirs", False),),
    (append(6, 7, term=2),),
    (append(8, term=2), VOTE),
    (TruncateFrom(0, 8), append(8, 9, term=3), WriteState(0, PersistentState(4, LEADER))),
    (TakeSnapshot(Snapshot(7, 2), b"own"),),
    (append(10, term=3),),
    (append(11, term=3), InstallSnapshot(0, Snapshot(20, 4), b"later", False)),
    (append(21, term=4),),
)


class Content(NamedTuple):
    """What a replica holds durably."""

    state: PersistentState
    snapshot: Snapshot
    data: bytes
    entries: tuple


def content_of(journal: Journal) -> Content:
    """Return what a journal says that it holds."""
    snapshot, data = journal.read_snapshot()
    return Content(journal.state, snapshot, data, tuple(journal.entries))


def open_replica(files: PowerFileSystem) -> tuple[str, Journal]:
    """Open a replica; return its identity and its journal."""
    folder = open_data_folder(FOLDER, "kl", "a", files)
    return folder.identity.identity, open_journal(FOLDER, files)


class Join:
    """A join, up to the operation at which it ends; and what was answered for until then."""

    def __init__(self, files: PowerFileSystem) -> None:
        self.identity: str | None = None
        self.answered = 0
        try:
            self.identity, journal = open_replica(files)
            for group in GROUPS:
                journal.write(group)
                self.answered += 1
            self.is_whole = True
        except PowerLostError:
            self.is_whole = False


def contents_after_each_write() -> list[list[Content]]:
    """Return for each group the contents that are right once it was answered for."""
    journal = open_replica(PowerFileSystem())[1]
    contents = [[content_of(journal)]]
    for group in GROUPS:
        contents.append([])
        for write in group:
            journal.write([write])
            contents[-1].append(content_of(journal))
    return contents


class PowerLossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.contents = contents_after_each_write()

    def check_kept(self, join: Join, files: PowerFileSystem) -> None:
        """Check that all that was answered for is there, under the same identity."""
        identity, journal = open_replica(files)
        if join.identity is not None:
            self.assertEqual(identity, join.identity)
        allowed = [self.contents[join.answered][-1]]
        allowed += [item for group in self.contents[join.answered + 1 :][:1] for item in group]
        self.assertIn(content_of(journal), allowed)

    def test_power_lost_at_each_step_of_a_join_loses_nothing_answered_for(self) -> None:
        for ends_at, files, random in losses():
            join = Join(files)
            with self.subTest(ends_at=ends_at, answered=join.answered):
                files.lose_power(random)
                self.check_kept(join, files)

    def test_power_lost_after_a_restart_loses_nothing_that_was_read_back(self) -> None:
        for ends_at, files, random in losses():
            join = Join(files)
            with self.subTest(ends_at=ends_at, answered=join.answered):
                files.restart()
                identity, journal = open_replica(files)
                content = content_of(journal)
                files.lose_power(random)
                identity_after, journal_after = open_replica(files)
                self.assertEqual(identity_after, identity)
                self.assertEqual(content_of(journal_after), content)

    def test_power_lost_at_each_step_of_a_restart_loses_nothing_answered_for(self) -> None:
        for ends_at, files, random in losses(8):
            join = Join(files)
            files.lose_power(random)
            files.ends_at = files.operations + random.randrange(1, 8)
            with self.subTest(ends_at=ends_at, answered=join.answered):
                try:
                    identity, _ = open_replica(files)
                    join.identity = join.identity or identity
                except PowerLostError:
                    pass
                files.lose_power(random)
                self.check_kept(join, files)


def losses(times: int = LOSSES):
    """Yield a file system for each operation of a join, some times, and a generator."""
    whole = PowerFileSystem()
    Join(whole)
    for ends_at in range(1, whole.operations + 2):
        for seed in range(times):
            yield ends_at, PowerFileSystem(ends_at), Random(seed * 1000 + ends_at)
