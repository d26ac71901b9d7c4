"""Write final answers to callers; refusals have the OpenAI error format."""

from math import ceil
from typing import Any

import msgspec
from twisted.web.http import Request

from damaskwind.model.reason import REASON_STATUSES
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["answer_json", "error_body", "error_event", "refuse", "set_outcome"]

_RETRY_STATUSES = (429, 503)
_DEFAULT_RETRY_AFTER_S = 1.0


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as the JSON body that OpenAI clients expect."""
    error = {
        "message": refusal.detail,
        "type": REASON_STATUSES[refusal.reason].error_type,
        "code": refusal.reason.value,
        "param": None,
        "request_id": request_id,
        "verdict": refusal.verdict.value,
    }
    return msgspec.json.encode({"error": error})


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as the last event of a stream that failed."""
    return b"event: error\ndata: " + error_body(refusal, request_id) + b"\n\n"


def set_outcome(request: Request, request_id: str, verdict: Verdict) -> None:
    """Set the request id and verdict headers that every answer carries."""
    request.setHeader(b"x-request-id", request_id.encode())
    request.setHeader(b"x-verdict", verdict.value.encode())


def answer_json(request: Request, status: int, value: Any) -> bytes:
    """Set the status and headers of a JSON answer and return its body."""
    body = msgspec.json.encode(value)
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    return body


def refuse(request: Request, request_id: str, refusal: Refusal) -> bytes:
    """Set status and headers for a refusal and return its body."""
    status = REASON_STATUSES[refusal.reason].http_status
    body = error_body(refusal, request_id)
    request.setResponseCode(status)
    set_outcome(request, request_id, refusal.verdict)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    if refusal.verdict is not Verdict.NOT_RUN:
        # The openai client retries after any 5xx or 409 unless this header forbids it.
        request.setHeader(b"x-should-retry", b"false")
    if status in _RETRY_STATUSES:
        wait_s = refusal.retry_after_s or _DEFAULT_RETRY_AFTER_S
        request.setHeader(b"retry-after", str(max(1, ceil(wait_s))).encode())
    return body
