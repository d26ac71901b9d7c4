"""What the cases share: workers as processes of their own, clients, and the end of a play."""

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from fleet import CONTROL, FRONT, CannotRunError, Fleet, read_body, read_head  # noqa: E402

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
SERVICE = {"name": "huvo11a", "healthPath": "/health", "maxConnections": 370, "protocol": "h1"}
TENANTS = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]


def with_trouble():
    """Return whether the disruption is part of this play."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, prefix, kind, **fields):
    """Return a route of a desired state."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": SERVICE["name"],
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def desired_state(*routes):
    """Return a desired state with these routes."""
    services = [{**SERVICE, "tls": False}]
    return {
        "version": 7,
        "routes": list(routes),
        "services": services,
        "limits": LIMITS,
        "tenants": TENANTS,
    }


class WorkerProcess:
    """A worker as a process, with `options` of `worker.py`; `events` is all that it has told."""

    def __init__(self, fleet, number, zone, *options):
        self.fleet = fleet
        self.id = f"i-{number:02d}{random.randrange(1 << 24):06x}"
        self.ip = f"{fleet.prefix}.{100 + number}"
        self.port = fleet.free_port(self.ip)
        self.events = []
        controls = ",".join(f"{ip}:{CONTROL}" for ip in fleet.control_ips)
        script = str(Path(__file__).with_name("worker.py"))
        arguments = [self.id, self.ip, str(self.port), zone, SERVICE["name"], controls, *options]
        self.process = fleet.start_child(
            [sys.executable, "-B", script, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())
        fleet.note("worker started", id=self.id, address=f"{self.ip}:{self.port}")

    async def _read(self):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await loop.connect_read_pipe(lambda: protocol, self.process.stdout)
        while line := await reader.readline():
            event = json.loads(line)
            event["worker"] = self.id
            self.events.append(event)
            shown = {key: value for key, value in event.items() if key not in ("event", "at")}
            shown["told_at"] = f"{event['at'] - self.fleet.begun_s:.3f}"
            self.fleet.note(f"worker {event['event']}", **shown)

    def order(self, text):
        """Give the worker an order."""
        self.process.stdin.write(text.encode() + b"\n")
        self.process.stdin.flush()

    def kill(self):
        """Kill the process at once."""
        self.process.kill()
        self.fleet.note("worker killed", id=self.id)

    async def wait_for(self, name, limit_s=10.0):
        """Return the first event of this name."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            for event in self.events:
                if event["event"] == name:
                    return event
            await asyncio.sleep(0.002)
        raise CannotRunError(f"{self.id}: no '{name}'")


class Answer:
    """What a client got for one attempt.

    `is_complete` tells whether the answer ended as the protocol marks a whole one.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = 0
        self.seal = ""
        self.body = b""
        self.is_complete = False
        self.sent_s = time.monotonic()
        self.why = ""

    @property
    def ids(self):
        """Return the ids of the events that arrived whole."""
        events = self.body.split(b"\n\n")[:-1]
        return [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in events]


async def send(fleet, router, path, limit_s=15.0):
    """Send one request to a router, as a client does; return what came."""
    answer = Answer(f"{random.getrandbits(64):016x}")
    headers = {
        "Host": HOST,
        "Attempt-Id": answer.attempt,
        "Deadline-Ms": int(limit_s * 1000),
        "Authorization": f"Token {KEY}",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    fleet.note("sent", attempt=answer.attempt, router=router.name, path=path)
    writer, pieces = None, []
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(router.ip, FRONT)
            writer.write(f"GET {path} HTTP/1.1\r\n{lines}\r\n".encode())
            first, answered = await read_head(reader)
            answer.status = int(first.split()[1])
            answer.seal = answered.get("server-seal", "")
            await read_body(reader, answered, pieces)
            answer.is_complete = True
    except (OSError, EOFError, TimeoutError) as error:
        answer.why = repr(error)
    finally:
        if writer is not None:
            writer.close()
    answer.body = b"".join(pieces)
    fleet.note(
        "answered",
        attempt=answer.attempt,
        status=answer.status,
        seal=answer.seal,
        bytes=len(answer.body),
        complete=answer.is_complete,
        why=answer.why,
    )
    return answer


def play(main, record_path):
    """Run a play; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run():
        fleet = None
        try:
            fleet = Fleet(record_path)
            async with asyncio.timeout(115):
                broken = await main(fleet)
            for line in broken:
                fleet.note("BROKEN", what=line)
                print(line)
            fleet.note("verdict", broken=bool(broken), trouble=with_trouble())
            return 1 if broken else 0
        except (CannotRunError, TimeoutError, OSError) as error:
            print(f"could not run: {error!r}")
            return 2
        finally:
            if fleet is not None:
                fleet.close()

    code = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
