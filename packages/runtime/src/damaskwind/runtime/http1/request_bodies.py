"""Read the bodies of the requests on one connection, as far as the bound on held bytes allows.

Where held bytes are accounted for, a body may be left unread until others have ended, or be
refused. Otherwise every body is read at once.
"""

from math import inf
from typing import Protocol

import h11

from damaskwind.decisions.held_bytes.body_queue import is_body_stalled
from damaskwind.runtime.http1.connection_phase import BODY_READ_BYTES, CHUNKED_READ_BYTES
from damaskwind.runtime.http1.held_memory import HeldMemory, RequestAccount
from damaskwind.runtime.http1.messages import Answer, header
from damaskwind.runtime.http1.unanswered import UnansweredReason

__all__ = ["BodyConnection", "BodyReader", "BodyServer"]


# Pieces below this size are joined until they have the size of a large one.
SMALL_PIECE_BYTES = 4096
JOINED_BYTES = 16_384


class BodyServer(Protocol):
    """The server of a connection; `reading` counts the requests whose bodies are being read."""

    memory: HeldMemory | None
    reading: int

    def notify_request_end(self) -> None:
        """Wake the tasks that wait for the last request to end, if no request is left."""


class BodyConnection(Protocol):
    """The connection on which bodies are read.

    `max_body_bytes` is the largest body that the present request may have.
    """

    has_begun: bool
    max_body_bytes: int

    def account_to(self, account: RequestAccount | None) -> None:
        """Add what waits for the caller to an account, or stop to do so."""

    def pause_body(self) -> None:
        """Leave what the caller sends unread, without a time limit."""

    def resume_body(self) -> None:
        """Read on, within the time limit for a body."""

    def refuse(self, status: int, *, why: str = "") -> None:
        """Answer a request that could not be read, and close."""

    def send_unread(self, answer: Answer) -> None:
        """Answer, drop what the caller still sends, and close."""

    def abort(self, reason: UnansweredReason, why: str = "") -> None:
        """Reset the connection."""


class BodyReader:
    """The body of the present request of one connection.

    `is_waiting` means that it is left unread, `is_refused` that the request was answered
    before its body was read to its end. `size_bytes` is how much of it was read.
    """

    def __init__(self, connection: BodyConnection, server: BodyServer) -> None:
        self.account: RequestAccount | None = None
        self.is_waiting = False
        self.is_refused = False
        self._connection = connection
        self._server = server
        self._pieces: list[bytes] = []
        self._small_pieces = bytearray()
        self.size_bytes = 0
        self._stated_bytes: int | None = None
        self._is_reading = False

    @property
    def next_read_bytes(self) -> int:
        """Return how much to read next: no more than the body still brings, if that is known."""
        if self._stated_bytes is None:
            return CHUNKED_READ_BYTES
        return min(BODY_READ_BYTES, self._stated_bytes - self.size_bytes)

    def is_stalled(self, age_s: float) -> bool:
        """Return whether the caller sends its body too slowly, `age_s` after its head."""
        stated_bytes = self._stated_bytes
        return is_body_stalled(
            inf if stated_bytes is None else stated_bytes, self.size_bytes, age_s
        )

    @property
    def is_blocked(self) -> bool:
        """Return whether what the caller sends must not be parsed now."""
        return self.is_waiting or self.is_refused

    @property
    def has_begun(self) -> bool:
        """Return whether an answer to the present request was begun."""
        return self._connection.has_begun

    def begin(self, head: h11.Request) -> bool:
        """Return whether to read on; otherwise the body waits, or the request was refused."""
        self._drop()
        self.size_bytes = 0
        headers = list(head.headers)
        length = header(headers, b"content-length")
        self._stated_bytes = None if length is None else int(length)
        if self._server.memory is None:
            return True
        size_bytes = self._stated_bytes or 0
        if size_bytes > self._connection.max_body_bytes:
            self._connection.refuse(413, why="body too large")
            return False
        self._server.reading += 1
        self._is_reading = True
        self.account = self._server.memory.open(self, headers)
        self._connection.account_to(self.account)
        # The account may refuse the body during the call.
        self.is_waiting = not self.account.begin_body(size_bytes)
        if self.is_waiting and not self.is_refused:
            self._connection.pause_body()
        return not self.is_waiting

    def add(self, data: bytes) -> bool:
        """Add a piece; return whether to read on, otherwise the request was refused."""
        self._keep(data)
        self.size_bytes += len(data)
        if self.size_bytes > self._connection.max_body_bytes:
            self._connection.refuse(413, why="body too large")
            return False
        return self.account is None or self.account.add_body(len(data))

    def join(self) -> bytes:
        """Return the whole body, and drop its pieces."""
        body = b"".join([*self._pieces, self._small_pieces])
        self._drop()
        return body

    def _keep(self, data: bytes) -> None:
        """Keep a piece; small ones are joined, since an object takes more than its bytes."""
        if len(data) < SMALL_PIECE_BYTES:
            self._small_pieces += data
            if len(self._small_pieces) < JOINED_BYTES:
                return
            data, self._small_pieces = bytes(self._small_pieces), bytearray()
        elif self._small_pieces:
            self._pieces.append(bytes(self._small_pieces))
            self._small_pieces = bytearray()
        self._pieces.append(data)

    def _drop(self) -> None:
        """Drop what was kept of a body."""
        self._pieces, self._small_pieces = [], bytearray()

    def end_reading(self) -> None:
        """Record that the body is no longer being read."""
        if self._is_reading:
            self._is_reading = False
            self._server.reading -= 1
            self._server.notify_request_end()

    def close_account(self) -> None:
        """Drop what is held for the present request."""
        self._drop()
        account, self.account = self.account, None
        if account is None:
            return
        self._connection.account_to(None)
        account.close()
        self.end_reading()

    def resume_body(self) -> None:
        """Read the body that was left unread."""
        if self.is_waiting:
            self.is_waiting = False
            self._connection.resume_body()

    def refuse_body(self, retry_after_s: float) -> None:
        """Answer 503, since the body is not read; the request has not run."""
        self._end_unread(Answer(503, [(b"retry-after", b"%.3f" % retry_after_s)]))

    def time_out_body(self) -> None:
        """Answer 408, since the caller sends the body too slowly."""
        self._end_unread(Answer(408, []))

    def give_up(self) -> None:
        """Reset the connection, since too many bytes are in hand."""
        self._connection.abort(UnansweredReason.GIVEN_UP, "too many bytes are in hand")

    def _end_unread(self, answer: Answer) -> None:
        """Answer the request before its body was read to its end."""
        if self.is_refused:
            return
        self.is_refused = True
        self._drop()
        self._connection.send_unread(answer)
