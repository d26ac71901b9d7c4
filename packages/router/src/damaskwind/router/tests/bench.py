"""Start a router with stand-in targets in this process, for tests."""

import asyncio
import os
from hashlib import sha256
from typing import Any

from openai import AsyncOpenAI
from twisted.internet import reactor

from damaskwind.model.configuration import (
    ClientAccount,
    Configuration,
    Model,
    ModelGrant,
    ModelVersion,
    OperatorKey,
    Policy,
    PriorityClass,
    Service,
    ServiceRoute,
)
from damaskwind.router.process import RouterProcess, start_router
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.settings import NodeSettings, RouterSettings, Settings
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.service import ServiceStandin
from damaskwind.standins.settings import AnnounceSettings, EngineSettings, ServiceSettings

__all__ = [
    "ACCOUNT_KEY",
    "ANNOUNCE_KEY",
    "OPERATOR_KEY",
    "OTHER_KEY",
    "TestBench",
    "make_configuration",
]

ACCOUNT_KEY = "key-of-library"
OTHER_KEY = "key-of-registry"
ANNOUNCE_KEY = f"announce-{os.getpid()}"
OPERATOR_KEY = "operator"
CLUSTER = f"test-{os.getpid()}"
CLUSTER_KEY = "cluster-key"


def hash_of(key: str) -> str:
    """Return the hash under which a key is stored."""
    return sha256(key.encode()).hexdigest()


def make_configuration(
    queue_timeout_s: float = 5.0, max_concurrent_requests: int = 500, **policy: Any
) -> Configuration:
    """Return a small configuration: two accounts, one model, one plain service."""
    adapters = ("ledger", "secret")
    library = ClientAccount(
        "library",
        (hash_of(ACCOUNT_KEY),),
        "normal",
        max_concurrent_requests,
        1e9,
        (ModelGrant("damask", "1", ("ledger",)),),
        ("edge-api",),
    )
    registry = ClientAccount("registry", (hash_of(OTHER_KEY),), "normal", 2, 1e9)
    routes = (
        ServiceRoute("/status", ("GET",), True),
        ServiceRoute("/migrate", ("POST",), False, 5.0),
    )
    return Configuration(
        revision=1,
        accounts={"library": library, "registry": registry},
        priority_classes={"normal": PriorityClass("normal", 0, 1, queue_timeout_s=queue_timeout_s)},
        models={
            "damask": Model(
                "damask",
                "damask-pool",
                "1",
                (ModelVersion("1", adapters), ModelVersion("2", ())),
            )
        },
        services={
            "damask-pool": Service("damask-pool", "engine", max_concurrent_requests=500),
            "edge-api": Service("edge-api", "service", routes),
        },
        operators={"ops": OperatorKey("ops", hash_of(OPERATOR_KEY), ("viewer", "confirmer"))},
        policy=Policy(**policy),
    )


def make_settings(node_id: str = "router-1", **router: Any) -> Settings:
    """Return settings for a router on free ports."""
    fields = {
        "http_address": "127.0.0.1:0",
        "datagram_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "announce_key": ANNOUNCE_KEY,
        "drain_delay_s": 0.05,
        "drain_limit_s": 10.0,
        **router,
    }
    node = NodeSettings(node_id, CLUSTER, CLUSTER_KEY, "local", "local")
    return Settings(node, RouterSettings(**fields))


class TestBench:
    """A router, its engines and its plain services."""

    def __init__(self) -> None:
        self.router: RouterProcess
        self.engines: list[EngineStandin] = []
        self.services: list[ServiceStandin] = []
        self.peers: list[RouterProcess] = []
        self.client: AsyncOpenAI

    async def start(
        self,
        engines: int = 1,
        services: int = 0,
        configuration: Configuration | None = None,
        engine_fields: dict[str, Any] | None = None,
        **router: Any,
    ) -> "TestBench":
        """Start the router and the targets, and wait until the router knows all targets."""
        self.router = await start_router(make_settings(**router), reactor)
        self.router.apply(configuration or make_configuration())
        announce = AnnounceSettings((str(self.router.http_address),), ANNOUNCE_KEY, 0.2, 2.0)
        fields = {"token_interval_s": 0.002, "load_lag_s": 0.0, **(engine_fields or {})}
        for number in range(engines):
            settings = EngineSettings(f"engine-{number + 1}", announce=announce, **fields)
            self.engines.append(EngineStandin(settings, reactor))
        for number in range(services):
            settings = ServiceSettings(f"service-{number + 1}", announce=announce)
            self.services.append(ServiceStandin(settings, reactor))
        for target in [*self.engines, *self.services]:
            await target.start()
        await self.until(lambda: len(self.router.directory.views()) == engines + services)
        self.client = AsyncOpenAI(
            api_key=ACCOUNT_KEY, base_url=f"{self.url}/v1", max_retries=0, timeout=20
        )
        return self

    async def start_peer(self, node_id: str, **router: Any) -> RouterProcess:
        """Start another router and wait until it is ready and knows all targets."""
        seeds = (str(self.router.links.datagram_address),)
        peer = await start_router(make_settings(node_id, seeds=seeds, **router), reactor)
        self.peers.append(peer)
        peer.apply(self.router.gateway.configuration)
        known = len(self.router.directory.views())
        await self.until(lambda: len(peer.directory.views()) == known)
        # A router that joins others becomes ready after one lease of the account limits.
        await self.until(lambda: not peer.not_ready(), limit_s=15)
        return peer

    @property
    def url(self) -> str:
        """Return the base URL of the router."""
        return f"http://{self.router.http_address}"

    async def until(self, condition: Any, limit_s: float = 10.0) -> None:
        """Wait until a condition holds; fail after a deadline."""
        deadline_s = reactor.seconds() + limit_s
        while not condition():
            if reactor.seconds() > deadline_s:
                raise AssertionError("the condition did not become true in time")
            await asyncio.sleep(0.005)

    def stopped(self) -> Any:
        """Return a Deferred that fires when everything has stopped, for test clean-up."""
        return to_deferred(self.stop())

    async def stop(self) -> None:
        """Stop everything."""
        await self.client.close()
        for target in [*self.engines, *self.services]:
            await target.stop()
        posting = [target.announcer for target in (*self.engines, *self.services)]
        await self.until(lambda: not any(announcer._is_posting for announcer in posting))
        for router in [*self.peers, self.router]:
            await router.stop()
