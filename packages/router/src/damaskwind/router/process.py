"""Start and stop a router: its sockets, its parts and how they hang together."""

import asyncio
import json
import secrets
from pathlib import Path
from random import Random
from typing import Any

from loguru import logger
from twisted.internet.defer import ensureDeferred

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_codec import read_configuration_file
from damaskwind.model.targets import Address
from damaskwind.router.announcements import LocalAnnouncements
from damaskwind.router.caller_request import CallerLimits
from damaskwind.router.caller_site import CallerSite
from damaskwind.router.chat_path import ChatPath
from damaskwind.router.dispatcher import Dispatcher
from damaskwind.router.drain import Drain
from damaskwind.router.engine_client import EngineClient
from damaskwind.router.explain import ExplainLog
from damaskwind.router.front import Front
from damaskwind.router.gateway import Gateway
from damaskwind.router.operator_api import OperatorApi
from damaskwind.router.placing import Placing
from damaskwind.router.service_path import ServicePath
from damaskwind.router.target_client import TargetClient
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.telemetry import Telemetry
from damaskwind.router.waiting_room import WaitingRoom
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.settings import Settings, parse_address

__all__ = ["RouterProcess", "start_router"]

_REQUEST_ID_BYTES = 8
_LISTEN_BACKLOG = 1024


class RouterProcess:
    """One running router; `http_address` is where callers reach it."""

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self.settings = settings
        self._reactor = reactor
        router = settings.router
        node = settings.node
        random = Random(secrets.randbits(64))
        self.explain = ExplainLog(router.explain_records)
        self.gateway = Gateway(self.explain, reactor)
        self.telemetry = Telemetry(node.node_id)
        self.gateway.ended = self.telemetry.request_ended
        policy = self.gateway.configuration.policy
        self.directory = TargetDirectory(node.node_id, node.failure_domain, policy, reactor, random)
        self.membership = LocalAnnouncements(reactor)
        self.membership.subscribe(self.directory.handle_event)
        self.client = TargetClient(reactor)
        self.health = TargetHealth(reactor, random)
        self.directory.members_watcher = self.health.set_targets
        self.room = WaitingRoom(reactor)
        self.placing = Placing(
            self.directory,
            self.health,
            self.room,
            lambda: self.gateway.configuration,
            reactor,
        )
        self.dispatcher = Dispatcher(self.placing, self.health, reactor, random)
        self.dispatcher.attempt_ended = self.telemetry.attempt_ended
        self.telemetry.watch_parts(self.gateway, self.room, self.directory, self.explain)
        stall_timeout_s = router.body_timeout_s
        engines = EngineClient(self.client)
        chats = ChatPath(
            self.dispatcher,
            self.directory,
            engines,
            node.failure_domain,
            reactor,
            stall_timeout_s,
        )
        services = ServicePath(
            self.dispatcher, self.client, node.failure_domain, reactor, stall_timeout_s
        )
        front = Front(
            self.gateway, chats, services, self.membership, router.announce_key, self.not_ready
        )
        self.operators = OperatorApi(
            node.node_id,
            self.gateway,
            self.explain,
            self.directory,
            self.health,
            self.placing,
            self.membership,
            self.client,
            self.telemetry,
            self.state,
            reactor,
        )
        self.operators.install(front.app)
        limits = CallerLimits(
            router.header_timeout_s,
            router.body_timeout_s,
            lambda: self.gateway.configuration.policy.body_limit_bytes,
            self._new_request_id,
        )
        self.site = CallerSite(front.app.resource(), limits, reactor)
        self.http_address = parse_address(router.http_address)
        self._drain: Drain | None = None
        self._stopping: asyncio.Future | None = None

    def _new_request_id(self) -> str:
        """Return an id that names this router, so that any other can ask it."""
        return f"{self.settings.node.node_id}.{secrets.token_hex(_REQUEST_ID_BYTES)}"

    def not_ready(self) -> str:
        """Say why the balancer should send nothing here, or nothing when it may."""
        if self._drain is None or not self._drain.ready:
            return "draining"
        if self.gateway.configuration.revision == 0:
            return "no configuration yet"
        return ""

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.gateway.set_configuration(configuration)
        self.directory.set_policy(configuration.policy)
        self.health.set_policy(configuration.policy)
        self.dispatcher.set_policy(configuration.policy)
        self.room.set_classes(configuration.priority_classes)
        logger.info("configuration in force", revision=configuration.revision)

    def listen(self) -> None:
        """Open the socket towards callers."""
        host, port = self.http_address
        listener = self._reactor.listenTCP(port, self.site, interface=host, backlog=_LISTEN_BACKLOG)
        self.http_address = Address(host, listener.getHost().port)
        router = self.settings.router
        self._drain = Drain(
            self.site, listener, self._reactor, router.drain_delay_s, router.drain_limit_s
        )

    def write_ready_file(self) -> None:
        """Tell whoever started this process its addresses, when a file is set."""
        path = self.settings.router.ready_file
        if path:
            partial = Path(f"{path}.partial")
            partial.write_text(json.dumps(self.addresses()), encoding="utf-8")
            partial.replace(path)

    def addresses(self) -> dict[str, str]:
        """Return the bound addresses by name."""
        return {"http_address": str(self.http_address)}

    def state(self) -> dict[str, Any]:
        """Return what operators see of this router."""
        node = self.settings.node
        return {
            "router_id": node.node_id,
            "region": node.region,
            "failure_domain": node.failure_domain,
            "revision_in_force": self.gateway.configuration.revision,
            "ready": not self.not_ready(),
            "not_ready_because": self.not_ready(),
            "requests_in_progress": self.gateway.in_progress,
            "requests_queued": len(self.room),
            "targets": len(self.directory.views()),
            "addresses": self.addresses(),
        }

    async def stop(self) -> None:
        """Drain, then release everything; a second call waits for the first."""
        if self._stopping is None:
            self._stopping = asyncio.ensure_future(self._stop())
        await asyncio.shield(self._stopping)

    async def _stop(self) -> None:
        """Do what `stop` says."""
        await to_future(self._drain.stop())
        self.membership.stop()
        await to_future(ensureDeferred(self.client.close()))
        self.telemetry.metrics.shutdown()


async def start_router(settings: Settings, reactor: Any = None) -> RouterProcess:
    """Start a router on the reactor that is installed and return it."""
    if reactor is None:
        from twisted.internet import reactor
    process = RouterProcess(settings, reactor)
    if settings.router.configuration_file:
        process.apply(read_configuration_file(Path(settings.router.configuration_file)))
    process.listen()
    process.write_ready_file()
    logger.info("router started", **process.addresses())
    return process
