"""One caller's connection to an HTTP/1.1 server, with one request in hand at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import h11
from loguru import logger

from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.caller_output import CallerOutput
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.http1.connection_phase import PHASE_RULES, ConnectionPhase, PhaseRule
from damaskwind.runtime.http1.exchange import Exchange, answer_headers
from damaskwind.runtime.http1.held_memory import RequestAccount
from damaskwind.runtime.http1.leave_watch import LeaveWatch
from damaskwind.runtime.http1.limits import LimitHistory, ServerLimits
from damaskwind.runtime.http1.messages import Answer, Headers, Request, header, is_bodiless
from damaskwind.runtime.http1.parsing_turns import MAX_PARSING_S, ParsingTurns
from damaskwind.runtime.http1.read_buffer import read_space, take_read
from damaskwind.runtime.http1.refusals import UnreadRefusal, log_refusal
from damaskwind.runtime.http1.request_bodies import BodyReader, BodyServer
from damaskwind.runtime.http1.request_parser import (
    EMPTY_LINES,
    REQUEST_LINE_BYTES,
    RequestParser,
    head_bytes,
    header_bytes,
)
from damaskwind.runtime.http1.tcp_state import has_unread_bytes
from damaskwind.runtime.http1.transports import reset
from damaskwind.runtime.http1.unanswered import (
    CALLER_LEFT,
    OnUnanswered,
    UnansweredReason,
    UnansweredRequest,
    describe_cancellation,
)

__all__ = ["ConnectionServer", "Handler", "ServerConnection"]

# A caller whose body is not read to its end may still be sending: for this time, what it sends is
# dropped, as a closed socket would answer with a reset that can overtake the answer.
LINGER_S = 2.0
# When a server closes, a connection that has carried none may send its first request for this time.
FIRST_REQUEST_S = 0.3
# A caller that has taken nothing for this time, while an answer waits for it, has stopped reading.
# The kernel's buffer hides what a caller of 1 KB/s takes for some 20 s.
STALLED_S = 60.0
# The callers whose bodies take long to parse, in chunks of some bytes, go on one after the other.
_TURNS = ParsingTurns()
# A smaller body is read also where the request is refused, so that its connection can be kept.
LARGE_BODY_BYTES = 65_536
# When a caller should retry whose request failed while it was read.
FAILED_RETRY_S = 1.0
# When a caller should retry whose request is larger than the limits that hold until others come.
UNKNOWN_LIMITS_RETRY_S = 1.0
TOO_LARGE_STATUSES = (413, 431)


Handler = Callable[[Exchange], Awaitable[None]]


class ConnectionServer(BodyServer, Protocol):
    """The server of a connection, which holds all of them."""

    handler: Handler
    limits: ServerLimits
    limit_history: LimitHistory
    are_limits_known: bool
    on_unanswered: OnUnanswered
    on_refused: Callable[[int], None]
    is_refused_by_head: Callable[[Request], bool]
    connections: set["ServerConnection"]
    limit: ConnectionLimit
    active: int
    is_closing: bool


class ServerConnection(asyncio.BufferedProtocol):
    """One caller's connection; `phase` says what is done with what the caller sends."""

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self.phase = ConnectionPhase.IDLE
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser()
        self._head: h11.Request | None = None
        self._head_size_bytes = 0
        self._head_s = 0.0
        self._body = BodyReader(self, server)
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._turn: asyncio.Future | None = None
        self._is_ending = False
        self._is_awaited = False
        self._output: CallerOutput | None = None
        self._leave_watch: LeaveWatch | None = None
        # Of the present request: when the server began to read it, and when its first byte was
        # received at the earliest; whether all of it was read, and what was written of its answer.
        self._begun_s = 0.0
        self._received_s = 0.0
        # Since when bytes of later requests have waited for the end of an answer; 0 for none.
        self._ahead_s = 0.0
        self._is_whole = False
        self._is_body_unread = False
        self._answer_bytes = 0
        self._is_recorded = False
        self._stated_idle_s = 0
        self.loss: UnansweredReason | None = None
        self.requests = 0

    @property
    def _rule(self) -> PhaseRule:
        return PHASE_RULES[self.phase]

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._rule.is_idle

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in hand, or the end of an answer is still to be sent."""
        return not self.is_idle or self._is_awaited or bool(self._output.unsent_bytes)

    @property
    def has_begun(self) -> bool:
        """Return whether any of the answer to the present request was written."""
        return self._answer_bytes > 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start to wait for the first request."""
        self._transport = transport
        handle = transport.get_extra_info("socket")
        self._output = CallerOutput(transport, self._server.memory is not None)
        self._leave_watch = LeaveWatch(handle, self._record_left)
        self._server.connections.add(self)
        self._server.limit.record_opened(self)
        self._server.limit.begin_wait(self)
        self._restart_timer(self._server.limits.idle_timeout_s)

    def _enter(self, phase: ConnectionPhase) -> None:
        """Begin a phase, unless the connection has ended."""
        if self.phase is not ConnectionPhase.ENDED:
            self.phase = phase
            self._regulate_reading()
            limit = self._server.limit
            change = limit.begin_wait if self._rule.may_yield else limit.end_wait
            change(self)

    def _regulate_reading(self) -> None:
        """Read as the phase allows; requests are read ahead up to a bound, the rest is left."""
        is_ahead = self.phase is ConnectionPhase.ANSWERING
        if self._rule.read_bytes and not (is_ahead and self._ahead_left_bytes <= 0):
            self._leave_watch.stop()
            self._transport.resume_reading()
            return
        self._transport.pause_reading()
        if is_ahead:
            self._leave_watch.start()

    @property
    def _ahead_left_bytes(self) -> int:
        """Return how much more of later requests may be read."""
        return self._server.limits.read_ahead_bytes - self._parser.unparsed_bytes

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the space for one read."""
        if self.phase is ConnectionPhase.ANSWERING:
            return read_space(min(self._rule.read_bytes, self._ahead_left_bytes))
        if self.phase is ConnectionPhase.BODY:
            return read_space(self._body.next_read_bytes)
        return read_space(self._rule.read_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Take what one read brought."""
        self.data_received(take_read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those after the present request are buffered until it is answered."""
        if self.phase is ConnectionPhase.IDLE:
            data = data.lstrip(EMPTY_LINES)
        if self._rule.drops or not data:
            return
        self._parser.receive(data)
        if self.phase is ConnectionPhase.ANSWERING:
            self._ahead_s = self._ahead_s or read_clock()
            self._regulate_reading()
            return
        if self.phase is ConnectionPhase.IDLE:
            self._begin_head()
        self._read_events()

    def _begin_head(self) -> None:
        """Record that a part of a request was read."""
        self._enter(ConnectionPhase.HEAD)
        self._is_awaited = False
        self._begun_s = read_clock()
        self._received_s = self._ahead_s or self._begun_s
        self._restart_timer(self._server.limits.header_timeout_s)

    def _record_left(self) -> None:
        """End the connection of a caller that has left while it was not read."""
        self._lose(UnansweredReason.CALLER_CLOSED)
        self._transport.abort()

    def eof_received(self) -> bool:
        """Drop unsent data, since the caller has left."""
        self._record_left()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for this caller."""
        why = "" if error is None else repr(error)
        self._lose(UnansweredReason.CLOSED if error is None else UnansweredReason.CALLER_RESET, why)
        self.phase = ConnectionPhase.ENDED
        self._stop_timer()
        self._leave_watch.stop()
        if self._turn is not None:
            self._turn.cancel()
        self._server.connections.discard(self)
        self._server.limit.record_closed(self)
        self._output.end()
        if self._task is not None:
            self._task.cancel(f"the caller's connection ended: {self.loss}")
        else:
            self._body.close_account()
        self._server.notify_request_end()

    def pause_writing(self) -> None:
        """Record that the transport's buffer is full."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Write on, since the transport accepts bytes again."""
        self._output.resume()

    async def drained(self) -> None:
        """Wait until the write buffer has space, or the caller has left."""
        await self._output.drained()

    async def taken(self) -> None:
        """Wait until the operating system accepted all that was written, or the caller left."""
        await self._output.taken()

    async def flushed(self) -> bool:
        """Wait until the socket has accepted the answer; return `False` if it was cut off.

        The connection is reset if the caller has stopped reading.
        """
        if not await self._output.flushed(STALLED_S):
            left_bytes = self._output.unsent_bytes
            logger.info("caller stalled", caller=self.caller, left_bytes=left_bytes)
            self.abort(UnansweredReason.CALLER_STALLED, f"{left_bytes} bytes not taken")
            return False
        return self.phase is not ConnectionPhase.ENDED

    @property
    def caller(self) -> str:
        """Return the caller's address as `host:port`."""
        host, port, *_ = self._transport.get_extra_info("peername") or ("", 0)
        return f"{host}:{port}"

    def close_if_idle(self) -> None:
        """Close the connection if it carries no request."""
        if self.phase is ConnectionPhase.IDLE:
            has_come = has_unread_bytes(self._transport.get_extra_info("socket"))
            if has_come or not self.requests:
                self._is_awaited = True
                self._restart_timer(FIRST_REQUEST_S)
                return
        if self.is_idle:
            self._close()

    def end_request(self) -> None:
        """End the request in hand: answer it unless its answer has begun."""
        self._is_ending = True
        if self._task is not None:
            self._task.cancel("the server stops")
        elif not self.is_idle and not self._rule.drops:
            self._refuse_unread("the server stops")

    def _close(self) -> None:
        """Close the connection after what was written."""
        self._output.flush()
        self._transport.close()

    @property
    def stalled_since_s(self) -> float | None:
        """Return since when the caller keeps this process waiting, `None` if it doesn't.

        It sends its body too slowly, takes nothing of its answer, or sends much ahead of it.
        """
        if self.phase is ConnectionPhase.BODY:
            return self._head_s if self._body.is_stalled(read_clock() - self._head_s) else None
        if self.phase is not ConnectionPhase.ANSWERING:
            return None
        if self._ahead_left_bytes <= 0:
            return self._ahead_s
        return self._output.paused_since_s

    def displace(self) -> None:
        """Close the connection at once for another one, since it carries no request in hand."""
        if self.phase is ConnectionPhase.IDLE:
            self._server.connections.discard(self)
            self._close()
            return
        self.abort(UnansweredReason.DISPLACED, "too many connections")

    def abort(self, reason: UnansweredReason, why: str = "") -> None:
        """Reset the connection."""
        self._lose(reason, why)
        self._server.connections.discard(self)
        self._server.limit.record_closed(self)
        self._output.clear()
        reset(self._transport)

    def _lose(self, reason: UnansweredReason, why: str = "") -> None:
        """Record why the connection ends, and a request that has no complete answer by then."""
        if self._is_ending and reason not in CALLER_LEFT:
            reason = UnansweredReason.SERVER_STOPPED
        if self.loss is None:
            self.loss = reason
        if self._is_recorded or self.is_idle or self._is_answered:
            return
        self._is_recorded = True
        headers = [] if self._head is None else list(self._head.headers)
        self._server.on_unanswered(
            UnansweredRequest(
                reason,
                why,
                self.caller,
                headers,
                self._is_whole,
                self._answer_bytes,
                read_clock() - self._begun_s,
            )
        )

    @property
    def _is_answered(self) -> bool:
        """Return whether the whole answer to the present request was given to the socket.

        After an error of the socket, what its transport still held is not known any more.
        """
        return self._is_finished and not self._output.unsent_bytes

    @property
    def _is_finished(self) -> bool:
        """Return whether the whole answer to the present request was written."""
        return self._parser.is_finished

    def _restart_timer(self, limit_s: float) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(limit_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        """Close an idle connection; answer a caller that is too slow with 408."""
        if self.is_idle:
            self._close()
            return
        self.refuse(408, why="read too slowly")

    def _read_events(self) -> None:
        """Handle the parser's events until a request is complete, or it is others' turn."""
        turn_ends_s = read_clock() + MAX_PARSING_S
        try:
            while self._task is None:
                if self._body.is_blocked or self._rule.drops:
                    return
                if self.phase is ConnectionPhase.BODY and read_clock() > turn_ends_s:
                    self._wait_for_turn()
                    return
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._limit_unparsed()
                    return
                if event is h11.PAUSED:
                    return
                if not self._handle_event(event):
                    return
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, why=str(error))
        except Exception as error:
            logger.opt(exception=error).error("reading failed", why=repr(error))
            self._refuse_unread(repr(error))

    def _wait_for_turn(self) -> None:
        """Read and parse nothing until it is the turn of this connection again."""
        self._transport.pause_reading()
        self._turn = asyncio.ensure_future(_TURNS.wait())
        self._turn.add_done_callback(self._go_on)

    def _go_on(self, turn: asyncio.Future) -> None:
        """Read and parse on, unless the body was given up meanwhile."""
        if not turn.cancelled() and self.phase is ConnectionPhase.BODY:
            self._regulate_reading()
            self._read_events()

    def _limit_unparsed(self) -> None:
        """Refuse a request of which a head, or a line within its body, is too large."""
        max_bytes = self._allowed.header_bytes + REQUEST_LINE_BYTES
        if self._parser.unparsed_bytes > max_bytes:
            self.refuse(431, why="unfinished head too large")

    def _limit_head(self, head: h11.Request) -> bool:
        """Return whether the size of a head is allowed; otherwise the request was refused."""
        max_bytes, self._head_size_bytes = self._allowed.header_bytes, head_bytes(head)
        if header_bytes(head) > max_bytes or self._head_size_bytes > max_bytes + REQUEST_LINE_BYTES:
            self.refuse(431, why="head too large")
            return False
        return True

    @property
    def _allowed(self) -> ServerLimits:
        """Return the largest sizes that the present request may have."""
        return self._server.limit_history.largest_since(self._received_s)

    @property
    def max_body_bytes(self) -> int:
        """Return the largest body that the present request may have."""
        return self._allowed.body_bytes

    def _refuse_unread(self, why: str) -> None:
        """Answer a request that failed while it was read, and so has not run, with status 503."""
        if self._task is not None:
            # It was read whole, and is answered by its handler.
            return
        if self.has_begun:
            self.abort(UnansweredReason.READING_FAILED, why)
            return
        self.refuse(503, [(b"retry-after", b"%.3f" % FAILED_RETRY_S)], why)

    def _handle_event(self, event: Any) -> bool:
        """Handle one event; return whether to continue reading."""
        if isinstance(event, h11.Request):
            self._head = event
            if not self._limit_head(event):
                return False
            self._head_s = read_clock()
            self._enter(ConnectionPhase.BODY)
            if self._is_refused_by_head(event):
                self._start(is_body_unread=True)
                return False
            self._restart_timer(self._server.limits.idle_timeout_s)
            if not self._body.begin(event):
                return False
            self._continue_body()
        elif isinstance(event, h11.Data):
            return self._body.add(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._start()
        else:
            return False
        return True

    def _is_refused_by_head(self, head: h11.Request) -> bool:
        """Return whether a request with a large body is refused whatever that body is."""
        length = header(list(head.headers), b"content-length")
        if length is None or int(length) <= LARGE_BODY_BYTES:
            return False
        return self._server.is_refused_by_head(
            Request(head.method, head.target, list(head.headers))
        )

    def _continue_body(self) -> None:
        """Ask for the body if the caller waits for that."""
        if self._parser.is_continue_awaited:
            self._output.write(self._parser.encode_continue())

    def account_to(self, account: RequestAccount | None) -> None:
        """Add what waits for the caller to an account, or stop to do so."""
        self._output.account_to(account)

    def pause_body(self) -> None:
        """Leave what the caller sends unread, without a time limit."""
        self._stop_timer()
        self._enter(ConnectionPhase.UNREAD)

    def resume_body(self) -> None:
        """Read on, within the time limit for a body."""
        if self.phase is ConnectionPhase.ENDED:
            return
        self._restart_timer(self._server.limits.idle_timeout_s)
        self._enter(ConnectionPhase.BODY)
        self._continue_body()
        self._read_events()

    def send_unread(self, answer: Answer) -> None:
        """Answer a request before its body was read, and drop what its caller still sends."""
        if self.phase is ConnectionPhase.ENDED:
            return
        self._stop_timer()
        self.send_whole(answer, True)
        self._body.close_account()
        self._linger(ConnectionPhase.REFUSED)

    def _linger(self, phase: ConnectionPhase) -> None:
        """Close after what was written, and drop what the caller still sends until then."""
        self._head = None
        self._enter(phase)
        try:
            self._output.flush()
            self._transport.write_eof()
        except OSError:
            # The caller has left, which was not noticed as nothing was read.
            self._transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def _start(self, is_body_unread: bool = False) -> None:
        """Start the handler on the complete request, or on its head alone if that is refused."""
        head = self._head
        self._stop_timer()
        self._is_body_unread = is_body_unread
        body = b"" if is_body_unread else self._body.join()
        request = Request(head.method, head.target, list(head.headers), body)
        self._ahead_s = self._received_s if self._parser.unparsed_bytes else 0.0
        self._enter(ConnectionPhase.ANSWERING)
        self.requests += 1
        self._is_whole = not is_body_unread
        account = self._body.account
        exchange = Exchange(self, request, self._head_s, account, is_body_unread)
        self._task = asyncio.ensure_future(self._run(exchange))
        if account is not None:
            # A task that is cancelled before its first step never runs its own clean-up.
            self._task.add_done_callback(lambda _: account.close())
            self._body.end_reading()

    async def _run(self, exchange: Exchange) -> None:
        """Run the handler; if it raises, log the exception and answer the request."""
        self._server.active += 1
        try:
            await self._server.handler(exchange)
            await self.flushed()
            if not exchange.is_finished and self.loss is None:
                self._answer_failure(UnansweredReason.NO_ANSWER, "the handler ended")
        except asyncio.CancelledError as error:
            if self.loss is None:
                self._answer_failure(UnansweredReason.CANCELED, describe_cancellation(error))
        except Exception as error:
            logger.opt(exception=error).error("handler failed", why=repr(error))
            self._answer_failure(UnansweredReason.HANDLER_FAILED, repr(error))
        finally:
            self._server.active -= 1
            self._body.close_account()
            self._task = None
            self._server.notify_request_end()
        is_answered = exchange.is_finished and not self._rule.drops
        if is_answered and not self._transport.is_closing():
            self._next_request()

    def _answer_failure(self, reason: UnansweredReason, why: str) -> None:
        """Answer with status 500, since it is unknown whether the request ran, and close.

        An answer that has begun is reset, and a whole one is kept.
        """
        if self._is_finished:
            self._linger(ConnectionPhase.REFUSED)
            return
        if self.has_begun:
            self.abort(reason, why)
            return
        logger.warning("request failed", reason=reason.value, why=why, caller=self.caller)
        self.refuse(500)

    def _next_request(self) -> None:
        """Prepare for the next request on this connection."""
        self._head = None
        self._is_whole = False
        self._answer_bytes = 0
        if not self._parser.begin_next():
            self._linger(ConnectionPhase.ANSWERED)
            return
        if self._parser.unparsed_bytes:
            self._begin_head()
        elif self._server.is_closing:
            self._linger(ConnectionPhase.ANSWERED)
            return
        else:
            self._enter(ConnectionPhase.IDLE)
            # Only empty lines may have come behind the request before.
            self._ahead_s = 0.0
            # The limit may have changed since it was stated.
            self._restart_timer(max(self._stated_idle_s, self._server.limits.idle_timeout_s))
        self._read_events()

    def refuse(self, status: int, headers: Headers | None = None, why: str = "") -> None:
        """Answer a request that could not be read, and close."""
        self._stop_timer()
        if status in TOO_LARGE_STATUSES and not self._server.are_limits_known:
            status, headers = 503, [(b"retry-after", b"%.3f" % UNKNOWN_LIMITS_RETRY_S)]
        if not self.has_begun:
            self._log_refusal(status, why)
            self.send_whole(Answer(status, headers or []), True)
        self._body.close_account()
        self._linger(ConnectionPhase.REFUSED)

    def _log_refusal(self, status: int, why: str) -> None:
        """Log a request that is refused before its handler has it."""
        self._server.on_refused(status)
        log_refusal(
            UnreadRefusal(
                status,
                why,
                self.caller,
                self._head,
                self._head_size_bytes,
                self._body.size_bytes,
                self._parser.unparsed_bytes,
                self.requests,
                self._allowed,
                self._server.limits,
                read_clock() - self._begun_s,
            )
        )

    def send_head(self, status: int, headers: Headers, close: bool) -> None:
        """Send the status line and headers."""
        self._send(self._head_event(status, headers, close))

    def send_whole(self, answer: Answer, close: bool) -> None:
        """Send an answer from its head to its end."""
        headers = answer_headers(answer.headers, answer.body)
        head = self._head_event(answer.status, headers, close)
        method = b"" if self._head is None else self._head.method
        has_body = answer.body and not is_bodiless(method, answer.status)
        body = [h11.Data(data=answer.body)] if has_body else []
        self._send(head, *body, h11.EndOfMessage())

    def _head_event(self, status: int, headers: Headers, close: bool) -> h11.Response:
        """Return the head with `Connection: close` or `Keep-Alive`."""
        # Without a request the parser is one that has taken the place of another.
        is_replaced = not self._parser.has_head
        # A request that was read ahead is answered before the connection is closed.
        is_last = self._server.is_closing and not self._parser.has_request_ahead
        if close or is_last or is_replaced or self._is_body_unread:
            headers = [*headers, (b"connection", b"close")]
        elif self._server.limits.idle_timeout_s >= 1:
            self._stated_idle_s = int(self._server.limits.idle_timeout_s)
            headers = [*headers, (b"keep-alive", b"timeout=%d" % self._stated_idle_s)]
        return h11.Response(status_code=status, headers=headers)

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(h11.Data(data=data))

    def finish_answer(self) -> None:
        """End the answer."""
        self._send(h11.EndOfMessage())

    def _send(self, *events: Any) -> None:
        """Write events together unless the caller has left."""
        if self.phase is ConnectionPhase.ENDED:
            return
        if not self.has_begun:
            self._parser.recover()
        data = self._parser.encode(*events)
        self._answer_bytes += len(data)
        self._output.write(data)
