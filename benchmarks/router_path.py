"""Measure the router's data path next to bare klein and treq in the same run.

    .venv/bin/python benchmarks/router_path.py [--seconds 5] [--streams 100]

Each role runs in a separate process. Rates per core are counts divided by the processor
time of the measured process, so that a busy machine widens the spread of the figures
but does not bias them.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from path_roles import ROLES, router_settings

START_TIMEOUT_S = 30
CLOCK_TICKS_PER_S = 100
BYTES_PER_MB = 1_000_000


class Server(NamedTuple):
    """A process that listens on an address."""

    process: subprocess.Popen
    address: str

    def cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_mb(self) -> float:
        """Return the resident memory in megabytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * 4096 / BYTES_PER_MB


def start(role: str, *arguments: str) -> Server:
    """Start a role and read the address that it prints."""
    command = [sys.executable, __file__, "--role", role, *arguments]
    # The bare relay does not handle callers that disconnect and logs an error for each.
    errors = subprocess.DEVNULL if role == "bare" else None
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors, text=True)
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"{role} did not start")
    return Server(process, line.strip())


def drive(address: str, kind: str, count: int, seconds: float) -> dict:
    """Run a caller against an address and return its results."""
    command = [sys.executable, __file__, "--role", "caller", address, kind, str(count)]
    command.append(str(seconds))
    result = subprocess.run(command, capture_output=True, text=True, timeout=seconds + 60)
    if result.returncode:
        raise RuntimeError(result.stderr[-2000:])
    return json.loads(result.stdout)


def measure_streams(server: Server, streams: int, seconds: float) -> str:
    """Relay streams and format the tokens per second of one core."""
    before_s = server.cpu_s()
    results = drive(server.address, "stream", streams, seconds)
    used_s = server.cpu_s() - before_s
    per_core = results["tokens"] / used_s
    return (
        f"{per_core:9.0f} tokens/s per core ({1e6 / per_core:.1f} us a token,"
        f" {results['tokens']} tokens, {used_s:.2f} s of processor time)"
    )


def measure_requests(server: Server, connections: int, seconds: float) -> str:
    """Answer whole requests and format the requests per second of one core."""
    before_s = server.cpu_s()
    results = drive(server.address, "whole", connections, seconds)
    used_s = server.cpu_s() - before_s
    return (
        f"{results['requests'] / used_s:9.0f} requests/s per core"
        f" ({used_s / results['requests'] * 1e6:.0f} us a request, {results['errors']} errors)"
    )


def measure_latency(address: str, seconds: float) -> str:
    """Send requests sequentially and format the latency percentiles."""
    results = drive(address, "whole", 1, seconds)
    percentiles = [f"p{name} {results[f'p{name}_ms']:.2f} ms" for name in (50, 95, 99)]
    return ", ".join(percentiles)


def measure_memory(server: Server, streams: int) -> str:
    """Hold streams open and format the memory that they use."""
    idle_mb = server.resident_mb()
    command = [sys.executable, __file__, "--role", "caller", server.address, "hold", str(streams)]
    caller = subprocess.Popen([*command, "0"], stdout=subprocess.PIPE, text=True)
    held = json.loads(caller.stdout.readline())["open"]
    busy_mb = server.resident_mb()
    caller.terminate()
    caller.wait()
    return f"{(busy_mb - idle_mb) / held * 1000:.1f} MB per thousand open streams ({held} open)"


def relay_bare(streams: int, seconds: float) -> str:
    """Relay streams with klein and treq alone, from a separate engine."""
    engine = start("engine")
    bare = start("bare", engine.address)
    try:
        return measure_streams(bare, streams, seconds)
    finally:
        stop([bare, engine])


def stop(servers: list[Server]) -> None:
    """Terminate processes and wait for them."""
    for server in servers:
        server.process.terminate()
        server.process.wait()


def run(seconds: float, streams: int) -> None:
    """Start all roles, run the measurements and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        engine = start("engine")
        settings = router_settings(Path(folder), engine.address)
        router = start("router", str(settings), engine.address)
        bare = start("bare", engine.address)
        echo = start("echo")
        try:
            print(f"resident after start       router {router.resident_mb():.0f} MB")
            print(f"relay, router              {measure_streams(router, streams, seconds)}")
            print(f"relay, bare klein + treq   {relay_bare(streams, seconds)}")
            print(f"requests, router           {measure_requests(router, 16, seconds)}")
            print(f"requests, bare klein+treq  {measure_requests(bare, 16, seconds)}")
            print(f"requests, klein echo       {measure_requests(echo, 16, seconds)}")
            print(f"latency, router            {measure_latency(router.address, seconds)}")
            print(f"latency, bare klein+treq   {measure_latency(bare.address, seconds)}")
            print(f"latency, engine alone      {measure_latency(engine.address, seconds)}")
            print(f"latency, klein echo        {measure_latency(echo.address, seconds)}")
            print(f"memory, router             {measure_memory(router, 1000)}", flush=True)
        finally:
            stop([router, bare, echo, engine])


def main() -> None:
    """Run one role or the whole benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=sorted(ROLES))
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("arguments", nargs="*")
    options = parser.parse_args()
    if options.role:
        ROLES[options.role](*options.arguments)
    else:
        run(options.seconds, options.streams)


if __name__ == "__main__":
    main()
