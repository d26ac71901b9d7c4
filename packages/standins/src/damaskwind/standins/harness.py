"""Start the daemons as real processes, for tests and benchmarks only.

Each process writes its addresses to a ready file. The harness polls conditions
with deadlines and ends only the processes that it started, by process id.

    harness = Harness(folder)
    router = await harness.start_router("router-1", {"node": ..., "router": ...})
    router.ready["http_address"]
    await harness.stop()
"""

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from damaskwind.runtime.clock import read_clock
from damaskwind.standins.settings_text import to_toml

__all__ = [
    "DaemonProcess",
    "Harness",
    "HarnessError",
    "die_with_parent",
    "free_addresses",
    "unique_loopback_host",
    "wait_until",
]

DAEMON = Path(sys.executable).with_name("damaskwindd")
READY_DEADLINE_S = 30.0
STOP_DEADLINE_S = 20.0
_POLL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LOG_TAIL_CHARS = 4000


class HarnessError(Exception):
    """A process failed to start, or a condition did not hold before its deadline."""


async def wait_until(
    condition: Callable[[], Any],
    deadline_s: float = READY_DEADLINE_S,
    what: str = "the condition",
) -> Any:
    """Poll a condition, plain or awaitable, until it is true; return its value.

    Raise `HarnessError`, which names `what`, after `deadline_s`.
    """
    end_s = read_clock() + deadline_s
    while True:
        value = condition()
        if isinstance(value, Awaitable):
            value = await value
        if value:
            return value
        if read_clock() > end_s:
            raise HarnessError(f"{what} did not hold within {deadline_s} s")
        await asyncio.sleep(_POLL_S)


def unique_loopback_host() -> str:
    """Return a loopback address of this process, derived from its id.

    On 127.0.0.1 an outgoing connection of any process may take a free port before
    the intended process listens on it, or while that process is down.
    """
    pid = os.getpid()
    return f"127.{64 + pid // 65536 % 64}.{pid // 256 % 256}.{pid % 256}"


def free_addresses(count: int) -> list[str]:
    """Return free TCP addresses, for processes that need each other's address before they start."""
    host = unique_loopback_host()
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    addresses = [f"{host}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def die_with_parent() -> None:
    """Make the kernel kill this child process when its parent dies."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class DaemonProcess:
    """A process started by the harness; `ready` is the content of its ready file."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.command = command
        self.ready_path = folder / f"{name}.ready"
        self.log_path = folder / f"{name}.log"
        self.ready: dict[str, Any] = {}
        self._process: subprocess.Popen | None = None

    @property
    def is_started(self) -> bool:
        """Return whether the process was started."""
        return self._process is not None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or `None` while the process runs."""
        return self._process.poll()

    def log_tail(self) -> str:
        """Return the last `_LOG_TAIL_CHARS` characters of the log."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")[-_LOG_TAIL_CHARS:]

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.ready_path.unlink(missing_ok=True)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        await wait_until(self._is_ready, READY_DEADLINE_S, f"readiness of {self.name}")
        self.ready = json.loads(self.ready_path.read_text(encoding="utf-8"))

    def _is_ready(self) -> bool:
        """Return whether the ready file exists; raise if the process has ended."""
        if self.exit_code is not None:
            raise HarnessError(f"{self.name} ended with {self.exit_code}:\n{self.log_tail()}")
        return self.ready_path.exists()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.exit_code is None:
            self._process.send_signal(number)

    async def wait(self, deadline_s: float = STOP_DEADLINE_S) -> int:
        """Wait until the process ends and return its exit code."""
        await wait_until(lambda: self.exit_code is not None, deadline_s, f"end of {self.name}")
        return self.exit_code

    async def kill(self) -> None:
        """Kill the process, which simulates the loss of a VM."""
        self.send(signal.SIGKILL)
        await self.wait()
        self._process.wait()

    async def terminate(self, deadline_s: float = STOP_DEADLINE_S) -> int:
        """Request a graceful shutdown and return the exit code."""
        self.send(signal.SIGTERM)
        return await self.wait(deadline_s)


class Harness:
    """The processes of one test; their files are in `folder`."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(folder)
        self.processes: dict[str, DaemonProcess] = {}

    async def _start(self, name: str, command: list[str]) -> DaemonProcess:
        """Start a process and register it under `name`."""
        process = DaemonProcess(name, command, self.folder)
        self.processes[name] = process
        await process.start()
        return process

    def write_settings(self, name: str, table: dict[str, Any]) -> Path:
        """Write a settings file and return its path."""
        path = self.folder / f"{name}.toml"
        path.write_text(to_toml(table), encoding="utf-8")
        return path

    async def _start_daemon(self, role: str, name: str, table: dict[str, Any]) -> DaemonProcess:
        """Start `damaskwindd` in a role; the path of the ready file is added to its settings."""
        ready = {"ready_file": str(self.folder / f"{name}.ready")}
        table = {**table, role: {**table[role], **ready}}
        path = self.write_settings(name, table)
        return await self._start(name, [str(DAEMON), role, str(path)])

    async def start_router(self, name: str, table: dict[str, Any]) -> DaemonProcess:
        """Start a router with the tables `node` and `router`."""
        return await self._start_daemon("router", name, table)

    async def start_control(self, name: str, table: dict[str, Any]) -> DaemonProcess:
        """Start a control replica with the tables `node` and `control`."""
        return await self._start_daemon("control", name, table)

    async def start_fleet(self, name: str, fleet: dict[str, Any]) -> DaemonProcess:
        """Start a fleet of stand-ins with the table `fleet`."""
        table = {**fleet, "ready_file": str(self.folder / f"{name}.ready")}
        path = self.write_settings(name, {"fleet": table})
        return await self._start(
            name, [sys.executable, "-m", "damaskwind.standins.fleet", str(path)]
        )

    async def start_network(self, name: str, seed: int = 1) -> DaemonProcess:
        """Start a faulty network as a process of its own."""
        ready = str(self.folder / f"{name}.ready")
        command = [sys.executable, "-m", "damaskwind.standins.faulty_network", ready, str(seed)]
        return await self._start(name, command)

    async def restart(self, name: str) -> DaemonProcess:
        """Restart a process that has ended, with the same settings."""
        await self.processes[name].start()
        return self.processes[name]

    async def stop(self) -> None:
        """Kill every process that was started here."""
        for process in self.processes.values():
            if process.is_started:
                await process.kill()
