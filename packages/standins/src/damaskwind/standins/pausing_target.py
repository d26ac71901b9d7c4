"""A target that stands still for a while and then goes on, like a process that is suspended.

Its kernel goes on: connections are accepted and bytes acknowledged, while nothing is read
or written. Streams are sent event by event, and go on after the event that a request names.
"""

import asyncio

from damaskwind.model.header_names import HeaderNames
from damaskwind.standins.scripted_target import (
    ReceivedRequest,
    ScriptedTarget,
    chunk,
    event,
    load_field,
    plain,
)

__all__ = ["STREAM_PATH", "PausingTarget"]

# Requests below this path are answered with a stream, all others with a plain answer.
STREAM_PATH = b"/stream/"


class PausingTarget(ScriptedTarget):
    """A target whose streams bring `events` events, `gap_s` seconds apart.

    Plain answers take `work_s` seconds. The target reports its load by `slots`.
    """

    def __init__(
        self,
        names: HeaderNames,
        events: int = 20,
        gap_s: float = 0.05,
        work_s: float = 0.03,
        slots: int = 64,
    ) -> None:
        super().__init__(names, default=self._answer)
        self._events = events
        self._gap_s = gap_s
        self._work_s = work_s
        self._slots = slots
        self._runs = asyncio.Event()
        self._runs.set()

    @property
    def is_paused(self) -> bool:
        """Tell whether the target stands still."""
        return not self._runs.is_set()

    def pause(self) -> None:
        """Stand still until `resume` is called."""
        self._runs.clear()

    def resume(self) -> None:
        """Go on where the target stood still."""
        self._runs.set()

    async def _work(self, for_s: float) -> None:
        """Work for some seconds, and until the target runs."""
        await asyncio.sleep(for_s)
        await self._runs.wait()

    def _load(self) -> bytes:
        return load_field(self.names, self.in_progress(), 0, self._slots)

    async def _answer(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        await self._runs.wait()
        if request.target.startswith(STREAM_PATH):
            await self._stream(writer, request)
            return
        await self._work(self._work_s)
        await plain(fields=(self._load(),))(writer, request)

    async def _stream(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        """Send the events after the one that the request names, then the end of the stream."""
        first = int(request.headers.get(self.names.resume_after, b"0")) + 1
        fields = (
            b"HTTP/1.1 200 OK",
            request.id_header + b": " + request.headers.get(request.id_header, b""),
            b"content-type: text/event-stream",
            b"transfer-encoding: chunked",
            self._load(),
        )
        writer.write(b"\r\n".join(fields) + b"\r\n\r\n")
        for number in range(first, self._events + 1):
            await self._work(self._gap_s)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
