"""A target that asks for rest, or says in its answers that it leaves.

target = AskingTarget(names)
address = await target.start()
target.ask_for_rest(b"3", spell_s=6.0)
"""

import asyncio
from typing import NamedTuple

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import ReceivedRequest, ScriptedTarget, plain, stream

__all__ = ["Asked", "AskingTarget"]

_STREAM_EVENTS = 3


class Asked(NamedTuple):
    """A wish for rest: when it was said, and until when it holds (monotonic seconds)."""

    at_s: float
    until_s: float


class AskingTarget(ScriptedTarget):
    """Answer after `work_s`; while it asks for rest, turn everybody away at once.

    `arrived_s` are the times of all requests, `asked` the wishes for rest, `said_leaving_s`
    the times of answers that said that it leaves. With `says_not_run` a request that is turned
    away has certainly not run.
    """

    def __init__(self, names: HeaderNames, work_s: float = 0.02) -> None:
        super().__init__(names, default=self._answer)
        self.arrived_s: list[float] = []
        self.asked: list[Asked] = []
        self.said_leaving_s: list[float] = []
        self.is_leaving = False
        self.says_not_run = True
        self.address: Address | None = None
        self._work_s = work_s
        self._retry_after = b""
        self._asks_until_s = float("-inf")

    async def start(self, port: int = 0) -> Address:
        """Open the socket and return its address."""
        self.address = await super().start(port)
        return self.address

    def ask_for_rest(self, retry_after: bytes, spell_s: float) -> None:
        """Turn everybody away for a spell, each time with this Retry-After."""
        self._retry_after = retry_after
        self._asks_until_s = read_clock() + spell_s

    def most_in_rest(self, on_its_way_s: float) -> int:
        """Return the most arrivals in one rest, but for its first `on_its_way_s` seconds."""
        counts = (
            sum(asked.at_s + on_its_way_s < at_s < asked.until_s for at_s in self.arrived_s)
            for asked in self.asked
        )
        return max(counts, default=0)

    async def _answer(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        self.arrived_s.append(read_clock())
        if read_clock() < self._asks_until_s:
            await self._turn_away(writer, request)
            return
        await asyncio.sleep(self._work_s)
        fields = ()
        if self.is_leaving:
            fields = (self.names.leaving + b": 1",)
            self.said_leaving_s.append(read_clock())
        if self.names.prompt_parts in request.headers:
            await stream(1, _STREAM_EVENTS, fields=fields)(writer, request)
        else:
            await plain(fields=fields)(writer, request)

    async def _turn_away(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        fields = [b"retry-after: " + self._retry_after]
        if self.says_not_run:
            fields.append(self.names.not_run + b": 1")
        now_s = read_clock()
        self.asked.append(Asked(now_s, now_s + float(self._retry_after)))
        await plain(503, b"", tuple(fields))(writer, request)
