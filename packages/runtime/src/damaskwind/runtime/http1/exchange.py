"""One request and its answer, sent whole, in pieces or as a stream."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.held_memory import RequestAccount
from damaskwind.runtime.http1.messages import (
    Answer,
    Headers,
    Request,
    is_bodiless,
    stated_length,
    without,
)
from damaskwind.runtime.http1.unanswered import UnansweredReason

__all__ = ["CallerConnection", "Delivery", "Exchange", "answer_headers"]

# A large answer is written in pieces of this size, so that its progress can be measured.
PIECE_BYTES = 16_384


class CallerConnection(Protocol):
    """The interface of the connection on which an exchange takes place.

    `loss` is why the connection has ended, `None` before that.
    """

    caller: str
    loss: UnansweredReason | None

    def send_whole(self, answer: Answer, close: bool) -> None:
        """Send a whole answer in one write."""

    def send_head(self, status: int, headers: Headers, close: bool) -> None:
        """Send the head of an answer."""

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish_answer(self) -> None:
        """End the answer as complete."""

    async def drained(self) -> None:
        """Wait until the write buffer has space."""

    async def taken(self) -> None:
        """Wait until the operating system has accepted all that was written."""

    async def flushed(self) -> bool:
        """Wait until the socket has accepted a held answer; return `False` if it was cut off."""

    def abort(self, reason: UnansweredReason, why: str = "") -> None:
        """Reset the connection."""


class Delivery(NamedTuple):
    """How much of a large answer the operating system accepted, and when.

    Times are monotonic seconds; accepted bytes may still be queued on the link.
    """

    taken_bytes: int
    body_bytes: int
    first_byte_s: float
    last_byte_s: float

    @property
    def is_complete(self) -> bool:
        """Return whether the last piece was accepted before the caller left."""
        return self.taken_bytes == self.body_bytes


def answer_headers(headers: Headers, body: bytes) -> Headers:
    """Return the headers with the length of a whole body added.

    >>> answer_headers([], b"ab")
    [(b'content-length', b'2')]
    """
    return [*headers, (b"content-length", b"%d" % len(body))]


class Exchange:
    """One request and the answer that is being sent to it.

    `started_s` is the monotonic time at which the request's head was read. With an `account`
    the answer may be written faster than the caller reads: it is held and accounted for.
    If `is_body_unread`, the request has a body that isn't read, as its head is to be refused.
    """

    def __init__(
        self,
        connection: CallerConnection,
        request: Request,
        started_s: float,
        account: RequestAccount | None = None,
        is_body_unread: bool = False,
    ) -> None:
        self.request = request
        self.is_body_unread = is_body_unread
        self.account = account
        self.started_s = started_s
        self.has_begun = False
        self.is_finished = False
        self._connection = connection

    def respond(self, answer: Answer, close: bool = False) -> None:
        """Send a whole answer in one write, since each write costs a system call and a packet."""
        self._connection.send_whole(answer, close)
        self.has_begun = True
        self.is_finished = True

    def pass_on(self, answer: Answer, own_headers: Headers | None = None) -> None:
        """Send a whole answer of another server, after headers of this one.

        Where it has no body, the length that it states, if any, isn't that of what is sent.
        """
        headers = [*(own_headers or ()), *without(answer.headers, frozenset())]
        if not is_bodiless(self.request.method, answer.status):
            self.respond(Answer(answer.status, headers, answer.body))
            return
        self.begin(answer.status, headers + stated_length(answer.status, answer.headers))
        self.finish()

    async def deliver(self, answer: Answer, on_end: Callable[[Delivery], None]) -> None:
        """Send a large answer as fast as the caller accepts it, and report the delivery.

        Its head states its length, so that a partial answer never looks whole. `on_end`
        is also called if the caller leaves before the end.
        """
        first_byte_s = read_clock()
        taken_bytes, body_bytes = 0, len(answer.body)
        try:
            self.begin(answer.status, answer_headers(answer.headers, answer.body))
            for start in range(0, body_bytes, PIECE_BYTES):
                piece = answer.body[start : start + PIECE_BYTES]
                self.write(piece)
                await self._connection.taken()
                taken_bytes += len(piece)
            self.finish()
        finally:
            on_end(Delivery(taken_bytes, body_bytes, first_byte_s, read_clock()))

    def release_body(self) -> None:
        """Drop the request's body where it is accounted for, since it won't be sent again."""
        if self.account is not None:
            self.request = self.request._replace(body=b"")
            self.account.release_body()

    @property
    def caller(self) -> str:
        """Return the caller's address as `host:port`."""
        return self._connection.caller

    def begin(self, status: int, headers: Headers, close: bool = False) -> None:
        """Send the head; without a length, the body is sent in chunks."""
        self._connection.send_head(status, headers, close)
        self.has_begun = True

    def write(self, data: bytes) -> None:
        """Send a piece of the body at once."""
        self._connection.send_data(data)

    async def drained(self) -> None:
        """Wait until the write buffer has space."""
        await self._connection.drained()

    async def flushed(self) -> bool:
        """Wait until the socket has accepted a held answer; return `False` if it was cut off."""
        return await self._connection.flushed()

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_finished = True
        self._connection.finish_answer()

    @property
    def loss(self) -> UnansweredReason | None:
        """Return why the caller's connection has ended, `None` before that."""
        return self._connection.loss

    def abort(self, why: str = "", reason: UnansweredReason = UnansweredReason.ANSWER_CUT) -> None:
        """Reset the connection, since an answer that has begun can't be completed."""
        self._connection.abort(reason, why)
