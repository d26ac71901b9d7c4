"""An HTTP/1.1 client on one connection, with one request at a time.

Whether a request may have run depends on what was written: a connection that was
refused or that timed out before it was established carried nothing. The transports
are asyncio's own; see `docs/decisions/0016-deciding-under-load.md`.
"""

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Any

import h11

from damaskwind.model.exception import DamaskwindError
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.answer_errors import AnswerBrokenError, AnswerTooLongError
from damaskwind.runtime.http1.held_memory import AnswerAccount
from damaskwind.runtime.http1.messages import Answer, Headers, Request, is_bodiless
from damaskwind.runtime.http1.outbox import SEND_BUFFER_BYTES, Outbox
from damaskwind.runtime.http1.parsing_turns import MAX_PARSING_S, ParsingTurns
from damaskwind.runtime.http1.tcp_state import has_taken_all, is_reset, read_tcp_state
from damaskwind.runtime.http1.transports import reset
from damaskwind.runtime.http1.unread_input import UnreadInput

__all__ = [
    "AnswerBrokenError",
    "ClientConnection",
    "ConnectFailedError",
    "connect",
    "fetch",
]

# No target sends an answer whose head is larger than this.
ANSWER_HEAD_BYTES = 65_536
# The last valid status code (RFC 9110, section 15); the parser refuses those below 100.
MAX_STATUS = 599
# A sound target sends one or two informational answers (100 to 199) before its answer.
MAX_INFORMATIONAL = 32
# Pieces of a body that is collected are joined up to this size, since each small one of them
# takes several times its length.
JOINED_BYTES = 16_384
# The largest piece of a body: what is done with it at once, such as a search for many small
# events, delays all other tasks.
PIECE_BYTES = 32_768
# How the parser marks what exceeds that size: a head, or the line with the size of a chunk.
HEAD_TOO_LONG = 431
_TURNS = ParsingTurns()
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# Where answers are accounted for, at most this much is read before the account is asked.
READ_BYTES = 65_536


# Bytes unacknowledged for this long mean that the link is cut or the peer's kernel is silent:
# within a region, a lost packet is retransmitted after about 0.2 s, and again after 0.4 s. A
# connection ends by it, except while a request may wait for longer: the link may heal.
UNACKNOWLEDGED_MS = 800
# A silent connection is probed after one second and given up after another, or after the time
# for which a request waits, if that is longer: Linux applies `TCP_USER_TIMEOUT` to probes too.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1

_LIVENESS_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class ConnectFailedError(DamaskwindError):
    """No connection was established; nothing was sent."""


class AnswerHead:
    """The status and headers of an answer, which precede its body.

    An answer that `is_unframed` has neither a length nor chunks: the end of its connection is
    the only sign that it is complete (RFC 9112, section 6.3).
    """

    __slots__ = ("headers", "is_unframed", "status")

    def __init__(self, status: int, headers: Headers, is_unframed: bool = False) -> None:
        self.status = status
        self.headers = headers
        self.is_unframed = is_unframed


def _is_unframed(method: bytes, head: h11.Response) -> bool:
    """Return whether the body of an answer ends with its connection.

    >>> _is_unframed(b"GET", h11.Response(status_code=200, headers=[]))
    True
    >>> _is_unframed(b"GET", h11.Response(status_code=304, headers=[]))
    False
    """
    if is_bodiless(method, head.status_code):
        return False
    return not any(name in FRAMING_HEADERS for name, _ in head.headers)


def _append_joined(pieces: list[bytes | bytearray], piece: bytes) -> None:
    """Append a piece of a body, or add it to the last one while that is small.

    >>> pieces = []
    >>> for piece in (b"ab", b"cd"):
    ...     _append_joined(pieces, piece)
    >>> pieces
    [bytearray(b'abcd')]
    """
    if pieces and len(pieces[-1]) + len(piece) <= JOINED_BYTES:
        pieces[-1] += piece
    else:
        pieces.append(bytearray(piece) if len(piece) < JOINED_BYTES else piece)


class ClientConnection(asyncio.Protocol):
    """One connection to a peer. Await `send`, then `read_head`, then `read_data`."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._sent_request: h11.Request | None = None
        self._waiter: asyncio.Future | None = None
        self._is_lost = False
        self._has_received_eof = False
        # Whether the peer had taken all of the request when its answer began.
        self._is_request_taken = False
        self._has_head = False
        self._is_unframed = False
        self.is_timed_out = False
        self._last_active_s = 0.0
        # When the answer to the present request was last received from, `None` for not yet.
        self.last_received_s: float | None = None
        self.made_s = read_clock()
        self.has_stray_bytes = False
        self.is_in_use = False
        self.requests = 0
        self.usable_until_s = 0.0
        self._unread_input: UnreadInput | None = None
        self._parsing_since_s = 0.0
        # Accounts for the answers to requests that have no account of their own.
        self.in_hand: AnswerAccount | None = None
        self._account: AnswerAccount | None = None
        self._kept_bytes = 0
        # What is left of a larger piece of the body.
        self._rest = memoryview(b"")
        self._too_long: AnswerTooLongError | None = None
        self._outbox: Outbox | None = None
        self._is_collecting = False
        self._unread_bytes = 0
        self.on_lost: Callable[[ClientConnection], None] | None = None
        # Called once for each request whose bytes are unacknowledged for `UNACKNOWLEDGED_MS`.
        self.on_unacknowledged: Callable[[], None] | None = None
        self._limit_ms = UNACKNOWLEDGED_MS
        self._checking: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the peer has neither closed nor sent unrequested bytes."""
        has_ended = self._is_lost or self._has_received_eof
        return not has_ended and not self.has_stray_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options that detect an unresponsive peer."""
        self._transport = transport
        self._unread_input = UnreadInput(transport)
        handle = transport.get_extra_info("socket")
        for option, value in _LIVENESS_OPTIONS:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def account_to(self, account: AnswerAccount) -> None:
        """Add what is read until the next `settle` to an account, and keep write buffers small."""
        self._account = account
        self._transport.max_size = READ_BYTES
        if self._outbox is None:
            handle = self._transport.get_extra_info("socket")
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self._outbox = Outbox(self._transport)

    def settle(self) -> None:
        """Release what was read, since it was passed on or dropped."""
        self._kept_bytes = 0
        self._release_read()

    def keep(self, size_bytes: int) -> None:
        """Account for what the reader keeps of the answer until it is passed on or dropped."""
        self._kept_bytes = size_bytes

    def give_up(self, bound_bytes: int) -> None:
        """End the answer, since all answers that are being read exceed their bound."""
        self._too_long = AnswerTooLongError("all answers in hand", bound_bytes)
        self.abort()
        self._wake()

    def _release_read(self) -> None:
        """Release what was read, but for what the reader keeps."""
        account = self.in_hand if self._account is None else self._account
        # Without its own account, a request may keep less than is still counted of it.
        kept_bytes = self._kept_bytes if self._account is None else 0
        if account is not None and self._unread_bytes != kept_bytes:
            account.hold(kept_bytes - self._unread_bytes)
        self._unread_bytes = kept_bytes

    def pause_writing(self) -> None:
        """Hold the rest of a body while the target reads it slowly."""
        if self._outbox is not None:
            self._outbox.pause()

    def resume_writing(self) -> None:
        """Send the rest of a body."""
        if self._outbox is not None:
            self._outbox.resume()

    def data_received(self, data: bytes) -> None:
        """Feed bytes of the answer to the parser; unrequested bytes end the connection."""
        if not self.is_in_use:
            self.has_stray_bytes = True
            self.abort()
            return
        self._last_active_s = self.last_received_s = read_clock()
        if not self._has_head:
            self._is_request_taken = self._has_sent_all()
        account = self.in_hand if self._account is None else self._account
        if account is not None:
            self._unread_bytes += len(data)
            account.hold(len(data))
        if self._too_long is not None:
            return
        self._unread_input.add(len(data))
        self._parser.receive_data(data)
        self._wake()

    def eof_received(self) -> bool:
        """Record that the peer closed in an orderly way; return whether the transport stays open.

        It does after an answer that may end so, until `release` or `abort`: a reset may follow.
        """
        self._has_received_eof = True
        if not self.is_in_use or self._parser is None:
            return False
        self._parser.receive_data(b"")
        self._wake()
        return True

    def _has_sent_all(self) -> bool:
        """Return whether the peer's kernel has acknowledged the whole request."""
        is_held = self._outbox is not None and not self._outbox.is_empty
        if is_held or self._transport.get_write_buffer_size():
            return False
        return has_taken_all(self._transport.get_extra_info("socket"))

    def has_ended_orderly(self) -> bool:
        """Return whether no reset has followed the end of an answer so far."""
        if self._is_lost:
            return False
        return not is_reset(self._transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection and whether it was orderly or a timeout."""
        self._is_lost = True
        self._stop_checking()
        self._has_received_eof = self._has_received_eof and error is None
        if self._outbox is not None:
            self._outbox.clear()
        # The transport doesn't distinguish a timeout from a reset; the length of silence does.
        silent_s = read_clock() - self._last_active_s
        self.is_timed_out = not self._has_received_eof and silent_s > UNACKNOWLEDGED_MS / 1000
        self._wake()
        if self.on_lost is not None:
            self.on_lost(self)

    def abort(self) -> None:
        """Reset the connection, which makes the peer cancel its work for it."""
        if not self._is_lost and self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close the connection."""
        if not self._is_lost and self._transport is not None:
            self._transport.close()

    def send(self, request: Request, wait_s: float = 0.0) -> None:
        """Write a whole request, whose answer is waited for at most `wait_s` seconds.

        For so long, or `UNACKNOWLEDGED_MS` if that is longer, the connection lives on while the
        peer's kernel does not answer. `on_unacknowledged` is called after `UNACKNOWLEDGED_MS`.
        """
        self.is_in_use = True
        self._limit_unacknowledged(max(math.ceil(wait_s * 1000), UNACKNOWLEDGED_MS))
        self._start_checking()
        self._last_active_s = read_clock()
        self.last_received_s = None
        self._has_head = False
        self.requests += 1
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        self._sent_request = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_BYTES)
        data = self._parser.send(self._sent_request)
        if request.body and self._outbox is not None:
            self._outbox.write(data)
            # The body is not copied: the outbox sends it in parts.
            data = self._parser.send(h11.Data(data=request.body))
        elif request.body:
            data += self._parser.send(h11.Data(data=request.body))
        data += self._parser.send(h11.EndOfMessage())
        write = self._transport.write if self._outbox is None else self._outbox.write
        write(data)

    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer; raise `AnswerBrokenError` if none arrives.

        Raise `AnswerTooLongError` after more than `MAX_INFORMATIONAL` informational answers.
        """
        self._is_collecting = False
        self._has_head = False
        self._rest = memoryview(b"")
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise AnswerBrokenError(f"status {event.status_code} is none")
                self._has_head = True
                self._is_unframed = _is_unframed(self._sent_request.method, event)
                return AnswerHead(event.status_code, list(event.headers), self._is_unframed)
            if not isinstance(event, h11.InformationalResponse):
                self.close()
                raise AnswerBrokenError("the connection ended before an answer")
        raise AnswerTooLongError("series of informational answers", MAX_INFORMATIONAL, "heads")

    async def read_data(self) -> bytes | None:
        """Return the next piece of the body, or `None` once it is complete."""
        if self._rest:
            await self._let_others_run()
            return self._next_piece()
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self._rest = memoryview(event.data)
            return self._next_piece()
        if isinstance(event, h11.EndOfMessage):
            self._require_taken_request()
            return None
        raise AnswerBrokenError("the answer ended early")

    def _require_taken_request(self) -> None:
        """Raise `AnswerBrokenError` if the answer's end was the connection's, but it began early.

        A peer that had not taken the whole request has not answered it, and what it sent may be a
        part of what it meant to send.
        """
        if self._is_unframed and not self._is_request_taken:
            self.abort()
            raise AnswerBrokenError("an answer without a frame began before the request was taken")

    def _next_piece(self) -> bytes:
        """Return up to `PIECE_BYTES` of what is left of a piece that was parsed."""
        piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
        return bytes(piece)

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the rest of the body; raise `AnswerBrokenError` if it exceeds the limit."""
        return b"".join(await self.read_pieces(limit_bytes))

    async def read_pieces(self, limit_bytes: int) -> list[bytes | bytearray]:
        """Return the rest of the body in pieces; they stay in the account until `settle`."""
        self._is_collecting = True
        pieces, size_bytes = [], 0
        while (piece := await self.read_data()) is not None:
            _append_joined(pieces, piece)
            size_bytes += len(piece)
            if size_bytes > limit_bytes:
                raise AnswerTooLongError("answer", limit_bytes)
        return pieces

    def skip_answer(self) -> None:
        """Expect another answer, since the one just read belongs to an earlier request.

        The bytes that follow it in the buffer are parsed as the answer to the request
        that was sent; only that request's method matters to the parser.
        """
        rest, _ = self._parser.trailing_data
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_BYTES)
        bare = h11.Request(method=self._sent_request.method, target=b"/", headers=[(b"host", b"-")])
        parser.send(bare)
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self._parser = parser

    def release(self) -> bool:
        """End the present request; return whether the connection can be reused.

        It can be reused only if the last answer was framed, complete and not followed
        by further bytes; otherwise it is reset.
        """
        self.is_in_use = False
        self._is_collecting = False
        self._stop_checking()
        self._limit_unacknowledged(UNACKNOWLEDGED_MS)
        self.settle()
        self._account = None
        self._unread_input.clear()
        parser = self._parser
        is_clean = (
            self.is_open
            and (self._outbox is None or self._outbox.is_empty)
            and parser is not None
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        if not is_clean:
            self._end()
        return is_clean

    def _end(self) -> None:
        """Close the connection if the peer did so after the whole request, otherwise reset it."""
        if self._has_received_eof and self._is_request_taken:
            self.close()
        else:
            self.abort()

    def is_unacknowledged(self) -> bool:
        """Tell whether the peer's kernel has left bytes unacknowledged for `UNACKNOWLEDGED_MS`.

        A peer that only does not read is not: its kernel acknowledges what it can hold.
        """
        if self._is_lost:
            return False
        state = read_tcp_state(self._transport.get_extra_info("socket"))
        return state.unacknowledged_packets > 0 and state.silent_ms >= UNACKNOWLEDGED_MS

    def _limit_unacknowledged(self, limit_ms: int) -> None:
        """Set how long bytes may be unacknowledged until the kernel ends the connection."""
        if limit_ms == self._limit_ms or self._is_lost:
            return
        self._limit_ms = limit_ms
        handle = self._transport.get_extra_info("socket")
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)

    def _start_checking(self) -> None:
        """Check after `UNACKNOWLEDGED_MS` whether the request was acknowledged."""
        self._stop_checking()
        if self.on_unacknowledged is not None:
            loop = asyncio.get_running_loop()
            self._checking = loop.call_later(UNACKNOWLEDGED_MS / 1000, self._check_acknowledged)

    def _stop_checking(self) -> None:
        if self._checking is not None:
            self._checking.cancel()
            self._checking = None

    def _check_acknowledged(self) -> None:
        """Report a request that is unacknowledged; check again while it is being written."""
        self._checking = None
        if self.is_unacknowledged():
            self.on_unacknowledged()
        elif not self._is_lost and self._transport.get_write_buffer_size():
            self._start_checking()

    async def _next_event(self) -> Any:
        """Return the next event of the answer; while many are at hand, let other tasks run."""
        if self._unread_input.size_bytes:
            await self._let_others_run()
        while True:
            if self._too_long is not None:
                raise self._too_long
            event = self._parse_event()
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            self._unread_input.clear()
            if not self._is_collecting:
                self._release_read()
            if self._is_lost or self._has_received_eof:
                raise AnswerBrokenError("the connection was lost")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._parsing_since_s = read_clock()

    async def _let_others_run(self) -> None:
        """Let other tasks run after `MAX_PARSING_S`, however much is at hand."""
        if read_clock() - self._parsing_since_s > MAX_PARSING_S:
            await _TURNS.wait()
            self._parsing_since_s = read_clock()

    def _parse_event(self) -> Any:
        """Return the next event that the parser knows, or that it needs more data for one."""
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._has_received_eof:
                self.close()
            if error.error_status_hint == HEAD_TOO_LONG:
                raise AnswerTooLongError("head or chunk size", ANSWER_HEAD_BYTES) from error
            raise AnswerBrokenError(f"no whole answer: {error}") from error

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: Address, timeout_s: float) -> ClientConnection:
    """Open a connection; raise `ConnectFailedError` if that fails or times out."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(max(timeout_s, 0.001)):
            _, connection = await loop.create_connection(
                ClientConnection, address.host, address.port
            )
    except OSError as error:
        # `TimeoutError` is a subclass of `OSError`.
        raise ConnectFailedError(type(error).__name__) from error
    return connection


async def fetch(connection: ClientConnection, request: Request, limit_bytes: int) -> Answer:
    """Send a request and return the whole answer, for calls between the system's processes.

    They frame all answers, so that one without a frame may have ended early.
    """
    connection.send(request)
    head = await connection.read_head()
    if head.is_unframed:
        connection.abort()
        raise AnswerBrokenError("the answer has neither a length nor chunks")
    body = await connection.read_body(limit_bytes)
    connection.release()
    return Answer(head.status, head.headers, body)
