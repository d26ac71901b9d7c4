import unittest

from damaskwind.model.configuration import Configuration, Policy, PriorityClass, Service
from damaskwind.model.exception import MessageError
from damaskwind.wire.configuration_history import ConfigurationHistory, decode_revision


def revision(number):
    """Return a configuration that changes a little with each revision."""
    classes = {
        f"c{rank}": PriorityClass(f"c{rank}", rank, 1 + rank) for rank in range(number % 5 + 1)
    }
    services = {f"s{i}": Service(f"s{i}", "service") for i in range(200)}
    return Configuration(number, priority_classes=classes, services=services)


class ConfigurationHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = ConfigurationHistory()
        for number in range(1, 21):
            self.history.set(revision(number))

    def test_follower_at_any_revision_reaches_the_latest(self):
        for base in range(21):
            applied = revision(base) if base else None
            encoded = self.history.encode_for(base)
            if base == 20:
                self.assertEqual(encoded.body, b"")
                continue
            self.assertEqual(encoded.is_delta, base > 0)
            self.assertEqual(decode_revision(encoded, applied), revision(20))

    def test_delta_is_small_and_an_unknown_base_gets_the_whole(self):
        delta, whole = self.history.encode_for(19), self.history.encode_for(0)
        self.assertLess(len(delta.body) * 3, len(whole.body))
        self.assertFalse(self.history.encode_for(-1).is_delta)

    def test_object_deleted_and_put_again_is_in_the_delta(self):
        history = ConfigurationHistory()
        gone = revision(1)._replace(revision=2, services={})
        for whole in (revision(1), gone, revision(1)._replace(revision=3)):
            history.set(whole)
        for applied in (revision(1), gone):
            encoded = history.encode_for(applied.revision)
            self.assertTrue(encoded.is_delta)
            self.assertEqual(decode_revision(encoded, applied), history.latest)

    def test_revision_skipped_by_a_snapshot_gets_the_whole(self):
        self.history.set(revision(30))
        self.assertTrue(self.history.encode_for(20).is_delta)
        self.assertFalse(self.history.encode_for(25).is_delta)

    def test_lower_revision_clears_the_history(self):
        self.history.set(revision(3))
        self.assertFalse(self.history.encode_for(2).is_delta)

    def test_revision_without_changes_still_advances(self):
        self.history.set(revision(20)._replace(revision=21))
        self.assertEqual(decode_revision(self.history.encode_for(20), revision(20)).revision, 21)

    def test_wrong_base_content_and_body_are_refused(self):
        encoded = self.history.encode_for(19)
        other = revision(19)._replace(policy=Policy(load_factor=2.0))
        for wrong, applied in (
            (encoded, None),
            (encoded, revision(18)),
            (encoded, other),
            (encoded._replace(body=encoded.body[:-3]), revision(19)),
            (encoded._replace(body=b"junk"), revision(19)),
            (encoded._replace(revision=21), revision(19)),
        ):
            with self.assertRaises(MessageError):
                decode_revision(wrong, applied)

    def test_revision_zero_is_not_published(self):
        history = ConfigurationHistory()
        self.assertFalse(history.set(Configuration()))
        self.assertEqual(history.encode_for(0).body, b"")
