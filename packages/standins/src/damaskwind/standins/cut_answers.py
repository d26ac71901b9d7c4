"""Answers that their target breaks off after any byte, as heads and first bytes of bodies.

Each answer carries the id of its request, so that a router that reads it whole believes it.
"""

import asyncio
import socket
import struct
from enum import StrEnum
from typing import NamedTuple

from damaskwind.standins.scripted_target import ReceivedRequest, ScriptedEndError, Step, chunk

__all__ = ["CutEnd", "FramedAnswer", "cut_after", "framed_answers", "in_packets"]

# What was sent before a reset has left by then: a reset drops what is still to be read.
BEFORE_RESET_S = 0.002
# With a linger time of zero the kernel ends a connection with a reset.
_NO_LINGER = struct.pack("ii", 1, 0)


class CutEnd(StrEnum):
    """How a target ends the connection of an answer that it breaks off."""

    CLOSE = "close"
    RESET = "reset"


class FramedAnswer(NamedTuple):
    """An answer by the name of its frame; `head_bytes` is the size of its last head."""

    name: str
    data: bytes
    head_bytes: int


def _answer(name: str, head: bytes, body: bytes) -> FramedAnswer:
    """Return an answer whose head ends with an empty line."""
    return FramedAnswer(name, head + body, len(head))


def framed_answers(id_field: bytes, body: bytes, status: bytes = b"200 OK") -> list[FramedAnswer]:
    """Return one answer for each way to frame a body, all of them sound if they are whole.

    `id_field` is the header field with the id of the request, without the end of its line.
    """
    line = b"HTTP/1.1 " + status + b"\r\n"
    length = b"content-length: %d\r\n" % len(body)
    own = id_field + b"\r\n"
    chunks = chunk(body) + b"0\r\n\r\n"
    chunked = b"transfer-encoding: chunked\r\n"
    return [
        _answer("length last", line + own + length + b"\r\n", body),
        _answer("length first", line + length + own + b"\r\n", body),
        _answer("chunks", line + own + chunked + b"\r\n", chunks),
        _answer("chunks first", line + chunked + own + b"\r\n", chunks),
        _answer("bare line feeds", (line + own + length + b"\n").replace(b"\r", b""), body),
        _answer("behind a 100", b"HTTP/1.1 100 x\r\n\r\n" + line + own + length + b"\r\n", body),
        _answer("folded", line + b"x-a: b\r\n c\r\n" + own + length + b"\r\n", body),
        _answer("HTTP/1.0", line.replace(b"1.1", b"1.0") + own + length + b"\r\n", body),
        _answer("the same length twice", line + own + length * 2 + b"\r\n", body),
        _answer("chunks and a length", line + length + own + chunked + b"\r\n", chunks),
    ]


def in_packets(data: bytes, gap_s: float = 0.0) -> Step:
    """Write each byte as a packet of its own and keep the connection."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        writer.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        for place in range(len(data)):
            writer.write(data[place : place + 1])
            await writer.drain()
            await asyncio.sleep(gap_s)

    return step


def cut_after(data: bytes, end: CutEnd, pause_s: float = 0.0, is_split: bool = False) -> Step:
    """Write `data`, pause, and end the connection; with `is_split` each byte is a packet."""

    async def step(writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        if is_split:
            await in_packets(data)(writer, request)
        else:
            writer.write(data)
            await writer.drain()
        await asyncio.sleep(pause_s)
        if end is CutEnd.CLOSE:
            raise ScriptedEndError("scripted end")
        await asyncio.sleep(BEFORE_RESET_S)
        handle = writer.transport.get_extra_info("socket")
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()

    return step
