"""Let tasks wait until a condition on a replica holds."""

import asyncio
from collections.abc import Callable

__all__ = ["ConditionWaiters"]


class ConditionWaiters:
    """Waiting tasks, each with its condition; `wake` checks all conditions."""

    def __init__(self) -> None:
        self._waiters: list[tuple[Callable[[], bool], asyncio.Future]] = []

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it did within the timeout."""
        if condition():
            return True
        waiter = asyncio.get_running_loop().create_future()
        pair = (condition, waiter)
        self._waiters.append(pair)
        try:
            await asyncio.wait_for(waiter, max(timeout_s, 0.0))
        except TimeoutError:
            return condition()
        finally:
            if pair in self._waiters:
                self._waiters.remove(pair)
        return True

    def wake(self) -> None:
        """Resume every task whose condition holds now."""
        for pair in list(self._waiters):
            condition, waiter = pair
            if condition():
                self._waiters.remove(pair)
                if not waiter.done():
                    waiter.set_result(None)
