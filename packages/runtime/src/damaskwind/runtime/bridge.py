"""Convert between Twisted's Deferreds and asyncio's awaitables."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

from twisted.internet.defer import Deferred

__all__ = ["asyncio_test", "to_deferred", "to_future"]


def to_deferred(coroutine: Coroutine[Any, Any, Any]) -> Deferred:
    """Run an asyncio coroutine as a task and return a Deferred for its result."""
    return Deferred.fromFuture(asyncio.ensure_future(coroutine))


def to_future(deferred: Deferred) -> asyncio.Future:
    """Return an asyncio future for a Deferred's result."""
    return deferred.asFuture(asyncio.get_event_loop())


def asyncio_test(method: Callable[..., Coroutine[Any, Any, Any]]) -> Callable[..., Deferred]:
    """Let a trial test be an asyncio coroutine.

    Trial runs an `async def` test as a Deferred coroutine, in which asyncio
    futures can't be awaited; this decorator runs it as an asyncio task.
    """

    @wraps(method)
    def run(*arguments: Any, **options: Any) -> Deferred:
        return to_deferred(method(*arguments, **options))

    return run
