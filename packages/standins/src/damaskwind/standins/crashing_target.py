"""A target that crashes on certain requests and restarts as a new incarnation.

A fatal request crashes the target after a delay: all its connections are reset and
its port refuses connections. After another delay it listens again, under a new id.

    target = CrashingTarget(names, lambda request: b"poison" in request.body)
    await target.start()
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.scripted_target import ReceivedRequest, ScriptedTarget, plain

__all__ = ["Arrival", "CrashingTarget"]

# Closes with a reset instead of a FIN, as when a process dies with unread data.
RESET_LINGER = struct.pack("ii", 1, 0)

_TARGET_NUMBERS = count(1)


class Arrival(NamedTuple):
    """A received request: its time (monotonic seconds) and whether it is fatal."""

    at_s: float
    is_fatal: bool


class CrashingTarget(ScriptedTarget):
    """Answer after `work_s`, or crash `crash_delay_s` after a fatal request.

    `crashes_s` are the times of the crashes. `target_id` changes with each incarnation;
    health checks are answered with the one that runs.
    """

    def __init__(
        self,
        names: HeaderNames,
        is_fatal: Callable[[ReceivedRequest], bool],
        work_s: float = 0.2,
        crash_delay_s: float = 0.06,
        restart_delay_s: float = 2.0,
    ) -> None:
        super().__init__(names, default=self._run)
        self.arrivals: list[Arrival] = []
        self.crashes_s: list[float] = []
        self.is_running = False
        self.target_id = ""
        self.address: Address | None = None
        self._is_fatal = is_fatal
        self._work_s = work_s
        self._crash_delay_s = crash_delay_s
        self._restart_delay_s = restart_delay_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._crash_task: asyncio.Task | None = None

    async def start(self, port: int = 0) -> Address:
        """Start an incarnation; the address stays the same."""
        self.address = await super().start(self.address.port if self.address else port)
        self.target_id = f"i-{next(_TARGET_NUMBERS):06x}"
        self.named_id = self.target_id.encode()
        self.is_running = True
        return self.address

    async def stop(self) -> None:
        """Stop without a restart."""
        if self._crash_task is not None:
            self._crash_task.cancel()
            await asyncio.gather(self._crash_task, return_exceptions=True)
        await super().stop()

    async def _run(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        is_fatal = self._is_fatal(request)
        self.arrivals.append(Arrival(read_clock(), is_fatal))
        self._writers.add(writer)
        if is_fatal and self._crash_task is None:
            self._crash_task = asyncio.ensure_future(self._crash())
        await asyncio.sleep(self._work_s if not is_fatal else 60.0)
        await plain()(writer, request)

    async def _crash(self) -> None:
        """Crash with requests in progress, and restart."""
        await asyncio.sleep(self._crash_delay_s)
        self.is_running = False
        self.crashes_s.append(read_clock())
        self._server.close()
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()
        self._writers.clear()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(self._restart_delay_s)
        self._crash_task = None
        await self.start()
