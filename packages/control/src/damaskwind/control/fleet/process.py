"""Start and stop a control replica of a fleet whose replicas find each other."""

import asyncio
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

from grpclib.server import Server
from loguru import logger

from damaskwind.control.fleet.calls import ControlCalls
from damaskwind.control.fleet.kept_state import KeptState, StateKeeper, read_kept_state
from damaskwind.control.fleet.news_board import NewsBoard
from damaskwind.control.fleet.news_site import NewsSite
from damaskwind.control.fleet.settings import FleetControlSettings
from damaskwind.control.replica.node import ReplicaNode, open_replica
from damaskwind.control.state.published_configuration import PublishedConfiguration
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.http1.server import Exchange, HttpServer, ServerLimits
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings
from damaskwind.wire.news import News, SubscriberKind
from damaskwind.wire.news_link import NewsLink

__all__ = ["FleetControl"]

# Entries of a whole document each (some 10 KB): a snapshot every 64 keeps the
# log below a megabyte.
SNAPSHOT_EVERY_ENTRIES = 64
HEARTBEAT_S = 0.25
ELECTION_TIMEOUT_S = 1.0
# A target's forgetting and a replica's search for peers need no more precision.
UPKEEP_S = 0.5
# Pause before a failed disk is tried again.
REOPEN_S = 0.5
# Callers keep connections between heartbeats (1.2 s) and orders.
CONTROL_LIMITS = ServerLimits(body_bytes=8 * 1024 * 1024, idle_timeout_s=30.0)
NEWS_LIMITS = ServerLimits(idle_timeout_s=30.0)


Handler = Callable[[ControlCalls, Exchange], Awaitable[None]]


class FleetControl:
    """One running replica: its log, its news and its calls."""

    def __init__(
        self,
        settings: FleetControlSettings,
        decode: Callable[[bytes], TrafficConfiguration],
        handler: Handler,
        reactor: Any,
        files: FileSystem | None = None,
    ) -> None:
        self.settings = settings
        self._reactor = reactor
        self._files = files or FileSystem()
        self._random = Random(secrets.randbits(64))
        self._handler = handler
        self.machine = PublishedConfiguration()
        self.node: ReplicaNode | None = None
        self.board = NewsBoard(self._version, self._is_current, self._hosts)
        self._folder = Path(settings.data_folder)
        self._kept = KeptState()
        self._keeper: StateKeeper | None = None
        self.calls = ControlCalls(
            lambda: self.node.access if self.node else None,
            lambda: self.machine,
            self.board,
            decode,
        )
        self._server: Server | None = None
        self._control = HttpServer(self._handle, CONTROL_LIMITS, reactor)
        site = NewsSite(self.board, self._packed)
        self._news = HttpServer(site.handle, NEWS_LIMITS, reactor)
        self._links: dict[str, NewsLink] = {}
        self._tasks: list[asyncio.Task] = []
        self._reopening: asyncio.Task | None = None

    async def start(self) -> None:
        """Open the sockets, then the disk."""
        settings = self.settings
        self._recall()
        self._news.listen(settings.host, settings.news_port)
        self._control.listen(settings.host, settings.control_port)
        self.follow(settings.seed_hosts)
        self._spawn(self._upkeep())
        await self._open_log()

    async def stop(self) -> None:
        """Finish the calls in hand and close the disk."""
        self._control.close_after_answers()
        self._control.stop_listening()
        self._control.close_idle()
        await self._control.wait_until_quiet(1.5)
        if self._reopening is not None:
            self._tasks.append(self._reopening)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            await link.stop()
        await self._close_log()
        await self._keeper.close()
        self._news.stop_listening()
        self._news.abort()

    def _recall(self) -> None:
        """Take up what was known before a restart."""
        self._kept = read_kept_state(self._folder, self._files)
        self.board.merge(self._kept.records, ())
        self._keeper = StateKeeper(self._folder, self._files, self._mark, self._state)
        logger.info("state recalled", version=self._kept.version, targets=len(self._kept.records))

    def _mark(self) -> tuple[int, int]:
        """Return what grows whenever there is something new to keep."""
        return (self._version(), self.board.table.revision)

    def _state(self) -> KeptState:
        """Return what is to be kept."""
        records = tuple(self.board.table.changed_since(0))
        return KeptState(self._version(), self._packed(), records)

    def _version(self) -> int:
        """Return the newest version known to be committed."""
        return max(self.machine.version, self._kept.version)

    def _packed(self) -> bytes:
        """Return the document of that version."""
        is_newer = self.machine.version >= self._kept.version
        return self.machine.packed if is_newer else self._kept.packed

    def _is_current(self) -> bool:
        return self.node is not None and self.node.replica.is_current

    def _hosts(self) -> tuple[str, ...]:
        """Return the hosts of all replicas that the log names; their ids are their hosts."""
        if self.node is None:
            return ()
        membership = self.node.replica.core.membership
        members = membership.voters + membership.learners
        return tuple(member.replica_id for member in members)

    async def _handle(self, exchange: Exchange) -> None:
        """Answer a call of an operator or a target."""
        await self._handler(self.calls, exchange)

    async def _open_log(self) -> None:
        """Recover the replica and run it; try again while the disk fails."""
        while True:
            try:
                await self._open_once()
                return
            except StorageError as error:
                logger.error("disk unusable", why=str(error), again_s=REOPEN_S)
                await asyncio.sleep(REOPEN_S)

    async def _open_once(self) -> None:
        settings = self.settings
        node_settings = NodeSettings(
            settings.host,
            settings.cluster,
            settings.cluster_key,
            settings.region,
            settings.failure_domain,
        )
        control = self._control_settings()
        started_s = time.monotonic()
        machine = PublishedConfiguration()
        node = open_replica(node_settings, control, machine, self._files, self._random)
        node.replica.on_applied.append(self._applied)
        node.replica.on_failure.append(self._disk_failed)
        self.machine = machine
        self.node = node
        self._server = Server([node.service])
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((settings.host, settings.replica_port))
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._server.start(sock=listening)
        node.start(node_settings, control, f"{settings.host}:{settings.replica_port}")
        self.board.wake()
        logger.info(
            "log opened",
            identity=node.folder.identity.identity,
            last_index=node.replica.core.last_index,
            version=machine.version,
            took_s=round(time.monotonic() - started_s, 3),
        )

    def _control_settings(self) -> ControlSettings:
        settings = self.settings
        bootstrap = tuple(
            ReplicaSettings(host, f"{host}:{settings.replica_port}", "")
            for host in sorted(settings.seed_hosts)
        )
        return ControlSettings(
            f"{settings.host}:{settings.replica_port}",
            "",
            settings.data_folder,
            bootstrap,
            election_timeout_s=ELECTION_TIMEOUT_S,
            heartbeat_s=HEARTBEAT_S,
            snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
            may_found=settings.may_found,
            joins_unlisted=True,
        )

    async def _close_log(self) -> None:
        node, server = self.node, self._server
        self.node = self._server = None
        if server is not None:
            server.close()
            await server.wait_closed()
        if node is not None:
            await node.stop()

    def _applied(self) -> None:
        """Have subscribers look at the version."""
        self.board.wake()

    def _disk_failed(self, error: StorageError) -> None:
        """Close the log and open it again: what the disk holds has to be read anew."""
        logger.critical("disk failed", why=str(error))
        self._reopening = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        await self._close_log()
        await asyncio.sleep(REOPEN_S)
        await self._open_log()

    async def _upkeep(self) -> None:
        """Find new peers and forget old targets."""
        while True:
            await asyncio.sleep(UPKEEP_S)
            self.follow(self._hosts())
            self._keeper.consider()
            for target_id in self.board.table.forget(time.monotonic()):
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
                self._reactor,
                self._random,
            )
            self._links[host] = link
            link.start()

    def known_version(self) -> int:
        """Return the version held; replicas get documents from the log alone."""
        return self.machine.version

    def wants_document(self, news: News, host: str) -> bool:
        """Never fetch a document: the log brings it."""
        return False

    def take_news(self, host: str, news: News) -> None:
        """Merge what another replica knows."""
        self.board.merge(news.records, news.heard)

    def take_document(self, host: str, document: bytes, is_current: bool) -> None:
        """Do nothing: none is asked for."""

    def lost(self, host: str) -> None:
        """Do nothing: the link tries again."""

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))
