"""Tests of the load estimate."""

from math import sqrt
from random import Random
from statistics import pstdev
from unittest import TestCase

from damaskwind.decisions.load.estimate import LoadTable
from damaskwind.model.targets import LoadReport


def _report(load_tokens: float, age_s: float = 0.0) -> LoadReport:
    return LoadReport(int(load_tokens), 100_000, 1, 0, age_s)


class EstimateTest(TestCase):
    """An estimate is a report, own work since its measurement, and drift."""

    def setUp(self) -> None:
        self.table = LoadTable()

    def test_own_work_after_the_measurement_is_added_once(self) -> None:
        self.table.record_started("before", "a", 50.0, 1.0)
        self.table.record_started("after", "a", 70.0, 2.5)
        self.table.observe("a", _report(500, age_s=1.0), 3.0)
        self.assertEqual(self.table.estimate_tokens("a", 3.0), 570.0)
        self.table.observe("a", _report(560, age_s=0.0), 3.2)
        self.assertLess(abs(self.table.estimate_tokens("a", 3.2) - 560.0), 1.0)

    def test_an_older_report_is_ignored(self) -> None:
        self.table.observe("a", _report(500), 3.0)
        self.table.observe("a", _report(9000, age_s=2.0), 4.0)
        self.assertEqual(self.table.estimate_tokens("a", 4.0), 500.0)

    def test_work_that_was_not_done_is_subtracted(self) -> None:
        self.table.observe("a", _report(500), 1.0)
        self.table.record_started("r", "a", 70.0, 1.1)
        self.table.record_finished("r", False, 1.2)
        self.assertEqual(self.table.estimate_tokens("a", 1.2), 500.0)

    def test_a_target_without_reports_has_own_work_from_each_router(self) -> None:
        self.table.router_count = 8
        self.table.record_started("r", "a", 70.0, 1.0)
        self.assertEqual(self.table.estimate_tokens("a", 1.0), 560.0)
        self.table.record_finished("r", True, 2.0)
        self.assertEqual(self.table.estimate_tokens("a", 2.0), 0.0)

    def test_a_removed_target_starts_without_load(self) -> None:
        self.table.record_started("r", "a", 70.0, 1.0)
        self.table.forget("a")
        self.table.record_finished("r", True, 2.0)
        self.assertEqual(self.table.estimate_tokens("a", 2.0), 0.0)

    def test_steady_peers_are_extrapolated(self) -> None:
        for step in range(40):
            self.table.observe("a", _report(1000 + 100 * step), float(step))
        self.assertLess(abs(self.table.estimate_tokens("a", 40.0) - 5000), 10)

    def test_own_work_is_not_mistaken_for_drift(self) -> None:
        load_tokens = 1000.0
        for step in range(40):
            self.table.record_started(str(step), "a", 100.0, step + 0.5)
            load_tokens += 100.0
            self.table.observe("a", _report(load_tokens), step + 1.0)
        self.assertLess(abs(self.table.estimate_tokens("a", 42.0) - load_tokens), 1.0)


class ErrorTest(TestCase):
    """The predicted error for peers that place at random."""

    def _errors(self, lag_s: float) -> tuple[float, float]:
        """Return the measured and the predicted standard deviation of the error at an age."""
        random, table, load_tokens, errors = Random(7), LoadTable(), 100_000.0, []
        stated = 0.0
        for step in range(4000):
            if step > 500:
                errors.append(table.estimate_tokens("a", step + lag_s) - load_tokens)
                stated += table.load("a").error_sd_tokens(step + lag_s) / 3499
            table.observe("a", _report(load_tokens, age_s=lag_s), step + lag_s)
            load_tokens += random.gauss(0.0, 300.0)
        return pstdev(errors), stated

    def test_the_predicted_error_matches_the_measured_one(self) -> None:
        measured, stated = self._errors(0.01)
        self.assertLess(abs(stated / measured - 1.0), 0.2)

    def test_the_error_grows_with_the_square_root_of_age(self) -> None:
        table = LoadTable()
        for step, load_tokens in enumerate((1000, 1500, 900, 1600, 1000)):
            table.observe("a", _report(load_tokens), float(step))
        ratio = table.load("a").error_sd_tokens(8.0) / table.load("a").error_sd_tokens(5.0)
        self.assertAlmostEqual(ratio, sqrt(4.0))
