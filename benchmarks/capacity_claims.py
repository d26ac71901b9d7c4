"""Measure the cost of a claim at the holders and at the router separately.

    .venv/bin/python -m benchmarks.capacity_claims [--holders 5]

The holders run in this process, the client in a child process. As for a keyed
request, a claim consists of its two phases and the record of its outcome.
"""

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import time
from random import Random
from typing import Any, NamedTuple

from damaskwind.decisions.claims.key import request_digest
from damaskwind.decisions.claims.messages import ClaimKind, Outcome, StoredAnswer
from damaskwind.model.targets import Address
from damaskwind.model.verdict import Verdict
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.claims.tests.holders import CLUSTER, KEY, Holders
from damaskwind.runtime.clock import read_clock

__all__ = ["ClaimCosts", "measure_claims"]

WAIT_S = 120.0
WARM_UP = 20
SERIAL_CLAIMS = 200
PARALLEL_CLAIMS = 600
PARALLEL = 16
ANSWER = StoredAnswer(200, "application/json", b"x" * 300, "0" * 32)


class ClaimCosts(NamedTuple):
    """Costs of one claim with its record; processor times except for the delays."""

    holders: int
    holder_ms: float
    router_ms: float
    delay_p50_ms: float
    delay_p95_ms: float


async def _drive(addresses: list[tuple[str, Address]]) -> dict[str, float]:
    """Claim and record keys, first one at a time and then concurrently."""
    client = ClaimsClient(addresses, CLUSTER, KEY, "router", Random(1), read_clock)
    digest = request_digest("POST", "/x", b"body")

    async def claim(key: str) -> float:
        started_s = time.perf_counter()
        outcome = await client.claim(key, digest, f"request-{key}", 30.0)
        delay_s = time.perf_counter() - started_s
        if outcome.kind != ClaimKind.GRANTED:
            raise RuntimeError(f"claim of a fresh key: {outcome}")
        await client.record(key, outcome.accepted, Outcome(Verdict.RAN, ANSWER), 30.0)
        return delay_s

    for number in range(WARM_UP):
        await claim(f"w{number}")
    delays_s = [await claim(f"s{number}") for number in range(SERIAL_CLAIMS)]
    percentiles_s = statistics.quantiles(delays_s, n=100)
    semaphore = asyncio.Semaphore(PARALLEL)

    async def claim_limited(key: str) -> None:
        async with semaphore:
            await claim(key)

    print("begin", flush=True)
    sys.stdin.readline()
    cpu_s = time.process_time()
    await asyncio.gather(*(claim_limited(f"p{number}") for number in range(PARALLEL_CLAIMS)))
    spent_s = time.process_time() - cpu_s
    await client.close()
    return {"router_s": spent_s, "p50_s": percentiles_s[49], "p95_s": percentiles_s[94]}


async def _measure(count: int) -> ClaimCosts:
    """Serve claims for a client in a child process and measure the holders."""
    holders = Holders(count)
    await holders.start_all()
    command = [sys.executable, "-m", "benchmarks.capacity_claims", "--drive"]
    child = subprocess.Popen(
        [*command, json.dumps([[name, *address] for name, address in holders.addresses.items()])],
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        text=True,
    )
    loop = asyncio.get_running_loop()
    try:
        if not await loop.run_in_executor(None, child.stdout.readline):
            raise RuntimeError("the client did not run")
        cpu_s = time.process_time()
        output, _ = await loop.run_in_executor(
            None, lambda: child.communicate("\n", timeout=WAIT_S)
        )
        spent_s = time.process_time() - cpu_s
    finally:
        await holders.close()
    figures: dict[str, Any] = json.loads(output)
    return ClaimCosts(
        count,
        spent_s / PARALLEL_CLAIMS / count * 1e3,
        figures["router_s"] / PARALLEL_CLAIMS * 1e3,
        figures["p50_s"] * 1e3,
        figures["p95_s"] * 1e3,
    )


def measure_claims(count: int) -> ClaimCosts:
    """Measure the cost of claims at `count` holders for one holder and the router."""
    return asyncio.run(_measure(count))


def main() -> None:
    """Print the costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--holders", default="3,5")
    parser.add_argument("--drive", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.drive:
        addresses = [(name, Address(host, port)) for name, host, port in json.loads(options.drive)]
        print(json.dumps(asyncio.run(_drive(addresses))))
        return
    for count in map(int, options.holders.split(",")):
        costs = measure_claims(count)
        print("; ".join(f"{name} {value:.4g}" for name, value in costs._asdict().items()))


if __name__ == "__main__":
    main()
