"""Run the replicated log of one replica, and reopen it after a disk failure.

Importing this module loads all dependencies of the log (grpclib, protocol buffers,
the consensus core), about a quarter of a replica's start-up time. It is therefore
imported only after the replica serves updates.
"""

import asyncio
import socket
from collections.abc import Callable
from random import Random

from loguru import logger

from damaskwind.control.fleet.settings import FleetControlSettings
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.node import ReplicaNode, open_replica
from damaskwind.control.state.fleet_state import FleetState, describe_command
from damaskwind.control.storage.files import FileSystem
from damaskwind.model.exception import StorageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.bounded_server import BoundedServer

__all__ = ["LogHost"]

# An entry may hold a whole document (about 10 KB): a snapshot every 64 entries keeps
# the log below a megabyte.
SNAPSHOT_EVERY_ENTRIES = 64
# At most a quarter of the election timeout, so that one lost heartbeat is tolerated.
HEARTBEAT_S = 0.25
ELECTION_TIMEOUT_S = 1.0
# A restarted replica is back within about 2 s. One that is silent for longer than this is
# removed if there are voters enough without it.
REMOVE_AFTER_S = 6.0
# With fewer voters, acknowledged entries may be lost with a single disk.
MIN_VOTERS = 3
# Pause before reopening the log after a disk failure.
REOPEN_DELAY_S = 0.5


class LogHost:
    """The replicated log of one replica, with its data folder and its server.

    `state` is the state machine driven by the log, created again each time the log is
    opened. `on_applied` is called when it has changed. `started_s` is when the
    process started: any promise that the replica made as a voter is older. `limit` bounds the
    connections of other replicas.
    """

    def __init__(
        self,
        settings: FleetControlSettings,
        files: FileSystem,
        random: Random,
        on_applied: Callable[[], None],
        started_s: float,
        tallies: Tallies,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self._tallies = tallies
        self._limit = limit
        self.state = FleetState()
        self._settings = settings
        self._files = files
        self._random = random
        self._on_applied = on_applied
        self._silent_since_s = started_s
        self._applied_version = 0
        self._node: ReplicaNode | None = None
        self._server: BoundedServer | None = None
        self._reopening: asyncio.Task | None = None

    @property
    def access(self) -> LogAccess | None:
        """Return the log, or `None` while the disk is not usable."""
        return self._node.access if self._node else None

    @property
    def is_current(self) -> bool:
        """Return whether this replica considers itself up to date with all committed entries."""
        return self._node is not None and self._node.replica.is_current

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads the log."""
        return self._node is not None and self._node.replica.is_leader

    @property
    def has_enough_voters(self) -> bool:
        """Return whether there are enough voters for committed entries to survive the losses.

        Without a configured number of tolerated losses, the minimum is the number of
        seed hosts, three at most.
        """
        if self._node is None:
            return False
        voters = self._node.replica.core.membership.voters
        default_voters = min(MIN_VOTERS, len(self._settings.seed_hosts))
        return len(voters) >= (self._settings.required_voters or default_voters)

    def slowest_call_s(self) -> float:
        """Return the call duration of the slowest peer of the log."""
        return self._node.replica.transport.slowest_call_s() if self._node else 0.0

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of all members of the log; a replica's id is its host."""
        if self._node is None:
            return ()
        membership = self._node.replica.core.membership
        members = membership.voters + membership.learners
        return tuple(member.replica_id for member in members)

    async def open(self) -> None:
        """Recover the replica and run it; retry while the disk fails."""
        while True:
            try:
                await self._open_once()
                return
            except StorageError as error:
                logger.error("disk unusable", why=str(error), again_s=REOPEN_DELAY_S)
                await asyncio.sleep(REOPEN_DELAY_S)

    async def close(self) -> None:
        """Finish the pending writes and stop."""
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
        node.access.log.describe = describe_command
        node.replica.on_applied.append(self._log_applied)
        node.replica.on_applied.append(self._on_applied)
        node.replica.on_failure.append(self._on_disk_failure)
        self.state = state
        self._applied_version = state.configuration.version
        self._node = node
        self._server = BoundedServer([node.service], self._limit)
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

    def _log_applied(self) -> None:
        """Log each version that this replica applied, with its state of the log."""
        version = self.state.configuration.version
        if version == self._applied_version or self._node is None:
            return
        self._applied_version = version
        core = self._node.replica.core
        logger.info(
            "configuration applied",
            version=version,
            index=core.applied_index,
            term=core.term,
            role=core.role,
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
            replace_after_s=settings.replace_after_s,
            remove_after_s=REMOVE_AFTER_S,
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
        """Close and reopen the log, since its content has to be recovered from disk."""
        logger.critical("disk failed", why=str(error))
        self._reopening = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        await self._close_once()
        await asyncio.sleep(REOPEN_DELAY_S)
        await self.open()
