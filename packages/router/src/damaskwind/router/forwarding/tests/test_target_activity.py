"""Tests of the detection of silent targets."""

from twisted.trial.unittest import TestCase

from damaskwind.router.forwarding.target_activity import TargetActivity


class TargetActivityTest(TestCase):
    def setUp(self):
        self.activity = TargetActivity()

    def test_target_that_is_gone_while_it_answers_is_not_silent(self):
        """Guards against requests that are given up as their target leaves and answers on."""
        self.activity.begin_wait("t", 0.0)
        self.activity.record_received("t", 5.0)
        self.activity.forget("t")
        self.assertAlmostEqual(self.activity.silent_s("t", 5.1), 0.1)

    def test_target_that_is_gone_is_dropped_with_its_last_request(self):
        """Guards against memory that grows with the targets that were ever known."""
        waits = [self.activity.begin_wait("t", now_s) for now_s in (0.0, 1.0)]
        self.activity.record_received("t", 5.0)
        self.activity.forget("t")
        for number in waits:
            self.activity.end_wait("t", number)
        self.assertEqual(self.activity._received_s, {})
        self.activity.begin_wait("t", 6.0)
        self.assertAlmostEqual(self.activity.silent_s("t", 7.0), 1.0)
