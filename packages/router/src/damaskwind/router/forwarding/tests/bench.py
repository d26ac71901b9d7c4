"""A test case with one forwarder, scripted targets and a caller."""

import asyncio
from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.retries.shared_budget import BudgetTerms
from damaskwind.decisions.routing.table import RouteTable
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import (
    KeyedAccount,
    RouteKind,
    ServiceShare,
    TrafficConfiguration,
    TrafficRoute,
    TrafficService,
)
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.forwarder import Forwarder
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import ClientConnection, connect, fetch
from damaskwind.runtime.http1.messages import Answer, Request
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.standins.scripted_target import ScriptedTarget

__all__ = ["ForwarderTestCase", "route"]

NAMES = HeaderNames()
LIMIT_BYTES = 1 << 20


def route(kind=RouteKind.IDEMPOTENT, path="/a/", **changes):
    """Return a route to the service `pool`."""
    fields = {
        "name": f"route{path}",
        "host": "host",
        "path_prefix": path,
        "kind": kind,
        "shares": (ServiceShare("pool", 1.0),),
        "timeout_s": 2.0,
        "objective_s": 0.2,
        "max_attempts": 2,
        **changes,
    }
    return TrafficRoute(**fields)


class ForwarderTestCase(TestCase):
    """Two targets of the service `pool`, one forwarder, one account with the API key `key`."""

    timeout = 20
    has_contention = False

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.targets = [ScriptedTarget(NAMES) for _ in range(2)]
        self.view = FleetView("router", (), 1, lambda body: None, Random(1))
        for index, target in enumerate(self.targets):
            address = await target.start()
            self.admit(f"t{index}", address)
        self.publish(route())
        self.connections = TargetConnections()
        # Started long enough ago that the retry budget is full.
        started_s = read_clock() - 60.0
        self.forwarder = Forwarder(
            self.view,
            self.connections,
            NAMES,
            "domain",
            BudgetTerms(),
            1.2,
            Random(1),
            started_s,
            has_contention=self.has_contention,
        )
        self.server = HttpServer(self.forwarder.handle, ServerLimits(), self.make_memory())
        self.port = self.server.listen("127.0.0.1", 0)
        self.addCleanup(lambda: to_deferred(self.finish()))

    def make_memory(self):
        """Return the accounts of held bytes; none by default."""
        return

    async def finish(self):
        await self.server.stop_listening()
        self.server.abort()
        self.connections.close()
        for target in self.targets:
            await target.stop()
        await asyncio.sleep(0.05)

    def admit(self, target_id, address, phase=TargetPhase.SERVING, sequence=100, domain="domain"):
        record = TargetRecord(target_id, "pool", address, domain, phase, sequence, 8)
        self.view.targets.merge(record, read_clock())

    def publish(self, *routes, version=1):
        accounts = (KeyedAccount("account", ("key",)),)
        services = (TrafficService("pool"),)
        configuration = TrafficConfiguration(version, routes, services, accounts=accounts)
        self.view.table = RouteTable(configuration)

    def script(self, *steps):
        """Give each target its own copy of the same steps."""
        for target in self.targets:
            target.script = list(steps)

    def share(self, *steps):
        """Share one list of steps: the n-th request gets the n-th step, whatever its target."""
        steps = list(steps)
        for target in self.targets:
            target.script = steps

    def received(self):
        return [request for target in self.targets for request in target.received]

    async def connect(self) -> ClientConnection:
        connection = await connect(Address("127.0.0.1", self.port), 1.0)
        self.addCleanup(connection.abort)
        return connection

    async def call(self, connection=None, path=b"/a/x", request_id=b"r1", **extra) -> Answer:
        """Make one call; `extra` names headers with underscores."""
        connection = connection or await self.connect()
        return await fetch(connection, self.request(path, request_id, **extra), LIMIT_BYTES)

    def request(self, path=b"/a/x", request_id=b"r1", body=b"{}", **extra) -> Request:
        headers = {
            b"host": b"host",
            b"x-request-id": request_id,
            b"x-deadline-ms": b"1500",
            b"authorization": b"Bearer key",
        }
        headers.update(
            {key.replace("_", "-").encode(): value for key, value in extra.items() if value}
        )
        return Request(b"POST", path, list(headers.items()), body)
