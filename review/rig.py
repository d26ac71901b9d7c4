"""A small deployment for the review's scripts: the real programs and stand-ins of their peers.

The programs run as separate processes with the commands of `deploy/system.toml`, on loopback
addresses and the real clock. Workers, clients and the operator live in the calling script. Only
the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
# Bounds of a small deployment, as the pages give them.
BOUNDS = {
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
    "failClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "recoverS": 12,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
HEARTBEAT_MS = 1200
GRACE_S = 8.0
CONTROL, INTERNAL, FRONT, READY = 0, 1, 17, 18
RESULT_HELD, RESULT_BROKEN, RESULT_FAILED = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought to its test."""


def has_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def as_toml(table, prefix=""):
    """Return a table as TOML."""
    lines, tables = [], []
    for key, value in table.items():
        if isinstance(value, dict):
            tables.append((f"{prefix}{key}", value))
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    text = "\n".join(lines) + "\n"
    for name, value in tables:
        text += f"[{name}]\n" + as_toml(value, f"{name}.")
    return text


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._begun_s

    def note(self, text):
        """Write one line."""
        print(f"{self.now():8.3f} s  {text}", file=self._file, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


class Program:
    """One process of the system."""

    def __init__(self, rig, name, role, host, zone):
        self.rig, self.name, self.role, self.host, self.zone = rig, name, role, host, zone
        self.folder = rig.folder / name
        self.process = None
        self.may_bootstrap = True
        self.disk = "data"

    def address(self, offset):
        """Return the host and port of one of its listeners."""
        return (self.host, self.rig.port + offset)

    def settings(self):
        """Return the settings file, as DEPLOY.md describes it."""
        rig, is_front = self.rig, self.role == "router"
        listen = (
            {"front": f"{self.host}:{rig.port + FRONT}", "ready": f"{self.host}:{rig.port + READY}"}
            if is_front
            else {"control": f"{self.host}:{rig.port + CONTROL}"}
        )
        content = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "front" if is_front else "core",
            "serves": ["front"] if is_front else ["control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            "internalPorts": [rig.port + INTERNAL, rig.port + INTERNAL + 15],
            "seeds": [f"{host}:{rig.port + CONTROL}" for host in rig.seed_hosts],
            "bootstrap": self.may_bootstrap,
            "countsAsLoss": not is_front,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": rig.contracts,
            "configMode": "highest",
        }
        if not is_front:
            content["dataDir"] = str(self.folder / self.disk)
        return {
            **content,
            "zones": dict.fromkeys(rig.zones, "region-1"),
            "listen": listen,
            "limits": {
                "cpuShare": 0.5,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0 if is_front else 6.0,
                "diskMb": 0 if is_front else 128,
            },
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        self.folder.mkdir(exist_ok=True)
        (self.folder / self.disk).mkdir(exist_ok=True)
        path = self.folder / "local.toml"
        path.write_text(as_toml(self.settings()), encoding="utf-8")
        command = self.rig.commands[self.role]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["DAMASKWIND_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.rig.record.note(f"{self.name} starts at {self.host}")

    def lose_disk(self):
        """Let the next start find an empty disk."""
        self.disk, self.may_bootstrap = "empty", False

    def send(self, number):
        """Send a signal to the process."""
        self.rig.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def runs(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Worker:
    """A worker of one service, which reports itself and records what it runs.

    `answer(worker, request, writer)` writes the answer to one request. `reported` is the address
    that it reports, by default that at which it listens.
    """

    def __init__(self, rig, service, answer, slots=6, host="127.0.0.1", zone=None):
        self.rig, self.service, self.answer, self.slots = rig, service, answer, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.host, self.port, self.zone = host, 0, zone or rig.zones[0]
        self.running = 0
        self.reported = None
        self._server = None
        self._tasks = []
        self._writers = set()
        self._sequence = 0

    async def start(self):
        """Listen, and report until stopped."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.ensure_future(self._report()))

    def stop_reports(self):
        """Send no liveness report any more."""
        for task in self._tasks:
            task.cancel()

    async def stop(self):
        """Stop reports and close everything."""
        self.stop_reports()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report_once(self, state="ready"):
        """Send one liveness report to any replica; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.reported or f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }
        cores = list(self.rig.cores)
        random.shuffle(cores)
        for core in cores:
            reply = await call(
                core.address(CONTROL), "PUT", f"/instances/{self.id}", body, limit_s=1.0
            )
            if reply is not None and 200 <= reply.status < 300:
                return True
        return False

    async def _report(self):
        while True:
            await self.report_once()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        if request.method == "GET" and request.path == "/health":
            writer.write(answer_bytes(200, {"Instance-Id": self.id}, b""))
            return
        expected = request.headers.get("expect-instance")
        own = {"Attempt-Id": request.headers.get("attempt-id", "")}
        if expected not in (None, self.id):
            writer.write(answer_bytes(421, {**own, "Not-Executed": "1"}, b""))
            return
        if self.running >= self.slots:
            writer.write(answer_bytes(503, {**own, "Not-Executed": "1"}, b""))
            return
        self.running += 1
        try:
            await self.answer(self, request, writer)
            await writer.drain()
        finally:
            self.running -= 1


class Message:
    """A request or an answer that was read."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        """Return the method of a request."""
        return self.first[0]

    @property
    def path(self):
        """Return the target of a request."""
        return self.first[1]

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first[1])


async def read_head(reader):
    """Return the first line and the headers of a message, `None` at the end."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (field := await reader.readline()) not in (b"\r\n", b"\n"):
        if not field:
            raise asyncio.IncompleteReadError(b"", None)
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(None, 2), headers


async def read_chunks(reader):
    """Yield the chunks of a body, up to its proper end."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Return the body of a message that states its length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Return the next request on a connection, `None` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def answer_bytes(status, headers, body):
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request_bytes(method, path, headers, body=b""):
    """Return a whole request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, content=None, limit_s=1.0, headers=None, body=None):
    """Make one call on a new connection; return its answer, `None` if none came."""
    if body is None:
        body = b"" if content is None else json.dumps(content).encode()
    fields = {"Host": "control", "Content-Type": "application/json", "Connection": "close"}
    fields = fields if headers is None else {**headers, "Connection": "close"}
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, path, fields, body))
            head = await read_head(reader)
            return None if head is None else Message(*head, await read_body(reader, head[1]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def new_id():
    """Return an id for one client attempt."""
    return f"{random.getrandbits(64):016x}"


def route(name, prefix, service, kind, **changes):
    """Return a route of a desired state."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gapTargetMs": 200,
        **changes,
    }


def service(name):
    """Return a service of a desired state."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
    }


class Rig:
    """The whole deployment of one case."""

    def __init__(self, folder, fronts=3, cores=3):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.contracts = [
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
        ]  # fmt: skip
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        second, third = random.randrange(130, 250), random.randrange(1, 250)
        hosts = [f"127.{second}.{third}.{number + 1}" for number in range(cores + fronts)]
        self.port = self._free_ports(hosts)
        self.seed_hosts = hosts[:cores][:3]
        self.cores = [
            Program(self, f"core-{n + 1}", "control", hosts[n], self.zones[n % 3])
            for n in range(cores)
        ]
        self.fronts = [
            Program(self, f"front-{n + 1}", "router", hosts[cores + n], self.zones[n % 3])
            for n in range(fronts)
        ]
        self.workers = []

    @staticmethod
    def _free_ports(hosts):
        for _ in range(200):
            first = random.randrange(20_000, 31_000)
            try:
                for host in hosts:
                    for port in (*range(first, first + READY + 1), 9464):
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return first
            except OSError:
                continue
        raise CannotRunError("no free ports")

    def start(self):
        """Start all programs."""
        if not (ROOT / "target" / "deps" / "damaskwind").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        for program in (*self.cores, *self.fronts):
            program.start()

    async def add_worker(self, service_name, answer, **options):
        """Start a worker."""
        worker = Worker(self, service_name, answer, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def publish(self, content, limit_s=20.0, cores=None):
        """Send a desired state as an operator does until it is acknowledged; return success."""
        until_s = time.monotonic() + limit_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            for core in random.sample(cores or self.cores, len(cores or self.cores)):
                reply = await call(core.address(CONTROL), "PUT", "/config", content)
                status = "no answer" if reply is None else reply.status
                self.record.note(
                    f"PUT /config version {content['version']} at {core.name}: {status}"
                )
                if reply is not None and reply.status == 200:
                    return True
                if reply is not None and 400 <= reply.status < 500:
                    return False
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 1.0)
        return False

    async def wait_until_ready(self, limit_s=20.0, fronts=None):
        """Wait until the routers answer the platform's question with 200."""
        until_s = time.monotonic() + limit_s
        for front in fronts or self.fronts:
            while True:
                reply = await call(front.address(READY), "GET", "/ready", limit_s=0.5)
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{front.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        """End every process that was started and remove the temporary folder."""
        for worker in self.workers:
            await worker.stop()
        programs = [item for item in (*self.cores, *self.fronts) if item.process is not None]
        for program in programs:
            if program.runs:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in programs:
            program.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, test, limit_s=110.0, **options):
    """Run one case: `test(rig)` returns the breaks of the rule. Exit as the review's scripts do."""

    async def run():
        rig = Rig(folder, **options)
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        rig.record.note(f"trouble: {'yes' if has_trouble() else 'no'}")
        result = RESULT_FAILED
        try:
            async with asyncio.timeout(limit_s):
                breaks = await test(rig)
            for line in breaks:
                rig.record.note(f"BROKEN: {line}")
            result = RESULT_BROKEN if breaks else RESULT_HELD
            rig.record.note("the rule was broken" if breaks else "the rule held")
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            rig.record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
        finally:
            await rig.stop()
            rig.record.close()
        return result

    sys.exit(asyncio.run(run()))
