"""Test that a signal lasts as long as the target asked, whatever other answers arrive."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.target_signals.answer_signals import AnswerSignals, parse_signals
from damaskwind.decisions.target_signals.signal_table import (
    LEAVING_TTL_S,
    SignalTable,
    TargetSignal,
)

RESTS = st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 9.0)), min_size=1, max_size=12)


class RestTest(unittest.TestCase):
    @given(RESTS, st.floats(0.0, 30.0))
    def test_target_rests_until_the_latest_end_requested(self, asked, at_s):
        table, now_s, ends_s = SignalTable(), 0.0, []
        for pause_s, rest_s in asked:
            now_s += pause_s
            table.observe("t", AnswerSignals(rest_s), now_s)
            ends_s.append(now_s + rest_s if rest_s else 0.0)
        at_s = max(at_s, now_s)
        self.assertEqual(table.signal("t", at_s) is TargetSignal.REST, max(ends_s) > at_s)

    def test_a_good_answer_does_not_end_a_rest(self):
        table = SignalTable()
        table.observe("t", AnswerSignals(3.0), 0.0)
        table.observe("t", AnswerSignals(), 1.0)
        self.assertIs(table.signal("t", 2.9), TargetSignal.REST)

    def test_new_incarnation_does_not_inherit_signals(self):
        table = SignalTable()
        table.observe(("t", 1), AnswerSignals(3.0, True), 0.0)
        self.assertIs(table.signal(("t", 2), 0.1), TargetSignal.NOTHING)

    def test_expired_signals_are_dropped(self):
        table = SignalTable()
        for number in range(100):
            table.observe(f"r{number}", AnswerSignals(1.0), 0.0)
            table.observe(f"l{number}", AnswerSignals(0.0, True), 0.0)
        table.observe("t", AnswerSignals(1.0), 2.0)
        self.assertEqual(len(table), 101)
        table.observe("u", AnswerSignals(1.0), LEAVING_TTL_S + 1.0)
        self.assertEqual(len(table), 1)

    def test_leaving_outlasts_rests_and_answers_without_it(self):
        table = SignalTable()
        self.assertIs(table.observe("t", AnswerSignals(2.0, True), 0.0), TargetSignal.LEAVE)
        self.assertIs(table.observe("t", AnswerSignals(), 1.0), TargetSignal.NOTHING)
        self.assertIs(table.signal("t", 60.0), TargetSignal.LEAVE)
        self.assertIsNone(table.pause_left_s(["t"], 1.0))


class ParseSignalsTest(unittest.TestCase):
    def test_forms_of_retry_after(self):
        forms = {
            b"3": 3.0,
            b" 0.25 ": 0.25,
            b"86400": 86400.0,
            b"0": 0.0,
            b"-1": 0.0,
            b"nan": 0.0,
            b"inf": 0.0,
            b"1e999": 0.0,
            b"": 0.0,
            b"3, 4": 0.0,
            b"soon": 0.0,
            b"\xff": 0.0,
        }
        read = {form: parse_signals(503, form, date=b"nonsense").rest_s for form in forms}
        self.assertEqual(read, forms)

    def test_an_http_date_counts_from_the_date_of_the_answer(self):
        at, until = b"Thu, 03 Dec 2026 12:00:00 GMT", b"Thu, 03 Dec 2026 12:01:00 GMT"
        self.assertEqual(parse_signals(503, until, date=at).rest_s, 60.0)
        self.assertEqual(parse_signals(503, at, date=until).rest_s, 0.0)

    def test_only_503_requests_a_rest(self):
        rests = [parse_signals(status, b"3").rest_s for status in (200, 429, 500, 502, 503)]
        self.assertEqual(rests, [0.0, 0.0, 0.0, 0.0, 3.0])

    def test_leaving_is_accepted_with_any_status(self):
        signals = [parse_signals(status, leaving=b"1").is_leaving for status in (200, 500, 503)]
        self.assertEqual(signals, [True] * 3)
        self.assertFalse(parse_signals(200, leaving=b"0").is_leaving)

    @given(st.binary(), st.binary(), st.one_of(st.none(), st.binary()))
    def test_any_bytes_are_accepted(self, retry_after, leaving, date):
        self.assertGreaterEqual(parse_signals(503, retry_after, leaving, date).rest_s, 0.0)


if __name__ == "__main__":
    unittest.main()
