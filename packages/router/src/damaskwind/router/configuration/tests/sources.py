"""Replicas and routers that serve configurations, for tests of the follower."""

import asyncio
import socket
from random import Random

from grpclib.server import Server

from damaskwind.model.configuration import ClientAccount, Configuration, PriorityClass
from damaskwind.model.targets import Address
from damaskwind.wire.authentication import CallVerifier
from damaskwind.wire.follow_service import FollowService

__all__ = [
    "LARGE",
    "PermissiveVerifier",
    "Source",
    "large_revision",
    "revision",
    "serve",
    "until",
]

DEADLINE_S = 10.0


def revision(number):
    classes = {"c": PriorityClass("c", 0, number)}
    return Configuration(number, priority_classes=classes)


def large_revision(number):
    """Return a large configuration that does not compress well."""
    random = Random(number)
    accounts = {
        f"a{i}": ClientAccount(f"a{i}", (random.randbytes(32).hex(),), "c", 8, 1000.0)
        for i in range(2000)
    }
    return revision(number)._replace(accounts=accounts)


LARGE = large_revision(10)


async def until(condition):
    """Wait until a condition holds, or fail."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DEADLINE_S
    while not condition():
        if loop.time() > end_s:
            raise AssertionError("condition never held")
        await asyncio.sleep(0.005)


async def serve(server):
    """Start a server on a free port and return its address."""
    listening = socket.create_server(("127.0.0.1", 0))
    await server.start(sock=listening)
    return Address(*listening.getsockname())


class PermissiveVerifier(CallVerifier):
    """Accept every caller."""

    def verify(self, method, body, metadata):
        return "anyone"


class Source:
    """A replica, or a router, that serves configurations."""

    def __init__(self, number=0, is_current=True, verifier=None):
        self.is_current = is_current
        self.reports = {}
        verifier = verifier or CallVerifier("kl", "key")
        self.calls = 0
        self.service = FollowService(
            verifier, lambda: self.is_current, self._report, heartbeat_s=0.1
        )
        self.service.publish(revision(number))
        self.server = None

    def _report(self, router_id, failure_domain, applied):
        self.reports[router_id] = applied
        self.calls += 1

    async def start(self):
        self.server = Server([self.service])
        self.address = await serve(self.server)
        return self

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()
