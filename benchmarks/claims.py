"""Measure claims: processor cost, latency, memory of a record and catch-up.

Run `.venv/bin/python benchmarks/claims.py`. It times the pure voting, then
claims through grpclib against holders in this process, one at a time and
concurrently. The two phases of FAB are compared with a lower bound of any
leader-based protocol: one unary call, and one call that waits for another.
"""

import asyncio
import statistics
import time
import tracemalloc
from random import Random

from damaskwind.decisions.claims.codec import encode_claim_message
from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.decisions.claims.key import claim_key, request_digest
from damaskwind.decisions.claims.messages import (
    CatchUpRead,
    ClaimKind,
    ClaimValue,
    Order,
    Outcome,
    Record,
    StoredAnswer,
)
from damaskwind.decisions.claims.proposer import ClaimProposer
from damaskwind.model.verdict import Verdict
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.claims.tests.holders import CLUSTER, KEY, Holders
from damaskwind.runtime.clock import read_clock

RECORDS = 20_000
PURE_CLAIMS = 5_000
SERIAL_CLAIMS = 300
PARALLEL_CLAIMS = 600
PARALLEL = 32
ANSWER_BYTES = 300
WIRE_OVERHEAD = "HTTP/2 frames, headers and TCP/IP not counted"


def holder_group(count: int) -> dict[str, ClaimHolder]:
    """Return voting holders without any I/O."""
    ids = [f"h{number}" for number in range(count)]
    policy = HolderPolicy(max_records=RECORDS + 1)
    return {name: ClaimHolder(name, 1, ids, policy, 0.0, True) for name in ids}


def claim_pure(holders: dict[str, ClaimHolder], key: str, request_id: str) -> int:
    """Claim a key without any network; return the bytes of the messages."""
    proposer = ClaimProposer(key, ClaimValue(request_id, "d" * 32), tuple(holders))
    pending = list(proposer.start_round().messages)
    size_bytes = 0
    while pending:
        holder_id, message = pending.pop(0)
        holder = holders[holder_id]
        handle = holder.order if isinstance(message, Order) else holder.write
        reply = handle(message, 0.0)
        size_bytes += len(encode_claim_message(message)) + len(encode_claim_message(reply))
        pending += proposer.handle_reply(holder_id, message.ballot, reply).messages
    return size_bytes


def measure_pure() -> None:
    """Time the voting and count the bytes of its message bodies."""
    for count in (3, 5):
        holders = holder_group(count)
        started_s = time.process_time()
        size_bytes = 0
        for number in range(PURE_CLAIMS):
            size_bytes = claim_pure(holders, claim_key("a", str(number)), f"request-{number:08d}")
        cost_us = (time.process_time() - started_s) / PURE_CLAIMS * 1e6
        print(
            f"pure voting, {count} holders: {cost_us:.0f} us a claim with codec,"
            f" {size_bytes} bytes of bodies ({WIRE_OVERHEAD})"
        )


def measure_memory() -> None:
    """Measure the memory of records with and without an answer, and a full catch-up."""
    for answer_bytes in (0, ANSWER_BYTES):
        tracemalloc.start()
        holders = holder_group(1)
        (holder,) = holders.values()
        for number in range(RECORDS):
            key = claim_key("a", str(number))
            claim_pure(holders, key, f"request-{number:08d}")
            if answer_bytes:
                accepted = holder.order(Order(key, (9, "x")), 0.0).accepted
                body = number.to_bytes(8, "big") * (answer_bytes // 8)
                answer = StoredAnswer(200, "application/json", body, f"{number:032x}")
                holder.record(Record(key, accepted, Outcome(Verdict.RAN, answer)), 0.0)
        size_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"memory: {size_bytes / RECORDS:.0f} bytes a record, answer of {answer_bytes} bytes")
    started_s = time.process_time()
    full = encode_claim_message(holder.read_all(CatchUpRead("h1", 2), 0.0))
    cost_s = time.process_time() - started_s
    print(f"catch-up: {RECORDS} records are {len(full)} bytes, {cost_s:.3f} s to give out")


async def timed(action) -> float:
    """Await an action and return its duration in milliseconds."""
    started_s = time.perf_counter()
    await action
    return (time.perf_counter() - started_s) * 1000


def summary(samples_ms: list[float]) -> str:
    """Format the median and the 95th percentile."""
    percentiles = statistics.quantiles(samples_ms, n=100)
    return f"median {percentiles[49]:.2f} ms, 95 in 100 within {percentiles[94]:.2f} ms"


async def measure_calls(count: int) -> None:
    """Time claims through grpclib with the client and the holders in this process."""
    holders = Holders(count)
    await holders.start_all()
    addresses = list(holders.addresses.items())
    client = ClaimsClient(addresses, CLUSTER, KEY, "router", Random(1), read_clock)
    digest = request_digest("POST", "/x", b"body")

    async def claim(key: str) -> None:
        outcome = await client.claim(key, digest, f"request-{key}", 30.0)
        if outcome.kind != ClaimKind.GRANTED:
            raise RuntimeError(f"claim of a fresh key: {outcome}")

    await claim("warm")
    message = Order("one-call", (1, "x"))
    single = []
    for number in range(SERIAL_CLAIMS):
        order = message._replace(key=f"one-call-{number}")
        single.append(await timed(client._call(addresses[0][0], order, 5.0)))
    print(f"{count} holders, one unary call: {summary(single)}")
    serial = [await timed(claim(f"s{number}")) for number in range(SERIAL_CLAIMS)]
    print(f"{count} holders, claims one at a time: {summary(serial)}")
    started_s, cpu_s = time.perf_counter(), time.process_time()
    semaphore = asyncio.Semaphore(PARALLEL)

    async def claim_limited(key: str) -> None:
        async with semaphore:
            await claim(key)

    await asyncio.gather(*(claim_limited(f"p{number}") for number in range(PARALLEL_CLAIMS)))
    wall_s, spent_s = time.perf_counter() - started_s, time.process_time() - cpu_s
    print(
        f"{count} holders, {PARALLEL} at once: {PARALLEL_CLAIMS / wall_s:.0f} claims/s,"
        f" {spent_s / PARALLEL_CLAIMS * 1000:.2f} ms of processor time a claim, both sides"
    )
    await client.close()
    await holders.close()


def main() -> None:
    """Print all figures."""
    measure_pure()
    measure_memory()
    for count in (3, 5):
        asyncio.run(measure_calls(count))


if __name__ == "__main__":
    main()
