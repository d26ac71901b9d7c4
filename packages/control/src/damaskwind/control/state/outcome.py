"""Results of commands, identical on every replica."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "ApplyResult",
    "ChangeRecord",
    "PlanOutcome",
    "ResultStatus",
    "decode_result",
    "encode_result",
]


class ResultStatus(StrEnum):
    """The status of a command's result."""

    PLANNED = "planned"
    CONFIRMED = "confirmed"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNKNOWN_PLAN = "unknown_plan"
    FORBIDDEN = "forbidden"
    BASE_MOVED = "base_moved"
    ORDERED = "ordered"
    RECORDED = "recorded"
    MALFORMED = "malformed"


class ChangeRecord(NamedTuple):
    """The author and time of one revision, and the objects that it changed."""

    revision: int
    plan_id: str
    operator: str
    at_s: float
    touches: tuple[str, ...]


class PlanOutcome(NamedTuple):
    """The outcome of a plan's first confirmation, returned to repeated ones too.

    `revision` is the revision that the plan created or, if it created none, the
    current one. `conflicts` lists the changes made since the plan's base revision.
    """

    plan_id: str
    status: ResultStatus
    operator: str
    at_s: float
    revision: int
    conflicts: tuple[ChangeRecord, ...] = ()


class ApplyResult(NamedTuple):
    """The result of `apply`; `repeated` marks the result of an earlier command."""

    status: ResultStatus
    revision: int = 0
    repeated: bool = False
    outcome: PlanOutcome | None = None
    fencing_number: int = 0
    detail: str = ""


def encode_result(result: ApplyResult) -> bytes:
    """Encode a result as JSON for another process."""
    return msgspec.json.encode(result)


def decode_result(payload: bytes) -> ApplyResult:
    """Decode a result.

    >>> decode_result(encode_result(ApplyResult(ResultStatus.PLANNED))).status
    <ResultStatus.PLANNED: 'planned'>
    """
    return msgspec.json.decode(payload, type=ApplyResult)
