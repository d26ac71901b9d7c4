"""Run Hypothesis state machines from a seed, optionally with an injected bug.

For tests and fuzzing only: no process of the system imports it. A machine counts
its histories in the class attribute `run_count`.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, NamedTuple

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from damaskwind.runtime.clock import read_clock

__all__ = ["FuzzResult", "SeededBug", "fuzz_histories", "run_batch", "seeded_bug"]

BATCH = 100


class SeededBug(NamedTuple):
    """An injected bug: `replacement` replaces an attribute of `owner`."""

    owner: Any
    attribute: str
    replacement: Callable[..., Any]


class FuzzResult(NamedTuple):
    """Result of a run; `first_failed` is the index of the first history of the failed batch."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


def run_batch(
    machine: type[RuleBasedStateMachine], steps: int, seed: int | None, histories: int
) -> None:
    """Run `histories` histories; without a seed they are the same every time."""
    profile = settings(
        max_examples=histories,
        stateful_step_count=steps,
        derandomize=seed is None,
        deadline=None,
        report_multiple_bugs=False,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )

    class Seeded(machine):
        """The histories of this batch."""

    factory = Seeded if seed is None else with_seed(seed)(Seeded)
    run_state_machine_as_test(factory, settings=profile)


@contextmanager
def seeded_bug(bugs: Mapping[str, SeededBug], name: str | None) -> Iterator[None]:
    """Inject the named bug while the context is active; `None` injects nothing."""
    if name is None:
        yield
        return
    owner, attribute, replacement = bugs[name]
    original = getattr(owner, attribute)
    setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        setattr(owner, attribute, original)


def fuzz_histories(
    machine: Any, steps: int, seed: int, duration_s: float, histories: int
) -> FuzzResult:
    """Run histories until `duration_s` or `histories` is exhausted, or one fails."""
    started_s = read_clock()
    machine.run_count = 0
    failure = None
    first_failed = None
    batch = 0
    while read_clock() - started_s < duration_s and machine.run_count < histories:
        count_before = machine.run_count
        try:
            run_batch(machine, steps, seed + batch, min(BATCH, histories - count_before))
        except Exception as error:  # any exception of a history is a failure
            notes = "\n".join(getattr(error, "__notes__", ()))
            failure = f"{type(error).__name__}: {error}\n{notes}"
            first_failed = count_before
            break
        batch += 1
    return FuzzResult(machine.run_count, read_clock() - started_s, first_failed, failure)
