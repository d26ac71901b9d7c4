"""A target that answers as soon as it has the head of a request, while its body is being written.

Such an answer may be whole or not: the target hasn't read what it answers. `EarlyEnd` names how
its connection ends; `answer_early` is a step for an `EarlyTarget`.
"""

import asyncio
import socket
from enum import StrEnum

import h11

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.runtime.http1.transports import reset
from damaskwind.standins.scripted_target import (
    ReceivedRequest,
    ScriptedEndError,
    ScriptedTarget,
    Step,
    unframed,
)

__all__ = ["EarlyEnd", "EarlyTarget", "answer_early"]

# How long a connection that is closed on one side stays open on the other.
HALF_CLOSED_S = 0.01
# What the kernel, and what the process, take of an upload that is not read.
RECEIVE_BUFFER_BYTES = 32_768


class EarlyEnd(StrEnum):
    """How a connection ends after an early answer."""

    CLOSE = "close"
    HALF_CLOSE = "half close"
    HALF_CLOSE_AND_RESET = "half close, then reset"
    RESET = "reset"


class EarlyTarget(ScriptedTarget):
    """A scripted target whose steps begin at the head of a request with a body.

    `uploads` has the readers and parsers of the bodies by the ids of their requests.
    """

    def __init__(self, names: HeaderNames) -> None:
        super().__init__(names)
        self.uploads: dict[bytes, tuple[asyncio.StreamReader, h11.Connection]] = {}

    async def start(self, port: int = 0) -> Address:
        """Start to listen, with a buffer that holds a small part of an upload."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((self._host, port))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        return Address(*listener.getsockname()[:2])

    async def _read(
        self, reader: asyncio.StreamReader, parser: h11.Connection
    ) -> ReceivedRequest | None:
        """Return the next request as soon as its head is complete, without its body."""
        while (event := parser.next_event()) is h11.NEED_DATA:
            data = await reader.read(4096)
            if not data:
                return None
            parser.receive_data(data)
        if not isinstance(event, h11.Request):
            return None
        if event.method == b"GET":
            parser.next_event()
        headers = dict(event.headers)
        self.uploads[headers.get(self.names.request_id, b"")] = (reader, parser)
        return ReceivedRequest(event.method, event.target, headers, b"", self.names.request_id)

    async def read_upload(self, request: ReceivedRequest) -> None:
        """Read the body of a request to its end."""
        reader, parser = self.uploads[request.headers[request.id_header]]
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65536))

    def answer_when_read(self, body: bytes) -> Step:
        """Answer without a length once the whole request is read, and close the connection."""

        async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
            await self.read_upload(request)
            await unframed(body)(writer, request)

        return step


def answer_early(
    body: bytes, end: EarlyEnd, after_s: float = 0.0, fields: tuple[bytes, ...] = ()
) -> Step:
    """Answer with a body that has neither a length nor chunks, and end the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        request_id = request.id_header + b": " + request.headers.get(request.id_header, b"")
        head = b"\r\n".join((b"HTTP/1.1 200 OK", request_id, b"connection: close", *fields))
        writer.write(head + b"\r\n\r\n" + body)
        await writer.drain()
        await asyncio.sleep(after_s)
        await _END_OF[end](writer)
        raise ScriptedEndError("scripted end")

    return step


async def _close(writer: asyncio.StreamWriter) -> None:
    """Leave the end to the target, which closes after each step that fails."""


async def _half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()
    await asyncio.sleep(60.0)


async def _half_close_and_reset(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()
    await asyncio.sleep(HALF_CLOSED_S)
    reset(writer.transport)


async def _reset(writer: asyncio.StreamWriter) -> None:
    reset(writer.transport)


_END_OF = {
    EarlyEnd.CLOSE: _close,
    EarlyEnd.HALF_CLOSE: _half_close,
    EarlyEnd.HALF_CLOSE_AND_RESET: _half_close_and_reset,
    EarlyEnd.RESET: _reset,
}
