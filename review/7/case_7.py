"""The only tenant is taken out of the desired state: are its key and unknown keys still served?"""

import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (  # noqa: E402
    BOUNDS,
    FRONT,
    HOST,
    LIMITS,
    CannotRunError,
    answer_bytes,
    call,
    has_trouble,
    new_id,
    route,
    run_case,
    service,
)

SERVICE = "ledger"
PATH = "/ledger/entry"
KEY = "k-of-the-tenant"
# No desired state ever held this key.
NEVER_HELD = "k-never-held"
ROUNDS = 5


def desired_state(version, tenants):
    """Return a desired state with one route, which is not public."""
    return {
        "version": version,
        "routes": [route("ledger", "/ledger/", SERVICE, "non_idempotent")],
        "services": [service(SERVICE)],
        "limits": LIMITS,
        "tenants": tenants,
    }


async def test(rig):
    """Revoke the key of the only tenant, and send with it and with a key that never was."""
    runs = {}

    async def serve(worker, request, writer):
        attempt = request.headers["attempt-id"]
        tenant = request.headers.get("tenant")
        runs[attempt] = tenant
        rig.record.note(f"worker {worker.id} runs {attempt}, Tenant {tenant}")
        seal = {"Attempt-Id": attempt, "Server-Seal": f"seal.{worker.id}"}
        writer.write(answer_bytes(200, seal, b"written"))

    async def send(front, key):
        attempt = new_id()
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}
        headers["Authorization"] = f"Token {key}"
        reply = await call(
            front.address(FRONT), "POST", PATH, headers=headers, body=b"{}", limit_s=4
        )
        status = None if reply is None else reply.status
        rig.record.note(f"client sends {attempt} to {front.name} with {key}: {status}")
        return attempt, status

    rig.start()
    for zone in rig.zones:
        await rig.add_worker(SERVICE, serve, zone=zone)
    tenant = {"name": "tenant-1", "apiKeys": [KEY], "priority": 1}
    if not await rig.publish(desired_state(3, [tenant])):
        raise CannotRunError("the first desired state was not acknowledged")
    await rig.wait_until_ready()
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 1)
    for front in rig.fronts:
        attempt, status = await send(front, KEY)
        if status != 200 or runs.get(attempt) != "tenant-1":
            raise CannotRunError("a request with a valid key is not served")
        attempt, status = await send(front, NEVER_HELD)
        if attempt in runs:
            return [f"ROUTE: {attempt} ran, whose key no desired state ever held"]
    if has_trouble() and not await rig.publish(desired_state(4, [])):
        raise CannotRunError("the second desired state was not acknowledged")
    # Judged is only what is sent well after `configApplyMs` from the confirmation.
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 2)
    breaks = []
    for _ in range(ROUNDS):
        for front in rig.fronts:
            attempt, _ = await send(front, NEVER_HELD)
            if attempt in runs:
                breaks.append(f"ROUTE: {attempt} ran, whose key no desired state ever held")
            attempt, _ = await send(front, KEY)
            if attempt in runs and has_trouble():
                breaks.append(f"CONFIG: {attempt} ran with a key that is dropped")
    return breaks


run_case(Path(__file__).resolve().parent, test, fronts=3)
