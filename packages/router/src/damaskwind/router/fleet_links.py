"""Connect a router to the rest of the fleet: membership, configurations and claims."""

import socket
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.defer import maybeDeferred

from damaskwind.decisions.membership.outputs import Event, RevisionHeard
from damaskwind.model.configuration import Configuration
from damaskwind.model.targets import Address
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.configuration.follower import ConfigurationFollower
from damaskwind.router.failure_domains import near_failure_domains
from damaskwind.router.membership.service import MembershipService, MembershipSettings
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import Settings, parse_address
from damaskwind.wire.authentication import CallSigner
from damaskwind.wire.bounded_server import BoundedServer

__all__ = ["FleetLinks"]


class FleetLinks:
    """The links of one router; each component owns its sockets."""

    def __init__(self, settings: Settings, reactor: Any, random: Random) -> None:
        node, router = settings.node, settings.router
        self._listening = socket.create_server(parse_address(router.peer_address))
        self._listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.peer_address = Address(*self._listening.getsockname()[:2])
        self.datagram_address = parse_address(router.datagram_address)
        self._configuration_file = router.configuration_file
        membership = MembershipSettings(
            node.node_id,
            node.cluster,
            node.cluster_key,
            node.failure_domain,
            self.datagram_address,
            self.peer_address,
            tuple(parse_address(seed) for seed in router.seeds),
            router.control_bytes_per_s,
            near_failure_domains(settings),
        )
        self.membership = MembershipService(membership, reactor, random)
        self.follower = ConfigurationFollower(
            node.node_id,
            node.failure_domain,
            CallSigner(node.cluster, node.cluster_key, node.node_id),
            router.replicas,
            random,
            Path(router.state_file) if router.state_file else None,
            self._peers,
            control_bytes_per_s=router.control_bytes_per_s,
        )
        self.follower.charge_bytes(self._charge_control_bytes)
        self._router_id = node.node_id
        self._server = BoundedServer([self.follower.service])
        self.claims = self._make_claims(settings, random)

    def _make_claims(self, settings: Settings, random: Random) -> ClaimsClient | None:
        """Return a client of the claim holders, which run in the control replicas."""
        replicas = settings.router.replicas
        if not replicas:
            return None
        node = settings.node
        holders = [(replica.replica_id, parse_address(replica.address)) for replica in replicas]
        return ClaimsClient(
            holders, node.cluster, node.cluster_key, node.node_id, random, read_clock
        )

    async def start(
        self, handle_event: Callable[[Event], None], apply: Callable[[Configuration], None]
    ) -> None:
        """Open the sockets, and start gossip and following configurations."""
        await self._server.start(sock=self._listening)
        self.membership.subscribe(self._forward_hint)
        self.membership.subscribe(handle_event)
        self.datagram_address = self.membership.start()
        self.follower.subscribe(apply)
        self.follower.subscribe(self._publish_revision)
        if not self._configuration_file:
            await self.follower.start()

    async def stop(self) -> None:
        """Leave the fleet and close the sockets."""
        if self.claims is not None:
            await self.claims.close()
        await self.follower.stop()
        await to_future(maybeDeferred(self.membership.stop))
        self._server.close()
        await self._server.wait_closed()

    def _charge_control_bytes(self, sent_bytes: int, received_bytes: int) -> None:
        """Charge the bytes of configurations to the control budget."""
        self.membership.count_control("follow", sent_bytes, received_bytes)

    def _peers(self) -> list[Address]:
        """Return the addresses at which other routers serve their configuration."""
        routers = self.membership.routers()
        return [router.peer_address for router in routers if router.router_id != self._router_id]

    def _forward_hint(self, event: Event) -> None:
        """Forward hints of newer revisions to the follower."""
        if isinstance(event, RevisionHeard) and not self._configuration_file:
            self.follower.handle_revision_hint(event.peer_address, event.revision)

    def _publish_revision(self, configuration: Configuration) -> None:
        """Publish to peers which revision is in force here."""
        self.membership.publish_revision(configuration.revision)
