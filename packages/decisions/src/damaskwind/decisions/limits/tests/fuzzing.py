"""Run random histories of account limits for a given time."""

from itertools import count
from time import monotonic
from typing import NamedTuple

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.tests.histories import find_violation
from damaskwind.decisions.limits.tests.seeded_faults import SEEDED_FAULTS

__all__ = ["FuzzResult", "fuzz_limits"]


class FuzzResult(NamedTuple):
    """The result of a run; `first_failed` is the number of a history within it."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


def fuzz_limits(seed: int, seconds: float, histories: int, bug: str | None = None) -> FuzzResult:
    """Run histories of consecutive seeds until the time or count limit is reached."""
    allocator_class = SEEDED_FAULTS[bug] if bug else ShareAllocator
    started_s = monotonic()
    for number in count():
        spent_s = monotonic() - started_s
        if number >= histories or spent_s >= seconds:
            return FuzzResult(number, spent_s, None, None)
        if find_violation([seed + number], allocator_class) is not None:
            failure = f"the history of seed {seed + number} broke the limit"
            return FuzzResult(number + 1, monotonic() - started_s, number, failure)
    raise AssertionError("unreachable")
