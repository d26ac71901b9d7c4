"""The subscribers of one replica whose requests wait for updates, and when they are woken.

A change wakes only those that get it from this replica, and many of them are woken together: each
that is woken takes an answer.
"""

import asyncio
from collections.abc import Iterable

__all__ = ["NewsWaiters"]

# Changes are batched for this long for each subscriber that they wake: an answer takes about a
# millisecond of a processor, of which a replica may have a quarter.
BATCH_PER_WAITER_S = 0.001


class NewsWaiters:
    """The waiting requests: those that get changes from this replica first, the others, and
    the calls that wait until other replicas have a change.
    """

    def __init__(self) -> None:
        self._first: set[asyncio.Future] = set()
        self._others: set[asyncio.Future] = set()
        self._replication: set[asyncio.Future] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_all = False

    async def wait(self, limit_s: float, is_first: bool) -> None:
        """Wait until this subscriber is woken, or for `limit_s`."""
        await _wait_in(self._first if is_first else self._others, limit_s)

    async def wait_for_replication(self, limit_s: float) -> bool:
        """Wait until another replica has made a request; return `False` if the limit expires."""
        return await _wait_in(self._replication, limit_s)

    def wake_all(self) -> None:
        """Wake all subscribers now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._wakes_all = False
        _resolve(self._first, self._others)

    def wake_replication(self) -> None:
        """Wake the calls that wait for replication."""
        _resolve(self._replication)

    def wake_later(self, least_s: float, wakes_all: bool) -> None:
        """Wake subscribers after `least_s`, or later if they are many.

        Only those that get changes from this replica first are woken, unless it `wakes_all`.
        """
        self._wakes_all |= wakes_all
        if self._timer is None and (self._first or self._others):
            waiting = len(self._first) + (len(self._others) if wakes_all else 0)
            delay_s = max(least_s, BATCH_PER_WAITER_S * waiting)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._wake)

    def _wake(self) -> None:
        """Wake the subscribers at the end of a batch."""
        self._timer = None
        wakes_all, self._wakes_all = self._wakes_all, False
        _resolve(self._first, *([self._others] if wakes_all else []))


async def _wait_in(waiters: set[asyncio.Future], limit_s: float) -> bool:
    """Wait until the waiters are resolved; return `False` if the limit expires first."""
    if limit_s <= 0:
        # The caller may check again at once, and must not keep the event loop from others.
        await asyncio.sleep(0)
        return False
    waiter = asyncio.get_running_loop().create_future()
    waiters.add(waiter)
    try:
        async with asyncio.timeout(limit_s):
            await waiter
    except TimeoutError:
        return False
    finally:
        waiters.discard(waiter)
    return True


def _resolve(*groups: Iterable[asyncio.Future]) -> None:
    """Resolve all futures of these groups, and empty the groups."""
    for group in groups:
        waiters = list(group)
        group.clear()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
