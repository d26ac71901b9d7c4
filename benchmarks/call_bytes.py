"""Measure the bytes of calls besides gossip: a full configuration, a change, a claim.

    .venv/bin/python -m benchmarks.call_bytes

Sizes are as routers count them: bodies as sent plus estimates for headers, segments
and connections.
"""

import asyncio
import hashlib
import socket
from random import Random

from grpclib.server import Server

from damaskwind.decisions.claims.messages import Outcome, StoredAnswer
from damaskwind.decisions.pacing.pacer import FILL_SHARE, STREAM_DEBT_S
from damaskwind.model.configuration import ClientAccount, Configuration, PriorityClass
from damaskwind.model.targets import Address
from damaskwind.model.verdict import Verdict
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.claims.tests.holders import CLUSTER, KEY, Holders
from damaskwind.router.configuration.upstream import Upstream
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, CallVerifier
from damaskwind.wire.follow_service import FollowService

ACCOUNTS = (10, 100, 1400)
BUDGETS_BYTES_PER_S = (4096, 14_000)
KEYED_CALLS = 100
ANSWER_BYTES = 500


def configuration(account_count: int, revision: int, concurrent: int = 32) -> Configuration:
    """Return a configuration whose first account has the limit `concurrent`."""
    names = [f"account-{i}" for i in range(account_count)]
    accounts = {
        name: ClientAccount(
            name,
            tuple(hashlib.sha256(f"{name}-{i}".encode()).hexdigest() for i in range(2)),
            "interactive",
            concurrent if name == names[0] else 32,
            20_000.0,
        )
        for name in names
    }
    classes = {"interactive": PriorityClass("interactive", 0, 4)}
    return Configuration(revision, priority_classes=classes, accounts=accounts)


async def measure_configurations(account_count: int) -> None:
    """Fetch the full configuration and then a change of one account."""
    service = FollowService(CallVerifier(CLUSTER, KEY), lambda: True, lambda *report: None)
    service.publish(configuration(account_count, 1))
    server = Server([service])
    listening = socket.create_server(("127.0.0.1", 0))
    await server.start(sock=listening)
    address = Address(*listening.getsockname())
    upstream = Upstream("r", "d", CallSigner(CLUSTER, KEY, "r"))
    await upstream.fetch(address, 0)
    full_bytes = upstream.received_bytes + upstream.sent_bytes
    service.publish(configuration(account_count, 2, 33))
    await upstream.fetch(address, 1)
    change_bytes = upstream.received_bytes + upstream.sent_bytes - full_bytes
    server.close()
    await server.wait_closed()
    print(f"{account_count} accounts: whole {full_bytes} B, one change {change_bytes} B, by fetch")
    for budget in BUDGETS_BYTES_PER_S:
        print(
            f"  at {budget} B/s: the whole is {full_bytes / budget:.1f} s of the budget,"
            f" news waits {min(full_bytes / budget, STREAM_DEBT_S) / FILL_SHARE:.1f} s at most"
        )


async def measure_claims() -> None:
    """Claim keys and record their outcomes at three holders."""
    holders = Holders()
    await holders.start_all()
    addresses = list(holders.addresses.items())
    client = ClaimsClient(addresses, CLUSTER, KEY, "r", Random(1), read_clock)
    answer = StoredAnswer(200, "application/json", b"x" * ANSWER_BYTES, "digest")
    for number in range(KEYED_CALLS):
        granted = await client.claim(f"{number:032x}", "d" * 32, f"r.{number:016x}", 5.0)
        await client.record(f"{number:032x}", granted.accepted, Outcome(Verdict.RAN, answer), 5.0)
    sent, received = client.sent_bytes / KEYED_CALLS, client.received_bytes / KEYED_CALLS
    await client.close()
    await holders.close()
    print(f"keyed call: sent {sent:.0f} B, received {received:.0f} B (n={KEYED_CALLS})")


async def main() -> None:
    """Run all measurements."""
    for account_count in ACCOUNTS:
        await measure_configurations(account_count)
    await measure_claims()


if __name__ == "__main__":
    asyncio.run(main())
