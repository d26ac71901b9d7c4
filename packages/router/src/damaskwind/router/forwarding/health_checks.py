"""Send health checks that only the target they are meant for should answer."""

from typing import NamedTuple
from urllib.parse import quote

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.answer_heads import MISDIRECTED
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.http1.client import AnswerBrokenError, AnswerHead, ClientConnection
from damaskwind.runtime.http1.messages import Request, header

__all__ = ["HealthAnswer", "HealthChecks"]

# Health answers are short.
ANSWER_LIMIT_BYTES = 16_384
# So many late answers of earlier requests are skipped on one connection.
SKIPPED_ANSWERS = 2
# Characters of a path and its query that are sent as they are, besides letters and digits.
PATH_CHARACTERS = "/?&=%:@!$'()*+,;~"


class HealthAnswer(NamedTuple):
    """The head of the answer to a health check, and when its connection was made."""

    head: AnswerHead
    connected_s: float


class HealthChecks:
    """The health checks of one router; they are sent on pooled connections."""

    def __init__(self, target_states: TargetStates, names: HeaderNames) -> None:
        self._view = target_states.view
        self._connections = target_states.connections
        self._names = names

    async def send(
        self, target: TargetRecord, timeout_s: float, must_be_new: bool = False
    ) -> HealthAnswer:
        """Check a target and return its answer; pool a clean connection.

        Raise `ConnectFailedError` if there is no connection within `timeout_s`, and
        `AnswerBrokenError` if no whole answer comes. How long that takes is up to the caller.
        """
        connection = await self._connections.acquire(
            target.target_id, target.address, timeout_s, must_be_new=must_be_new
        )
        return HealthAnswer(await self._exchange(connection, target), connection.made_s)

    def is_named_by(self, head: AnswerHead, target: TargetRecord) -> bool:
        """Return whether an answer names a target as the one that gave it."""
        return header(head.headers, self._names.instance_id) == _id_of(target)

    def is_refused_by(self, head: AnswerHead, target: TargetRecord) -> bool:
        """Return whether a target that had no room for the check refused it.

        Such an answer need not name the target, but another one would have said so (421).
        """
        is_refusal = header(head.headers, self._names.not_run) is not None
        named = header(head.headers, self._names.instance_id)
        return is_refusal and head.status != MISDIRECTED and named in (None, _id_of(target))

    async def _exchange(self, connection: ClientConnection, target: TargetRecord) -> AnswerHead:
        """Send a health check and return the head of its answer; pool a clean connection."""
        try:
            connection.send(self._request(target))
            head = await self._read_own(connection)
            self._connections.release(target.target_id, connection, head.headers)
            return head
        finally:
            if connection.is_in_use:
                connection.abort()

    async def _read_own(self, connection: ClientConnection) -> AnswerHead:
        """Read the answer to a health check, skip those to other requests; return its head.

        A check has no id, so that an answer which states one is late, of an earlier request.
        """
        for _ in range(SKIPPED_ANSWERS + 1):
            head = await connection.read_head()
            await connection.read_body(ANSWER_LIMIT_BYTES)
            if not header(head.headers, self._names.request_id):
                return head
            connection.skip_answer()
        raise AnswerBrokenError("only answers to other requests came")

    def _request(self, target: TargetRecord) -> Request:
        """Return a health check that only this target should answer."""
        headers = [
            (b"host", str(target.address).encode("latin-1")),
            (self._names.expect_target, _id_of(target)),
        ]
        path = self._view.health_path(target.service)
        # The path is configured by users; one that is not a valid target of a request is quoted.
        quoted_path = quote(path, safe=PATH_CHARACTERS) or "/"
        return Request(b"GET", quoted_path.encode("ascii"), headers, b"")


def _id_of(target: TargetRecord) -> bytes:
    """Return the id of a target as it stands in a header."""
    return target.target_id.encode("latin-1", "replace")
