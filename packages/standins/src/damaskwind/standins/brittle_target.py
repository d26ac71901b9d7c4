"""A target with few slots that may fall over when it has to refuse requests for lack of room.

Some seconds after it has begun to say that it is brittle, it lets fewer requests wait, and more
than a few refusals in a second make it reset its connections and stop listening for a while.
"""

import asyncio
from collections import deque

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import ReceivedRequest, ScriptedTarget, plain

__all__ = ["BrittleTarget"]

FALLEN_S = 3.0


class BrittleTarget(ScriptedTarget):
    """Run up to `slots` requests at once, each for `work_s`, and let `places` more wait.

    `falls` counts how often it fell over, `runs` the requests that it ran to their end, and
    `refusals_s` are the times of its refusals.
    """

    def __init__(
        self, names: HeaderNames, slots: int = 2, places: int = 2, work_s: float = 0.1
    ) -> None:
        super().__init__(names, default=self._answer)
        self._refusals_per_s: int | None = None
        self._brittle_from_s = float("inf")
        self._brittle_places = places
        self.slots = slots
        self.falls = 0
        self.refusals_s: list[float] = []
        self.runs = 0
        self._places = places
        self._work_s = work_s
        self._held = 0
        self._running = asyncio.Semaphore(slots)
        self._refused_s: deque[float] = deque()
        self._address: Address | None = None
        self._rising: asyncio.Task | None = None

    async def start(self, port: int = 0) -> Address:
        """Start to listen and return the address."""
        self._address = await super().start(port)
        return self._address

    async def stop(self) -> None:
        """Stop for good."""
        if self._rising is not None:
            self._rising.cancel()
            await asyncio.gather(self._rising, return_exceptions=True)
        await super().stop()

    def become_brittle(self, refusals_per_s: int, after_s: float, places: int) -> None:
        """Say that it is brittle from now on, and be so after a while, with fewer places."""
        self._refusals_per_s = refusals_per_s
        self._brittle_from_s = read_clock() + after_s
        self._brittle_places = places

    @property
    def is_up(self) -> bool:
        """Return whether the target listens."""
        return self._rising is None

    async def _answer(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        is_brittle = read_clock() >= self._brittle_from_s
        places = self._brittle_places if is_brittle else self._places
        if self._held >= self.slots + places:
            await self._refuse(writer, request)
            return
        self._held += 1
        try:
            async with self._running:
                await asyncio.sleep(self._work_s)
            self.runs += 1
        finally:
            self._held -= 1
        await plain(fields=self._fields())(writer, request)

    def _fields(self) -> tuple[bytes, ...]:
        if self._refusals_per_s is None:
            return ()
        return (self.names.brittle + b": %d" % self._refusals_per_s,)

    async def _refuse(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        now_s = read_clock()
        self.refusals_s.append(now_s)
        self._refused_s.append(now_s)
        while self._refused_s[0] <= now_s - 1.0:
            self._refused_s.popleft()
        is_brittle = now_s >= self._brittle_from_s
        if is_brittle and len(self._refused_s) > self._refusals_per_s:
            self._fall()
            return
        await plain(503, fields=(self.names.not_run + b": 1", *self._fields()))(writer, request)

    def _fall(self) -> None:
        """End as a process does that crashes, and start again after `FALLEN_S`."""
        self.falls += 1
        self._refused_s.clear()
        self._rising = asyncio.ensure_future(self._rise())

    async def _rise(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(FALLEN_S)
        self._running, self._held = asyncio.Semaphore(self.slots), 0
        await super().start(self._address.port)
        self._rising = None
