"""A target that requests pauses by Retry-After, or announces in its answers that it leaves.

target = SignalingTarget(names)
address = await target.start()
target.request_pause(b"3", duration_s=6.0)
"""

import asyncio
from typing import NamedTuple

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import ReceivedRequest, ScriptedTarget, plain, stream

__all__ = ["RequestedPause", "SignalingTarget"]

_STREAM_EVENTS = 3


class RequestedPause(NamedTuple):
    """A requested pause: the time of the answer and the end of the pause (monotonic seconds)."""

    at_s: float
    until_s: float


class SignalingTarget(ScriptedTarget):
    """Answer after `work_s`; while a pause is requested, reject every request at once.

    `arrivals_s` are the times of all requests, `pauses` the requested pauses and
    `leaving_answers_s` the times of answers with the leaving header. With `sends_not_run`
    a rejection states that the request has not run.
    """

    def __init__(self, names: HeaderNames, work_s: float = 0.02) -> None:
        super().__init__(names, default=self._answer)
        self.arrivals_s: list[float] = []
        self.pauses: list[RequestedPause] = []
        self.leaving_answers_s: list[float] = []
        self.is_leaving = False
        self.sends_not_run = True
        self.address: Address | None = None
        self._work_s = work_s
        self._retry_after = b""
        self._pause_until_s = float("-inf")

    async def start(self, port: int = 0) -> Address:
        """Start to listen and return the address."""
        self.address = await super().start(port)
        return self.address

    def request_pause(self, retry_after: bytes, duration_s: float) -> None:
        """Reject every request for `duration_s`, each with this Retry-After."""
        self._retry_after = retry_after
        self._pause_until_s = read_clock() + duration_s

    def max_arrivals_in_pause(self, in_flight_s: float) -> int:
        """Return the most arrivals in one pause, not counting its first `in_flight_s` seconds."""
        counts = (
            sum(pause.at_s + in_flight_s < at_s < pause.until_s for at_s in self.arrivals_s)
            for pause in self.pauses
        )
        return max(counts, default=0)

    async def _answer(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        self.arrivals_s.append(read_clock())
        if read_clock() < self._pause_until_s:
            await self._reject(writer, request)
            return
        await asyncio.sleep(self._work_s)
        fields = ()
        if self.is_leaving:
            fields = (self.names.leaving + b": 1",)
            self.leaving_answers_s.append(read_clock())
        if self.names.prompt_parts in request.headers:
            await stream(1, _STREAM_EVENTS, fields=fields)(writer, request)
        else:
            await plain(fields=fields)(writer, request)

    async def _reject(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        fields = [b"retry-after: " + self._retry_after]
        if self.sends_not_run:
            fields.append(self.names.not_run + b": 1")
        now_s = read_clock()
        self.pauses.append(RequestedPause(now_s, now_s + float(self._retry_after)))
        await plain(503, b"", tuple(fields))(writer, request)
