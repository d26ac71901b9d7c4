"""Keep what other routers reach, and connections to them, while own paths are cut."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint, PeerLoad, choose_peer
from damaskwind.decisions.routing.regions import is_allowed
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.peer_calls import CALL_ERRORS, call_peer
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.peers import (
    REACH_PATH,
    Reach,
    ReachQuestion,
    decode_reach,
    encode_message,
)

__all__ = ["PeerLinks"]

# A router answers a question within some ms, or with its probes within 0.2 s.
ANSWER_TIMEOUT_S = 0.3
# What a router answered counts for two rounds of questions.
REACH_TTL_S = 2.0
# A router that did not answer, or whose connection broke, is not chosen for this time.
FAILED_S = 1.0
# Routers that are asked for a second opinion on one target.
CONFIRMING_PEERS = 3
# With thousands of targets, the peers that reach a service are looked up once per placement.
LOOKUP_S = 0.02


class _Answer(NamedTuple):
    """What a router answered for one service: the digests of targets it does not reach, and when.

    Without `is_reached` it reaches none of them.
    """

    is_reached: bool
    unreachable: frozenset[int]
    at_s: float

    def reaches(self, target: TargetRecord) -> bool:
        """Return whether the router reaches a target of the service."""
        return self.is_reached and target_digest(target.target_id) not in self.unreachable


class PeerLinks:
    """The other routers through which one router sends what it can't send itself.

    `port` is the internal port of all routers, `region_of` maps failure domains to regions.
    """

    def __init__(
        self,
        view: FleetView,
        port: int,
        failure_domain: str,
        region_of: Mapping[str, str],
        random: Random,
    ) -> None:
        self.connections = TargetConnections()
        self.connections.on_unacknowledged.append(self._avoid)
        self._view = view
        self._port = port
        self._failure_domain = failure_domain
        self._region_of = region_of
        self._random = random
        # By host and service: questions for different services are asked independently.
        self._answers: dict[tuple[str, str], _Answer] = {}
        self._told_in_flight: dict[str, int] = {}
        # Targets that no peer reached when asked to probe them, until they are relied on again.
        self._gone_until_s: dict[str, float] = {}
        self._lookups: dict[str, tuple[float, list[tuple[PeerEndpoint, _Answer]]]] = {}
        self._failed_until_s: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()
        self._asking: set[asyncio.Task] = set()
        # The hosts of routers that are asked whether they answer.
        self._checking: set[str] = set()

    @property
    def endpoints(self) -> tuple[PeerEndpoint, ...]:
        """Return the routers that replicas named."""
        return self._view.peers

    def address(self, peer: PeerEndpoint) -> Address:
        """Return the internal address of a router."""
        return Address(peer.host, self._port)

    async def poll(self, services: Iterable[str]) -> bool:
        """Ask all peers what they reach; return whether one reaches targets of the services.

        Returns with the first such answer; the others are recorded as they come.
        """
        question = tuple(services)
        pending = {self._start_asking(peer, question) for peer in self.endpoints}
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if any(self.reaches_service(service) for service in question):
                return True
        return False

    def _start_asking(self, peer: PeerEndpoint, services: tuple[str, ...]) -> asyncio.Task:
        task = asyncio.ensure_future(self._ask(peer, services))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
        return task

    def check(self, peer: PeerEndpoint) -> None:
        """Ask a router whether it answers, unless it is being asked; avoid it if it does not."""
        if peer.host not in self._checking:
            self._checking.add(peer.host)
            asking = self._start_asking(peer, ())
            asking.add_done_callback(lambda _: self._checking.discard(peer.host))

    async def confirm(self, target: TargetRecord) -> bool | None:
        """Return whether some other router reaches a target now, by a probe of its own.

        `None` if all that were asked are silent: they may be cut off from here as well.
        """
        peers = self.endpoints
        drawn = self._random.sample(peers, min(CONFIRMING_PEERS, len(peers)))
        asking = (self._ask(peer, (), (target.target_id,)) for peer in drawn)
        answers = [reach for reach in await asyncio.gather(*asking) if reach is not None]
        if drawn and not answers:
            return None
        is_reached = any(target.target_id in reach.reached for reach in answers)
        if not is_reached:
            self._gone_until_s[target.target_id] = read_clock() + REACH_TTL_S
        return is_reached

    async def _ask(
        self, peer: PeerEndpoint, services: tuple[str, ...], probed: tuple[str, ...] = ()
    ) -> Reach | None:
        """Ask a router what it reaches; return `None` if it is silent.

        One that refuses connections has ended and reaches nothing.
        """
        body = encode_message(ReachQuestion(peer.key, services, probed))
        address = self.address(peer)
        try:
            reach = decode_reach(
                await call_peer(self.connections, address, REACH_PATH, body, ANSWER_TIMEOUT_S)
            )
        except CALL_ERRORS as error:
            logger.info("peer not asked", host=peer.host, why=repr(error))
            self.record_failure(peer)
            has_ended = isinstance(error.__cause__, ConnectionRefusedError)
            return Reach((), (), (), 0) if has_ended else None
        self._told_in_flight[peer.host] = reach.in_flight
        self._lookups.clear()
        unreachable, now_s = frozenset(reach.unreachable), read_clock()
        for service in services:
            answer = _Answer(service in reach.services, unreachable, now_s)
            self._answers[peer.host, service] = answer
        return reach

    def record_failure(self, peer: PeerEndpoint) -> None:
        """Record that a router did not answer or broke off; it is not chosen for a while."""
        self._avoid(peer.host, self.address(peer))

    def _avoid(self, host: str, address: Address) -> None:
        """Choose a router no more for a while; what was sent through it goes on."""
        self._failed_until_s[host] = read_clock() + FAILED_S
        self._lookups.clear()

    def reaches_service(self, service: str) -> bool:
        """Return whether some peer reaches targets of a service."""
        return any(answer.is_reached for _, answer in self._usable(service))

    def hosts_reaching(self, service: str) -> list[str]:
        """Return the hosts of the peers that reach targets of a service."""
        return [peer.host for peer, answer in self._usable(service) if answer.is_reached]

    def reaches(self, target: TargetRecord) -> bool:
        """Return whether some peer reaches a target."""
        if self._gone_until_s.get(target.target_id, 0.0) > read_clock():
            return False
        return any(answer.reaches(target) for _, answer in self._usable(target.service))

    def choose(
        self, target: TargetRecord, regions: frozenset[str] | None, tried: set[str]
    ) -> PeerEndpoint | None:
        """Return the router through which to send to a target, `None` if there is none."""
        peers = [
            PeerLoad(peer, max(self._told_in_flight[peer.host], self._in_flight[peer.host]))
            for peer, answer in self._usable(target.service)
            if peer.host not in tried
            and answer.reaches(target)
            and is_allowed(peer.failure_domain, regions, self._region_of)
        ]
        return choose_peer(peers, self._failure_domain, self._random)

    def record_sent(self, peer: PeerEndpoint) -> None:
        """Record that a request is being sent through a router."""
        self._in_flight[peer.host] += 1

    def record_ended(self, peer: PeerEndpoint) -> None:
        """Record that a request that was sent through a router has ended."""
        self._in_flight[peer.host] -= 1

    def in_flight(self) -> int:
        """Return the number of requests that are sent through other routers now."""
        return self._in_flight.total()

    def _usable(self, service: str) -> list[tuple[PeerEndpoint, _Answer]]:
        """Return the peers that answered for a service lately and have not failed since."""
        now_s = read_clock()
        looked_up_s, usable = self._lookups.get(service, (float("-inf"), []))
        if now_s - looked_up_s < LOOKUP_S:
            return usable
        answered = [(peer, self._answers.get((peer.host, service))) for peer in self.endpoints]
        usable = [
            (peer, answer)
            for peer, answer in answered
            if answer is not None
            and now_s - answer.at_s < REACH_TTL_S
            and self._failed_until_s.get(peer.host, 0.0) <= now_s
        ]
        self._lookups[service] = (now_s, usable)
        return usable

    async def close(self) -> None:
        """Stop asking, and close all connections."""
        for task in self._asking:
            task.cancel()
        await asyncio.gather(*self._asking, return_exceptions=True)
        self.connections.close()
