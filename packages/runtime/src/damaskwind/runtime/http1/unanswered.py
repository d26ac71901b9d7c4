"""Requests that were read, whole or in part, and end without a complete answer."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from loguru import logger

from damaskwind.runtime.http1.messages import Headers

__all__ = [
    "CALLER_LEFT",
    "OnUnanswered",
    "UnansweredReason",
    "UnansweredRequest",
    "describe_cancellation",
    "log_unanswered",
]


class UnansweredReason(StrEnum):
    """Why a connection was closed without a complete answer."""

    CALLER_CLOSED = "caller closed"
    CALLER_RESET = "caller reset"
    CALLER_STALLED = "caller stalled"
    ANSWER_CUT = "answer cut"
    DEADLINE_PASSED = "deadline passed"
    CANCELED = "canceled"
    HANDLER_FAILED = "handler failed"
    NO_ANSWER = "no answer"
    READING_FAILED = "reading failed"
    GIVEN_UP = "given up"
    DISPLACED = "displaced"
    SERVER_STOPPED = "server stopped"
    CLOSED = "closed"


# The reasons that are the caller's own doing.
CALLER_LEFT = frozenset(
    (
        UnansweredReason.CALLER_CLOSED,
        UnansweredReason.CALLER_RESET,
        UnansweredReason.CALLER_STALLED,
    )
)


class UnansweredRequest(NamedTuple):
    """A request that ended without a complete answer.

    `headers` are empty while its head was not read to its end, and `is_whole` tells whether all of
    it was read. `answer_bytes` were written of its answer. `in_hand_s` are the seconds since its
    first byte was read.
    """

    reason: UnansweredReason
    why: str
    caller: str
    headers: Headers
    is_whole: bool
    answer_bytes: int
    in_hand_s: float


# The innermost functions that a description of a cancellation names.
SHOWN_PLACES = 4

OnUnanswered = Callable[[UnansweredRequest], None]


def describe_cancellation(error: BaseException) -> str:
    """Return who canceled a task, if that is stated, and what it waited for, innermost first."""
    places = []
    trace = error.__traceback__
    while trace is not None:
        places.append(f"{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}")
        trace = trace.tb_next
    waited_in = " < ".join(reversed(places[-SHOWN_PLACES:]))
    return " ".join(["canceled", *map(str, error.args), "in", waited_in])


def log_unanswered(request: UnansweredRequest, request_id: str = "") -> None:
    """Log a request that ended without a complete answer."""
    level = "INFO" if request.reason in CALLER_LEFT else "WARNING"
    logger.log(
        level,
        "connection closed without an answer",
        request=request_id,
        reason=request.reason.value,
        why=request.why,
        caller=request.caller,
        is_whole=request.is_whole,
        begun=request.answer_bytes > 0,
        answer_bytes=request.answer_bytes,
        in_hand_ms=int(request.in_hand_s * 1000),
    )
