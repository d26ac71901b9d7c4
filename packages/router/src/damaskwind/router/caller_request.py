"""A caller's HTTP request, with limits on its size and the time to receive it.

A caller that sends its headers or body too slowly gets a 408 and is disconnected.
A chat over the size limit is read and discarded, so that the caller can still read
the 413 that the handler sends. A large body for a plain service is streamed to the
handler while it arrives, except with an idempotency key: the claim needs the digest
of the whole body first.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.web.server import Request

from damaskwind.model.reason import REASON_STATUSES, Reason
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.answers import error_body
from damaskwind.router.upload import Upload

__all__ = ["BUFFERED_BYTES", "SERVICES_PREFIX", "CallerLimits", "CallerRequest"]

SERVICES_PREFIX = b"/services/"
BUFFERED_BYTES = 65_536


class CallerLimits(NamedTuple):
    """Limits for one request: seconds to receive headers and body, and body bytes."""

    header_timeout_s: float
    body_timeout_s: float
    body_limit_bytes: Callable[[], int]
    new_request_id: Callable[[], str]


class CallerRequest(Request):
    """One request with its receive timeouts.

    `too_large` is set if the body was discarded; `upload` is set if the body is
    still arriving while the handler runs.
    """

    def __init__(self, limits: CallerLimits, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.limits = limits
        self.request_id = limits.new_request_id()
        self.too_large = False
        self.upload: Upload | None = None
        self._received_bytes = 0
        self._timer: Any = None
        self._start_timer(limits.header_timeout_s)

    def _start_timer(self, timeout_s: float) -> None:
        """Start or restart the receive timeout, in seconds from now."""
        if self._timer is None:
            self._timer = self.channel.callLater(timeout_s, self._time_out)
        else:
            self._timer.reset(timeout_s)

    def _stop_timer(self) -> None:
        """Stop the receive timeout."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _time_out(self) -> None:
        """Answer a slow caller with 408 and close its connection."""
        self._timer = None
        if self.startedWriting or self.upload is not None:
            self.channel.loseConnection()
            return
        detail = "the request did not arrive in time"
        refusal = Refusal(Reason.CALLER_TIMEOUT, Verdict.NOT_RUN, detail)
        body = error_body(refusal, self.request_id)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
            (b"x-request-id", self.request_id.encode()),
            (b"x-verdict", Verdict.NOT_RUN.value.encode()),
        ]
        status = REASON_STATUSES[Reason.CALLER_TIMEOUT].http_status
        self.channel.writeHeaders(b"HTTP/1.1", str(status).encode(), b"Request Timeout", headers)
        self.channel.write(body)
        self.channel.loseConnection()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Start the body timeout after the headers, and decide how to receive the body."""
        self._start_timer(self.limits.body_timeout_s)
        line = self.channel.request_line
        is_large = length is None or length > BUFFERED_BYTES
        has_key = self.requestHeaders.hasHeader(b"idempotency-key")
        if line.uri.startswith(SERVICES_PREFIX) and is_large and not has_key:
            super().gotLength(0)
            self.upload = Upload(length, self._pause_upload, self._resume_upload)
            super().requestReceived(line.method, line.uri, line.version)
            return
        self.too_large = length is not None and length > self.limits.body_limit_bytes()
        super().gotLength(0 if self.too_large else length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer or stream a piece of the body, or discard it if the body is too large."""
        if self.upload is not None:
            if self._timer is not None:
                self._start_timer(self.limits.body_timeout_s)
            self.upload.receive(data)
            return
        self._received_bytes += len(data)
        if self._received_bytes > self.limits.body_limit_bytes():
            self.too_large = True
        if not self.too_large:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Complete the body and pass the request to the handler."""
        self._stop_timer()
        if self.upload is not None:
            self.upload.finish()
            return
        super().requestReceived(command, path, version)

    def process(self) -> None:
        """Pass the request to the handler; if the site is closing, end keep-alive."""
        if self.channel.site.closing:
            self.end_keep_alive()
        self.setHeader(b"x-request-id", self.request_id.encode())
        super().process()

    def end_keep_alive(self) -> None:
        """Accept no further request on this connection."""
        self.channel.persistent = False
        if not self.startedWriting:
            self.setHeader(b"connection", b"close")

    def finish(self) -> None:
        """End the answer; if the body is still arriving, close the connection after it."""
        if self.upload is not None and not self.upload.complete:
            self._stop_timer()
            self.channel.persistent = False
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop the timeout and the upload of a caller that disconnected."""
        self._stop_timer()
        if self.upload is not None:
            self.upload.fail()
        super().connectionLost(reason)

    def _pause_upload(self) -> None:
        """Stop reading from the caller; the pause does not count against its timeout."""
        self._stop_timer()
        if self.channel is not None and self.channel.transport is not None:
            self.channel.transport.pauseProducing()

    def _resume_upload(self) -> None:
        """Resume reading from the caller and restart its timeout."""
        if self.channel is None or self.channel.transport is None or self.upload.complete:
            return
        self._start_timer(self.limits.body_timeout_s)
        self.channel.transport.resumeProducing()
