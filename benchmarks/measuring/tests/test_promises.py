"""Each violated guarantee about requests is found; a correct run violates none."""

from unittest import TestCase

from benchmarks.measuring.calendar_load import Call
from benchmarks.measuring.driver import CallOutcome
from benchmarks.measuring.promises import count_outcomes, find_breaches
from benchmarks.measuring.tests.builders import MODEL, outcome_of, prompt_digest, turn_at
from damaskwind.standins.oracle import Oracle
from damaskwind.standins.service import expected_service_answer

ROOT = "/services/api"
TURN = turn_at(0.0, 1, ("a question",))


def oracles(runs: int, late: bool = False) -> dict:
    """Return the counts of one engine that ran the turn `runs` times."""
    oracle = Oracle()
    for _ in range(runs):
        oracle.record_run("router-1.a", "", prompt_digest(TURN))
    if late:
        oracle.record_arrival("router-1.late", oracle.grace_s + 0.1)
    return {"engine": oracle.snapshot()}


def found(outcome, counts: dict) -> list[str]:
    """Return the guarantees that one turn violates."""
    return [breach.promise for breach in find_breaches([outcome], [], counts, MODEL, ROOT)]


class TestTurns(TestCase):
    def test_a_complete_answer_of_one_run_is_correct(self):
        self.assertEqual(found(outcome_of(TURN), oracles(1)), [])

    def test_another_text_is_a_crossed_answer(self):
        self.assertEqual(
            found(outcome_of(TURN, text="other"), oracles(1)), ["crossed or altered answer"]
        )

    def test_a_partial_answer_must_be_a_prefix(self):
        cut = outcome_of(TURN, is_complete=False, verdict="may-have-run", text=TURN.answer[:3])
        self.assertEqual(found(cut, oracles(1)), [])
        self.assertEqual(
            found(cut._replace(text="x"), oracles(1)), ["crossed or altered part of an answer"]
        )

    def test_an_end_without_a_verdict_is_a_lost_request(self):
        lost = outcome_of(TURN, is_complete=False, verdict="", text="")
        self.assertEqual(found(lost, oracles(0)), ["lost without a verdict"])

    def test_verdicts_are_checked_against_the_count(self):
        refused = outcome_of(TURN, is_complete=False, verdict="not-run", text="")
        self.assertEqual(found(refused, oracles(0)), [])
        self.assertEqual(found(refused, oracles(1)), ["told not-run but it ran"])
        self.assertEqual(found(outcome_of(TURN), oracles(0)), ["told ran but it did not"])
        self.assertEqual(found(outcome_of(TURN), oracles(2)), ["ran more than once"])

    def test_work_after_a_leave_is_found(self):
        breaches = find_breaches([outcome_of(TURN)], [], oracles(1, late=True), MODEL, ROOT)
        self.assertEqual(
            [(breach.promise, breach.count) for breach in breaches],
            [("new work at a target that is leaving", 1)],
        )


class TestCalls(TestCase):
    def call(self, key: str) -> Call:
        """Return a call of the plain service."""
        fields = dict.fromkeys(Call._fields)
        fields |= {"method": "POST", "path": f"{ROOT}/tags", "body": b"body", "key": key}
        return Call(**fields)

    def found(self, outcome: CallOutcome, runs: int) -> list[str]:
        """Return the guarantees that one call violates."""
        oracle = Oracle()
        for _ in range(runs):
            oracle.record_run("id", outcome.call.key, "body")
        counts = {"service": oracle.snapshot()}
        return [breach.promise for breach in find_breaches([], [outcome], counts, MODEL, ROOT)]

    def test_only_the_expected_answer_is_correct(self):
        answer = expected_service_answer(1, "POST", "/tags", b"body")
        fine = CallOutcome(self.call("key"), "id", 200, "ran", "", answer)
        self.assertEqual(self.found(fine, 1), [])
        other = fine._replace(answer={**answer, "body_digest": "other", "extra": 1})
        self.assertEqual(self.found(other, 1), ["crossed or altered answer"])

    def test_a_keyed_call_runs_once(self):
        answer = expected_service_answer(1, "POST", "/tags", b"body")
        twice = CallOutcome(self.call("key"), "id", 200, "ran", "", answer)
        self.assertEqual(self.found(twice, 2), ["ran more than once"])


class TestEnds(TestCase):
    def test_ends_are_counted_by_verdict_and_reason(self):
        refused = outcome_of(TURN, is_complete=False, verdict="not-run", reason="queue_full")
        lost = outcome_of(TURN, is_complete=False, verdict="", reason="")
        self.assertEqual(
            count_outcomes([outcome_of(TURN), refused, lost], []),
            {"whole": 1, "not-run queue_full": 1, "no verdict no reason": 1},
        )
