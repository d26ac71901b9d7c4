"""Tests of the chain, the bounded trail and its archive."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from damaskwind.control.audit.archive import AuditArchive
from damaskwind.control.audit.chain import ChainHead, head_faults, verify_chain
from damaskwind.control.audit.entry import AuditEvent, decode_entry, encode_entry, entry_hash
from damaskwind.control.audit.trail import MAX_CLOSED_SEGMENTS, SEGMENT_ENTRIES, AuditTrail
from damaskwind.model.exception import MessageError


def event(number, detail=()):
    return AuditEvent(1.5 * number, "mei", "10.0.0.7", "plan", f"p{number}", "planned", 0, detail)


def filled(count):
    trail = AuditTrail()
    for number in range(count):
        trail.append(event(number))
    return trail


def forged_chain(entries):
    """Return a forged chain whose own hashes all match."""
    forged = []
    before = entries[0].previous_hash
    for entry in entries:
        changed = entry._replace(previous_hash=before)
        forged.append(changed._replace(entry_hash=entry_hash(changed)))
        before = forged[-1].entry_hash
    return forged


class ChainTest(TestCase):
    def test_an_unmodified_trail_is_valid(self):
        verdict = verify_chain(filled(20).entries())
        self.assertEqual((verdict.entries, verdict.head.sequence, verdict.faults), (20, 20, ()))

    def test_altering_any_field_breaks_the_chain(self):
        entries = list(filled(3).entries())
        for field, value in entries[1]._asdict().items():
            other = (*value, "x") if isinstance(value, tuple) else value * 2 + type(value)(1)
            altered = [entries[0], entries[1]._replace(**{field: other}), entries[2]]
            self.assertTrue(verify_chain(altered).faults, field)

    def test_removed_reordered_and_duplicated_entries_break_the_chain(self):
        a, b, c, d = filled(4).entries()
        for run in ([a, c, d], [a, c, b, d], [a, b, b, c]):
            self.assertTrue(verify_chain(run).faults)

    def test_a_rewritten_trail_is_detected_by_the_head_of_an_earlier_check(self):
        entries = list(filled(5).entries())
        known = ChainHead(4, entries[3].entry_hash)
        forged = forged_chain([entries[0], entries[1]._replace(operator="lin"), *entries[2:]])
        self.assertEqual(verify_chain(forged).faults, ())
        self.assertEqual(head_faults(entries, known), [])
        self.assertEqual(head_faults(entries[4:], known), [])
        for wrong in (forged, forged[4:], entries[:2], []):
            self.assertEqual(len(head_faults(wrong, known)), 1 + (wrong == forged))

    def test_malformed_lines_are_refused(self):
        line = encode_entry(next(filled(1).entries()))
        for wrong in (b"{", b"[]", line[:-1] + b',"more":1}', b'{"sequence":1}'):
            with self.assertRaises(MessageError):
                decode_entry(wrong)


class TrailTest(TestCase):
    def test_memory_is_bounded_and_the_chain_continues(self):
        limit = (MAX_CLOSED_SEGMENTS + 1) * SEGMENT_ENTRIES
        trail = filled(limit + 1)
        self.assertEqual(trail.first_sequence, SEGMENT_ENTRIES + 1)
        self.assertEqual(trail.last_sequence, limit + 1)
        self.assertEqual(verify_chain(trail.entries()).faults, ())
        restored = AuditTrail(trail.state())
        self.assertEqual(restored.append(event(0)), trail.append(event(0)))

    def test_long_texts_are_truncated(self):
        trail = AuditTrail()
        entry = trail.append(event(1, tuple("x" * 1000 for _ in range(100))))
        self.assertEqual(len(entry.detail), 21)
        self.assertEqual(entry.detail[-1], "and 80 more")
        self.assertLess(len(encode_entry(entry)), 6000)

    def test_closed_segments_remain_in_the_archive_after_a_restart(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "audit"
            archive = AuditArchive(path)
            trail = AuditTrail()
            written = 0
            for number in range((MAX_CLOSED_SEGMENTS + 2) * SEGMENT_ENTRIES + 7):
                trail.append(event(number))
                written += archive.store_closed(trail)
            self.assertEqual(written, MAX_CLOSED_SEGMENTS + 2)
            archive = AuditArchive(path)
            self.assertEqual(archive.store_closed(trail), 0)
            lines = archive.lines_after(0, SEGMENT_ENTRIES)
            lines += archive.lines_after(SEGMENT_ENTRIES, 10 * SEGMENT_ENTRIES)
            self.assertEqual(len(lines), 2 * SEGMENT_ENTRIES)
            lines += trail.lines_after(2 * SEGMENT_ENTRIES, 10 * SEGMENT_ENTRIES)
            verdict = verify_chain(map(decode_entry, lines))
            self.assertEqual((verdict.faults, verdict.head.entry_hash), ((), trail.last_hash))

    def test_a_partially_written_segment_is_ignored(self):
        with TemporaryDirectory() as folder:
            (Path(folder) / "audit-000000000001.tmp").write_bytes(b"half")
            archive = AuditArchive(Path(folder))
            self.assertIsNone(archive.first_sequence)
            self.assertEqual(archive.store_closed(filled(SEGMENT_ENTRIES)), 1)
            self.assertEqual(len(archive.lines_after(10, 5)), 5)
