"""Run a request with an idempotency key at most once, whichever router gets a resend.

The key is claimed from the claim holders before the request is sent to a target.
The answer is captured while it is sent to the caller, so that a resend gets it again.
"""

from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Any

from twisted.internet.defer import Deferred

from damaskwind.decisions.claims.key import claim_key, request_digest
from damaskwind.decisions.claims.messages import (
    Accepted,
    ClaimKind,
    ClaimOutcome,
    Outcome,
    StoredAnswer,
)
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.admitted_request import AdmittedRequest
from damaskwind.router.answers import set_outcome
from damaskwind.runtime.bridge import to_deferred

__all__ = ["Idempotency"]

ANSWER_LIMIT_BYTES = 4096
_CLAIM_TIMEOUT_S = 2.0
_RECORD_TIMEOUT_S = 2.0
_RETRY_AFTER_S = 1.0

Serve = Callable[[AdmittedRequest], Awaitable[bytes | None]]


def _make_refusal(outcome: ClaimOutcome) -> Refusal:
    """Return the refusal of a request whose claim was not granted.

    If the first request with the key ran, the detail names it and its result.
    """
    refusal = outcome.refusal
    if outcome.kind is not ClaimKind.IN_USE or refusal.verdict is not Verdict.RAN:
        return refusal
    first_id = outcome.accepted.value.request_id
    detail = f"the first request with this key ran, so this one was not run: request {first_id}"
    answer = outcome.answer
    if answer is not None:
        detail += f" was answered with status {answer.http_status}; its body, BLAKE2b"
        detail += f" {answer.body_digest}, is not kept for a resend"
    detail += f"; an operator sees its outcome with 'damaskwind explain {first_id}'"
    return refusal._replace(detail=detail)


class _Capture:
    """Capture what is written to a caller: the data up to a limit, and the digest of all."""

    def __init__(self, request: Any) -> None:
        self._write = request.write
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._digest = blake2b(digest_size=16)
        request.write = self.write

    def write(self, data: bytes) -> None:
        """Record a piece and forward it."""
        self.record(data)
        self._write(data)

    def record(self, data: bytes) -> None:
        """Add a piece to the captured data."""
        self._digest.update(data)
        self._size_bytes += len(data)
        if self._size_bytes <= ANSWER_LIMIT_BYTES:
            self._pieces.append(data)

    def stored_answer(self, request: Any) -> StoredAnswer:
        """Return the captured answer in the form in which holders store it."""
        content_type = (request.responseHeaders.getRawHeaders("content-type") or [""])[0]
        complete = self._size_bytes <= ANSWER_LIMIT_BYTES
        body = b"".join(self._pieces) if complete else b""
        return StoredAnswer(request.code, content_type, body, self._digest.hexdigest(), complete)


class Idempotency:
    """Claim idempotency keys before requests run, and record their outcomes."""

    def __init__(self, claims: Any, clock: Any) -> None:
        self._claims = claims
        self._clock = clock
        self._recording: set[Deferred] = set()

    async def run(self, admitted: AdmittedRequest, serve: Serve) -> bytes | None:
        """Serve a request, at most once for each idempotency key."""
        if not admitted.idempotency_key:
            return await serve(admitted)
        outcome = await self._claim(admitted)
        if outcome.kind is ClaimKind.DONE:
            return self._replay(admitted, outcome.answer)
        if outcome.kind is not ClaimKind.GRANTED:
            raise RefusedError(_make_refusal(outcome))
        return await self._run_claimed(admitted, serve, outcome.accepted)

    async def flush(self) -> None:
        """Wait until every outcome has been sent to the holders."""
        while self._recording:
            await next(iter(self._recording))

    async def _claim(self, admitted: AdmittedRequest) -> ClaimOutcome:
        """Claim the idempotency key of a request."""
        if self._claims is None:
            detail = "no claim holder is configured for idempotency keys"
            refusal = Refusal(Reason.NO_QUORUM, Verdict.NOT_RUN, detail, _RETRY_AFTER_S)
            raise RefusedError(refusal)
        request = admitted.request
        body = request.content.read()
        request.content.seek(0)
        digest = request_digest(
            request.method.decode("latin-1"), request.uri.decode("latin-1"), body
        )
        key = claim_key(admitted.account.name, admitted.idempotency_key)
        timeout_s = min(_CLAIM_TIMEOUT_S, admitted.deadline_s - self._clock.seconds())
        claiming = self._claims.claim(key, digest, admitted.request_id, max(timeout_s, 0.0))
        outcome = await to_deferred(claiming)
        admitted.record.add_event(f"idempotency key {outcome.kind}", self._clock.seconds())
        return outcome

    def _replay(self, admitted: AdmittedRequest, answer: StoredAnswer) -> bytes:
        """Answer with the stored outcome of the first request."""
        request = admitted.request
        request.setResponseCode(answer.http_status)
        set_outcome(request, admitted.request_id, Verdict.RAN)
        request.setHeader(b"content-type", answer.content_type.encode())
        request.setHeader(b"content-length", str(len(answer.body)).encode())
        admitted.record.end(Verdict.RAN, None, "answered from its claim", self._clock.seconds())
        return answer.body

    async def _run_claimed(
        self, admitted: AdmittedRequest, serve: Serve, accepted: Accepted
    ) -> bytes | None:
        """Serve a request whose claim was granted, and record its outcome."""
        capture = _Capture(admitted.request)
        outcome = Outcome(Verdict.MAY_HAVE_RUN)
        try:
            body = await serve(admitted)
            if body is not None:
                capture.record(body)
            ended = admitted.record.ended or {}
            if ended.get("verdict") is Verdict.RAN:
                outcome = Outcome(Verdict.RAN, capture.stored_answer(admitted.request))
            del admitted.request.write
            return body
        except RefusedError as error:
            del admitted.request.write
            outcome = Outcome(error.refusal.verdict)
            raise
        finally:
            self._record_outcome(admitted, accepted, outcome)

    def _record_outcome(
        self, admitted: AdmittedRequest, accepted: Accepted, outcome: Outcome
    ) -> None:
        """Send the outcome of a request to the holders without blocking the caller."""
        key = claim_key(admitted.account.name, admitted.idempotency_key)
        recording = to_deferred(self._claims.record(key, accepted, outcome, _RECORD_TIMEOUT_S))
        self._recording.add(recording)

        def ended(result: Any) -> None:
            self._recording.discard(recording)

        recording.addBoth(ended)
