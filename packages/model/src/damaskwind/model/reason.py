"""The reasons for which a request is refused, with their HTTP faces."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["REASON_FACES", "Reason", "ReasonFace"]


class Reason(StrEnum):
    """Name why a request was refused; the value is the `code` callers see."""

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


class ReasonFace(NamedTuple):
    """How a reason looks to a caller: HTTP status and OpenAI error type."""

    http_status: int
    error_type: str


REASON_FACES: dict[Reason, ReasonFace] = {
    Reason.BAD_REQUEST: ReasonFace(400, "invalid_request_error"),
    Reason.BAD_KEY: ReasonFace(401, "authentication_error"),
    Reason.FORBIDDEN: ReasonFace(403, "permission_error"),
    Reason.UNKNOWN_MODEL: ReasonFace(404, "invalid_request_error"),
    Reason.UNKNOWN_SERVICE: ReasonFace(404, "invalid_request_error"),
    Reason.CALLER_TIMEOUT: ReasonFace(408, "timeout_error"),
    Reason.KEY_IN_USE: ReasonFace(409, "conflict_error"),
    Reason.KEY_MISMATCH: ReasonFace(422, "invalid_request_error"),
    Reason.TOO_LARGE: ReasonFace(413, "invalid_request_error"),
    Reason.ACCOUNT_LIMIT: ReasonFace(429, "rate_limit_error"),
    Reason.TARGET_FAILED: ReasonFace(502, "api_error"),
    Reason.ANSWER_CUT: ReasonFace(502, "api_error"),
    Reason.OVERLOADED: ReasonFace(503, "overloaded_error"),
    Reason.NO_TARGET: ReasonFace(503, "overloaded_error"),
    Reason.DRAINING: ReasonFace(503, "overloaded_error"),
    Reason.NO_QUORUM: ReasonFace(503, "overloaded_error"),
    Reason.NOT_READY: ReasonFace(503, "overloaded_error"),
    Reason.DEADLINE: ReasonFace(504, "timeout_error"),
}
