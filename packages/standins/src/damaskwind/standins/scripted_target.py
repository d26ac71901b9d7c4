"""A target with scripted output, for answers that no HTTP library would send.

A script is a list of steps; each request, on any connection, takes the next one. After
the last step the target uses a default step. A step is called with the writer and the
request and may write any bytes; functions that build common steps are at the end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address

__all__ = [
    "ReceivedRequest",
    "ScriptedEndError",
    "ScriptedTarget",
    "Step",
    "chunk",
    "cut_stream",
    "event",
    "load_field",
    "plain",
    "raw",
    "silent",
    "stream",
    "stream_pieces",
    "unframed",
]


class ReceivedRequest(NamedTuple):
    """A request as received; header names are in lower case.

    `id_header` names the header with the request's id, in requests and answers.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    id_header: bytes


class ScriptedEndError(ConnectionError):
    """A step asks for an orderly end of its connection."""


Step = Callable[[asyncio.StreamWriter, ReceivedRequest], Awaitable[None]]


class ScriptedTarget:
    """Listen on loopback, record requests, and answer by the script, then by `default`.

    `ends` records why connections ended. Health checks take no step and are not recorded: while it
    `is_alive`, the target answers `answers_health_after_s` later with `named_id`, by default the
    id of the target that is meant, or refuses them as a full one does; of the next ones it leaves
    `unanswered_health_checks`. A `health_step` answers them in place of all that. A stand-in that
    scripts health checks too has no `health_path`.
    """

    health_path: bytes | None = b"/health"
    is_alive = True
    answers_health_after_s = 0.0
    refuses_health_checks = False
    unanswered_health_checks = 0
    named_id: bytes | None = None
    health_step: "Step | None" = None

    def __init__(
        self, names: HeaderNames, host: str = "127.0.0.1", default: Step | None = None
    ) -> None:
        self.names = names
        self._default = default or plain()
        self.script: list[Step] = []
        self.received: list[ReceivedRequest] = []
        self.ends: list[str] = []
        self.connections = 0
        self.health_checks = 0
        self._in_progress = 0
        self._host = host
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> Address:
        """Start to listen and return the address."""
        self._server = await asyncio.start_server(self._serve, self._host, port)
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def exit(self) -> None:
        """Close the socket and all connections in an orderly way, as a kernel does at an exit.

        The step that calls this closes its own connection when it ends.
        """
        self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    def in_progress(self) -> int:
        """Return the number of requests that are being answered."""
        return self._in_progress

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        parser = h11.Connection(h11.SERVER)
        try:
            while (request := await self._read(reader, parser)) is not None:
                if request.method == b"GET" and request.target == self.health_path:
                    await self._answer_health_check(writer, request)
                    parser = _next_parser(parser)
                    continue
                self.received.append(request)
                step = self.script.pop(0) if self.script else self._default
                self._in_progress += 1
                try:
                    await step(writer, request)
                finally:
                    self._in_progress -= 1
                await writer.drain()
                parser = _next_parser(parser)
        except (ConnectionError, h11.RemoteProtocolError) as error:
            self.ends.append(repr(error))
        except asyncio.CancelledError:
            # Only `stop` cancels; if this propagated, asyncio's stream callback would log an error.
            self.ends.append("stopped")
        finally:
            self.ends.append("closed")
            writer.close()

    async def _answer_health_check(
        self, writer: asyncio.StreamWriter, request: ReceivedRequest
    ) -> None:
        """Answer one health check, or leave it without an answer."""
        self.health_checks += 1
        step = self._health_step(request)
        await asyncio.sleep(self.answers_health_after_s)
        await step(writer, request)
        await writer.drain()

    def _health_step(self, request: ReceivedRequest) -> Step:
        """Return how the next health check is answered."""
        if self.health_step is not None:
            return self.health_step
        if not self.is_alive or self.unanswered_health_checks:
            self.unanswered_health_checks = max(self.unanswered_health_checks - 1, 0)
            return silent()
        if self.refuses_health_checks:
            return plain(503, b"", (self.names.not_run + b": 1",))
        target_id = self.named_id or request.headers.get(self.names.expect_target, b"")
        return plain(body=b"", fields=(self.names.instance_id + b": " + target_id,))

    async def _read(
        self, reader: asyncio.StreamReader, parser: h11.Connection
    ) -> ReceivedRequest | None:
        """Return the next complete request, or `None` at the end of the connection."""
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                headers = dict(head.headers)
                id_header = self.names.request_id
                return ReceivedRequest(head.method, head.target, headers, body, id_header)
            else:
                return None


def _next_parser(parser: h11.Connection) -> h11.Connection:
    """Return a parser for the next request.

    Answers bypass h11, so a parser cannot be reused for the next request.
    """
    rest, _ = parser.trailing_data
    following = h11.Connection(h11.SERVER)
    if rest:
        following.receive_data(rest)
    return following


def _head(status: int, request: ReceivedRequest, fields: tuple[bytes, ...]) -> bytes:
    """Return a status line and headers, including the request's id."""
    request_id = request.headers.get(request.id_header, b"")
    lines = [b"HTTP/1.1 %d X" % status, request.id_header + b": " + request_id, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def load_field(
    names: HeaderNames,
    running: int,
    waiting: int,
    slots: int,
    work_time_percent: int | None = None,
) -> bytes:
    """Return the header field of a load report, with the fourth figure if it is given.

    >>> load_field(HeaderNames(), 3, 0, 8, 250)
    b'x-target-load: 3,0,8,250'
    """
    figures = [running, waiting, slots]
    if work_time_percent is not None:
        figures.append(work_time_percent)
    return names.target_load + b": " + ",".join(map(str, figures)).encode()


def plain(status: int = 200, body: bytes = b"whole", fields: tuple[bytes, ...] = ()) -> Step:
    """Answer with a body of declared length."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        length = b"content-length: %d" % len(body)
        writer.write(_head(status, request, (length, *fields)) + body)

    return step


def raw(data: bytes, then_close: bool = False) -> Step:
    """Write `data` unchanged, then optionally close the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.write(data)
        if then_close:
            await writer.drain()
            raise ScriptedEndError("scripted end")

    return step


def silent(for_s: float = 60.0) -> Step:
    """Send nothing for `for_s`, then close the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        await asyncio.sleep(for_s)
        raise ScriptedEndError("scripted end")

    return step


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body that is sent in chunks."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream(first: int, last: int, pause_s: float = 0.0, fields: tuple[bytes, ...] = ()) -> Step:
    """Stream complete events from `first` to `last` and end the stream."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.write(_head(200, request, (b"transfer-encoding: chunked", *fields)))
        for number in range(first, last + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")

    return step


def cut_stream(first: int, last: int, tail: bytes = b"") -> Step:
    """Stream events and the partial event `tail`, then close the connection."""
    pieces = [event(number) for number in range(first, last + 1)]
    return stream_pieces([*pieces, tail], is_cut=True)


def stream_pieces(pieces: list[bytes], is_cut: bool = False) -> Step:
    """Stream pieces that are not empty, then end the stream or, if it is cut, the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.write(_head(200, request, (b"transfer-encoding: chunked",)))
        for piece in filter(None, pieces):
            writer.write(chunk(piece))
        if not is_cut:
            writer.write(b"0\r\n\r\n")
            return
        await writer.drain()
        raise ScriptedEndError("scripted end")

    return step


def unframed(body: bytes, fields: tuple[bytes, ...] = ()) -> Step:
    """Answer with a body that has neither a length nor chunks, and close the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.write(_head(200, request, (b"connection: close", *fields)) + body)
        await writer.drain()
        raise ScriptedEndError("scripted end")

    return step
