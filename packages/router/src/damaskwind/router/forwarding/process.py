"""Start and stop a router that forwards requests by a published configuration."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

from loguru import logger

from damaskwind.decisions.fatal_requests.suspicion import Standing
from damaskwind.decisions.target_signals.signal_table import TargetSignal
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.router.forwarding.answers_in_hand import RELAYED_BOUND_BYTES, AnswersInHand
from damaskwind.router.forwarding.attempt_relay import AttemptRelay
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.forwarder import Forwarder
from damaskwind.router.forwarding.heartbeat_relay import HeartbeatRelay
from damaskwind.router.forwarding.peer_links import PeerLinks
from damaskwind.router.forwarding.settings import ROUTER_ADDRESSES, ForwardingSettings
from damaskwind.router.forwarding.status_site import ROUTER_STATUS_PATH, RouterStatusSite
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.unanswered_requests import UnansweredRequests
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.connection_limits import open_connection_limits
from damaskwind.runtime.held_bytes import HeldBytes, open_account
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.metrics_site import MetricsSite
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.peers import REACH_PATH
from damaskwind.wire.slot_grants import SLOTS_PATH

__all__ = ["ForwardingRouter"]

# Time for which a draining router still serves new connections: the load balancer checks its
# health once a second and stops sending after two failed checks.
LAME_DUCK_S = 2.6
# A short grace period is divided: requests that come last need some of it to be answered.
MAX_LAME_DUCK_SHARE = 0.5
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.6
# Of that part, what the answers of requests that did not end in time may take.
END_S = 0.15
# The headers that routers add to a request: its target, deadline, account and key.
ADDED_HEADER_BYTES = 4096
# A readiness check has no body; a small one is ignored.
READY_LIMITS = ServerLimits(body_bytes=65_536, idle_timeout_s=60.0)


ReportHandler = Callable[[HeartbeatRelay, Exchange], Awaitable[None]]


class ForwardingRouter:
    """One running router. `handle_report` answers reports of targets on the internal address."""

    def __init__(
        self,
        settings: ForwardingSettings,
        decode: Callable[[bytes], TrafficConfiguration],
        names: HeaderNames,
        handle_report: ReportHandler | None = None,
    ) -> None:
        random = Random(secrets.randbits(64))
        self.settings = settings
        self.view = FleetView(
            settings.node_id,
            settings.seed_hosts,
            settings.news_port,
            decode,
            random,
            settings.internal_host,
            settings.link_bytes_per_s,
            settings.failure_domain,
        )
        self.view.on_configuration.append(self._apply_limits)
        if handle_report is not None:
            self.view.relay.fallback_handler = partial(handle_report, self.view.heartbeats)
        self.connections = TargetConnections()
        self.tallies = self.view.documents.tallies = Tallies()
        self.forwarder = Forwarder(
            self.view,
            self.connections,
            names,
            settings.failure_domain,
            settings.budget,
            settings.heartbeat_s,
            random,
            region_of=settings.region_of,
            tallies=self.tallies,
            has_contention=settings.has_contention,
        )
        self.held_bytes = self._make_held_bytes(names)
        limits = open_connection_limits(
            ROUTER_ADDRESSES,
            settings.max_sockets,
            settings.max_connections,
            self.held_bytes,
            self.tallies,
        )
        self.view.relay.bound(self.held_bytes, limits["internal"])
        self.answers = AnswersInHand(RELAYED_BOUND_BYTES, self.tallies)
        self.peers, self.attempt_relay = self._make_relay(names, random)
        self._metrics = MetricsSite(self.tallies, self.held_bytes, limits["metrics"])
        self._metrics.handlers[ROUTER_STATUS_PATH] = RouterStatusSite(self.view).handle
        unanswered = UnansweredRequests(names, self.tallies)
        self._callers = HttpServer(
            self.forwarder.handle,
            ServerLimits(read_ahead_bytes=settings.read_ahead_bytes),
            self.held_bytes,
            unanswered.record,
            self._count_refused,
            are_limits_known=False,
            is_refused_by_head=self.forwarder.is_refused_by_head,
            limit=limits["callers"],
        )
        self._ready = HttpServer(
            self._answer_ready, READY_LIMITS, self.held_bytes, limit=limits["ready"]
        )
        self._register_gauges()
        self.is_draining = False
        self._was_ready = False

    def _count_refused(self, status: int) -> None:
        """Count a request that was refused before it was read whole."""
        self.tallies.count("requests", outcome=f"refused {status}", kind="unread")

    def _make_relay(self, names: HeaderNames, random: Random) -> tuple[PeerLinks, AttemptRelay]:
        """Return the links to other routers, and what sends requests on for these.

        They are used where this router serves others on an internal address.
        """
        settings, target_states = self.settings, self.forwarder.target_states
        peers = PeerLinks(
            self.view, settings.news_port, settings.failure_domain, settings.region_of, random
        )
        relay = AttemptRelay(
            target_states,
            self.forwarder.sender,
            names,
            settings.node_id,
            self.tallies,
            settings.memory_bytes,
        )
        self.connections.answers = peers.connections.answers = self.answers
        if settings.internal_host:
            target_states.reach.attach(peers)
            self.view.relay.forward_handler = relay.forward
            self.view.relay.handlers[REACH_PATH] = relay.answer_question
            target_states.brittle.permits.port = settings.news_port
            self.view.relay.handlers[SLOTS_PATH] = target_states.brittle.granting.answer
        return peers, relay

    def _make_held_bytes(self, names: HeaderNames) -> HeldBytes:
        """Return the account of held bytes; with contention those at targets are bounded too."""
        if self.settings.has_contention:
            bodies = TargetBodies(lambda: self.view.routers, self.tallies)
            self.forwarder.bound_target_bodies(bodies)
        return open_account(self.settings.memory_bytes, names, self.tallies)

    async def start(self) -> None:
        """Open the sockets and subscribe to the replicas."""
        settings = self.settings
        self._callers.listen(*settings.caller_address)
        self._ready.listen(*settings.ready_address)
        if settings.metrics_port:
            self._metrics.listen(settings.caller_address.host, settings.metrics_port)
        self.view.start()

    def _register_gauges(self) -> None:
        """Register the gauges of this router's current state."""
        show, view = self.tallies.gauge, self.view
        show("requests_in_progress", "requests being answered", lambda: self._callers.active)
        show("configuration_version", "version in force", view.known_version)
        lag = view.documents.lag
        show("configuration_behind_seconds", "newer known", lambda: lag.behind_s(read_clock()))
        show("targets_serving", "targets that take work", lambda: len(view.targets.serving()))
        show("replicas_heard", "replicas heard lately", view.count_reachable_replicas)
        show("documents_passed_on", "to other routers", lambda: view.relay.documents_served)
        show("routers", "routers that the replicas count", lambda: view.routers)
        show("requests_waiting", "held for a place at a target", self.forwarder.admissions.queued)
        show("connections_opened", "to targets", lambda: self.connections.opened)
        show("requests_suspected", "in hand where targets ended", self._suspected)
        show("requests_held_fatal", "sent no more, as targets end", self._held_fatal)
        show("targets_cold", "that bear few requests", self.forwarder.target_states.cold.count)
        show(
            "targets_resting",
            "that asked for no requests",
            partial(self._count_signals, TargetSignal.REST),
        )
        show(
            "targets_said_leaving", "in an answer", partial(self._count_signals, TargetSignal.LEAVE)
        )
        show("failure_domains_evacuated", "emptied by operators", self._evacuated)
        reach = self.forwarder.target_states.reach
        brittle = self.forwarder.target_states.brittle
        show("services_brittle", "whose targets say so", brittle.count)
        show("slots_held", "of brittle targets, by this router", brittle.permits.count)
        show("slots_granted", "of brittle targets, by this router", brittle.granting.grants.count)
        show("services_unreachable", "no target of which is reached", reach.count_unreachable)
        show("services_relayed", "reached through other routers", reach.count_relayed)
        show("requests_relayed_out", "in flight through others", self.peers.in_flight)
        show("requests_relayed_in", "in flight for others", lambda: self.attempt_relay.in_flight)
        speeds = self.forwarder.target_states.target_speeds
        show("targets_slow", "that report to be", lambda: speeds.speeds.count_slow(read_clock()))
        show("speed_reports", "received from targets", lambda: speeds.reports)
        show("speed_lasting_seconds", "of figures", lambda: speeds.speeds.lasting_s)
        memory = self.forwarder.memory
        if memory is not None:
            show("engine_tokens_held", "held at engines by all routers", memory.held_tokens)
            show("engine_memory_fullest", "share of the fullest engine", memory.fullest_share)
        if self.forwarder.shedding is not None:
            shedding = self.forwarder.shedding
            show("shed_services", "of which requests are shed", shedding.shed_services)
            show("cutoff_age_seconds", "since the replica sent it", shedding.cutoff_age_s)
        hedged = self.forwarder.hedged_sends
        show("second_sends_enabled", "1 if overdue requests are sent again", self._hedges)
        show("second_sends_in_progress", "at two targets now", lambda: hedged.in_progress)
        show("ready", "1 while callers should come", lambda: float(self.is_ready))
        show("answer_bytes", "of answers being read", lambda: self.answers.held_bytes)
        show("answer_bytes_bound", "that may be in hand", lambda: self.answers.bound_bytes)
        self.held_bytes.register_gauges()
        bodies = self.forwarder.steps.target_bodies
        if bodies is not None:
            show("target_body_bytes", "at the target that has most", bodies.max_in_hand_bytes)

    def _count_signals(self, signal: TargetSignal) -> float:
        return self.forwarder.target_states.signals.count(signal, read_clock())

    def _evacuated(self) -> float:
        return float(len(self.view.evacuations.failure_domains))

    def _hedges(self) -> float:
        return float(self.forwarder.hedged_sends.is_enabled)

    def _suspected(self) -> float:
        return self.view.suspicions.count(Standing.SUSPECTED)

    def _held_fatal(self) -> float:
        return self.view.suspicions.count(Standing.FATAL)

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers to this router."""
        has_targets = any(True for _ in self.view.targets.serving())
        return not self.is_draining and self.view.table is not None and has_targets

    async def stop(self) -> None:
        """Drain: finish requests in progress, serving new ones until the load balancer reacts."""
        started_s = read_clock()
        serving_s = self.settings.grace_s - EXIT_MARGIN_S
        lame_duck_s = min(LAME_DUCK_S, MAX_LAME_DUCK_SHARE * serving_s)
        limit_s = started_s + serving_s
        self.forwarder.stop_window.begin(limit_s, started_s + lame_duck_s)
        self.is_draining = self.attempt_relay.is_draining = True
        self._callers.close_after_answers()
        logger.info("drain begun", active=self._callers.active)
        await asyncio.sleep(lame_duck_s)
        await self._callers.stop_listening()
        self._callers.close_idle()
        is_quiet = await self._callers.wait_until_idle(limit_s - read_clock())
        active = self._callers.active
        if not is_quiet:
            await self._callers.end_requests(END_S)
        await self.attempt_relay.wait_until_idle(limit_s - read_clock())
        logger.info(
            "drain ended",
            is_quiet=is_quiet,
            active=active,
            took_s=round(read_clock() - started_s, 2),
        )
        await self.forwarder.target_states.reach.stop()
        await self.peers.close()
        await self.view.stop()
        self.connections.close()

    def follow(self, seed_hosts: tuple[str, ...]) -> None:
        """Subscribe to seeds that changed settings name."""
        self.view.follow(seed_hosts)

    def _apply_limits(self, configuration: TrafficConfiguration) -> None:
        """Apply the published limits to callers' connections."""
        ahead_bytes = self.settings.read_ahead_bytes
        limits = ServerLimits(*configuration.limits, read_ahead_bytes=ahead_bytes)
        self._callers.limits = limits
        self._callers.are_limits_known = True
        # A request that is sent on has some more headers than its caller sent.
        header_bytes = limits.header_bytes + ADDED_HEADER_BYTES
        body_bytes = max(limits.body_bytes, ServerLimits().body_bytes)
        self.view.relay.limit_requests(
            ServerLimits(header_bytes, body_bytes, read_ahead_bytes=ahead_bytes)
        )

    async def _answer_ready(self, exchange: Exchange) -> None:
        """Answer a readiness check: 200 if callers should be sent here, otherwise 503."""
        is_ready = self.is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            logger.info("readiness changed", ready=is_ready, version=self.view.known_version())
        exchange.respond(Answer(200 if is_ready else 503, []))
