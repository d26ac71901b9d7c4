"""The reasons for which a request is refused, with their HTTP statuses."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["REASON_STATUSES", "Reason", "ReasonStatus"]


class Reason(StrEnum):
    """The reason for which a request was refused; the value is the `code` sent to callers."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "invalid_api_key"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_SERVICE = "service_not_found"
    TOO_LARGE = "request_too_large"
    ACCOUNT_LIMIT = "account_limit"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    DEADLINE = "deadline"
    DRAINING = "draining"
    TARGET_FAILED = "target_failed"
    ANSWER_CUT = "answer_cut"
    KEY_IN_USE = "idempotency_key_in_use"
    KEY_MISMATCH = "idempotency_key_mismatch"
    NO_QUORUM = "no_quorum"
    CALLER_TIMEOUT = "caller_timeout"
    NOT_READY = "not_ready"


class ReasonStatus(NamedTuple):
    """The HTTP status and OpenAI error type that a caller gets for a reason."""

    http_status: int
    error_type: str


REASON_STATUSES: dict[Reason, ReasonStatus] = {
    Reason.BAD_REQUEST: ReasonStatus(400, "invalid_request_error"),
    Reason.BAD_KEY: ReasonStatus(401, "authentication_error"),
    Reason.FORBIDDEN: ReasonStatus(403, "permission_error"),
    Reason.UNKNOWN_MODEL: ReasonStatus(404, "invalid_request_error"),
    Reason.UNKNOWN_SERVICE: ReasonStatus(404, "invalid_request_error"),
    Reason.CALLER_TIMEOUT: ReasonStatus(408, "timeout_error"),
    Reason.KEY_IN_USE: ReasonStatus(409, "conflict_error"),
    Reason.KEY_MISMATCH: ReasonStatus(422, "invalid_request_error"),
    Reason.TOO_LARGE: ReasonStatus(413, "invalid_request_error"),
    Reason.ACCOUNT_LIMIT: ReasonStatus(429, "rate_limit_error"),
    Reason.TARGET_FAILED: ReasonStatus(502, "api_error"),
    Reason.ANSWER_CUT: ReasonStatus(502, "api_error"),
    Reason.OVERLOADED: ReasonStatus(503, "overloaded_error"),
    Reason.NO_TARGET: ReasonStatus(503, "overloaded_error"),
    Reason.DRAINING: ReasonStatus(503, "overloaded_error"),
    Reason.NO_QUORUM: ReasonStatus(503, "overloaded_error"),
    Reason.NOT_READY: ReasonStatus(503, "overloaded_error"),
    Reason.DEADLINE: ReasonStatus(504, "timeout_error"),
}
