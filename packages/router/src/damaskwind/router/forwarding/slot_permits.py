"""Hold the slots of brittle targets that one router was granted, and ask for those it needs.

A slot is asked for when a request arrives that finds none, and given back when a request has
ended and none waits here, so that idle slots are free for other routers within a round trip.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Sequence
from enum import StrEnum
from math import ceil
from random import Random
from typing import Any, NamedTuple

from loguru import logger

from damaskwind.decisions.admission.slot_grants import RENEW_INTERVAL_S
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.peer_calls import CALL_ERRORS, call_peer
from damaskwind.router.forwarding.slot_granting import MAX_WAIT_S, SlotGranting
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import ConnectFailedError
from damaskwind.wire.slot_grants import (
    SLOTS_PATH,
    SlotAnswer,
    SlotQuestion,
    decode_slot_answer,
    encode_slots,
)

__all__ = ["Permit", "PermitUse", "SlotPermits"]

# What a call to another router may take beyond the wait for a slot.
ANSWER_MARGIN_S = 0.3
# A permit is used for requests that wait here until it is this old. If each one had to ask for a
# slot, that of a short request would be idle for a round trip each time.
LEASE_S = 0.25
# The weight of the last request in the mean time of a request, and the first value of that.
WORK_SMOOTHING = 0.1
INITIAL_WORK_S = 0.1
# A target may run a request to its end whose caller has left: its slot counts as taken until the
# request is this many times as old as those that are answered.
RUN_ON_FACTOR = 1.5
# A target that had no free slot is asked for one without waiting after this time again.
FULL_S = 0.2
# A grant that took longer than this was waited for.
WAITED_S = 0.02
# A target whose slots could not be waited for is not asked for before this time.
UNGRANTED_S = 0.1
# A router that did not answer is not asked before this time.
FAILED_S = 1.0
# Interval at which a router that hears no replica asks the others whether they do.
CHECK_INTERVAL_S = 0.5


class Permit(NamedTuple):
    """A granted slot of a target: `owner` granted it, `None` for this router itself."""

    number: int
    service: str
    target_id: str
    owner: PeerEndpoint | None
    granted_s: float


class PermitUse(StrEnum):
    """What became of the request for which a permit was used."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    BROKEN_OFF = "broken off"


class _Ended(NamedTuple):
    """What another router has yet to be told."""

    numbers: list[int]
    refused: list[str]


class SlotPermits:
    """The permits of one router, which others know by `name`.

    `demand` returns how many requests of a service need a permit, and `on_changed` is called
    with a service when permits may have come.
    """

    def __init__(self, granting: SlotGranting, name: str, own_host: str, random: Random) -> None:
        self.demand: Callable[[str], int] = lambda service: 0
        self.on_changed: Callable[[str], None] = lambda service: None
        self.port = 0
        self._granting = granting
        self._name = name
        self._own_host = own_host
        self._random = random
        self._connections = TargetConnections()
        self._unused: defaultdict[str, list[Permit]] = defaultdict(list)
        # The permits whose requests are at their targets, and since when.
        self._in_use: dict[Permit, float] = {}
        # The mean time of a request at its target, by service.
        self._work_s: dict[str, float] = {}
        # The slots that are being asked for, by target.
        self._asked: Counter[str] = Counter()
        self._full_until_s: dict[str, float] = {}
        self._blocked_until_s: dict[str, float] = {}
        self._ended: dict[PeerEndpoint, _Ended] = {}
        self._checked_s: dict[str, float] = {}
        self._checking: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._renewing: asyncio.Task | None = None
        granting.on_misdirected = self._check
        granting.on_silent = self._check_others

    async def stop(self) -> None:
        """Ask for nothing any more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._connections.close()

    def unused(self, target_id: str) -> int:
        """Return how many more requests may be sent to a target."""
        return len(self._unused.get(target_id, ()))

    def count(self) -> int:
        """Return how many slots this router holds."""
        return len(self._in_use) + sum(len(item) for item in self._unused.values())

    def work_s(self, service: str) -> float:
        """Return the mean time of a service's requests at their targets."""
        return self._work_s.get(service, INITIAL_WORK_S)

    def use(self, target_id: str) -> Permit | None:
        """Take a permit for a request that is sent to a target now."""
        unused = self._unused.get(target_id)
        if not unused:
            return None
        permit = unused.pop()
        self._in_use[permit] = read_clock()
        return permit

    def give_back(self, permit: Permit, use: PermitUse) -> None:
        """Give a permit back whose request has ended.

        It is kept for a request that waits here, but not for long, since others wait elsewhere.
        """
        now_s = read_clock()
        took_s, mean_s = now_s - self._in_use[permit], self.work_s(permit.service)
        left_s = RUN_ON_FACTOR * mean_s - took_s
        if use is PermitUse.BROKEN_OFF and left_s > 0:
            asyncio.get_running_loop().call_later(left_s, self._end_used, permit)
            return
        if use is PermitUse.ANSWERED:
            self._work_s[permit.service] = mean_s + WORK_SMOOTHING * (took_s - mean_s)
        is_old = now_s - permit.granted_s >= LEASE_S
        if use is not PermitUse.ANSWERED or is_old or self.demand(permit.service) <= 0:
            self._end_used(permit, use is PermitUse.REFUSED)
            return
        del self._in_use[permit]
        self._unused[permit.target_id].append(permit)
        self.on_changed(permit.service)

    def _end_used(self, permit: Permit, was_refused: bool = False) -> None:
        del self._in_use[permit]
        self._end(permit, was_refused)

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._full_until_s.pop(target_id, None)
        self._blocked_until_s.pop(target_id, None)

    def fill(self, service: str, targets: Sequence[TargetRecord], arriving: int = 0) -> None:
        """Ask for the permits that requests need and that are not here or asked for yet.

        `targets` are those of the service that may be sent to; `arriving` requests are about to
        need a permit too.
        """
        coming = sum(self.unused(item.target_id) + self._asked[item.target_id] for item in targets)
        missing = self.demand(service) + arriving - coming
        if missing > 0:
            missing -= self._take_own(targets, missing)
        if missing > 0:
            self._ask_for(targets, missing)

    def settle(self, service: str) -> None:
        """Give back the permits of a service that no request needs."""
        unused = [
            permit
            for permits in self._unused.values()
            for permit in permits
            if permit.service == service
        ]
        for permit in unused[self.demand(service) :]:
            self._unused[permit.target_id].remove(permit)
            self._end(permit, was_refused=False)

    def _take_own(self, targets: Sequence[TargetRecord], wanted: int) -> int:
        """Take free slots that this router grants itself; return how many."""
        own = [target for target in targets if self._granting.owner_of(target) is None]
        self._random.shuffle(own)
        taken = 0
        while own and taken < wanted:
            target = own.pop(0)
            numbers = self._granting.take(target, self._name)
            if numbers:
                self._add(target, None, numbers)
                own.append(target)
                taken += 1
        return taken

    def _ask_for(self, targets: Sequence[TargetRecord], missing: int) -> None:
        """Ask for slots where there may be free ones, otherwise wait for some."""
        now_s = read_clock()
        open_targets = [
            target
            for target in targets
            if not self._asked[target.target_id]
            and self._blocked_until_s.get(target.target_id, 0.0) <= now_s
        ]
        fresh = [
            target
            for target in open_targets
            if self._full_until_s.get(target.target_id, 0.0) <= now_s
            and self._granting.owner_of(target) is not None
        ]
        # One more is waited for than needed, since it isn't known which one comes first.
        pool, count, wait_s = (
            (fresh, missing, 0.0) if fresh else (open_targets, missing + 1, MAX_WAIT_S)
        )
        chosen = self._random.sample(pool, min(count, len(pool)))
        for target in chosen:
            wanted = min(ceil(missing / len(chosen)), target.slots)
            self._asked[target.target_id] = wanted
            self._start(self._ask(target, wanted, wait_s))

    async def _ask(self, target: TargetRecord, wanted: int, wait_s: float) -> None:
        """Ask for slots of one target."""
        owner, numbers = self._granting.owner_of(target), ()
        blocked_s = UNGRANTED_S if wait_s else 0.0
        begun_s = read_clock()
        try:
            if owner is None:
                numbers = await self._granting.wait(target, self._name, wait_s)
            else:
                answer = await self._call(owner, target.target_id, wanted, wait_s)
                numbers = answer.grants
        except CALL_ERRORS as error:
            # The next owner may be asked soon where this one has ended.
            is_same = self._granting.owner_of(target) == owner
            blocked_s = FAILED_S if is_same else UNGRANTED_S
            logger.info("slots not asked for", host=owner.host, why=repr(error))
        finally:
            del self._asked[target.target_id]
        now_s = read_clock()
        if not numbers or (wait_s and now_s - begun_s > WAITED_S):
            self._full_until_s[target.target_id] = now_s + FULL_S
        if not numbers:
            self._blocked_until_s[target.target_id] = now_s + blocked_s
        self._add(target, owner, numbers)
        self.on_changed(target.service)

    async def _call(
        self,
        owner: PeerEndpoint,
        target_id: str = "",
        wanted: int = 0,
        wait_s: float = 0.0,
        in_use: tuple[int, ...] = (),
    ) -> SlotAnswer:
        """Ask another router, and tell it which grants have ended."""
        ended = self._ended.pop(owner, _Ended([], []))
        question = SlotQuestion(
            owner.key,
            self._name,
            target_id,
            wanted,
            int(wait_s * 1000),
            tuple(ended.numbers),
            in_use,
            tuple(ended.refused),
        )
        address, body = Address(owner.host, self.port), encode_slots(question)
        timeout_s = wait_s + ANSWER_MARGIN_S
        try:
            answer = await call_peer(self._connections, address, SLOTS_PATH, body, timeout_s)
        except ConnectFailedError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._granting.owners.record_ended(owner, read_clock())
            raise
        self._granting.owners.record_answer(owner)
        return decode_slot_answer(answer)

    def _add(
        self, target: TargetRecord, owner: PeerEndpoint | None, numbers: tuple[int, ...]
    ) -> None:
        now_s = read_clock()
        permits = [
            Permit(number, target.service, target.target_id, owner, now_s) for number in numbers
        ]
        self._unused[target.target_id] += permits
        if permits and self._renewing is None:
            self._renewing = self._start(self._renew())

    def _end(self, permit: Permit, was_refused: bool) -> None:
        """End a grant, at this router or by a message to the one that granted it."""
        refused = (permit.target_id,) if was_refused else ()
        if permit.owner is None:
            self._granting.end((permit.number,), refused)
            return
        is_first = permit.owner not in self._ended
        ended = self._ended.setdefault(permit.owner, _Ended([], []))
        ended.numbers.append(permit.number)
        ended.refused.extend(refused)
        if is_first:
            self._start(self._tell_ended(permit.owner))

    def _check(self, owner: PeerEndpoint) -> None:
        """Find out whether a router has ended, at most once in `UNGRANTED_S`."""
        now_s = read_clock()
        if self._checked_s.get(owner.key, float("-inf")) <= now_s - UNGRANTED_S:
            self._checked_s = {owner.key: now_s}
            self._start(self._tell(owner))

    def _check_others(self) -> None:
        """Find out whether other routers hear a replica, one time after the other."""
        if self._checking is None or self._checking.done():
            self._checking = self._start(self._ask_others())

    async def _ask_others(self) -> None:
        """Ask the other routers that grant slots whether they hear a replica."""
        owners = self._granting.owners
        others = [item for item in owners.endpoints if item.host != self._own_host]
        answers = await asyncio.gather(*(self._tell(item) for item in others))
        if not any(answer is not None and answer.is_confirmed for answer in answers):
            owners.record_alone(read_clock())
        await asyncio.sleep(CHECK_INTERVAL_S)

    async def _tell_ended(self, owner: PeerEndpoint) -> None:
        """Tell a router which of its grants have ended, unless a question did."""
        if owner in self._ended:
            await self._tell(owner)

    async def _tell(self, owner: PeerEndpoint, in_use: tuple[int, ...] = ()) -> SlotAnswer | None:
        """Tell a router which of its grants have ended, and which are in use."""
        try:
            return await self._call(owner, in_use=in_use)
        except CALL_ERRORS as error:
            logger.info("slot owner not told", host=owner.host, why=repr(error))
        return None

    async def _renew(self) -> None:
        """Renew the permits of requests that take long, and give back those left unused."""
        try:
            while self._in_use or any(self._unused.values()):
                await asyncio.sleep(RENEW_INTERVAL_S)
                oldest_s = read_clock() - RENEW_INTERVAL_S
                by_owner: defaultdict[PeerEndpoint | None, list[int]] = defaultdict(list)
                for permit in self._in_use:
                    if permit.granted_s <= oldest_s:
                        by_owner[permit.owner].append(permit.number)
                self._granting.grants.renew(by_owner.pop(None, ()), read_clock())
                for owner, numbers in by_owner.items():
                    self._start(self._tell(owner, tuple(numbers)))
                self._end_older(oldest_s)
        finally:
            self._renewing = None

    def _end_older(self, oldest_s: float) -> None:
        """Give back the permits that were granted before a time and not used."""
        for target_id, permits in self._unused.items():
            for permit in [item for item in permits if item.granted_s <= oldest_s]:
                self._unused[target_id].remove(permit)
                self._end(permit, was_refused=False)

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
