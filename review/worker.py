"""A worker as PROTOCOL.md describes it; it tells each of its steps as a line on standard output.

    worker.py ID IP PORT ZONE SERVICE CONTROLS(IP:PORT,...) [born]

A line on standard input is an order: `drain` reports `draining`, `leave` sends `DELETE` first,
`exit` ends the process. A request's path tells how it is answered:

    .../plain/MS          a short body after so many ms of work
    .../unframed/N/MS     N events, one after so many ms each, with neither a length nor chunks: the
                          answer ends with its connection
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from fleet import read_body, read_head, request  # noqa: E402

HEARTBEAT_S = 1.2


def tell(event, **fields):
    """Write one line of what happens here."""
    print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)


class Worker:
    """One lifetime of a worker."""

    def __init__(self, arguments):
        self.id, self.ip, port, self.zone, self.service, controls = arguments[:6]
        self.says_born = arguments[6:] == ["born"]
        self.born_ms = int(time.time() * 1000)
        self.port = int(port)
        self.controls = [item.rsplit(":", 1) for item in controls.split(",")]
        self.sequence = 0
        self.state = "ready"

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split()
                body = await read_body(reader, headers)
                if not await self.answer(method, path, headers, body, writer):
                    return
        except (EOFError, OSError, asyncio.LimitOverrunError):
            return
        finally:
            writer.close()

    async def answer(self, method, path, headers, body, writer):
        """Answer one request; return whether the connection is kept."""
        attempt = headers.get("attempt-id", "")
        if path == "/health":
            healthy = self.state == "ready"
            status = "200 OK" if healthy else "503 Service Unavailable"
            await self.write(writer, status, {"Instance-Id": self.id}, b"")
            return True
        if headers.get("expect-instance", self.id) != self.id:
            tell("misdirected", attempt=attempt)
            own = {"Attempt-Id": attempt, "Not-Executed": "1"}
            await self.write(writer, "421 Misdirected Request", own, b"")
            return True
        tell("run", attempt=attempt, path=path, after=headers.get("last-event-id"))
        own = {"Attempt-Id": attempt, "Server-Seal": f"{self.id}.{attempt}"}
        kind, *numbers = path.strip("/").split("/")[1:]
        if kind == "unframed":
            await self.stream(numbers, headers, own, writer)
            return False
        await asyncio.sleep(int(numbers[0]) / 1000)
        await self.write(writer, "200 OK", own, f"{self.id} {attempt}\n".encode())
        tell("ran", attempt=attempt)
        return True

    async def stream(self, numbers, headers, own, writer):
        """Answer with the events after `Last-Event-Id`, if there is one, and close."""
        count, pause_ms = int(numbers[0]), int(numbers[1])
        own = {**own, "Content-Type": "text/event-stream", "Connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in own.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, count + 1):
            await asyncio.sleep(pause_ms / 1000)
            writer.write(b"id: %d\ndata: x\n\n" % number)
            await writer.drain()
            tell("piece", attempt=own["Attempt-Id"], id=number)
        tell("ran", attempt=own["Attempt-Id"])

    async def write(self, writer, status, headers, body):
        """Write a whole answer."""
        headers = {**headers, "Content-Length": len(body), "Keep-Alive": "timeout=5"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + body)
        await writer.drain()

    async def call(self, method, body):
        """Make a call to the system: to one node, and to the next one if it fails."""
        for ip, port in random.sample(self.controls, len(self.controls)):
            try:
                status, _, _ = await request(
                    ip, int(port), method, f"/instances/{self.id}", {}, body, 1.0
                )
            except (OSError, EOFError, TimeoutError):
                continue
            if 200 <= status < 300:
                return f"{ip}:{port}"
        return ""

    async def report(self):
        """Send one liveness report; return the node that confirmed it."""
        self.sequence += 1
        report = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        if self.says_born:
            report["born"] = self.born_ms
        return await self.call("PUT", json.dumps(report).encode())

    async def beat(self):
        """Send a report each `HEARTBEAT_S`."""
        while self.state != "gone":
            node = await self.report()
            tell("beat", state=self.state, node=node)
            await asyncio.sleep(HEARTBEAT_S)

    async def obey(self):
        """Follow the orders on standard input."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := (await reader.readline()).decode().strip():
            if line == "drain":
                self.state = "draining"
                node = await self.report()
                tell("drain confirmed" if node else "drain not confirmed", node=node)
            if line == "leave":
                self.state = "gone"
                node = await self.call("DELETE", b"")
                tell("leave confirmed" if node else "leave not confirmed", node=node)
            if line == "exit":
                return

    async def run(self):
        """Serve until the order to exit."""
        await asyncio.start_server(self.serve, self.ip, self.port)
        tell("listening")
        beating = asyncio.create_task(self.beat())
        await self.obey()
        beating.cancel()
        tell("exit")
        # What is still at work ends with the process.
        os._exit(0)


asyncio.run(Worker(sys.argv[1:]).run())
