"""Find out which services' targets a router reaches itself, and which only other routers reach.

When a send fails, or a target is silent, a few targets of its service are probed without a
request. If none is reached and other routers reach them, this router's own path is cut, and its
requests go through those routers until probes succeed again. A target that is unreachable
while most of its service still serves is left to the choice among the others.
"""

import asyncio
from random import Random

from loguru import logger

from damaskwind.decisions.health.service_path import SAMPLE_TARGETS, ServicePath
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.peer_links import PeerLinks
from damaskwind.runtime.clock import read_clock

__all__ = ["SILENCE_S", "ServiceReach"]

# A target that keeps all its requests waiting for this long is probed if nothing was received
# from its service either.
SILENCE_S = 0.25
# A silent target that answered its probe was only slow; its service is not probed again sooner.
SILENCE_CHECK_GAP_S = 2.0
# A connection inside a region is established within some ms.
PROBE_TIMEOUT_S = 0.15
# Interval of the probes of a cut path.
ROUND_S = 0.4
# Interval of the questions to other routers: eight of them are asked with 0.2 KB each.
ASK_INTERVAL_S = 0.8
# Requests wait at most this long for a check that is in progress.
SETTLE_S = 0.5
# Where this share of a service's targets is unreachable from here, those are reached through
# other routers: the remaining ones alone would exceed their load bound.
UNREACHABLE_SHARE = 0.5


class _Service:
    """What is known of the path to one service's targets.

    `cut` is done when the path is found to be cut. `following` runs while requests may go
    through other routers. `has_failed` from a check that reached no target until one is heard.
    """

    def __init__(self) -> None:
        self.path = ServicePath()
        self.cut: asyncio.Future[None] | None = None
        self.checking: asyncio.Task | None = None
        self.following: asyncio.Task | None = None
        self.passed_s = float("-inf")
        self.heard_s = float("-inf")
        self.has_failed = False
        self.unreachable_since_s: float | None = None


class ServiceReach:
    """The paths of one router to the targets of all services; without `peers` it only logs."""

    def __init__(self, view: FleetView, connections: TargetConnections, random: Random) -> None:
        self.peers: PeerLinks | None = None
        self._view = view
        self._connections = connections
        self._random = random
        self._services: dict[str, _Service] = {}
        # The services whose targets may be reached through other routers now.
        self._relayed: set[str] = set()
        connections.on_reach_changed.append(self._update)
        connections.on_unacknowledged.append(self._note_unacknowledged)

    def attach(self, peers: PeerLinks) -> None:
        """Send through other routers from now on where own paths are cut."""
        self.peers = peers
        self._view.has_cut_path = self._has_cut_path
        self._view.on_peers.append(self._follow_unreachable)

    def _has_cut_path(self) -> bool:
        return any(self.is_cut(service) for service in self._relayed)

    async def stop(self) -> None:
        """Stop all probes."""
        tasks = [
            task
            for state in self._services.values()
            for task in (state.checking, state.following)
            if task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_unreachable(self) -> int:
        """Return the number of services of which no target is reachable from here."""
        states = self._services.values()
        return sum(state.unreachable_since_s is not None for state in states)

    def count_relayed(self) -> int:
        """Return the number of services whose requests go through other routers."""
        return len(self._relayed)

    def unreachable_targets(self, service: str) -> int:
        """Return how many serving targets of a service are unreachable from here."""
        is_unreachable = self._connections.is_unreachable
        return sum(is_unreachable(record.target_id) for record in self._view.serving(service))

    def record_heard(self, service: str, now_s: float) -> None:
        """Record that a target of a service sent something over this router's own path."""
        state = self._state(service)
        state.heard_s, state.has_failed = now_s, False

    def note_silence(self, target: TargetRecord) -> None:
        """Check the path to a target that keeps all its requests waiting."""
        now_s, state = read_clock(), self._state(target.service)
        is_quiet = now_s - state.heard_s >= SILENCE_S
        if is_quiet and now_s - state.passed_s >= SILENCE_CHECK_GAP_S:
            self._start_check(target, "silent")

    def note_failure(self, target: TargetRecord) -> None:
        """Check the path to a target to which a connection broke or was not established."""
        self._start_check(target, "failed")

    def _note_unacknowledged(self, target_id: str, address: Address) -> None:
        """Send nothing more to a target whose kernel is silent; its open connections live on."""
        record = self._view.targets.record_of(target_id)
        if record is None or record.address != address:
            return
        self._connections.watch(target_id, address)
        self.note_failure(record)

    def check_service(self, service: str) -> None:
        """Check the path to a service of which nothing was heard lately, as another router asks."""
        state = self._state(service)
        targets = self._view.serving(service)
        if state.has_failed:
            return
        if targets and read_clock() - max(state.heard_s, state.passed_s) > SILENCE_CHECK_GAP_S:
            self._start_check(self._random.choice(targets), "asked")

    def is_checking(self, service: str) -> bool:
        """Return whether it is being found out whether the path to a service is cut."""
        state = self._services.get(service)
        return state is not None and state.checking is not None

    async def settled(self, service: str) -> bool:
        """Wait for a check that is in progress; return `False` if there is none."""
        state = self._services.get(service)
        if state is None or state.checking is None:
            return False
        await asyncio.wait([state.checking], timeout=SETTLE_S)
        return True

    def cut_of(self, service: str) -> asyncio.Future[None] | None:
        """Return a future that is done when the path is found to be cut, `None` without peers."""
        if self.peers is None:
            return None
        state = self._state(service)
        if state.cut is None or state.cut.done():
            state.cut = asyncio.get_running_loop().create_future()
        return state.cut

    def is_cut(self, service: str) -> bool:
        """Return whether this router's path to a service is cut while others reach it."""
        return service in self._relayed and self._services[service].path.is_cut

    def is_relayed(self, target: TargetRecord) -> bool:
        """Return whether requests to a target go through another router now."""
        if target.service not in self._relayed:
            return False
        is_off = self._connections.is_unreachable(target.target_id) or self.is_cut(target.service)
        return is_off and self.peers.reaches(target)

    async def runs_elsewhere(self, target: TargetRecord) -> bool | None:
        """Return whether another router reaches a target that this one does not.

        `None` if all that were asked are silent.
        """
        return False if self.peers is None else await self.peers.confirm(target)

    def unreachable_digests(self, service: str) -> tuple[int, ...]:
        """Return the digests of a service's targets that are unreachable from here."""
        is_unreachable = self._connections.is_unreachable
        return tuple(
            target_digest(record.target_id)
            for record in self._view.serving(service)
            if is_unreachable(record.target_id)
        )

    def reaches_service(self, service: str) -> bool:
        """Return whether this router itself reaches targets of a service.

        If two routers that reach nothing each told the other that they do, requests would go
        back and forth between them.
        """
        if self._state(service).has_failed or self.is_cut(service):
            return False
        return len(self._view.serving(service)) > self.unreachable_targets(service)

    async def probe(self, target: TargetRecord) -> bool:
        """Return whether a target accepts a connection over this router's own path."""
        return await self._connections.probe(target.target_id, target.address, PROBE_TIMEOUT_S)

    def _state(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        return state

    def _start_check(self, target: TargetRecord, why: str) -> None:
        """Start a check unless one is in progress or the path is known to be cut."""
        state = self._state(target.service)
        if self.peers is None or not self.peers.endpoints:
            return
        if state.checking is None and not state.path.is_cut:
            state.checking = asyncio.ensure_future(self._check(state, target, why))

    async def _check(self, state: _Service, target: TargetRecord, why: str) -> None:
        """Probe a target and, if that fails, some others; if all fail, ask other routers."""
        begun_s, service = read_clock(), target.service
        try:
            if await self.probe(target):
                state.passed_s, state.has_failed = read_clock(), False
                return
            others = self._draw(service, SAMPLE_TARGETS - 1, target)
            answers = await asyncio.gather(*(self.probe(item) for item in others))
            state.has_failed = not any(answers)
            others_reach = state.has_failed and await self.peers.poll((service,))
            if state.path.observe_check(sum(answers), 1 + len(others), others_reach):
                self._record_cut(state, service, why, begun_s)
                return
            for item, is_reached in zip((target, *others), (False, *answers), strict=True):
                if not is_reached:
                    self._connections.watch(item.target_id, item.address)
        finally:
            state.checking = None

    def _record_cut(self, state: _Service, service: str, why: str, begun_s: float) -> None:
        """Send through other routers from now on."""
        self._log_unreachable("path cut", service, why=why, took_s=round(read_clock() - begun_s, 3))
        self._start_following(state, service)
        if state.cut is not None and not state.cut.done():
            state.cut.set_result(None)

    def _start_following(self, state: _Service, service: str) -> None:
        self._relayed.add(service)
        if state.following is None:
            state.following = asyncio.ensure_future(self._follow(state, service))

    async def _follow(self, state: _Service, service: str) -> None:
        """Probe some targets and ask other routers, until the own path is open again."""
        begun_s, asked_s = read_clock(), float("-inf")
        try:
            while state.path.is_cut or self._is_mostly_unreachable(service):
                if read_clock() - asked_s >= ASK_INTERVAL_S:
                    asked_s = read_clock()
                    if not await self.peers.poll((service,)) and state.path.reopen():
                        logger.warning("no other router reaches the service", service=service)
                if state.path.is_cut and await self._probe_round(state, service):
                    continue
                await asyncio.sleep(ROUND_S)
        finally:
            self._relayed.discard(service)
            state.following = None
        after_s = round(read_clock() - begun_s, 2)
        logger.info("own path used again", service=service, after_s=after_s)

    async def _probe_round(self, state: _Service, service: str) -> bool:
        """Probe a sample over a cut path; return whether the path is open again."""
        sample = self._draw(service, SAMPLE_TARGETS)
        reached = sum(await asyncio.gather(*(self.probe(item) for item in sample)))
        is_open = state.path.observe_round(reached, len(sample))
        state.has_failed = not is_open
        return is_open

    def _draw(
        self, service: str, count: int, without: TargetRecord | None = None
    ) -> list[TargetRecord]:
        """Draw targets of a service at random."""
        known_id = without.target_id if without is not None else ""
        targets = [item for item in self._view.serving(service) if item.target_id != known_id]
        return self._random.sample(targets, min(count, len(targets)))

    def _is_mostly_unreachable(self, service: str) -> bool:
        """Return whether so many targets are unreachable that the others would be overloaded."""
        unreachable = self.unreachable_targets(service)
        return unreachable >= UNREACHABLE_SHARE * len(self._view.serving(service)) > 0

    def _update(self, target_id: str) -> None:
        """Handle a target that is unreachable from here, or no longer."""
        record = self._view.targets.record_of(target_id)
        if record is None:
            return
        state = self._state(record.service)
        if state.has_failed and not self._connections.is_unreachable(target_id):
            state.has_failed = state.path.is_cut
        self._follow_unreachable()
        self._log_reach(self._services[record.service], record.service)

    def _follow_unreachable(self) -> None:
        """Ask other routers for the services whose targets are mostly unreachable from here."""
        if self.peers is None or not self.peers.endpoints:
            return
        for service, state in self._services.items():
            if state.following is None and self._is_mostly_unreachable(service):
                self._start_following(state, service)

    def _log_reach(self, state: _Service, service: str) -> None:
        """Log if a target was the last one of its service to be reached, or the first one again."""
        now_s, serving = read_clock(), len(self._view.serving(service))
        is_unreachable = 0 < serving == self.unreachable_targets(service)
        if is_unreachable and state.unreachable_since_s is None:
            state.unreachable_since_s = now_s
            self._log_unreachable("service unreachable", service)
        elif not is_unreachable and state.unreachable_since_s is not None:
            after_s = round(now_s - state.unreachable_since_s, 2)
            state.unreachable_since_s = None
            logger.info("service reached again", service=service, after_s=after_s)

    def _log_unreachable(self, event: str, service: str, **inputs: str | float) -> None:
        """Log with what is known of a service's targets, whose heartbeats show that they run."""
        now_s, serving = read_clock(), self._view.serving(service)
        last_seen = self._view.targets.last_seen_s
        ages_s = [round(now_s - last_seen(item.target_id), 2) for item in serving]
        peers = self.peers
        logger.warning(
            event,
            service=service,
            targets=len(serving),
            unreachable=self.unreachable_targets(service),
            heard_s=[min(ages_s, default=None), max(ages_s, default=None)],
            replicas_heard=self._view.count_reachable_replicas(),
            routers=self._view.routers,
            peers=len(peers.endpoints) if peers is not None else 0,
            reached_by=peers.hosts_reaching(service) if peers is not None else [],
            **inputs,
        )
