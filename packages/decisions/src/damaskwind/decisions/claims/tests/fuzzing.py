"""Fuzz claims with random histories, within limits of time and count."""

from itertools import count
from time import monotonic
from typing import NamedTuple

from damaskwind.decisions.claims.holder import ClaimHolder
from damaskwind.decisions.claims.tests.histories import find_violation
from damaskwind.decisions.claims.tests.seeded_faults import SEEDED_FAULTS

__all__ = ["FuzzResult", "fuzz_claims"]


class FuzzResult(NamedTuple):
    """Result of a fuzzing run; `first_failed` is the number of the failed history in it."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


def fuzz_claims(seed: int, seconds: float, histories: int, bug: str | None = None) -> FuzzResult:
    """Run histories with consecutive seeds until the limit of time or count, or a failure."""
    holder_class = SEEDED_FAULTS[bug] if bug else ClaimHolder
    started_s = monotonic()
    for number in count():
        spent_s = monotonic() - started_s
        if number >= histories or spent_s >= seconds:
            return FuzzResult(number, spent_s, None, None)
        if find_violation(holder_class, 1, seed + number) is not None:
            failure = f"the history of seed {seed + number} ran a key twice"
            return FuzzResult(number + 1, monotonic() - started_s, number, failure)
    raise AssertionError("unreachable")
