"""Run histories of requests from a seed, also with bugs that are put in on purpose."""

import time
from contextlib import contextmanager
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis.stateful import run_state_machine_as_test

from damaskwind.router import dispatcher as dispatcher_module
from damaskwind.router.placing import Placing
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.tests.request_histories import STEPS, RequestsAgainstCounts

__all__ = ["SEEDED_BUGS", "fuzz_requests", "run_batch"]

BATCH = 100


class FuzzResult(NamedTuple):
    """What a run gave: `first_failed` is the first history of the batch that failed."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


def run_batch(seed, histories):
    """Run so many histories; without a seed the same ones every time."""
    profile = settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        derandomize=seed is None,
        deadline=None,
        report_multiple_bugs=False,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )

    class Seeded(RequestsAgainstCounts):
        """The histories of this batch."""

    factory = Seeded if seed is None else with_seed(seed)(Seeded)
    run_state_machine_as_test(factory, settings=profile)


def _resend(verdict, idempotent, *others):
    """Decide as if every request were idempotent."""
    return _DECIDE(verdict, True, *others)


_DECIDE = dispatcher_module.decide_retry

# Bugs to put in on purpose: the run has to find each of them.
SEEDED_BUGS = {
    "resend_what_may_have_run": (dispatcher_module, "decide_retry", _resend),
    "last_verdict_counts": (dispatcher_module, "worst_verdict", lambda verdicts: verdicts[-1]),
    "keep_leavers": (TargetDirectory, "_gone", lambda directory, event: None),
    "count_no_end": (Placing, "end", lambda placing, work, target, done: None),
}


@contextmanager
def seeded(bug):
    """Put a bug in for as long as the context lasts."""
    if bug is None:
        yield
        return
    owner, name, replacement = SEEDED_BUGS[bug]
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield
    finally:
        setattr(owner, name, original)


def fuzz_requests(seed, seconds, histories, bug=None):
    """Run histories until the time or the count is used up, or one fails."""
    started_s = time.monotonic()
    RequestsAgainstCounts.made = 0
    batch = 0
    with seeded(bug):
        while time.monotonic() - started_s < seconds and RequestsAgainstCounts.made < histories:
            before = RequestsAgainstCounts.made
            try:
                run_batch(seed + batch, min(BATCH, histories - before))
            except Exception as error:
                notes = "\n".join(getattr(error, "__notes__", ()))
                failure = f"{type(error).__name__}: {error}\n{notes}"
                duration_s = time.monotonic() - started_s
                return FuzzResult(RequestsAgainstCounts.made, duration_s, before, failure)
            batch += 1
    return FuzzResult(RequestsAgainstCounts.made, time.monotonic() - started_s, None, None)
