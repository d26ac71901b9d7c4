"""Tests of limits that change while requests are being read."""

from twisted.trial.unittest import TestCase

from damaskwind.runtime.http1.limits import (
    GRACE_S,
    MAX_REPLACED,
    READ_AHEAD_BYTES,
    LimitHistory,
    ServerLimits,
)

SMALL = ServerLimits(100, 1000)
LARGE = ServerLimits(200, 2000)
OTHER = ServerLimits(300, 500)


class LimitHistoryTest(TestCase):
    def test_request_keeps_to_the_largest_limits_since_it_was_sent(self):
        """Guards against limits that callers could not know when they sent a request."""
        history = LimitHistory(LARGE)
        history.replace(SMALL, 10.0)
        history.replace(OTHER, 20.0)
        self.assertEqual(history.largest_since(9.0)[:2], (300, 2000))
        self.assertEqual(history.largest_since(10.0 + GRACE_S)[:2], (300, 2000))
        self.assertEqual(history.largest_since(10.1 + GRACE_S)[:2], (300, 1000))
        self.assertEqual(history.largest_since(20.1 + GRACE_S), OTHER)

    def test_times_are_those_in_force(self):
        """Guards against idle and header timeouts of limits that were replaced."""
        history = LimitHistory(LARGE)
        history.replace(SMALL._replace(header_timeout_s=1.0, idle_timeout_s=2.0), 10.0)
        self.assertEqual(history.largest_since(0.0)[2:], (1.0, 2.0, READ_AHEAD_BYTES))

    def test_same_limits_and_many_changes_take_no_space(self):
        """Guards against a history that grows with each version of the configuration."""
        history = LimitHistory(SMALL)
        for second in range(10 * MAX_REPLACED):
            history.replace(LARGE if second % 2 else SMALL, float(second))
            history.replace(history.present, float(second))
        self.assertEqual(len(history._replaced), MAX_REPLACED)
