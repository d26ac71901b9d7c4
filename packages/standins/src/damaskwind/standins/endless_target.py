"""A target that sends bytes without end which are no answer, until its caller closes.

Each `EndlessPart` is a part of an answer that may be sent for ever: a line or the fields of its
head, informational answers before it, a chunk's size, a body, an event, or the empty lines
after one. `send_endless` is a step for any `ScriptedTarget`; an `EndlessTarget` answers some of
its requests that way and the others as a `PausingTarget` does.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from damaskwind.model.header_names import HeaderNames
from damaskwind.standins.pausing_target import PausingTarget
from damaskwind.standins.scripted_target import ReceivedRequest, Step, chunk, event

__all__ = ["EndlessPart", "EndlessTarget", "send_endless"]

# How much is sent at once; small enough that other tasks of the process run in between.
PIECE_BYTES = 16_384
# The smallest piece at a low rate.
_FILLING_BYTES = 512


class EndlessPart(StrEnum):
    """The part of an answer that has no end."""

    STATUS_LINE = "status line"
    FIELD_LINE = "field line"
    FIELDS = "fields"
    CONTINUE = "100 Continue"
    EARLY_HINTS = "103 Early Hints"
    CHUNK_SIZE = "chunk size"
    SMALL_CHUNKS = "small chunks"
    UNFRAMED_BODY = "body without a length"
    CHUNKED_BODY = "body in chunks"
    EVENT = "event"
    UNFRAMED_EVENT = "event without a frame"
    SMALL_EVENTS = "small events"
    EMPTY_LINES = "empty lines"
    AFTER_ANSWER = "bytes after the answer"


class _Script(NamedTuple):
    """What is sent once, for a request, and what is then repeated."""

    begin: Callable[[ReceivedRequest], bytes]
    repeated: bytes


def _head(*fields: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that returns the head of an answer, with the request's id."""

    def begin(request: ReceivedRequest) -> bytes:
        request_id = request.id_header + b": " + request.headers.get(request.id_header, b"")
        return b"\r\n".join([b"HTTP/1.1 200 OK", request_id, *fields]) + b"\r\n\r\n"

    return begin


def _once(data: bytes) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: data


def _stream(data: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that returns the start of a stream in chunks."""
    head = _head(_EVENTS, _CHUNKED)
    return lambda request: head(request) + chunk(data)


_CHUNKED = b"transfer-encoding: chunked"
_EVENTS = b"content-type: text/event-stream"
_FILLING = b"x" * _FILLING_BYTES
_SCRIPTS = {
    EndlessPart.STATUS_LINE: _Script(_once(b"HTTP/1.1 200 "), _FILLING),
    EndlessPart.FIELD_LINE: _Script(_once(b"HTTP/1.1 200 OK\r\nx-long: "), _FILLING),
    EndlessPart.FIELDS: _Script(_once(b"HTTP/1.1 200 OK\r\n"), b"x-more: y\r\n"),
    EndlessPart.CONTINUE: _Script(_once(b""), b"HTTP/1.1 100 Continue\r\n\r\n"),
    EndlessPart.EARLY_HINTS: _Script(_once(b""), b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    EndlessPart.CHUNK_SIZE: _Script(_head(_CHUNKED), b"0" * _FILLING_BYTES),
    EndlessPart.SMALL_CHUNKS: _Script(_head(_CHUNKED), b"2\r\nxy\r\n"),
    EndlessPart.UNFRAMED_BODY: _Script(_head(), _FILLING),
    EndlessPart.CHUNKED_BODY: _Script(_head(_CHUNKED), chunk(_FILLING)),
    EndlessPart.EVENT: _Script(_stream(event(1) + b"id: 2\ndata: "), chunk(_FILLING)),
    EndlessPart.UNFRAMED_EVENT: _Script(_head(_EVENTS), _FILLING),
    EndlessPart.SMALL_EVENTS: _Script(_head(_EVENTS), b":\n\n"),
    EndlessPart.EMPTY_LINES: _Script(_stream(event(1)), chunk(b"\n" * _FILLING_BYTES)),
    EndlessPart.AFTER_ANSWER: _Script(_head(b"content-length: 0"), _FILLING),
}


def send_endless(
    part: EndlessPart,
    bytes_per_s: float | None = None,
    on_sent: Callable[[int], None] | None = None,
) -> Step:
    """Send one part of an answer without end, as fast as it is read unless a rate is given.

    `on_sent` is called with the bytes of each write. A rate is kept with small pieces, of at
    least one repetition each.
    """
    script = _SCRIPTS[part]
    size_bytes = PIECE_BYTES if bytes_per_s is None else min(PIECE_BYTES, bytes_per_s / 20)
    repetitions = max(1, int(size_bytes) // len(script.repeated))
    piece = script.repeated * repetitions
    pause_s = 0.0 if bytes_per_s is None else len(piece) / bytes_per_s

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.write(script.begin(request))
        # A connection that was reset is noticed by the next `drain`.
        while True:
            writer.write(piece)
            await writer.drain()
            if on_sent is not None:
                on_sent(len(piece))
            await asyncio.sleep(pause_s)

    return step


class EndlessTarget(PausingTarget):
    """A target that sends without end in answer to some of its requests.

    It does so for one of `every` requests, with `parts` in turn, at `bytes_per_s`, or as fast as
    it is read. `parts` may be changed at any time; without any, all requests are answered.
    `sent_bytes` counts what was sent without end, `endless` is the number of such answers.
    """

    def __init__(
        self,
        names: HeaderNames,
        parts: tuple[EndlessPart, ...] = tuple(EndlessPart),
        every: int = 4,
        bytes_per_s: float | None = None,
    ) -> None:
        super().__init__(names)
        self.parts = parts
        self.every = every
        self.sent_bytes = 0
        self.endless = 0
        self._bytes_per_s = bytes_per_s
        self._numbers = count(1)

    async def _answer(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        if not self.parts or next(self._numbers) % self.every:
            await super()._answer(writer, request)
            return
        part = self.parts[self.endless % len(self.parts)]
        self.endless += 1
        await send_endless(part, self._bytes_per_s, self._count_sent)(writer, request)

    def _count_sent(self, size_bytes: int) -> None:
        self.sent_bytes += size_bytes
