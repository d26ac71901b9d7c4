"""Start and stop a router: create its components, connect them and open its sockets."""

import asyncio
import secrets
from pathlib import Path
from random import Random
from typing import Any

from loguru import logger
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from damaskwind.decisions.membership.outputs import Event, RouterGone, RouterJoined
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_codec import read_configuration_file
from damaskwind.model.targets import Address, LoadReport
from damaskwind.router.account_limits import AccountLimits
from damaskwind.router.announcements import Announcements
from damaskwind.router.caller_request import CallerLimits
from damaskwind.router.caller_site import CallerSite
from damaskwind.router.chat_path import ChatPath
from damaskwind.router.dispatcher import Dispatcher
from damaskwind.router.drain import Drain
from damaskwind.router.engine_client import EngineClient
from damaskwind.router.explain import ExplainLog
from damaskwind.router.failure_domains import all_failure_domains, near_failure_domains
from damaskwind.router.fleet_links import FleetLinks
from damaskwind.router.front import HttpFrontend
from damaskwind.router.gateway import Gateway
from damaskwind.router.idempotency import Idempotency
from damaskwind.router.operator_api import OperatorApi, RouterComponents
from damaskwind.router.peer_addresses import PeerAddresses
from damaskwind.router.placing import Placing
from damaskwind.router.request_queues import RequestQueues
from damaskwind.router.service_path import ServicePath
from damaskwind.router.target_client import TargetClient
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.target_signals import TargetSignalTracker
from damaskwind.router.telemetry import Telemetry
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.files import write_ready_file
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.limited_site import listen_with_small_buffers
from damaskwind.runtime.settings import Settings, parse_address

__all__ = ["RouterProcess", "start_router"]

_REQUEST_ID_BYTES = 8
_LISTEN_BACKLOG = 1024
_SPILL_INTERVAL_S = 0.25


class RouterProcess:
    """One running router; `http_address` is where callers reach it."""

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self.settings = settings
        self._near_domains = near_failure_domains(settings)
        self._reactor = reactor
        random = Random(secrets.randbits(64))
        self.links = FleetLinks(settings, reactor, random)
        self.membership = self.links.membership
        self.client = TargetClient(reactor)
        self.telemetry = Telemetry(settings.node.node_id)
        self._make_decisions(random)
        self._make_frontend()
        self._spill_notes_loop = LoopingCall(self._publish_spill_notes)
        self._spill_notes_loop.clock = reactor
        self._drain: Drain | None = None
        self._stopping: asyncio.Future | None = None

    def _make_decisions(self, random: Random) -> None:
        """Create the components that decide on requests: placement, health, queues, limits."""
        settings, reactor = self.settings, self._reactor
        node = settings.node
        self.explain = ExplainLog(settings.router.explain_records)
        self.idempotency = Idempotency(self.links.claims, reactor)
        self.gateway = Gateway(self.explain, self.idempotency, reactor)
        self.gateway.on_request_ended = self.telemetry.request_ended
        policy = self.gateway.configuration.policy
        self.directory = TargetDirectory(
            node.node_id, node.failure_domain, self._near_domains, policy, reactor, random
        )
        self.health = TargetHealth(reactor, random)
        self.signals = TargetSignalTracker(self.directory.find, reactor)
        self.directory.on_members_changed = self.health.set_targets
        self.queues = RequestQueues(reactor)
        self.limits = AccountLimits(
            node.node_id,
            node.failure_domain,
            all_failure_domains(settings),
            self.membership,
            reactor,
            is_alone=not settings.router.seeds,
        )
        self.placing = Placing(
            self.directory,
            self.health,
            self.signals,
            self.queues,
            lambda: self.gateway.configuration,
            reactor,
            random,
        )
        self.dispatcher = Dispatcher(
            self.placing, self.limits, self.health, self.signals, reactor, random
        )
        self.dispatcher.on_attempt_ended = self.telemetry.attempt_ended

    def _make_frontend(self) -> None:
        """Create the HTTP interfaces for callers, targets and operators."""
        router, reactor = self.settings.router, self._reactor
        announcements = Announcements(self.membership, router.announce_key, self._observe_load)
        frontend = HttpFrontend(
            self.gateway, self._chat_path(), self._service_path(), announcements, self.not_ready
        )
        self.peers = PeerAddresses(self.membership, reactor)
        OperatorApi(self._router_components(), reactor).install(frontend.app)
        limits = CallerLimits(
            router.header_timeout_s,
            router.body_timeout_s,
            lambda: self.gateway.configuration.policy.body_limit_bytes,
            self._new_request_id,
        )
        limit = ConnectionLimit("callers", router.max_connections)
        self.site = CallerSite(frontend.app.resource(), limits, reactor, limit)
        self.http_address = parse_address(router.http_address)

    def _chat_path(self) -> ChatPath:
        """Return the handler of chats."""
        return ChatPath(
            self.dispatcher,
            EngineClient(self.client),
            self.settings.node.failure_domain,
            self.telemetry,
            self._observe_answer,
            self._reactor,
            self.settings.router.body_timeout_s,
        )

    def _service_path(self) -> ServicePath:
        """Return the handler of calls to plain services."""
        return ServicePath(
            self.dispatcher,
            self.client,
            self.settings.node.failure_domain,
            self._reactor,
            self.settings.router.body_timeout_s,
        )

    def _router_components(self) -> RouterComponents:
        """Return the components that the operator API reads."""
        return RouterComponents(
            router_id=self.settings.node.node_id,
            gateway=self.gateway,
            explain=self.explain,
            directory=self.directory,
            health=self.health,
            signals=self.signals,
            placing=self.placing,
            membership=self.membership,
            client=self.client,
            telemetry=self.telemetry,
            peers=self.peers,
            own_state=self.state,
        )

    def _new_request_id(self) -> str:
        """Return an id that contains this router's id, so that any router can look it up."""
        return f"{self.settings.node.node_id}.{secrets.token_hex(_REQUEST_ID_BYTES)}"

    def not_ready(self) -> str:
        """Return why the router is not ready, or an empty text if it is ready."""
        if self._drain is None or not self._drain.ready:
            return "draining"
        if self.gateway.configuration.revision == 0:
            return "no configuration yet"
        if self.limits.is_learning:
            return "learning which shares of the account limits are in use"
        return ""

    def apply(self, configuration: Configuration) -> None:
        """Apply a configuration to all components."""
        self.directory.set_policy(configuration.policy)
        self.health.set_policy(configuration.policy)
        self.dispatcher.set_policy(configuration.policy)
        self.queues.set_classes(configuration.priority_classes)
        self.limits.set_configuration(configuration)
        self.gateway.set_configuration(configuration)
        self.directory.capacity_changed()

    def _handle_event(self, event: Event) -> None:
        """Apply a membership event."""
        self.directory.handle_event(event)
        if isinstance(event, RouterJoined | RouterGone):
            domains = [router.failure_domain for router in self.membership.routers()]
            # Behind a network partition no router of a domain is live here. Chats with a home
            # in that domain would only fail.
            self.directory.set_near_domains(set(domains).intersection(self._near_domains))
            near = sum(domain in self._near_domains for domain in domains)
            own = domains.count(self.settings.node.failure_domain)
            self.directory.set_router_counts(max(1, near), max(1, own))

    def _observe_load(self, target_id: str, report: LoadReport) -> None:
        """Apply a load report that a target announced here."""
        self.directory.observe_report(target_id, report)
        self.directory.capacity_changed()

    def _observe_answer(self, target_id: str, report: LoadReport) -> None:
        """Apply a load report from an engine's answer, and share it with the peers."""
        self.directory.observe_report(target_id, report)
        self.membership.observe_load(target_id, report)

    def _publish_spill_notes(self) -> None:
        """Publish to peers where chats were served away from their homes."""
        notes = self.directory.pop_spill_notes()
        if notes:
            self.membership.publish_spills(notes)

    async def start(self) -> None:
        """Open every socket, the one for callers last."""
        await self.links.start(self._handle_event, self.apply)
        file = self.settings.router.configuration_file
        if file:
            self.apply(read_configuration_file(Path(file)))
        self._spill_notes_loop.start(_SPILL_INTERVAL_S, now=False)
        self.telemetry.watch_components(self.gateway, self.queues, self.directory, self.explain)
        self.telemetry.watch_control(self.membership.counters)
        if self.links.claims is not None:
            self.telemetry.watch_claims(self.links.claims)
        self._listen()
        self.peers.own_address = str(self.http_address)
        write_ready_file(self.settings.router.ready_file, self.addresses())

    def _listen(self) -> None:
        """Open the listening socket for callers."""
        host, port = self.http_address
        listener = listen_with_small_buffers(
            self._reactor, port, self.site, interface=host, backlog=_LISTEN_BACKLOG
        )
        self.http_address = Address(host, listener.getHost().port)
        router = self.settings.router
        self._drain = Drain(
            self.site, listener, self._reactor, router.drain_delay_s, router.drain_limit_s
        )

    def addresses(self) -> dict[str, str]:
        """Return the bound addresses by name."""
        return {
            "http_address": str(self.http_address),
            "datagram_address": str(self.links.datagram_address),
            "peer_address": str(self.links.peer_address),
        }

    def state(self) -> dict[str, Any]:
        """Return the state of this router for operators."""
        node = self.settings.node
        return {
            "router_id": node.node_id,
            "region": node.region,
            "failure_domain": node.failure_domain,
            "revision_in_force": self.gateway.configuration.revision,
            "may_be_behind": self.links.follower.may_be_behind,
            "ready": not self.not_ready(),
            "not_ready_because": self.not_ready(),
            "requests_in_progress": self.gateway.in_progress,
            "requests_queued": len(self.queues),
            "targets": len(self.directory.views()),
            "routers": sorted(router.router_id for router in self.membership.routers()),
            "addresses": self.addresses(),
            "control_traffic": self.membership.counters(),
        }

    async def stop(self) -> None:
        """Drain, then release all resources; a second call waits for the first."""
        if self._stopping is None:
            self._stopping = asyncio.ensure_future(self._stop())
        await asyncio.shield(self._stopping)

    async def _stop(self) -> None:
        """Drain and release all resources."""
        await to_future(self._drain.stop())
        self._spill_notes_loop.stop()
        self.limits.stop()
        await to_future(ensureDeferred(self.client.close()))
        await to_future(ensureDeferred(self.idempotency.flush()))
        await self.links.stop()
        self.telemetry.metrics.shutdown()


async def start_router(settings: Settings, reactor: Any = None) -> RouterProcess:
    """Start a router on the installed reactor and return it."""
    if reactor is None:
        from twisted.internet import reactor
    process = RouterProcess(settings, reactor)
    await process.start()
    logger.info("router started", **process.addresses())
    return process
