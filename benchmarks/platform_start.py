"""Measure start-up and memory of the programs for the operator platform.

Run `sh deploy/build.sh` first. Each role is started alone on loopback and polled until
it accepts connections: `python -m benchmarks.platform_start --starts 5`.
"""

import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import defopt

from damaskwind.platform.settings import PATH_VARIABLE
from damaskwind.runtime.clock import read_clock

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
HOST = "127.78.0.1"
PORTS = {"front": 23101, "ready": 23102, "control": 23103}
LISTENED = {"router": "ready", "control": "control"}
START_LIMIT_S = 20.0
# Memory is read after the start has settled and before any request.
SETTLE_S = 1.5


class Start(NamedTuple):
    """One start: time until the socket accepts, then processor time and peak memory."""

    listening_s: float
    processor_s: float
    peak_mb: float


def settings_text(folder: str) -> str:
    """Return the text of a settings file as the platform writes it."""
    listen = "\n".join(f'{name} = "{HOST}:{port}"' for name, port in PORTS.items())
    return f"""
nodeName = "bench"
ip = "{HOST}"
zone = "z"
region = "r"
internalPorts = [23110, 23125]
seeds = ["{HOST}:{PORTS['control']}"]
bootstrap = true
dataDir = "{folder}/data"
heartbeatMs = 1200
[listen]
{listen}
[bounds]
graceS = 2
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
"""


def start_once(role: str) -> Start:
    """Start a role, measure it once it listens, and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "local.toml"
        file.write_text(settings_text(folder))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(DEPENDENCIES),
            PATH_VARIABLE: str(file),
        }
        command = [sys.executable, "-S", "-m", "damaskwind.platform", role]
        started_s = read_clock()
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL)
        try:
            listening_s = wait_until_listening(PORTS[LISTENED[role]], started_s)
            time.sleep(SETTLE_S)
            return Start(listening_s, *read_usage(process.pid))
        finally:
            process.terminate()
            process.wait()


def wait_until_listening(port: int, started_s: float) -> float:
    """Return the seconds until the port accepts a connection."""
    while read_clock() - started_s < START_LIMIT_S:
        try:
            socket.create_connection((HOST, port), 0.2).close()
            return read_clock() - started_s
        except OSError:
            time.sleep(0.005)
    raise TimeoutError(f"port {port} not listening after {START_LIMIT_S} s")


def read_usage(pid: int) -> tuple[float, float]:
    """Return processor seconds and peak resident megabytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
    return processor_s, int(peak_kb) / 1024


def main(*, starts: int = 5) -> None:
    """Start each role `starts` times; print the median, the lowest and the highest figures."""
    for role in LISTENED:
        runs = [start_once(role) for _ in range(starts)]
        for name, values in zip(Start._fields, zip(*runs, strict=True), strict=True):
            median_value = statistics.median(values)
            print(f"{role} {name}: {median_value:.2f} ({min(values):.2f} to {max(values):.2f})")


if __name__ == "__main__":
    defopt.run(main)
