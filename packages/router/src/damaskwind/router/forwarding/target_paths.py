"""The ways by which an attempt reaches its target: directly, or through another router."""

from typing import Protocol

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.peer_links import PeerLinks
from damaskwind.router.forwarding.service_reach import ServiceReach
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerHead, ClientConnection, ConnectFailedError
from damaskwind.runtime.http1.messages import Headers, Request, header
from damaskwind.wire.peers import (
    AUTHORIZATION,
    STATUS,
    Failure,
    authorization,
    drop_first,
    forwarded_target,
    states_unframed,
)

__all__ = ["DirectPath", "PeerPath", "TargetPath", "choose_path"]

# Other routers that one attempt tries to reach before it fails.
MAX_PEERS_TRIED = 3


class TargetPath(Protocol):
    """The way of one attempt to its target; `via` is the host of another router, if any."""

    via: str

    async def connect(self, call: Call) -> ClientConnection:
        """Return a connection; raise `ConnectFailedError` if there is none: nothing was sent."""

    def address(self, request: Request) -> Request:
        """Return a request as it is written on the connection."""

    def take_failure(self, head: AnswerHead) -> Failure | None:
        """Return why the way failed, `None` if the answer is the target's."""

    def release(self, connection: ClientConnection, headers: Headers) -> None:
        """Pool a connection after a complete answer."""

    def return_unused(self, connection: ClientConnection) -> None:
        """Pool a connection on which nothing was sent."""

    def record_broken(self) -> None:
        """Record that the connection broke."""

    def record_silent(self) -> None:
        """Record that no answer came, or that one stopped."""

    def close(self) -> None:
        """Record that the attempt has ended."""


class DirectPath:
    """This router's own connections to a target."""

    via = ""

    def __init__(
        self, target: TargetRecord, connections: TargetConnections, reach: ServiceReach
    ) -> None:
        self._target = target
        self._connections = connections
        self._reach = reach

    async def connect(self, call: Call) -> ClientConnection:
        """Return a pooled connection, or a new one.

        While the path may be cut, a request that may not be repeated gets a new one: one
        that was pooled may hang.
        """
        must_be_new = not call.route.may_repeat and self._reach.is_checking(self._target.service)
        return await self._connections.acquire(
            self._target.target_id,
            self._target.address,
            call.left_s(),
            call.is_suspected,
            must_be_new,
        )

    def address(self, request: Request) -> Request:
        """Return the request unchanged."""
        return request

    def take_failure(self, head: AnswerHead) -> None:
        """Return `None`: the answer is the target's."""

    def release(self, connection: ClientConnection, headers: Headers) -> None:
        """Pool a connection after a complete answer."""
        self._connections.release(self._target.target_id, connection, headers)

    def return_unused(self, connection: ClientConnection) -> None:
        """Pool a connection on which nothing was sent."""
        self._connections.return_unused(self._target.target_id, connection)

    def record_broken(self) -> None:
        """Do nothing: the state of the target is recorded with the outcome."""

    def record_silent(self) -> None:
        """Do nothing: the state of the target is recorded with the outcome."""

    def close(self) -> None:
        """Do nothing."""


class PeerPath:
    """A target as another router reaches it, which sends the request on."""

    def __init__(self, target: TargetRecord, peers: PeerLinks) -> None:
        self.via = ""
        self._target = target
        self._peers = peers
        self._peer: PeerEndpoint | None = None
        self._sent_s = 0.0

    async def connect(self, call: Call) -> ClientConnection:
        """Return a connection to a router that reaches the target."""
        tried: set[str] = set()
        for _ in range(MAX_PEERS_TRIED):
            peer = self._peers.choose(self._target, call.regions, tried)
            if peer is None:
                break
            tried.add(peer.host)
            try:
                connection = await self._peers.connections.acquire(
                    peer.host, self._peers.address(peer), call.left_s()
                )
            except ConnectFailedError:
                self._peers.record_failure(peer)
                continue
            self._peer, self.via, self._sent_s = peer, peer.host, read_clock()
            self._peers.record_sent(peer)
            return connection
        raise ConnectFailedError("no other router reaches the target")

    def address(self, request: Request) -> Request:
        """Return the request as it is sent to an HTTP proxy."""
        return Request(
            request.method,
            forwarded_target(self._target.address, request.target),
            [(AUTHORIZATION, authorization(self._peer.key)), *request.headers],
            request.body,
        )

    def take_failure(self, head: AnswerHead) -> Failure | None:
        """Remove the router's own header from an answer; return its failure, if it states one.

        An answer without that header was given before the request was looked at, except for
        a status of 500 and above. From then on the answer counts as framed as the target did it.
        """
        self._peers.record_heard(self._peer)
        if header(head.headers, STATUS) is None:
            return Failure.BROKEN if head.status >= 500 else Failure.REFUSED
        if head.is_unframed:
            # A router frames all that it passes on, so this can't be told from a cut answer.
            return Failure.BROKEN
        failure = Failure.parse(head.headers[:1])
        head.is_unframed = states_unframed(head.headers[:1])
        head.headers = drop_first(head.headers, STATUS)
        return failure

    def release(self, connection: ClientConnection, headers: Headers) -> None:
        """Pool a connection after a complete answer."""
        self._peers.connections.release(self._peer.host, connection, headers)

    def return_unused(self, connection: ClientConnection) -> None:
        """Pool a connection on which nothing was sent."""
        self._peers.connections.return_unused(self._peer.host, connection)

    def record_broken(self) -> None:
        """Avoid the router for a while, as it may be the cause."""
        self._peers.record_failure(self._peer)

    def record_silent(self) -> None:
        """Avoid the router for a while, unless it sent on answers of other targets meanwhile."""
        if self._peers.heard_s(self._peer) <= self._sent_s:
            self._peers.record_failure(self._peer)

    def close(self) -> None:
        """Record that the attempt has ended."""
        if self._peer is not None:
            self._peers.record_ended(self._peer)


def choose_path(
    target: TargetRecord, connections: TargetConnections, reach: ServiceReach
) -> TargetPath:
    """Return the way to a target."""
    if reach.is_relayed(target):
        return PeerPath(target, reach.peers)
    return DirectPath(target, connections, reach)
