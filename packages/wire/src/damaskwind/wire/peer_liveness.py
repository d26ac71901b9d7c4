"""Ask a process of the system whether it answers, while a longer call to it waits.

A stopped process keeps its connections open, since the kernel acknowledges their bytes, and a
call that waits in a queue looks the same from outside. A small call on another connection tells
them apart: a process that runs answers it at once, however long its queue is.
"""

import asyncio

from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer, Request

__all__ = ["ALIVE_PATH", "answer_alive", "is_answering"]

ALIVE_PATH = b"/alive"
ANSWER_LIMIT_BYTES = 4096


async def answer_alive(exchange: Exchange) -> None:
    """Answer the question whether this process runs."""
    exchange.respond(Answer(204, []))


async def is_answering(address: Address, limit_s: float) -> bool:
    """Return whether the process at an address answers a small call within `limit_s` seconds.

    Any status counts: a process of an earlier version, which doesn't know the path, answers 404.
    """
    deadline_s = read_clock() + limit_s
    try:
        connection = await connect(address, limit_s)
    except ConnectFailedError:
        return False
    request = Request(b"GET", ALIVE_PATH, [(b"host", b"damaskwind")])
    try:
        async with asyncio.timeout(max(deadline_s - read_clock(), 0.0)):
            await fetch(connection, request, ANSWER_LIMIT_BYTES)
    except (AnswerBrokenError, TimeoutError):
        return False
    finally:
        connection.abort()
    return True
