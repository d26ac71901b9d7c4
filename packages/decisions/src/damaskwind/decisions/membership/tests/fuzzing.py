"""Fuzz the target table with random histories for a given time."""

from time import monotonic
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis.stateful import run_state_machine_as_test

from damaskwind.decisions.membership.tests.seeded_faults import SEEDED_FAULTS
from damaskwind.decisions.membership.tests.target_histories import TargetHistory

__all__ = ["FuzzResult", "fuzz_targets", "run_batch"]

BATCH = 200
STEPS = 40


class FuzzResult(NamedTuple):
    """Result of a run; `first_failed` is the index of the first history of the failed batch."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


def run_batch(seed: int, histories: int, bug: str | None = None, shrinks: bool = True) -> None:
    """Run a number of histories; raise `AssertionError` with the shrunk one that failed."""

    class Seeded(TargetHistory):
        """The histories of this batch."""

    if bug is not None:
        Seeded.table_class = SEEDED_FAULTS[bug]
    profile = settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=[Phase.generate, Phase.shrink] if shrinks else [Phase.generate],
        report_multiple_bugs=False,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(with_seed(seed)(Seeded), settings=profile)


def fuzz_targets(seed: int, seconds: float, histories: int, bug: str | None = None) -> FuzzResult:
    """Run histories until the time or the count is reached, or one fails."""
    started_s = monotonic()
    completed = 0
    while monotonic() - started_s < seconds and completed < histories:
        count = min(BATCH, histories - completed)
        try:
            run_batch(seed + completed, count, bug)
        except AssertionError as error:
            notes = "\n".join(getattr(error, "__notes__", ()))
            return FuzzResult(
                completed + count, monotonic() - started_s, completed, f"{error}\n{notes}"
            )
        completed += count
    return FuzzResult(completed, monotonic() - started_s, None, None)
