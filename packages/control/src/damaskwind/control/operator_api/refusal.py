"""Refusals of the intent API, with their HTTP status and body."""

from enum import StrEnum
from typing import Any

from damaskwind.model.exception import DamaskwindError

__all__ = ["HTTP_STATUS", "OperatorCode", "OperatorRefusedError"]


class OperatorCode(StrEnum):
    """The kind of a refusal; the value is the `code` in the answer."""

    BAD_REQUEST = "bad_request"
    INVALID_INTENT = "invalid_intent"
    BAD_KEY = "invalid_operator_key"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_PLAN = "unknown_plan"
    CONFLICT = "conflict"
    EXPIRED = "plan_expired"
    TOO_LARGE = "request_too_large"
    FAILED = "failed"
    NO_QUORUM = "no_quorum"
    OUTCOME_UNKNOWN = "outcome_unknown"


HTTP_STATUS: dict[OperatorCode, int] = {
    OperatorCode.BAD_REQUEST: 400,
    OperatorCode.INVALID_INTENT: 400,
    OperatorCode.BAD_KEY: 401,
    OperatorCode.FORBIDDEN: 403,
    OperatorCode.NOT_FOUND: 404,
    OperatorCode.UNKNOWN_PLAN: 404,
    OperatorCode.CONFLICT: 409,
    OperatorCode.EXPIRED: 410,
    OperatorCode.TOO_LARGE: 413,
    OperatorCode.FAILED: 500,
    OperatorCode.NO_QUORUM: 503,
    OperatorCode.OUTCOME_UNKNOWN: 504,
}


class OperatorRefusedError(DamaskwindError):
    """Raised when an operator's request is refused.

    `nothing_changed` is true when it is certain that this request changed
    nothing and false when that is not known yet; `details` go into the answer.
    """

    def __init__(
        self,
        code: OperatorCode,
        message: str,
        nothing_changed: bool = True,
        **details: Any,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.nothing_changed = nothing_changed
        self.details = details

    def body(self) -> dict[str, Any]:
        """Return the body of the answer."""
        error = {
            "code": str(self.code),
            "message": self.message,
            "nothing_changed": self.nothing_changed,
            **self.details,
        }
        return {"error": error}
