"""Measure the cost of one log line per request at a router: processor time and bytes.

`python -m benchmarks.log_price --lines 20000` writes lines like those that a router
writes at the end of a request, and prints the mean time and the size of a line.
"""

import os
import time

import defopt
from loguru import logger

from damaskwind.router.forwarding.call import AttemptNote
from damaskwind.runtime.bounded_log import log_to_stdout

__all__ = ["main"]

NOTE = AttemptNote(
    "i-6c3d9a01b2", 0, 3.2, 8.4, 0.12, "i-75190ab3c4", "delivered: whole", 1, 812, 61
)


def write_line(number: int) -> None:
    """Write the log line at the end of one request."""
    logger.info(
        "request ended",
        request=f"{number:016x}",
        outcome="delivered",
        why="stream complete",
        route="r-7b53afk",
        service="huvo11a",
        account="hule930",
        version=42,
        key="5c1e07a2",
        may_have_run=True,
        attempts=[list(NOTE)],
        events=58,
        bytes=3480,
        took_ms=814,
        left_ms=11_180,
    )


def main(*, lines: int = 20_000) -> None:
    """Print the cost of a line.

    :param lines: number of lines to write
    """
    stdout_copy = os.dup(1)
    sink = os.open(os.devnull, os.O_WRONLY)
    os.dup2(sink, 1)
    writer = log_to_stdout("INFO", "bench")
    started_s = time.process_time()
    for number in range(lines):
        write_line(number)
    cpu_s = time.process_time() - started_s
    writer.write(b"")
    size_bytes = _line_bytes()
    os.dup2(stdout_copy, 1)
    print(f"{1e6 * cpu_s / lines:.1f} us and {size_bytes} bytes a line, {lines} lines")


def _line_bytes() -> int:
    """Return the size of one line in bytes."""
    reader, descriptor = os.pipe()
    os.dup2(descriptor, 1)
    write_line(1)
    return len(os.read(reader, 65_536))


if __name__ == "__main__":
    defopt.run(main)
