"""HTTP client for control replicas and routers, with failover between endpoints.

If an endpoint is unreachable or can't commit at the moment, the next one is tried. A request
that may have been accepted is resent only if resending is safe; otherwise its outcome is
reported as unknown.
"""

import socket
from collections.abc import Sequence
from enum import IntEnum
from http.client import HTTPConnection, HTTPException, HTTPSConnection
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec

from damaskwind.commands.whole_answers import AnswerCutError, read_whole_answer
from damaskwind.model.exception import DamaskwindError

__all__ = [
    "Answer",
    "ExitCode",
    "OperatorClient",
    "RequestFailedError",
    "UsageError",
    "parse_endpoints",
]

_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_NOT_FOUND = 404
_ANSWER_LIMIT_BYTES = 64 * 1024 * 1024


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    REFUSED = 1
    BAD_USAGE = 2
    OUTCOME_UNKNOWN = 3


class UsageError(DamaskwindError):
    """The command line, the environment or a file is not usable."""


class RequestFailedError(DamaskwindError):
    """No endpoint succeeded; `exit_code` distinguishes a refusal from an unknown outcome."""

    def __init__(self, exit_code: ExitCode, message: str, body: dict[str, Any]) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.body = body


class Endpoint(NamedTuple):
    """The scheme, host and port at which a process listens."""

    scheme: str
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.scheme}://{self.host}:{self.port}"


class Answer(NamedTuple):
    """The status and the decoded JSON body of an answer; status 0 means no answer."""

    endpoint: Endpoint
    status: int
    body: dict[str, Any]
    may_have_been_accepted: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def parse_endpoints(text: str) -> list[Endpoint]:
    """Parse a comma-separated list of endpoints; raise `UsageError` if one is malformed.

    >>> [str(endpoint) for endpoint in parse_endpoints("10.0.0.1:80,https://10.0.0.2:443")]
    ['http://10.0.0.1:80', 'https://10.0.0.2:443']
    """
    endpoints = []
    for item in filter(None, (part.strip() for part in text.split(","))):
        parts = urlsplit(item if "://" in item else f"http://{item}")
        try:
            port = parts.port
        except ValueError:
            port = None
        if parts.scheme not in ("http", "https") or not parts.hostname or port is None:
            raise UsageError(f"endpoint '{item}': expected IP:port")
        endpoints.append(Endpoint(parts.scheme, parts.hostname, port))
    return endpoints


class OperatorClient:
    """The endpoints, the key and the timeout of one command."""

    def __init__(self, endpoints: Sequence[Endpoint], key: str, timeout_s: float) -> None:
        self.endpoints = tuple(endpoints)
        self._key = key
        self._timeout_s = timeout_s

    def request_first(
        self,
        method: str,
        path: str,
        body: Any = None,
        safe_to_resend: bool = True,
        search: bool = False,
    ) -> dict[str, Any]:
        """Return the body of the first successful answer; raise `RequestFailedError` otherwise.

        With `search`, the next endpoint is also tried after a 404.
        """
        answers: list[Answer] = []
        for endpoint in self.endpoints:
            answer = self.request_one(endpoint, method, path, body)
            if answer.is_success:
                return answer.body
            answers.append(answer)
            if not _should_try_next(answer, safe_to_resend, search):
                break
        raise _make_failure(answers)

    def request_one(self, endpoint: Endpoint, method: str, path: str, body: Any = None) -> Answer:
        """Send one request to one endpoint; network errors become an answer with status 0."""
        kind = HTTPSConnection if endpoint.scheme == "https" else HTTPConnection
        connection = kind(endpoint.host, endpoint.port, timeout=self._timeout_s)
        may_have_been_accepted = False
        try:
            connection.connect()
            may_have_been_accepted = method != "GET"
            connection.request(method, path, _encoded(body), self._headers(body))
            answer = read_whole_answer(connection.sock, method, _ANSWER_LIMIT_BYTES)
        except (OSError, HTTPException, AnswerCutError) as error:
            return Answer(endpoint, 0, _network_error(endpoint, error), may_have_been_accepted)
        finally:
            connection.close()
        is_unknown = may_have_been_accepted and answer.status == _GATEWAY_TIMEOUT
        return Answer(endpoint, answer.status, _decoded(answer.body), is_unknown)

    def _headers(self, body: Any) -> dict[str, str]:
        """Return the authorization and content headers of a request."""
        headers = {"authorization": f"Bearer {self._key}", "accept": "application/json"}
        return headers if body is None else {**headers, "content-type": "application/json"}


def _encoded(body: Any) -> bytes | None:
    """Encode a body as JSON."""
    return None if body is None else msgspec.json.encode(body)


def _decoded(content: bytes) -> dict[str, Any]:
    """Decode an answer's body; return an empty table if it is not valid JSON."""
    try:
        body = msgspec.json.decode(content)
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {"items": body}


def _network_error(endpoint: Endpoint, error: Exception) -> dict[str, Any]:
    """Return the error body that represents a missing answer."""
    reason = "timed out" if isinstance(error, TimeoutError | socket.timeout) else str(error)
    return {"error": {"code": "no_answer", "message": f"{endpoint}: {reason or repr(error)}"}}


def _should_try_next(answer: Answer, safe_to_resend: bool, search: bool) -> bool:
    """Return whether to try the next endpoint after this answer."""
    if answer.may_have_been_accepted:
        return safe_to_resend
    if answer.status == _NOT_FOUND:
        return search
    return answer.status in (0, _SERVICE_UNAVAILABLE)


def _make_failure(answers: list[Answer]) -> RequestFailedError:
    """Combine the answers into one error.

    The outcome is unknown if any endpoint may have accepted the request, unless the last answer
    is definite.
    """
    last = answers[-1]
    settled = not last.may_have_been_accepted and last.status not in (0, _SERVICE_UNAVAILABLE)
    unknown = [answer for answer in answers if answer.may_have_been_accepted]
    shown = last if settled or not unknown else unknown[-1]
    code = ExitCode.REFUSED if settled or not unknown else ExitCode.OUTCOME_UNKNOWN
    error = shown.body.get("error", {})
    message = error.get("message") if isinstance(error, dict) else None
    return RequestFailedError(
        code, message or f"{shown.endpoint}: status {shown.status}", shown.body
    )
