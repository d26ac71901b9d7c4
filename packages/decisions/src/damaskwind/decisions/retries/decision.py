"""Decide whether a failed attempt may be retried, by its verdict.

A `not-run` attempt may be retried at another target, one with `may-have-run` only on
idempotent routes and before the first byte reached the caller. Delays have full jitter:
uniform between zero and an exponentially growing cap, as in "Exponential
Backoff And Jitter" (Brooker, AWS Architecture Blog, 2015).
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import NamedTuple

from damaskwind.decisions.retries.budget import RetryBudget
from damaskwind.model.verdict import Verdict

__all__ = ["Attempt", "RetryDecision", "RetryPolicy", "RetryReason", "decide_retry"]


class RetryPolicy(NamedTuple):
    """Bounds on the number of attempts and on the delays between them.

    `reserve_s` is the minimum time that must remain before the caller's deadline
    after the delay; with less the retry would be wasted.
    """

    max_attempts: int = 3
    base_delay_s: float = 0.02
    max_delay_s: float = 1.0
    reserve_s: float = 0.05


class RetryReason(StrEnum):
    """The reason why a retry is allowed or not."""

    ALLOWED = "allowed"
    ANSWERED = "answered"
    BYTES_DELIVERED = "bytes_delivered"
    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class RetryDecision(NamedTuple):
    """Whether to retry, after which delay, and why."""

    retry: bool
    delay_s: float
    reason: RetryReason


class Attempt(NamedTuple):
    """A failed attempt; `number` counts from 1, `remaining_s` is the time to the deadline."""

    verdict: Verdict
    idempotent: bool
    bytes_delivered: int
    number: int
    remaining_s: float


_Rule = Callable[[Attempt, RetryPolicy], bool]

# The first rule that applies forbids the retry and gives its reason, so the order matters.
_STOP_RULES: tuple[tuple[RetryReason, _Rule], ...] = (
    (RetryReason.ANSWERED, lambda a, p: a.verdict == Verdict.RAN),
    (RetryReason.BYTES_DELIVERED, lambda a, p: a.bytes_delivered > 0),
    (
        RetryReason.MAY_HAVE_RUN,
        lambda a, p: a.verdict == Verdict.MAY_HAVE_RUN and not a.idempotent,
    ),
    (RetryReason.ATTEMPTS, lambda a, p: a.number >= p.max_attempts),
    (RetryReason.DEADLINE, lambda a, p: a.remaining_s <= p.reserve_s),
)


def _draw_delay_s(number: int, policy: RetryPolicy, random: Random) -> float:
    """Draw a delay with full jitter for the retry after attempt `number`."""
    cap_s = min(policy.max_delay_s, policy.base_delay_s * 2 ** (number - 1))
    return random.uniform(0.0, cap_s)


def decide_retry(
    verdict: Verdict,
    idempotent: bool,
    bytes_delivered: int,
    attempt: int,
    deadline_s: float,
    now_s: float,
    budget: RetryBudget,
    policy: RetryPolicy,
    random: Random,
) -> RetryDecision:
    """Decide whether to send a request again, and if so take the retry from the budget.

    `attempt` is the number of attempts already made. After a positive decision the
    retry is already counted: wait `delay_s`, then send.

    >>> decide_retry(
    ...     Verdict.MAY_HAVE_RUN, False, 0, 1, 10.0, 0.0,
    ...     RetryBudget(0.1), RetryPolicy(), Random(1),
    ... ).reason
    <RetryReason.MAY_HAVE_RUN: 'may_have_run'>
    """
    failed = Attempt(verdict, idempotent, bytes_delivered, attempt, deadline_s - now_s)
    for reason, applies in _STOP_RULES:
        if applies(failed, policy):
            return RetryDecision(False, 0.0, reason)
    delay_s = _draw_delay_s(attempt, policy, random)
    if failed.remaining_s - delay_s <= policy.reserve_s:
        return RetryDecision(False, 0.0, RetryReason.DEADLINE)
    if not budget.take(now_s):
        return RetryDecision(False, 0.0, RetryReason.BUDGET)
    return RetryDecision(True, delay_s, RetryReason.ALLOWED)
