"""Start and stop a control replica of a fleet whose replicas find each other."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from loguru import logger

from damaskwind.control.fleet.calls import ControlCalls
from damaskwind.control.fleet.document_shelf import DocumentShelf
from damaskwind.control.fleet.evacuation_calls import EvacuationCalls
from damaskwind.control.fleet.evacuations_site import EVACUATIONS_PATH, EvacuationsSite
from damaskwind.control.fleet.fatal_requests_site import FATAL_REQUESTS_PATH, FatalRequestsSite
from damaskwind.control.fleet.kept_state import (
    KeptState,
    StateKeeper,
    mark_first_start,
    read_kept_state,
    was_first_start,
)
from damaskwind.control.fleet.news_board import NewsBoard
from damaskwind.control.fleet.news_site import NewsSite
from damaskwind.control.fleet.settings import FleetControlSettings
from damaskwind.control.operator_api.ports import ProposalPort
from damaskwind.control.state.fleet_state import FleetState
from damaskwind.control.state.published_configuration import PublishedConfiguration
from damaskwind.control.storage.files import FileSystem
from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.fatal_requests.suspicion import MAX_REQUESTS, Standing
from damaskwind.decisions.following.read_redirection import ReadRedirector
from damaskwind.decisions.load.held_sums import HeldCount
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.clock import read_clock
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

# Loaded part by part after the news are served, with the loop's turn in between:
# routers wait for nothing else. Not in a thread: one start in some thousand ended
# with an illegal instruction there (docs/FINDINGS.md).
_LOG_PARTS = (
    "grpclib.server",
    "grpclib.client",
    "damaskwind.wire.replication_pb2",
    "damaskwind.wire.replication_grpc",
    "damaskwind.decisions.replication.core",
    "damaskwind.control.replica.node",
    "damaskwind.control.fleet.log_host",
)
# Routers look for a lost replica every 0.15 s at the longest; while modules are
# loaded, the loop answers nobody, and all routers would wait for the last of them.
NEWS_FIRST_S = 0.15
# A target's forgetting and a replica's search for peers need no more precision.
UPKEEP_S = 0.5
# Callers keep connections between heartbeats (1.2 s) and orders.
CONTROL_LIMITS = ServerLimits(body_bytes=8 * 1024 * 1024, idle_timeout_s=30.0)
NEWS_LIMITS = ServerLimits(idle_timeout_s=30.0)


Handler = Callable[[ControlCalls, EvacuationCalls, Exchange], Awaitable[None]]


class FleetControl:
    """One running replica: its log, its news and its calls.

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
        self.board = NewsBoard(
            self._version, self._is_current, self._hosts, self._leads, self._evacuations
        )
        self._folder = Path(settings.data_folder)
        self._kept = KeptState()
        self._may_found = settings.may_found
        self._keeper: StateKeeper | None = None
        self.calls = ControlCalls(
            self._access,
            self._machine,
            self.board,
            decode,
            self._bears_a_loss,
            ReadRedirector(settings.link_bytes_per_s, settings.news_port, self._random),
        )
        self.evacuation_calls = EvacuationCalls(
            self._access,
            lambda: self._log_state().orders,
            self._bears_a_loss,
            settings.failure_domains,
        )
        self._control = HttpServer(self._handle, CONTROL_LIMITS)
        self.tallies = Tallies()
        self.calls.tallies = self.evacuation_calls.tallies = self.tallies
        self._shelf = DocumentShelf()
        site = NewsSite(self.board, self._shelf, self.tallies, settings.link_bytes_per_s)
        self._news = HttpServer(site.handle, NEWS_LIMITS)
        self._load = LoadMeter(self.tallies, self._slowest_call_s)
        self._metrics = MetricsSite(self.tallies)
        self._metrics.handlers[FATAL_REQUESTS_PATH] = FatalRequestsSite(self.board).handle
        evacuations = EvacuationsSite(self.evacuation_calls, self.board)
        self._metrics.handlers[EVACUATIONS_PATH] = evacuations.handle
        self._show_gauges()
        self._links: dict[str, NewsLink] = {}
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open the sockets, then the disk."""
        settings = self.settings
        self._recall()
        self._news.listen(settings.host, settings.news_port)
        self._control.listen(settings.host, settings.control_port)
        if settings.metrics_port:
            self._metrics.listen(settings.host, settings.metrics_port)
        self.follow(settings.seed_hosts)
        self._load.start()
        self._spawn(self._upkeep())
        await asyncio.sleep(NEWS_FIRST_S)
        for name in _LOG_PARTS:
            module = import_module(name)
            await asyncio.sleep(0)
        settings = settings._replace(may_found=self._may_found)
        self._log = module.LogHost(
            settings, self._files, self._random, self._applied, self._started_s, self.tallies
        )
        await self._log.open()

    async def stop(self) -> None:
        """Finish the calls in hand and close the disk."""
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
        await self._keeper.close()
        await self._news.stop_listening()
        self._news.abort()
        await self._metrics.stop()

    def _show_gauges(self) -> None:
        """Show what this replica believes now."""
        show, board = self.tallies.gauge, self.board
        show("configuration_version", "version known to be committed", self._version)
        show("replica_is_current", "1 while sure to be current", lambda: float(self._is_current()))
        show("replicas", "members of the log", lambda: len(self._hosts()))
        show("targets_serving", "targets that take work", lambda: len(board.table.serving()))
        show("routers", "routers that ask here", board.routers)
        show("requests_suspected", "in hand where targets ended", self._suspected)
        show("requests_held_fatal", "sent no more, as targets end", self._held_fatal)
        show("failure_domains_evacuated", "emptied by operators", self._evacuated)
        show("log_opened", "1 while the disk is usable", lambda: float(self._access() is not None))

    def _suspected(self) -> float:
        return self.board.suspicions.count(Standing.SUSPECTED, read_clock())

    def _held_fatal(self) -> float:
        return self.board.suspicions.count(Standing.FATAL, read_clock())

    def _evacuated(self) -> float:
        return float(len(self._evacuations().failure_domains))

    def _recall(self) -> None:
        """Take up what was known before a restart.

        A replica that may found the first cluster may still do so after a
        restart, though its settings then say that the system is not new.
        """
        if self.settings.may_found:
            mark_first_start(self._folder, self._files)
        self._may_found = self.settings.may_found or was_first_start(self._folder)
        self._kept = read_kept_state(self._folder, self._files)
        # How long ago they were cold is not known, and they tell it themselves within a heartbeat.
        self.board.merge((item._replace(cold_s=0.0) for item in self._kept.records), ())
        self.board.suspect(self._kept.suspicions)
        if self._kept.version:
            self._shelf.put(self._kept.version, unpack_document(self._kept.packed))
        self._keeper = StateKeeper(self._folder, self._files, self._mark, self._state)
        logger.info(
            "state recalled",
            version=self._kept.version,
            targets=len(self._kept.records),
            evacuations=self._kept.evacuations,
        )

    def _mark(self) -> tuple[int, ...]:
        """Return what grows whenever there is something new to keep."""
        return (
            self._version(),
            self.board.table.revision,
            self.board.suspicions.revision,
            self._evacuations().revision,
        )

    def _state(self) -> KeptState:
        """Return what is to be kept."""
        records = self.board.table.changed_since(0).records
        suspicions, _ = self.board.suspicions.changed_since(0, MAX_REQUESTS, read_clock())
        return KeptState(self._version(), self._packed(), records, suspicions, self._evacuations())

    def _version(self) -> int:
        """Return the newest version known to be committed."""
        return max(self._machine().version, self._kept.version)

    def _evacuations(self) -> Evacuations:
        """Return the newest evacuations known to be committed."""
        return max(self._log_state().orders.evacuations(), self._kept.evacuations)

    def _packed(self) -> bytes:
        """Return the document of that version."""
        is_newer = self._machine().version >= self._kept.version
        return self._machine().packed if is_newer else self._kept.packed

    def _leads(self) -> bool:
        return self._log is not None and self._log.leads

    def _is_current(self) -> bool:
        return self._log is not None and self._log.is_current

    def _bears_a_loss(self) -> bool:
        return self._log is not None and self._log.bears_a_loss

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

    def _applied(self) -> None:
        """Have subscribers look at the version."""
        self._shelf.put(self._machine().version, self._machine().document)
        self.board.wake()

    async def _upkeep(self) -> None:
        """Find new peers and forget old targets."""
        while True:
            await asyncio.sleep(UPKEEP_S)
            self.follow(self._hosts())
            self._keeper.consider()
            self.board.suspicions.forget(read_clock())
            for target_id in self.board.table.forget(read_clock()):
                logger.info("target forgotten", target=target_id)

    def follow(self, hosts: tuple[str, ...]) -> None:
        """Follow the news of every other replica."""
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
        """Return which targets are known here."""
        return self.board.table.digest

    def held_counts(self, host: str) -> tuple[HeldCount, ...]:
        """Return nothing: replicas send nothing to targets."""
        return ()

    def service_counts(self) -> tuple[ServiceReport, ...]:
        """Return nothing, for the same reason."""
        return ()

    def is_first(self, host: str) -> bool:
        """Tell that every replica is asked for changes at once: all of them tell routers."""
        return True

    def recently_seen_targets(self) -> tuple[LastSeen, ...]:
        """Return nothing: who reports here is told to those that ask."""
        return ()

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return nothing, for the same reason."""
        return ()

    def handle_news(self, host: str, news: News) -> None:
        """Merge what another replica knows."""
        self.board.merge(news.records, news.last_seen)
        self.board.suspect(news.suspicions)

    def handle_loss(self, host: str) -> None:
        """Do nothing: the link tries again."""

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))
