"""Start the project's programs as separate processes, with settings of a small deployment.

Three replicas and three routers, one of each in each zone, each on a loopback address of its own.
The settings have the fields and the bounds of the site file `kls-assetfleet`.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = ["bangsar-hall", "cyberjaya-a", "shah-alam-b"]
FRONT, READY, CONTROL, INTERNAL = 8227, 8220, 8229, [7340, 7355]
METRICS = 9464
# The bounds of kls-assetfleet.
_BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "failClosed": "false",
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "recoverS": 12,
    "passMs": 120,
    "againS": 10,
    "capX": 2,
}


def bounds_text(**other):
    """Return the table of bounds of a settings file, some of them other than usual."""
    lines = [f"{name} = {value}\n" for name, value in {**_BOUNDS, **other}.items()]
    return "[bounds]\n" + "".join(lines)


BOUNDS = bounds_text()


class CannotRunError(Exception):
    """The case could not be played."""


class Program:
    """One of the project's programs."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.process = None
        self.bootstrap = True
        self.started_s = 0.0

    def settings(self):
        """Return the settings file as DEPLOY.md describes it."""
        is_router = self.role == "router"
        seeds = json.dumps([f"{ip}:{CONTROL}" for ip in self.fleet.control_ips])
        listen = (
            f'front = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"\n'
            if is_router
            else f'control = "{self.ip}:{CONTROL}"\n'
        )
        zones = "".join(f'{zone} = "kl-central"\n' for zone in ZONES)
        data = "" if is_router else f"dataDir = {json.dumps(str(self.folder / 'data'))}\n"
        contracts = '["base","drain","config","cost","retry","recover","engine","stream","tenants"]'
        return (
            f'nodeName = "{self.name}"\nrole = "{self.role}"\n'
            f'machineClass = "{"front" if is_router else "core"}"\n'
            f'serves = ["{"front" if is_router else "control"}"]\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "kl-central"\n'
            f"internalPorts = {INTERNAL}\nseeds = {seeds}\n"
            f"bootstrap = {str(self.bootstrap).lower()}\n"
            f"countsAsLoss = {str(not is_router).lower()}\n"
            f'discovery = "registration"\nentry = "vip"\nheartbeatMs = 1200\n'
            f'contracts = {contracts}\nconfigMode = "highest"\n{data}'
            f"[zones]\n{zones}[listen]\n{listen}"
            f"[limits]\ncpuShare = {0.537 if is_router else 0.258}\n"
            f"cores = {2 if is_router else 1}\n"
            f"memoryMb = {300 if is_router else 296}\nmaxFds = 4100\n"
            f"linkMbps = {1000.0 if is_router else 6.0}\ndiskMb = {0 if is_router else 128}\n"
            f"[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n{BOUNDS}"
        )

    def start(self):
        """Start the program with the command of the deploy file."""
        (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "local.toml"
        path.write_text(self.settings())
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["DAMASKWIND_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "damaskwind.platform", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.bootstrap = False
        self.started_s = time.monotonic()

    def kill(self):
        """Kill the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


class Fleet:
    """All programs of one play; `record` is the file of what was sent, answered and run."""

    def __init__(self, record_path):
        self.record_file = Path(record_path).open("w", encoding="utf-8")
        self.begun_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.prefix = self._free_prefix()
        self.control_ips = [f"{self.prefix}.{n}" for n in (1, 2, 3)]
        self.controls = [
            Program(self, f"core-{zone}", "control", ip, zone)
            for zone, ip in zip(ZONES, self.control_ips, strict=True)
        ]
        self.routers = [
            Program(self, f"front-{zone}", "router", f"{self.prefix}.{n}", zone)
            for n, zone in enumerate(ZONES, 11)
        ]
        self.children = []

    @property
    def programs(self):
        """Return the replicas and the routers."""
        return self.controls + self.routers

    def _free_prefix(self):
        """Return a loopback network of which the ports are free."""
        for _ in range(50):
            prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for host in (1, 2, 3, 11, 12, 13):
                    for port in (FRONT, READY, CONTROL, METRICS, *range(*INTERNAL)):
                        with socket.create_server((f"{prefix}.{host}", port)):
                            pass
            except OSError:
                continue
            return prefix
        raise CannotRunError("no free ports")

    def free_port(self, host):
        """Return a free port of a loopback address."""
        with socket.create_server((host, 0)) as listener:
            return listener.getsockname()[1]

    def now(self):
        """Return the seconds since the start of the play."""
        return time.monotonic() - self.begun_s

    def note(self, event, **fields):
        """Write a line of the record."""
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record_file.write(f"{self.now():8.3f} {event} {values}\n")
        self.record_file.flush()

    def start_child(self, arguments, **options):
        """Start a stand-in as a process of its own."""
        child = subprocess.Popen(arguments, **options)
        self.children.append(child)
        return child

    def close(self):
        """End all processes that were started."""
        for program in self.programs:
            program.kill()
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for process in [p.process for p in self.programs if p.process] + self.children:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for program in self.programs:
                target = Path(keep) / f"{program.name}.log"
                target.write_bytes((program.folder / "log").read_bytes())
        self._temporary.cleanup()
        self.record_file.close()

    async def start(self):
        """Start all programs, as the platform does, within 0.3 s of each other."""
        for program in self.programs:
            program.start()
            self.note("started", program=program.name, ip=program.ip)

    async def publish(self, document, limit_s=20.0):
        """Send a desired state as the operator does: again, to any node, until it is confirmed."""
        body = json.dumps(document).encode()
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            ip = random.choice(self.control_ips)
            try:
                status, _, _ = await request(
                    ip, CONTROL, "PUT", "/config", {"Content-Type": "application/json"}, body, 1.0
                )
            except (TimeoutError, OSError, EOFError):
                status = 0
            self.note("config", version=document["version"], node=ip, status=status)
            if status == 200:
                return
            if 400 <= status < 500:
                raise CannotRunError(f"the desired state was refused: {status}")
            await asyncio.sleep(0.2)
        raise CannotRunError("the desired state was not confirmed")

    async def wait_ready(self, routers=None, limit_s=25.0):
        """Wait until all routers are ready."""
        until_s = time.monotonic() + limit_s
        for router in routers or self.routers:
            while True:
                try:
                    status, _, _ = await request(router.ip, READY, "GET", "/ready", {}, b"", 1.0)
                except (TimeoutError, OSError, EOFError):
                    status = 0
                if status == 200:
                    self.note("ready", router=router.name)
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, pieces=None):
    """Return the body of a message; raise `EOFError` if it ends early.

    What has come is appended to `pieces`.
    """
    pieces = [] if pieces is None else pieces
    if headers.get("transfer-encoding", "").lower() != "chunked":
        pieces.append(await reader.readexactly(int(headers.get("content-length", "0"))))
        return pieces[-1]
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(pieces)
        pieces.append(data[:-2])


async def request(host, port, method, path, headers, body, limit_s):
    """Make one call on a new connection; return the status, the headers and the body."""

    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}:{port}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method not in ("GET", "DELETE"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            first, answered = await read_head(reader)
            return int(first.split()[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()

    return await asyncio.wait_for(call(), limit_s)
