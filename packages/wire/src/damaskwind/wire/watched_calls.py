"""Notice that a call's peer stands still, long before the call's own time limit.

A call may wait for its turn at a sound peer, so its time limit is long. Whether the peer runs at
all is another question, which `wait_until_doubtful` asks beside the call. The caller then starts
the next call and leaves the first one open, since either may still deliver (RFC 8305, "Happy
Eyeballs", staggers connection attempts in this way).
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from damaskwind.runtime.clock import read_clock

__all__ = ["PROBE_LIMIT_S", "Doubt", "WatchedCall", "first_result", "wait_until_doubtful"]

# A peer that has sent nothing on the call's connection for this time is asked whether it runs.
# Most calls end sooner, so that the question is rare.
PROBE_AFTER_S = 0.2
# A process that runs answers within some ms, or later if its processor or link is busy: a document
# of 30 KB takes 0.08 s on a link of 3 Mbit/s.
PROBE_LIMIT_S = 0.3


class Doubt(StrEnum):
    """Why a call's peer is no longer relied upon alone."""

    SILENT = "silent"
    OVERDUE = "overdue"


class WatchedCall(NamedTuple):
    """A call to the process at `host`, and what tells whether that process runs.

    `start` makes the call. `is_answering` asks the process whether it runs. `heard_s` returns when
    the call's connection last received something, in monotonic seconds, `None` for never.
    """

    host: str
    start: Callable[[], Awaitable[Any]]
    is_answering: Callable[[], Awaitable[bool]]
    heard_s: Callable[[], float | None]


async def wait_until_doubtful(
    task: asyncio.Future, call: WatchedCall, overdue_s: float = float("inf")
) -> Doubt | None:
    """Wait for a started call; return early, with the reason, if its peer becomes doubtful.

    The peer is `SILENT` if it doesn't answer a question while the call waits. The call is
    `OVERDUE` after `overdue_s` seconds, whatever the peer answers.
    """
    begun_s = read_clock()
    while not task.done():
        left_s = begun_s + overdue_s - read_clock()
        if left_s <= 0:
            return Doubt.OVERDUE
        await asyncio.wait({task}, timeout=min(PROBE_AFTER_S, left_s))
        if task.done() or _was_heard(call, PROBE_AFTER_S):
            continue
        asked_s = read_clock()
        if await _is_silent(task, call) and not _was_heard(call, read_clock() - asked_s):
            return Doubt.SILENT
    return None


def _was_heard(call: WatchedCall, within_s: float) -> bool:
    """Return whether the call's connection carried something within the last `within_s`."""
    heard_s = call.heard_s()
    return heard_s is not None and heard_s > read_clock() - within_s


async def _is_silent(task: asyncio.Future, call: WatchedCall) -> bool:
    """Ask the peer whether it runs; return whether it gave no answer before the call ended."""
    question = asyncio.ensure_future(call.is_answering())
    try:
        await asyncio.wait({task, question}, return_when=asyncio.FIRST_COMPLETED)
        return not task.done() and not question.result()
    finally:
        question.cancel()
        await asyncio.gather(question, return_exceptions=True)


class _BegunCalls:
    """Calls in flight, of which the first to deliver is wanted."""

    def __init__(
        self, errors: tuple[type[Exception], ...], on_setback: Callable[[str, str], None]
    ) -> None:
        self.tasks: dict[asyncio.Future, str] = {}
        self.last_error: Exception | None = None
        self._errors = errors
        self._on_setback = on_setback

    async def wait(self, *others: asyncio.Future) -> asyncio.Future | None:
        """Wait until a call or one of `others` ends; return the call if it did not fail."""
        await asyncio.wait({*self.tasks, *others}, return_when=asyncio.FIRST_COMPLETED)
        for task in [task for task in self.tasks if task.done()]:
            error = task.exception()
            if not isinstance(error, self._errors):
                return task
            self.last_error = error
            self._on_setback(self.tasks.pop(task), repr(error))
        return None

    async def begin(self, call: WatchedCall) -> asyncio.Future | None:
        """Begin a call; return one that has a result, or `None` once this one is in doubt."""
        task = asyncio.ensure_future(call.start())
        self.tasks[task] = call.host
        watch = asyncio.ensure_future(wait_until_doubtful(task, call))
        try:
            while not watch.done():
                delivered = await self.wait(watch)
                if delivered is not None:
                    return delivered
        finally:
            watch.cancel()
        doubt = watch.result()
        if doubt is not None:
            self._on_setback(call.host, doubt)
        return None

    async def cancel(self) -> None:
        """Cancel the calls that are still in flight."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def first_result(
    calls: Iterable[WatchedCall],
    errors: tuple[type[Exception], ...],
    on_setback: Callable[[str, str], None],
) -> Any:
    """Return the first result of one or more calls, each begun once the one before is in doubt.

    A call that fails with one of `errors` is in doubt as well. `on_setback` is called with the host
    of each call in doubt, and the reason. If all calls fail, the last error is raised.
    """
    begun = _BegunCalls(errors, on_setback)
    try:
        for call in calls:
            delivered = await begun.begin(call)
            if delivered is not None:
                return delivered.result()
        while begun.tasks:
            delivered = await begun.wait()
            if delivered is not None:
                return delivered.result()
        raise begun.last_error
    finally:
        await begun.cancel()
