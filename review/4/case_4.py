"""A core machine is replaced as planned; once its successor counts, another one loses its disk."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (  # noqa: E402
    BOUNDS,
    CONTROL,
    LIMITS,
    CannotRunError,
    answer_bytes,
    call,
    has_trouble,
    route,
    run_case,
    service,
)

SERVICE = "ledger"
KEY = "k-one"
# The new machine comes first, and the one that it replaces gets SIGTERM this much later.
REPLACED_AFTER_S = 1.0
CATCH_UP_S = BOUNDS["catchUpS"]
# Past the time from which the replaced machine no longer counts as lost.
MARGIN_S = 0.6
DOWN_S = 1.0
# After the last disruption; `recoverS` is 12 and `ackMs` 4,000.
WAIT_S = 40.0


async def serve(worker, request, writer):
    """Answer at once."""
    attempt = request.headers["attempt-id"]
    seal = {"Attempt-Id": attempt, "Server-Seal": f"seal.{worker.id}"}
    writer.write(answer_bytes(200, seal, b"written"))


def desired_state(version):
    """Return a desired state."""
    return {
        "version": version,
        "routes": [route("ledger", "/ledger/", SERVICE, "idempotent", timeoutMs=5000 + version)],
        "services": [service(SERVICE)],
        "limits": LIMITS,
        "tenants": [{"name": "desk", "apiKeys": [KEY], "priority": 1}],
    }


def find_leader(cores):
    """Return the core machine that leads, by what the machines have logged."""
    won = []
    for core in cores:
        for line in (core.folder / "log").read_text(errors="replace").splitlines():
            if '"became leader"' in line:
                won.append((json.loads(line)["term"], core))
    if not won:
        raise CannotRunError("no core machine has logged that it leads")
    return max(won, key=lambda item: item[0])[1]


async def read_back(rig):
    """Ask all core machines for `stableWindowMs`; return the versions that came."""
    versions = []
    until_s = time.monotonic() + BOUNDS["stableWindowMs"] / 1000
    while time.monotonic() < until_s:
        for core in rig.cores:
            reply = await call(core.address(CONTROL), "GET", "/config", limit_s=1.5)
            status = None if reply is None else reply.status
            version = json.loads(reply.body)["version"] if status == 200 else None
            rig.record.note(f"GET /config at {core.name}: {status}, version {version}")
            versions.append(version)
        await asyncio.sleep(0.3)
    return versions


async def sleep_until(at_s):
    """Sleep until a monotonic time."""
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))


async def test(rig):
    """Replace the leader, lose another disk `catchUpS` after the new machine's start."""
    spare = rig.cores.pop()
    rig.start()
    await rig.add_worker(SERVICE, serve)
    for version in (3, 4):
        if not await rig.publish(desired_state(version)):
            raise CannotRunError("a desired state was not acknowledged")
    await rig.wait_until_ready()
    # A replica that has started last may still be on its way to a vote.
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + CATCH_UP_S)
    if not await rig.publish(desired_state(5)):
        raise CannotRunError("a desired state was not acknowledged")
    leader = find_leader(rig.cores)
    spare.may_bootstrap = False
    spare.start()
    started_s = time.monotonic()
    rig.cores.append(spare)
    await sleep_until(started_s + REPLACED_AFTER_S)
    rig.cores.remove(leader)
    leader.send(signal.SIGTERM)
    await asyncio.to_thread(leader.process.wait)
    rig.record.note(f"{leader.name} has ended, and is gone for good")
    await sleep_until(started_s + CATCH_UP_S + MARGIN_S)
    if has_trouble():
        other = rig.cores[0]
        rig.record.note(f"{other.name} loses its disk")
        other.send(signal.SIGKILL)
        other.process.wait()
        await asyncio.sleep(DOWN_S)
        other.lose_disk()
        other.start()
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + CATCH_UP_S)
    is_acknowledged = await rig.publish(desired_state(9), limit_s=WAIT_S)
    versions = await read_back(rig)
    if any(not core.runs for core in rig.cores):
        raise CannotRunError("a core machine ended by itself")
    breaks = []
    if not is_acknowledged:
        breaks.append(f"Acks: no confirmation in {WAIT_S} s, with three core machines up")
    if not any(versions):
        breaks.append(
            "CONFIG: read back, the desired state (version 5 is acknowledged) doesn't come"
        )
    elif max(version for version in versions if version) < (9 if is_acknowledged else 5):
        breaks.append(f"CONFIG: read back, the desired state is older: {versions}")
    return breaks


run_case(Path(__file__).resolve().parent, test, fronts=2, cores=4)
