"""What came of a command, as every replica says it."""

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
    """Name what came of a command."""

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
    """Who brought about one revision, when, and which objects it touched."""

    revision: int
    plan_id: str
    operator: str
    at_s: float
    touches: tuple[str, ...]


class PlanOutcome(NamedTuple):
    """The first outcome of a plan's confirmation, which later ones are given too.

    `revision` is the one that the plan brought about or, when it brought about
    none, the one that was found. `conflicts` says who changed what in between.
    """

    plan_id: str
    status: ResultStatus
    operator: str
    at_s: float
    revision: int
    conflicts: tuple[ChangeRecord, ...] = ()


class ApplyResult(NamedTuple):
    """What `apply` returns; `repeated` marks an outcome that stood already."""

    status: ResultStatus
    revision: int = 0
    repeated: bool = False
    outcome: PlanOutcome | None = None
    fencing_number: int = 0
    detail: str = ""


def encode_result(result: ApplyResult) -> bytes:
    """Return a result as bytes, to be passed between processes."""
    return msgspec.json.encode(result)


def decode_result(payload: bytes) -> ApplyResult:
    """Read a result back.

    >>> decode_result(encode_result(ApplyResult(ResultStatus.PLANNED))).status
    <ResultStatus.PLANNED: 'planned'>
    """
    return msgspec.json.decode(payload, type=ApplyResult)
