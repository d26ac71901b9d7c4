"""Start and stop a control replica of a fleet whose replicas discover each other."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from loguru import logger

from damaskwind.control.fleet.calls import ControlCalls
from damaskwind.control.fleet.document_cache import DocumentCache
from damaskwind.control.fleet.evacuation_calls import EvacuationCalls
from damaskwind.control.fleet.evacuations_site import EVACUATIONS_PATH, EvacuationsSite
from damaskwind.control.fleet.fatal_requests_site import FATAL_REQUESTS_PATH, FatalRequestsSite
from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.fleet.news_site import NewsSite
from damaskwind.control.fleet.saved_state import (
    SavedState,
    StateWriter,
    mark_first_start,
    read_saved_state,
    was_first_start,
)
from damaskwind.control.fleet.settings import REPLICA_ADDRESSES, FleetControlSettings
from damaskwind.control.operator_api.ports import ProposalPort
from damaskwind.control.state.fleet_state import FleetState
from damaskwind.control.state.published_configuration import PublishedConfiguration
from damaskwind.control.storage.files import FileSystem
from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.shed_counts import ShedReport
from damaskwind.decisions.fatal_requests.suspicion import MAX_REQUESTS, Standing
from damaskwind.decisions.following.read_redirection import ReadRedirector
from damaskwind.decisions.load.held_sums import HeldCount
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.connection_limits import open_connection_limits
from damaskwind.runtime.held_bytes import open_account
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.load_meter import LoadMeter
from damaskwind.runtime.metrics_site import MetricsSite
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import LastSeen, News, SubscriberKind, unpack_document
from damaskwind.wire.news_link import NewsLink

if TYPE_CHECKING:
    from damaskwind.control.fleet.log_host import LogHost

__all__ = ["FleetControl"]

# Modules of the log, imported one by one once updates are served, yielding to the event loop
# in between: routers need nothing else from a starting replica. They are not imported in a
# thread: about one start in a thousand ended there with an illegal instruction
# (docs/FINDINGS.md).
_LOG_MODULES = (
    "grpclib.server",
    "grpclib.client",
    "damaskwind.wire.bounded_server",
    "damaskwind.wire.replication_pb2",
    "damaskwind.wire.replication_grpc",
    "damaskwind.decisions.replication.core",
    "damaskwind.control.replica.node",
    "damaskwind.control.fleet.log_host",
)
# Routers try to reconnect to a lost replica at least every 0.15 s. Imports block the event loop,
# so routers that connect during an import would wait until the last module is loaded.
LOG_LOAD_DELAY_S = 0.15
# Removing old targets and discovering peers need no finer interval.
MAINTENANCE_INTERVAL_S = 0.5
# Callers keep connections open between heartbeats (1.2 s) and orders.
CONTROL_LIMITS = ServerLimits(body_bytes=8 * 1024 * 1024, idle_timeout_s=30.0)
NEWS_LIMITS = ServerLimits(idle_timeout_s=30.0)


Handler = Callable[[ControlCalls, EvacuationCalls, Exchange], Awaitable[None]]


class FleetControl:
    """One running replica: its log, its update feed and its calls.

    `started_s` is when its process started, in monotonic seconds; by default now.
    """

    def __init__(
        self,
        settings: FleetControlSettings,
        decode: Callable[[bytes], TrafficConfiguration],
        handler: Handler,
        files: FileSystem | None = None,
        started_s: float | None = None,
    ) -> None:
        self.settings = settings
        self._files = files or FileSystem()
        self._random = Random(secrets.randbits(64))
        self._handler = handler
        self._started_s = read_clock() if started_s is None else started_s
        self._no_log = FleetState()
        self._log: LogHost | None = None
        self.feed = NewsFeed(
            self._version, self._is_current, self._hosts, self._is_leader, self._evacuations
        )
        self._folder = Path(settings.data_folder)
        self._saved_state = SavedState()
        self._may_found = settings.may_found
        self._state_writer: StateWriter | None = None
        self.calls = ControlCalls(
            self._access,
            self._machine,
            self.feed,
            decode,
            self._has_enough_voters,
            ReadRedirector(settings.link_bytes_per_s, settings.news_port, self._random),
        )
        self.evacuation_calls = EvacuationCalls(
            self._access,
            lambda: self._log_state().orders,
            self._has_enough_voters,
            settings.failure_domains,
        )
        self.tallies = Tallies()
        self.held_bytes = open_account(settings.memory_bytes, HeaderNames(), self.tallies)
        limits = open_connection_limits(
            REPLICA_ADDRESSES,
            settings.max_sockets,
            settings.max_connections,
            self.held_bytes,
            self.tallies,
        )
        self._log_limit = limits["log"]
        self._control = HttpServer(
            self._handle,
            CONTROL_LIMITS._replace(read_ahead_bytes=settings.read_ahead_bytes),
            self.held_bytes,
            limit=limits["control"],
        )
        self.calls.tallies = self.evacuation_calls.tallies = self.tallies
        self._documents = DocumentCache()
        site = NewsSite(self.feed, self._documents, self.tallies, settings.link_bytes_per_s)
        self._news = HttpServer(site.handle, NEWS_LIMITS, self.held_bytes, limit=limits["news"])
        self._load = LoadMeter(self.tallies, self._slowest_call_s)
        self._metrics = MetricsSite(self.tallies, self.held_bytes, limits["metrics"])
        self._metrics.handlers[FATAL_REQUESTS_PATH] = FatalRequestsSite(self.feed).handle
        evacuations = EvacuationsSite(self.evacuation_calls, self.feed)
        self._metrics.handlers[EVACUATIONS_PATH] = evacuations.handle
        self._register_gauges()
        self._links: dict[str, NewsLink] = {}
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open the sockets, then recover the log from disk."""
        settings = self.settings
        self._restore_state()
        self._news.listen(settings.host, settings.news_port)
        self._control.listen(settings.host, settings.control_port)
        if settings.metrics_port:
            self._metrics.listen(settings.host, settings.metrics_port)
        self.follow(settings.seed_hosts)
        self._load.start()
        self._spawn(self._run_maintenance())
        await asyncio.sleep(LOG_LOAD_DELAY_S)
        for name in _LOG_MODULES:
            module = import_module(name)
            await asyncio.sleep(0)
        settings = settings._replace(may_found=self._may_found)
        self._log = module.LogHost(
            settings,
            self._files,
            self._random,
            self._on_applied,
            self._started_s,
            self.tallies,
            self._log_limit,
        )
        await self._log.open()

    async def stop(self) -> None:
        """Finish the calls in progress and close the log."""
        self._control.close_after_answers()
        await self._control.stop_listening()
        self._control.close_idle()
        await self._control.wait_until_idle(1.5)
        self._load.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            await link.stop()
        if self._log is not None:
            await self._log.close()
        await self._state_writer.close()
        await self._news.stop_listening()
        self._news.abort()
        await self._metrics.stop()

    def _register_gauges(self) -> None:
        """Register gauges for the state of this replica."""
        show, feed = self.tallies.gauge, self.feed
        show("configuration_version", "version known to be committed", self._version)
        show("replica_is_current", "1 while sure to be current", lambda: float(self._is_current()))
        show("replicas", "members of the log", lambda: len(self._hosts()))
        show("targets_serving", "targets that take work", lambda: len(feed.table.serving()))
        show("routers", "routers that ask here", feed.router_count)
        show("shed_services", "of which requests are shed", feed.shedding.shed_services)
        show("requests_suspected", "in hand where targets ended", self._suspected_count)
        show("requests_held_fatal", "sent no more, as targets end", self._fatal_count)
        show("failure_domains_evacuated", "emptied by operators", self._evacuated_count)
        self.held_bytes.register_gauges()
        show("log_opened", "1 while the disk is usable", lambda: float(self._access() is not None))

    def _suspected_count(self) -> float:
        return self.feed.suspicions.count(Standing.SUSPECTED, read_clock())

    def _fatal_count(self) -> float:
        return self.feed.suspicions.count(Standing.FATAL, read_clock())

    def _evacuated_count(self) -> float:
        return float(len(self._evacuations().failure_domains))

    def _restore_state(self) -> None:
        """Restore the state saved before a restart.

        A replica that may found the first cluster may still do so after a
        restart, though its settings then say that the system is not new.
        """
        if self.settings.may_found:
            mark_first_start(self._folder, self._files)
        self._may_found = self.settings.may_found or was_first_start(self._folder)
        self._saved_state = read_saved_state(self._folder, self._files)
        # How old the saved cold times are is unknown; targets report them again within a heartbeat.
        self.feed.merge((item._replace(cold_s=0.0) for item in self._saved_state.records), ())
        self.feed.merge_suspicions(self._saved_state.suspicions)
        if self._saved_state.version:
            self._documents.put(
                self._saved_state.version, unpack_document(self._saved_state.packed)
            )
        self._state_writer = StateWriter(
            self._folder, self._files, self._state_revisions, self._current_state
        )
        logger.info(
            "state recalled",
            version=self._saved_state.version,
            targets=len(self._saved_state.records),
            evacuations=self._saved_state.evacuations,
            link_bytes_per_s=self.settings.link_bytes_per_s,
        )

    def _state_revisions(self) -> tuple[int, ...]:
        """Return revisions that grow whenever there is something new to save."""
        return (
            self._version(),
            self.feed.table.revision,
            self.feed.suspicions.revision,
            self._evacuations().revision,
        )

    def _current_state(self) -> SavedState:
        """Return the state to save."""
        records = self.feed.table.changed_since(0).records
        suspicions, _ = self.feed.suspicions.changed_since(0, MAX_REQUESTS, read_clock())
        return SavedState(
            self._version(), self._packed_document(), records, suspicions, self._evacuations()
        )

    def _version(self) -> int:
        """Return the newest version known to be committed."""
        return max(self._machine().version, self._saved_state.version)

    def _evacuations(self) -> Evacuations:
        """Return the newest evacuations known to be committed."""
        return max(self._log_state().orders.evacuations(), self._saved_state.evacuations)

    def _packed_document(self) -> bytes:
        """Return the packed document of the newest version known to be committed."""
        is_newer = self._machine().version >= self._saved_state.version
        return self._machine().packed if is_newer else self._saved_state.packed

    def _is_leader(self) -> bool:
        return self._log is not None and self._log.is_leader

    def _is_current(self) -> bool:
        return self._log is not None and self._log.is_current

    def _has_enough_voters(self) -> bool:
        return self._log is not None and self._log.has_enough_voters

    def _hosts(self) -> tuple[str, ...]:
        return self._log.hosts() if self._log else ()

    def _slowest_call_s(self) -> float:
        return self._log.slowest_call_s() if self._log else 0.0

    def _access(self) -> ProposalPort | None:
        return self._log.access if self._log else None

    def _log_state(self) -> FleetState:
        return self._log.state if self._log else self._no_log

    def _machine(self) -> PublishedConfiguration:
        return self._log_state().configuration

    async def _handle(self, exchange: Exchange) -> None:
        """Answer a call of an operator or a target."""
        await self._handler(self.calls, self.evacuation_calls, exchange)

    def _on_applied(self) -> None:
        """Cache the applied document and wake the subscribers."""
        self._documents.put(self._machine().version, self._machine().document)
        self.feed.wake()

    async def _run_maintenance(self) -> None:
        """Discover peers, save changed state and remove old entries, periodically."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.follow(self._hosts())
            self._state_writer.write_if_changed()
            self.feed.suspicions.forget(read_clock())
            for target_id in self.feed.table.forget(read_clock()):
                logger.info("target forgotten", target=target_id)

    def follow(self, hosts: tuple[str, ...]) -> None:
        """Subscribe to the updates of every other replica."""
        for host in hosts:
            if host == self.settings.host or host in self._links:
                continue
            address = Address(host, self.settings.news_port)
            link = NewsLink(
                self.settings.node_id,
                SubscriberKind.REPLICA,
                address,
                self,
                self._random,
            )
            self._links[host] = link
            link.start()

    def table_digest(self) -> int:
        """Return the digest of the target table."""
        return self.feed.table.digest

    def held_counts(self, host: str) -> tuple[HeldCount, ...]:
        """Return nothing: replicas send no requests to targets."""
        return ()

    def service_counts(self) -> tuple[ServiceReport, ...]:
        """Return nothing: replicas send no requests to services."""
        return ()

    def held_tokens(self, host: str) -> None:
        """Return nothing: replicas send no requests to engines."""
        return

    def shed_reports(self) -> tuple[ShedReport, ...]:
        """Return nothing: replicas receive no requests of callers."""
        return ()

    def peer_endpoint(self) -> PeerEndpoint:
        """Return nothing: replicas send no requests on."""
        return NO_PEER

    def known_peers_digest(self) -> int:
        """Return 0: replicas need no peers."""
        return 0

    def brittle_report(self) -> None:
        """Return nothing: replicas send nothing to targets."""

    def is_cut_off(self) -> bool:
        """Return false: replicas send nothing to targets."""
        return False

    def is_first(self, host: str) -> bool:
        """Return true: every replica is asked for all changes, since each one serves routers."""
        return True

    def recently_seen_targets(self) -> tuple[LastSeen, ...]:
        """Return nothing: subscribers get the heartbeats received here from the update feed."""
        return ()

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return nothing: subscribers get new records from the update feed."""
        return ()

    def handle_news(self, host: str, news: News) -> None:
        """Merge updates from another replica."""
        self.feed.merge(news.records, news.last_seen)
        self.feed.merge_suspicions(news.suspicions)

    def handle_loss(self, host: str) -> None:
        """Do nothing: the link reconnects by itself."""

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))
