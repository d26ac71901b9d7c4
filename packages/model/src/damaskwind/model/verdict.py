"""The verdict on a request: whether it may have run at a target."""

from enum import StrEnum
from typing import NamedTuple

from damaskwind.model.reason import Reason

__all__ = ["Refusal", "Verdict", "worst_verdict"]


class Verdict(StrEnum):
    """Whether a request may have run.

    `NOT_RUN` is used only when it is certain: the connection was refused, nothing was
    sent, or the target itself reported it. `RAN` means that the whole answer arrived.
    All other cases are `MAY_HAVE_RUN`.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def worst_verdict(verdicts: list[Verdict]) -> Verdict:
    """Return the verdict on a request from the verdicts on its attempts.

    A request without attempts has not run.

    >>> worst_verdict([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    <Verdict.MAY_HAVE_RUN: 'may-have-run'>
    >>> worst_verdict([])
    <Verdict.NOT_RUN: 'not-run'>
    """
    return max(verdicts, key=_SEVERITY.__getitem__, default=Verdict.NOT_RUN)


class Refusal(NamedTuple):
    """A final answer that the system gives in place of a target: its reason and verdict.

    `retry_after_s` tells the caller when to retry; `None` means that the same request
    will never be accepted.
    """

    reason: Reason
    verdict: Verdict
    detail: str
    retry_after_s: float | None = None
