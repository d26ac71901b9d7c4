"""Write log lines to a descriptor without ever blocking on its reader.

Lines are buffered in memory and flushed several times a second. The buffer is
bounded: if the reader doesn't keep up, further lines are dropped and counted, and
the count is the first line written once there is space again.
"""

import asyncio
import os
from typing import Any

import msgspec
from loguru import logger

__all__ = ["BoundedWriter", "log_to_stdout"]

# Fits a burst of about 2,000 lines; if the reader is further behind, lines are dropped.
BUFFER_LIMIT_BYTES = 512 * 1024
# If the process is killed, at most the lines of this interval are lost.
FLUSH_INTERVAL_S = 0.05
STDOUT = 1


class BoundedWriter:
    """A non-blocking writer with a bounded buffer of lines."""

    def __init__(self, descriptor: int, limit_bytes: int = BUFFER_LIMIT_BYTES) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        if len(self._buffer) + len(line) > self._limit_bytes:
            self.dropped_lines += 1
        else:
            if self.dropped_lines:
                self._buffer += b'{"event":"log lines dropped","count":%d}\n' % self.dropped_lines
                self.dropped_lines = 0
            self._buffer += line
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        self._timer = None
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _schedule_flush(self) -> None:
        """Schedule a flush; without a running loop, write at once."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            try:
                loop = asyncio.get_event_loop_policy().get_event_loop()
            except RuntimeError:
                loop = None
        if loop is None or not loop.is_running():
            self._flush_now()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def _flush_now(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            return
        del self._buffer[:written]


def log_to_stdout(level: str, node_id: str) -> BoundedWriter:
    """Send all logs to standard output as JSON lines, without blocking.

    Every line carries the wall clock's time and the node; the fields are the
    keyword arguments of the call.
    """
    writer = BoundedWriter(STDOUT)

    def sink(message: Any) -> None:
        record = message.record
        line: dict[str, Any] = {
            "time_s": round(record["time"].timestamp(), 3),
            "level": record["level"].name.lower(),
            "node": node_id,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")

    logger.remove()
    logger.add(sink, level=level, format="{message}", backtrace=False, catch=True)
    return writer
