"""Run the replicated log of one replica; open it again after its disk has failed.

This module loads all of the log's machinery (grpclib, protocol buffers, the
consensus core), some quarter of a replica's start-up, so that a replica can
tell its news before.
"""

import asyncio
import socket
from collections.abc import Callable
from random import Random

from grpclib.server import Server
from loguru import logger

from damaskwind.control.fleet.settings import FleetControlSettings
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.node import ReplicaNode, open_replica
from damaskwind.control.state.fleet_state import FleetState
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings
from damaskwind.runtime.tallies import Tallies

__all__ = ["LogHost"]

# Entries of a whole document each (some 10 KB): a snapshot every 64 keeps the
# log below a megabyte.
SNAPSHOT_EVERY_ENTRIES = 64
# A quarter of the election timeout and less, so that one lost heartbeat is borne.
HEARTBEAT_S = 0.25
ELECTION_TIMEOUT_S = 1.0
# A replica that restarts is back within some 2 s; one that is silent for longer
# gives its place to a newcomer that has caught up.
REPLACE_AFTER_S = 3.0
# With fewer voters, the loss of one disk may take what was acknowledged with it.
MIN_VOTERS = 3
# Pause before a failed disk is tried again.
REOPEN_DELAY_S = 0.5


class LogHost:
    """The log of one replica, from its folder up.

    `state` is what the log drives; it is a new one each time the log is
    opened. `on_applied` is called when it has changed. `started_s` is when the
    process started: what the replica promised as a voter, it promised before.
    """

    def __init__(
        self,
        settings: FleetControlSettings,
        files: FileSystem,
        random: Random,
        on_applied: Callable[[], None],
        started_s: float,
        tallies: Tallies,
    ) -> None:
        self._tallies = tallies
        self.state = FleetState()
        self._settings = settings
        self._files = files
        self._random = random
        self._on_applied = on_applied
        self._silent_since_s = started_s
        self._node: ReplicaNode | None = None
        self._server: Server | None = None
        self._reopening: asyncio.Task | None = None

    @property
    def access(self) -> LogAccess | None:
        """Return the log, or `None` while the disk is not usable."""
        return self._node.access if self._node else None

    @property
    def is_current(self) -> bool:
        """Tell whether this replica believes that it holds all that is confirmed."""
        return self._node is not None and self._node.replica.is_current

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads the log."""
        return self._node is not None and self._node.replica.is_leader

    @property
    def has_enough_voters(self) -> bool:
        """Tell whether so many replicas vote that what is confirmed outlives the losses.

        Without a number of losses to bear, it is as many as the settings first
        name, three at most.
        """
        if self._node is None:
            return False
        voters = self._node.replica.core.membership.voters
        default_voters = min(MIN_VOTERS, len(self._settings.seed_hosts))
        return len(voters) >= (self._settings.required_voters or default_voters)

    def slowest_call_s(self) -> float:
        """Return how long the slowest peer takes to answer a call of the log."""
        return self._node.replica.transport.slowest_call_s() if self._node else 0.0

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of all replicas that the log names; their ids are their hosts."""
        if self._node is None:
            return ()
        membership = self._node.replica.core.membership
        members = membership.voters + membership.learners
        return tuple(member.replica_id for member in members)

    async def open(self) -> None:
        """Recover the replica and run it; try again while the disk fails."""
        while True:
            try:
                await self._open_once()
                return
            except StorageError as error:
                logger.error("disk unusable", why=str(error), again_s=REOPEN_DELAY_S)
                await asyncio.sleep(REOPEN_DELAY_S)

    async def close(self) -> None:
        """Finish the writes in hand and stop."""
        if self._reopening is not None:
            self._reopening.cancel()
            await asyncio.gather(self._reopening, return_exceptions=True)
        await self._close_once()

    async def _open_once(self) -> None:
        settings = self._settings
        node_settings = NodeSettings(
            settings.host,
            settings.cluster,
            settings.cluster_key,
            settings.region,
            settings.failure_domain,
        )
        control = self._control_settings()
        started_s = read_clock()
        state = FleetState()
        node = open_replica(
            node_settings, control, state, self._files, self._random, self._silent_since_s
        )
        node.replica.transport.on_sent = self._count_sent
        node.replica.on_applied.append(self._on_applied)
        node.replica.on_failure.append(self._on_disk_failure)
        self.state = state
        self._node = node
        self._server = Server([node.service])
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((settings.host, settings.replica_port))
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._server.start(sock=listening)
        node.start(node_settings, control, f"{settings.host}:{settings.replica_port}")
        self._on_applied()
        logger.info(
            "log opened",
            identity=node.folder.identity.identity,
            last_index=node.replica.core.last_index,
            version=state.configuration.version,
            took_s=round(read_clock() - started_s, 3),
        )

    def _count_sent(self, size_bytes: int) -> None:
        self._tallies.count("sent_bytes", size_bytes, kind="log")

    def _control_settings(self) -> ControlSettings:
        settings = self._settings
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
            replace_after_s=REPLACE_AFTER_S,
            least_voters=settings.required_voters or MIN_VOTERS,
            most_voters=settings.required_voters or float("inf"),
        )

    async def _close_once(self) -> None:
        node, server = self._node, self._server
        self._node = self._server = None
        if server is not None:
            server.close()
            await server.wait_closed()
        if node is not None:
            await node.stop()
            self._silent_since_s = read_clock()

    def _on_disk_failure(self, error: StorageError) -> None:
        """Close the log and open it again: what the disk holds has to be read anew."""
        logger.critical("disk failed", why=str(error))
        self._reopening = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        await self._close_once()
        await asyncio.sleep(REOPEN_DELAY_S)
        await self.open()
