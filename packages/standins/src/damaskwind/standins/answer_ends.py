"""How a target frames its answers, and which of them it breaks off, drawn by set shares.

An answer without a length and without chunks ends with its connection (RFC 9112, section 6.3),
so that an orderly end says little: a target may break off such an answer and close as usual.
"""

import asyncio
from collections.abc import Iterable
from enum import StrEnum
from random import Random
from typing import NamedTuple

from damaskwind.standins.scripted_target import ScriptedEndError, chunk

__all__ = ["AnswerEnd", "AnswerEnds", "labeled_event", "labels", "write_body", "write_events"]

# How long the first part of a broken body stays alone, so that it is sent before the reset.
PART_PAUSE_S = 0.01


class AnswerEnd(StrEnum):
    """How one answer is framed and ends; a broken one is unframed and not whole."""

    FRAMED = "framed"
    UNFRAMED = "unframed"
    BROKEN = "broken"


class AnswerEnds(NamedTuple):
    """The share of answers that are unframed, and of these the share that is broken off."""

    unframed_share: float = 0.0
    broken_share: float = 0.0

    def draw(self, random: Random) -> AnswerEnd:
        """Draw the end of an answer; nothing is drawn while all are framed.

        >>> AnswerEnds(unframed_share=1.0).draw(Random(1))
        <AnswerEnd.UNFRAMED: 'unframed'>
        """
        if not self.unframed_share or random.random() >= self.unframed_share:
            return AnswerEnd.FRAMED
        return AnswerEnd.BROKEN if random.random() < self.broken_share else AnswerEnd.UNFRAMED


def labeled_event(number: int, version: str, run: str) -> bytes:
    """Return an event that names the software version and the run that made it.

    >>> labeled_event(2, "v1.1", "i-0-1/7")
    b'id: 2\\ndata: v1.1 i-0-1/7\\n\\n'
    """
    return f"id: {number}\ndata: {version} {run}\n\n".encode()


def labels(event: bytes) -> tuple[int, str, str]:
    """Return the number, the version and the run of an event without its last empty line.

    >>> labels(b"id: 2\\ndata: v1.1 i-0-1/7")
    (2, 'v1.1', 'i-0-1/7')
    """
    number, version, run = event.removeprefix(b"id: ").replace(b"\ndata:", b"").split(b" ")
    return int(number), version.decode(), run.decode()


async def write_events(
    writer: asyncio.StreamWriter,
    events: Iterable[bytes],
    end: AnswerEnd,
    random: Random,
    pause_s: float = 0.0,
) -> None:
    """Write the events of a stream after its head, and end it.

    A broken one ends at a random byte inside a random event. An answer that is not framed raises
    `ScriptedEndError`, which makes a `ScriptedTarget` close the connection in an orderly way.
    """
    events = list(events) if end is AnswerEnd.BROKEN else events
    break_at = random.randrange(len(events)) if end is AnswerEnd.BROKEN and events else None
    for index, data in enumerate(events):
        if index == break_at:
            writer.write(data[: random.randrange(1, len(data))])
            break
        writer.write(chunk(data) if end is AnswerEnd.FRAMED else data)
        await writer.drain()
        await asyncio.sleep(pause_s)
    if end is AnswerEnd.FRAMED:
        writer.write(b"0\r\n\r\n")
        return
    await writer.drain()
    raise ScriptedEndError("end of an unframed stream")


async def write_body(
    writer: asyncio.StreamWriter, head: bytes, body: bytes, end: AnswerEnd, random: Random
) -> None:
    """Write a head and a plain body; one that is not framed raises `ScriptedEndError`.

    A broken one stops at a random byte. The end of a connection can't show that a plain body is
    not whole, so the caller has to reset the connection.
    """
    size = random.randrange(len(body)) if end is AnswerEnd.BROKEN else len(body)
    writer.write(head + body[:size])
    if end is AnswerEnd.FRAMED:
        return
    await writer.drain()
    if end is AnswerEnd.BROKEN:
        await asyncio.sleep(PART_PAUSE_S)
    raise ScriptedEndError("end of an unframed body")
