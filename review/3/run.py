"""A worker's `DELETE` is confirmed; then every process is killed at the same moment."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from case import WorkerProcess, desired_state, play, route, send, with_trouble  # noqa: E402
from fleet import DRAIN_S, STABLE_WINDOW_S, ZONES  # noqa: E402

DOWN_S = 0.5
# The worker serves for this long after the confirmation ("at times many seconds").
LINGER_S = 14.0
RATE_PER_S = 30.0


async def callers(fleet, answers, sent):
    """Send idempotent requests to all routers."""
    tasks = set()
    while True:
        router = random.choice(fleet.routers)
        sent_s = time.monotonic()

        async def one(router=router, sent_s=sent_s):
            answer = await send(fleet, router, "/p/plain/20", limit_s=3.0)
            answers.append(answer)
            sent[answer.attempt] = (sent_s, router)

        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def main(fleet):
    """Play the case; return what broke the rule."""
    await fleet.start()
    await fleet.publish(
        desired_state(route("r", "/p/", "idempotent", timeoutMs=3000, targetLatencyMs=300))
    )
    workers = [WorkerProcess(fleet, n, ZONES[n % 3]) for n in range(3)]
    for worker in workers:
        await worker.wait_for("beat")
    await fleet.wait_ready()
    answers, sent = [], {}
    calling = asyncio.create_task(callers(fleet, answers, sent))
    await asyncio.sleep(6.0)
    leaving = workers[0]
    leaving.order("leave")
    confirmed = await leaving.wait_for("leave confirmed")
    confirmed_s = confirmed["at"]
    fleet.note("leave was confirmed", worker=leaving.id, node=confirmed["node"])
    stable_from_s = confirmed_s
    if with_trouble():
        for program in fleet.programs:
            program.kill()
        fleet.note("all processes killed", after_ms=int((time.monotonic() - confirmed_s) * 1000))
        await asyncio.sleep(DOWN_S)
        for program in fleet.programs:
            program.start()
        stable_from_s = time.monotonic()
        fleet.note("all processes started")
    # All machines are in touch from here on, and the time to drain has passed.
    judged_from_s = max(confirmed_s + DRAIN_S, stable_from_s + STABLE_WINDOW_S)
    await asyncio.sleep(confirmed_s + LINGER_S - time.monotonic())
    leaving.order("exit")
    calling.cancel()
    await asyncio.sleep(3.5)
    broken = []
    served = sum(answer.status == 200 for answer in answers)
    fleet.note("answers", total=len(answers), ok=served)
    for event in leaving.events:
        if event["event"] != "run":
            continue
        known = sent.get(event["attempt"])
        if known is not None and known[0] > judged_from_s and event["at"] > judged_from_s:
            after_s = event["at"] - confirmed_s
            broken.append(
                f"DRAIN: request {event['attempt']}, sent by {known[1].name}, ran at"
                f" {leaving.id} {after_s:.2f} s after its leave was confirmed"
            )
    return broken


play(main, Path(__file__).with_name("record.txt"))
