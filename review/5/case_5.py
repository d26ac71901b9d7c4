"""Ids of events above 2^53: does a stream that its client takes up go on where it was cut?"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (  # noqa: E402
    FRONT,
    HOST,
    LIMITS,
    CannotRunError,
    has_trouble,
    new_id,
    read_chunks,
    read_head,
    request_bytes,
    route,
    run_case,
    service,
)

FRONTS = 8
KEY = "k-one"
SERVICE = "digests"
PATH = "/digests/today"
PIECES = 40
GAP_S = 0.1
# Numbers that grow by one, from a 64-bit sequence, as a log or a queue gives them to its entries.
FIRST_ID = 7_146_812_345_678_901_001
LAST_ID = FIRST_ID + PIECES - 1


async def stream(worker, request, writer):
    """Send the events after `Last-Event-Id`, or all of them."""
    after = request.headers.get("last-event-id")
    note = worker.rig.record.note
    note(f"worker {worker.id} runs {request.headers['attempt-id']}, Last-Event-Id {after}")
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"Attempt-Id: {request.headers['attempt-id']}\r\nServer-Seal: seal.{worker.id}\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(FIRST_ID, LAST_ID + 1):
        if after is not None and number <= int(after):
            continue
        event = b"id: %d\ndata: piece %d\n\n" % (number, number - FIRST_ID)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")


class Stream:
    """One client attempt and the pieces that it brought."""

    def __init__(self, rig, front, after):
        self.rig, self.front, self.after = rig, front, after
        self.ids, self.status, self.is_complete = [], None, False
        self.has_some = asyncio.Event()

    async def run(self, enough=10):
        """Read the stream to its end."""
        attempt = new_id()
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": "15000",
            "Authorization": f"Token {KEY}",
        }
        if self.after is not None:
            headers["Last-Event-Id"] = str(self.after)
        note = self.rig.record.note
        note(f"client sends {attempt} to {self.front.name}, Last-Event-Id {self.after}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*self.front.address(FRONT))
            writer.write(request_bytes("POST", PATH, headers, b"{}"))
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError
            self.status = int(head[0][1])
            buffer = b""
            async for data in read_chunks(reader):
                buffer += data
                while b"\n\n" in buffer:
                    event, buffer = buffer.split(b"\n\n", 1)
                    self.ids.append(int(event.split(b"\n")[0].removeprefix(b"id: ")))
                    if len(self.ids) >= enough:
                        self.has_some.set()
            self.is_complete = True
            note(f"{attempt} ends as complete, status {self.status}, {len(self.ids)} events")
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            note(f"{attempt} is cut after {len(self.ids)} events: {type(error).__name__}")
        finally:
            self.has_some.set()
            if writer is not None:
                writer.transport.abort()


async def test(rig):
    """Kill the router of a stream; take the stream up at another one."""
    rig.start()
    for zone in rig.zones:
        await rig.add_worker(SERVICE, stream, zone=zone)
    content = {
        "version": 3,
        "routes": [route("digests", "/digests/", SERVICE, "streaming", resumable=True)],
        "services": [service(SERVICE)],
        "limits": LIMITS,
        "tenants": [{"name": "desk", "apiKeys": [KEY], "priority": 1}],
    }
    if not await rig.publish(content):
        raise CannotRunError("the first desired state was not acknowledged")
    await rig.wait_until_ready()
    await asyncio.sleep(3.0)
    first = Stream(rig, rig.fronts[0], None)
    reading = asyncio.ensure_future(first.run())
    await first.has_some.wait()
    if has_trouble():
        rig.fronts[0].send(signal.SIGKILL)
    await asyncio.wait_for(reading, 20.0)
    ids = list(first.ids)
    is_complete = first.is_complete
    until_s = time.monotonic() + 20.0
    number = 0
    while not is_complete and time.monotonic() < until_s:
        number += 1
        again = Stream(rig, rig.fronts[1 + number % (FRONTS - 1)], ids[-1] if ids else None)
        await asyncio.wait_for(again.run(), 20.0)
        if again.status is not None and again.status != 200:
            await asyncio.sleep(0.3)
            continue
        ids += again.ids
        is_complete = again.is_complete
    if not is_complete:
        raise CannotRunError("the stream was never finished")
    wanted = list(range(FIRST_ID, LAST_ID + 1))
    numbers = [item - FIRST_ID for item in ids]
    rig.record.note(f"the client has the pieces {numbers}")
    missing = sorted(set(wanted) - set(ids))
    twice = sorted({item for item in ids if ids.count(item) > 1})
    breaks = []
    if missing:
        breaks.append(f"ORDER: complete, but pieces {[i - FIRST_ID for i in missing]} are missing")
    if twice:
        breaks.append(f"ORDER: pieces {[i - FIRST_ID for i in twice]} came twice")
    return breaks


run_case(Path(__file__).resolve().parent, test, fronts=FRONTS)
