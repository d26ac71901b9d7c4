"""Grant the slots of the brittle targets that belong to one router, to itself and to others."""

import asyncio
import hmac
from collections import deque
from collections.abc import Callable

from loguru import logger

from damaskwind.decisions.admission.slot_grants import SlotGrants
from damaskwind.decisions.admission.slot_owners import SlotOwners, even_part
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.model.exception import MessageError
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.wire.slot_grants import SlotAnswer, decode_slot_question, encode_slots

__all__ = ["MAX_WAIT_S", "ONSET_S", "SlotGranting"]

# A question waits this long at most for a slot.
MAX_WAIT_S = 0.5
# Routers that wait for slots of one target at the same time.
MAX_WAITING = 256
# Within this time of the first brittle answer of a service every router knows who grants its slots.
ONSET_S = 3.0
# Holders of slots that are listed in one log line.
MAX_LOGGED_HOLDERS = 16


class _Waiter:
    """A router that waits for slots of a target."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.granted: asyncio.Future[tuple[int, ...]] = asyncio.get_running_loop().create_future()


class SlotGranting:
    """The grants of one router; `since` tells since when a service is known as brittle."""

    def __init__(self, view: FleetView, since: Callable[[str], float]) -> None:
        self.owners = SlotOwners(view.own_peer.key, read_clock())
        self.grants = SlotGrants()
        self._view = view
        self._since = since
        self._started_s = read_clock()
        self._waiters: dict[str, deque[_Waiter]] = {}
        # Called with the owner of a target whose slots another router asks for here; that one
        # may have found that the owner has ended.
        self.on_misdirected: Callable[[PeerEndpoint], None] = lambda owner: None
        # Called while no replica is heard, to find out whether other routers hear one.
        self.on_silent: Callable[[], None] = lambda: None

    def owner_of(self, target: TargetRecord) -> PeerEndpoint | None:
        """Return the router to ask for a target's slots, `None` if it is this one."""
        now_s, woken_s = read_clock(), last_woken_s()
        if self.owners.is_silent(now_s, woken_s):
            self.on_silent()
        owner = self.owners.owner_of(target.target_id, now_s, woken_s)
        return None if owner in (NO_PEER, self._view.own_peer) else owner

    def take(self, target: TargetRecord, holder: str, wanted: int = 1) -> tuple[int, ...]:
        """Grant slots of a target that are free, unless others wait for them."""
        if self._waiters.get(target.target_id):
            return ()
        return self._grant(target, holder, wanted)

    async def wait(self, target: TargetRecord, holder: str, wait_s: float) -> tuple[int, ...]:
        """Grant a slot as soon as one is free, in the order of the questions."""
        waiting = self._waiters.setdefault(target.target_id, deque())
        if len(waiting) >= MAX_WAITING:
            return ()
        waiter = _Waiter(holder)
        waiting.append(waiter)
        self._serve(target.target_id)
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
                return await asyncio.shield(waiter.granted)
        except TimeoutError:
            return waiter.granted.result() if waiter.granted.done() else ()
        except asyncio.CancelledError:
            if waiter.granted.done():
                self.end(waiter.granted.result())
            raise
        finally:
            if waiter in waiting:
                waiting.remove(waiter)

    def end(self, numbers: tuple[int, ...], refused: tuple[str, ...] = ()) -> None:
        """End grants, of which some were used for requests that targets refused."""
        for target_id in refused:
            self._record_refusal(target_id)
        for target_id in self.grants.end(numbers):
            self._serve(target_id)

    async def answer(self, exchange: Exchange) -> None:
        """Answer the question of another router."""
        try:
            question = decode_slot_question(exchange.request.body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        key = self._view.own_peer.key
        if not key or not hmac.compare_digest(question.key.encode(), key.encode()):
            exchange.respond(Answer(407, []))
            return
        self.grants.renew(question.in_use, read_clock())
        self.end(question.ended, question.refused)
        numbers: tuple[int, ...] = ()
        target = self._view.targets.record_of(question.target_id)
        if target is not None and question.wanted > 0:
            owner = self.owner_of(target)
            if owner is not None:
                self.on_misdirected(owner)
            else:
                numbers = self.take(target, question.router, question.wanted)
            if owner is None and not numbers and question.wait_ms > 0:
                numbers = await self.wait(target, question.router, question.wait_ms / 1000)
        is_confirmed = self.owners.is_confirmed(read_clock())
        exchange.respond(Answer(200, [], encode_slots(SlotAnswer(numbers, is_confirmed))))

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self.grants.forget(target_id)
        self._waiters.pop(target_id, None)

    def _grant(self, target: TargetRecord, holder: str, wanted: int) -> tuple[int, ...]:
        now_s = read_clock()
        slots = self._own_slots(target, now_s)
        return self.grants.grant(target.target_id, slots, holder, wanted, now_s) if slots else ()

    def _own_slots(self, target: TargetRecord, now_s: float) -> int:
        """Return how many slots of a target this router may grant now."""
        since_s = self._since(target.service)
        if self.owners.endpoints:
            may_grant = self.owners.may_grant(target.target_id, since_s, now_s, last_woken_s())
            return target.slots if may_grant else 0
        if now_s - max(since_s, self._started_s) < ONSET_S:
            return 0
        place = self._view.sources.router_index or 0
        return even_part(target.target_id, target.slots, place, self._view.routers)

    def _serve(self, target_id: str) -> None:
        """Grant free slots to those that wait for them, one to each in turn."""
        waiting = self._waiters.get(target_id)
        target = self._view.targets.record_of(target_id)
        while waiting and target is not None:
            numbers = self._grant(target, waiting[0].holder, 1)
            if not numbers:
                return
            waiting.popleft().granted.set_result(numbers)

    def _record_refusal(self, target_id: str) -> None:
        """Grant fewer slots of a target that refused a request, and log who held them."""
        target = self._view.targets.record_of(target_id)
        if target is None:
            return
        holders = sorted(self.grants.holders(target_id).items())
        logger.warning(
            "brittle target refused",
            service=target.service,
            target=target_id,
            slots=target.slots,
            granted=self.grants.in_use(target_id),
            holders=dict(holders[:MAX_LOGGED_HOLDERS]),
            waiting=len(self._waiters.get(target_id, ())),
            granters=len(self.owners.endpoints),
            confirmed_s=round(self.owners.confirmed_age_s(read_clock()), 2),
        )
        # What was sent before slots were granted may still be there for a while.
        if read_clock() - self._since(target.service) >= ONSET_S:
            self.grants.record_refusal(target_id, read_clock())
