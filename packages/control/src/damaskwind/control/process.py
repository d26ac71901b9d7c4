"""Start and stop a control process: replica, intent API, claims, `Follow`."""

import asyncio
import secrets
import socket
from random import Random
from typing import Any

from loguru import logger
from twisted.internet.defer import maybeDeferred

from damaskwind.control.claim_holding import DeferredClaimHolder, start_claim_holder
from damaskwind.control.operator_api.assembly import make_operator_api
from damaskwind.control.orders.delivery import DeliveryTiming
from damaskwind.control.orders.sender import OrderSender
from damaskwind.control.replica.node import open_replica
from damaskwind.control.router_reports import RouterReports
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.control.storage.files import FileSystem
from damaskwind.control.telemetry import ControlTelemetry
from damaskwind.model.exception import StorageError
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.files import write_ready_file
from damaskwind.runtime.limited_site import listen_with_small_buffers
from damaskwind.runtime.settings import Settings, parse_address
from damaskwind.wire.bounded_server import BoundedServer
from damaskwind.wire.follow_service import FollowService

__all__ = ["ControlProcess", "start_control"]


class ControlProcess:
    """One running control process.

    `failed` is resolved with the `StorageError` that forced the replica to stop.
    """

    def __init__(self, settings: Settings, reactor: Any, files: FileSystem) -> None:
        node, control = settings.node, settings.control
        self.settings = settings
        self.machine = ConfigurationMachine()
        self.node = open_replica(node, control, self.machine, files, Random(secrets.randbits(64)))
        self.failed: asyncio.Future[StorageError] = asyncio.get_running_loop().create_future()
        self.replica = self.node.replica
        self.access = self.node.access
        self.verifier = self.node.verifier
        self.reports = RouterReports(self.replica, self.node.signer)
        self.follow = FollowService(
            self.verifier,
            lambda: self.replica.is_current,
            self.reports.local.report,
            self.reports.local_messages,
        )
        self.claim_holder = DeferredClaimHolder()
        self.operator_api, self._archive = make_operator_api(
            node, control, self.access, self.machine, self.reports.latest_reports
        )
        self.telemetry = self._make_telemetry()
        self.orders = OrderSender(
            self.replica.leading_term,
            lambda: self.machine.orders.orders(),
            DeliveryTiming(lease_s=control.election_timeout_s),
            Random(secrets.randbits(64)),
        )
        self._reactor = reactor
        self._server = BoundedServer([self.node.service, self.follow, self.claim_holder])
        self._is_serving = False
        self._listener: Any = None
        self._tasks: list[asyncio.Task] = []
        self._stopping: asyncio.Future | None = None
        self.replica_address = parse_address(control.replica_address)
        self.operator_address = parse_address(control.operator_address)
        self.replica.on_applied.append(self._on_applied)
        self.replica.on_failure.append(self._report_failure)

    def _make_telemetry(self) -> ControlTelemetry:
        """Create the metrics and serve them beside the intent API."""
        telemetry = ControlTelemetry(self.settings.node.node_id)
        telemetry.watch_log(self.access)
        telemetry.watch_storage(self.node.journal, self.replica.writer)
        telemetry.watch_machine(self.machine)
        telemetry.watch_callers(self.follow, self.claim_holder, self.verifier)
        self.operator_api.serve_metrics(telemetry.metrics.render)
        return telemetry

    async def start(self) -> None:
        """Open the sockets and start the services."""
        control = self.settings.control
        host, port = self.replica_address
        listening = socket.create_server((host, port))
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.replica_address = Address(host, listening.getsockname()[1])
        await self._server.start(sock=listening)
        self._is_serving = True
        host, port = self.operator_address
        site = self.operator_api.site(control.max_connections)
        self._listener = listen_with_small_buffers(self._reactor, port, site, interface=host)
        self.operator_address = Address(host, self._listener.getHost().port)
        self.follow.publish(self.machine.configuration)
        self.node.start(self.settings.node, control, str(self.replica_address))
        starting = start_claim_holder(
            self.claim_holder,
            self.node,
            self.verifier,
            control.bootstrap_replicas,
            lambda: self.machine.configuration.policy.idempotency_ttl_s,
        )
        self._spawn(self._guard(starting))
        self._spawn(self.reports.poll())
        self._spawn(self.orders.run())

    def addresses(self) -> dict[str, str]:
        """Return the bound addresses by name."""
        return {
            "replica_address": str(self.replica_address),
            "operator_address": str(self.operator_address),
        }

    async def stop(self) -> None:
        """Finish the pending writes and release all resources; may be called repeatedly."""
        if self._stopping is None:
            self._stopping = asyncio.ensure_future(self._stop())
        await asyncio.shield(self._stopping)

    async def _stop(self) -> None:
        """Stop the services and the replica, and close the connections."""
        if self._listener is not None:
            await to_future(maybeDeferred(self._listener.stopListening))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.claim_holder.stop()
        await self.node.stop()
        if self._is_serving:
            self._server.close()
            await self._server.wait_closed()
        self.reports.close()
        self.telemetry.metrics.shutdown()

    def _spawn(self, coroutine: Any) -> None:
        """Run a coroutine until this process stops."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _guard(self, coroutine: Any) -> None:
        """Run a coroutine whose `StorageError` ends the process."""
        try:
            await coroutine
        except StorageError as error:
            self._report_failure(error)

    def _on_applied(self) -> None:
        """Publish the applied state to followers, claim holder and audit archive."""
        self.follow.publish(self.machine.configuration)
        self.claim_holder.set_ttl(self.machine.configuration.policy.idempotency_ttl_s)
        try:
            self._archive.store_closed(self.machine.trail)
        except StorageError as error:
            self._report_failure(error)

    def _report_failure(self, error: StorageError) -> None:
        """Report a failure of the disk, once."""
        if not self.failed.done():
            logger.critical("control process failed", error=str(error))
            self.failed.set_result(error)


async def start_control(
    settings: Settings, reactor: Any = None, files: FileSystem | None = None
) -> ControlProcess:
    """Start a control process on the reactor that is installed and return it.

    Raises `StorageError` when the data folder can't be used.
    """
    if reactor is None:
        from twisted.internet import reactor
    process = ControlProcess(settings, reactor, files or FileSystem())
    try:
        await process.start()
    except BaseException:
        await process.stop()
        raise
    write_ready_file(settings.control.ready_file, process.addresses())
    logger.info("control replica started", **process.addresses())
    return process
