"""Keep large request bodies within this router's share of what each target may be sent."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger

from damaskwind.decisions.held_bytes.target_shares import TargetShares
from damaskwind.runtime.tallies import Tallies

__all__ = ["TargetBodies"]

# A body waits at most this long for its target: a longer wait leaves too little of an objective.
MAX_WAIT_S = 0.5


class TargetBodies:
    """The bodies of one router in hand at targets; `routers` returns the number of routers."""

    def __init__(self, routers: Callable[[], int], tallies: Tallies) -> None:
        self._shares = TargetShares()
        self._routers = routers
        self._tallies = tallies
        self._freed: set[asyncio.Future[None]] = set()

    def max_in_hand_bytes(self) -> int:
        """Return the bytes at the target that has most."""
        return self._shares.max_in_hand_bytes()

    def may_send(self, target_id: str, size_bytes: int) -> bool:
        """Return whether a body may be sent to a target now."""
        return self._shares.may_send(target_id, size_bytes, self._routers())

    async def wait(self, target_id: str, size_bytes: int, request: str) -> bool:
        """Wait until a body may be sent to a target; return `False` if that takes too long."""
        if self.may_send(target_id, size_bytes):
            return True
        logger.info(
            "body waits for its target",
            request=request,
            target=target_id,
            size_bytes=size_bytes,
            routers=self._routers(),
        )
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                while not self.may_send(target_id, size_bytes):
                    await self._wait_for_end()
        except TimeoutError:
            self._tallies.count("target_bodies", step="waited in vain")
            return False
        self._tallies.count("target_bodies", step="waited")
        return True

    @contextmanager
    def sending(self, target_id: str, size_bytes: int) -> Iterator[None]:
        """Count a body as in hand at a target while an attempt is made there."""
        self._shares.record_sent(target_id, size_bytes)
        try:
            yield
        finally:
            self._shares.record_ended(target_id, size_bytes)
            for freed in self._freed:
                if not freed.done():
                    freed.set_result(None)

    async def _wait_for_end(self) -> None:
        """Wait until any body is no longer in hand."""
        freed = asyncio.get_running_loop().create_future()
        self._freed.add(freed)
        try:
            await freed
        finally:
            self._freed.discard(freed)
