"""What a target asks for holds as long as it was asked for, whatever is said around it."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.target_words.said import Said, read_said
from damaskwind.decisions.target_words.words import LEAVING_KEPT_S, TargetWords, Wish

RESTS = st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 9.0)), min_size=1, max_size=12)


class RestTest(unittest.TestCase):
    @given(RESTS, st.floats(0.0, 30.0))
    def test_a_target_rests_until_the_latest_end_that_it_asked_for(self, asked, at_s):
        words, now_s, ends_s = TargetWords(), 0.0, []
        for pause_s, rest_s in asked:
            now_s += pause_s
            words.hear("t", Said(rest_s), now_s)
            ends_s.append(now_s + rest_s if rest_s else 0.0)
        at_s = max(at_s, now_s)
        self.assertEqual(words.wish("t", at_s) is Wish.REST, max(ends_s) > at_s)

    def test_a_good_answer_does_not_end_a_rest(self):
        words = TargetWords()
        words.hear("t", Said(3.0), 0.0)
        words.hear("t", Said(), 1.0)
        self.assertIs(words.wish("t", 2.9), Wish.REST)

    def test_a_new_life_owes_nothing_of_the_former_one(self):
        words = TargetWords()
        words.hear(("t", 1), Said(3.0, True), 0.0)
        self.assertIs(words.wish(("t", 2), 0.1), Wish.NOTHING)

    def test_what_holds_no_longer_is_forgotten(self):
        words = TargetWords()
        for number in range(100):
            words.hear(f"r{number}", Said(1.0), 0.0)
            words.hear(f"l{number}", Said(0.0, True), 0.0)
        words.hear("t", Said(1.0), 2.0)
        self.assertEqual(len(words), 101)
        words.hear("u", Said(1.0), LEAVING_KEPT_S + 1.0)
        self.assertEqual(len(words), 1)

    def test_leaving_outlasts_rests_and_answers_that_do_not_say_it(self):
        words = TargetWords()
        self.assertIs(words.hear("t", Said(2.0, True), 0.0), Wish.LEAVE)
        self.assertIs(words.hear("t", Said(), 1.0), Wish.NOTHING)
        self.assertIs(words.wish("t", 60.0), Wish.LEAVE)
        self.assertIsNone(words.rest_left_s(["t"], 1.0))


class ReadSaidTest(unittest.TestCase):
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
        read = {form: read_said(503, form, date=b"nonsense").rest_s for form in forms}
        self.assertEqual(read, forms)

    def test_an_http_date_counts_from_the_date_of_the_answer(self):
        at, until = b"Thu, 03 Dec 2026 12:00:00 GMT", b"Thu, 03 Dec 2026 12:01:00 GMT"
        self.assertEqual(read_said(503, until, date=at).rest_s, 60.0)
        self.assertEqual(read_said(503, at, date=until).rest_s, 0.0)

    def test_only_503_asks_for_rest(self):
        rests = [read_said(status, b"3").rest_s for status in (200, 429, 500, 502, 503)]
        self.assertEqual(rests, [0.0, 0.0, 0.0, 0.0, 3.0])

    def test_leaving_is_said_with_any_status(self):
        said = [read_said(status, leaving=b"1").is_leaving for status in (200, 500, 503)]
        self.assertEqual(said, [True] * 3)
        self.assertFalse(read_said(200, leaving=b"0").is_leaving)

    @given(st.binary(), st.binary(), st.one_of(st.none(), st.binary()))
    def test_any_bytes_are_read(self, retry_after, leaving, date):
        self.assertGreaterEqual(read_said(503, retry_after, leaving, date).rest_s, 0.0)


if __name__ == "__main__":
    unittest.main()
