"""A TCP link that loses packets, in front of a target whose process may end.

What is lost comes when TCP sends it again, and what is behind it on the same connection waits for
it, also the connection's end.
"""

import asyncio
from enum import StrEnum
from random import Random

from damaskwind.model.targets import Address

__all__ = ["AfterEnd", "LossyLink"]

READ_BYTES = 65_536


class AfterEnd(StrEnum):
    """What a link does with new connections once the target's process has ended."""

    REFUSES = "refuses"
    RESETS = "resets"
    IS_SILENT = "is silent"


class LossyLink:
    """Forward connections to `target`; `loss_share` of the pieces that it sends come late.

    They come `resend_s` later. After `end` the link treats new connections as `after_end` says.
    """

    def __init__(self, random: Random, resend_s: float, after_end: AfterEnd) -> None:
        self.loss_share = 0.0
        self._random = random
        self._resend_s = resend_s
        self._after_end = after_end
        self._has_ended = False
        self._target: Address | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, target: Address) -> Address:
        """Start to listen and return the address."""
        self._target = target
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    def end(self) -> None:
        """Accept nothing more for the target, whose process ends."""
        self._has_ended = True
        if self._after_end is AfterEnd.REFUSES:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            if self._has_ended:
                await self._refuse()
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Only `stop` cancels; asyncio's callback would log what propagates.
            writer.transport.abort()

    async def _refuse(self) -> None:
        """Reset a new connection, or keep it open for good."""
        if self._after_end is AfterEnd.IS_SILENT:
            await asyncio.Event().wait()
        raise ConnectionResetError("the target's process has ended")

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward both directions until the target's end of the connection has come through."""
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        to_target = asyncio.ensure_future(self._forward(reader, target_writer, is_lossy=False))
        try:
            await self._forward(target_reader, writer, is_lossy=True)
        finally:
            to_target.cancel()
            await asyncio.gather(to_target, return_exceptions=True)
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_lossy: bool
    ) -> None:
        """Forward the pieces of one direction and its end, in their order."""
        data = b"-"
        while data:
            data = await reader.read(READ_BYTES)
            if is_lossy and self._random.random() < self.loss_share:
                await asyncio.sleep(self._resend_s)
            writer.write(data)
        writer.close()
