"""Hold what subscribers have to hear, and wake those that wait for it."""

import asyncio
import secrets
import time
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from damaskwind.control.fleet.heard_targets import HeardTargets
from damaskwind.decisions.fatal_requests.suspicion import Suspicion, SuspicionTable
from damaskwind.decisions.following.read_redirection import RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldAggregator, HeldSum
from damaskwind.decisions.membership.report_assignment import ReportAssignment
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.membership.target_table import Changes, TargetTable
from damaskwind.model.evacuations import Evacuations
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import LastSeen, News, NewsRequest, SubscriberKind

__all__ = ["NewsBoard"]

# A subscriber that has not asked for so long is gone: three held calls.
SUBSCRIBER_S = 4.0
# Heartbeats of targets are told no more often: in a release a subscriber gets several
# answers a second, and the ages are two thirds of each.
HEARD_EVERY_S = 0.8
# So many heartbeats are told one by one: 1.6 KB, a packet when compressed. Of more, routers
# that know the same targets are told who is silent.
LISTED_TARGETS = 64
# A heartbeat in a list, compressed.
HEARD_BYTES = 10
# A router that has known other targets for so long is told all heartbeats after all.
DISAGREES_S = 2.0
# Changes among more than LISTED_TARGETS are told by the replica that is first for a router.
# One that still lacks some, the last of them so old or its table other for three times that, hears
# of them from the others where their links are idle: its first one may be frozen.
LAGS_S = 0.5
# Changes among many targets are told together: each wakes all routers that wait.
WAKES_EVERY_S = 0.05
# So many records go with an answer, so that heartbeats of the log find room between them.
RECORDS_AT_ONCE = 500
# So few new records go without room too, and any change of a phase, a third of the bytes: a leave
# must not wait for the parts of tables and the sums that have the link.
FEW_RECORDS = 16
# What one lost target had in hand, four times over, is told in one answer.
SUSPICIONS_AT_ONCE = 256
# What the routers say of one lost target comes within this.
SUSPICIONS_GATHERED_S = 0.01
# Routers that are named to one for which the link has no room; the second is for one that
# has ended meanwhile.
TABLES_NAMED = 2


class _Subscription(NamedTuple):
    """What a subscriber was known to have when it last asked, and what it was told then.

    `agreed_s` is when its table last was the one of this replica, or what that was when it was
    told all; it `lacks` changes that its first replica should have told it by now.
    """

    kind: str
    revision: int
    asked_s: float
    heard_told_s: float
    passes_on: RelayEndpoint
    told_digest: int
    agreed_s: float
    lacks: bool


class NewsBoard:
    """The table of targets of one replica, as its subscribers see it."""

    def __init__(
        self,
        version: Callable[[], int],
        is_current: Callable[[], bool],
        hosts: Callable[[], tuple[str, ...]],
        leads: Callable[[], bool] = lambda: False,
        evacuations: Callable[[], Evacuations] = Evacuations,
    ) -> None:
        self.table = TargetTable()
        self.held = HeldAggregator()
        self.suspicions = SuspicionTable()
        self.epoch = secrets.token_hex(4)
        self._version = version
        self._is_current = is_current
        self._hosts = hosts
        self._leads = leads
        self.evacuations = evacuations
        # Whether news that can wait find the link idle; set by who sends them.
        self.has_room: Callable[[], bool] = lambda: True
        # Takes so many bytes of what the link has for news, if nothing waits there.
        self.take_room: Callable[[int], bool] = lambda size_bytes: True
        self._heard = HeardTargets(self.table)
        self._report_assignment = ReportAssignment()
        self._random = Random(secrets.randbits(64))
        self._subscriptions: dict[str, _Subscription] = {}
        self._routers: list[str] = []
        self._link_rates: dict[str, float] = {}
        self._waiters: set[asyncio.Future] = set()
        self._waking: asyncio.TimerHandle | None = None
        self._changed_s = float("-inf")

    def report(self, record: TargetRecord) -> bool:
        """Take a target's own report; tell whether it changed anything."""
        now_s = read_clock()
        changed = self.table.report(record, now_s)
        held = self.table.record_of(record.target_id)
        if held is not None and (held.service, held.born_ms) == (record.service, record.born_ms):
            self._heard.note(record.target_id, now_s)
        if changed:
            self._note_change()
        return changed

    def leave(self, target_id: str) -> bool:
        """Take a target's word that it is gone."""
        changed = self.table.leave(target_id, read_clock(), int(time.time() * 1000))
        self._heard.drop(target_id)
        if changed:
            self._note_change()
        return changed

    def merge(self, records: Iterable[TargetRecord], heard: Iterable[LastSeen]) -> None:
        """Take what another replica knows."""
        now_s = read_clock()
        changed = [self.table.merge(record, now_s) for record in records]
        for target_id, age_s, born_ms in heard:
            self.table.mark_seen(target_id, now_s - age_s, born_ms)
        if any(changed):
            self._note_change()

    def suspect(self, items: Iterable[Suspicion]) -> list[bytes]:
        """Take what a router or another replica knows of fatal requests; return what was news."""
        news = self.suspicions.merge(items, read_clock())
        if news:
            self._note_suspicions()
        return news

    def lift(self, digest: bytes) -> bool:
        """Clear a request; tell whether it was under suspicion."""
        was_suspected = self.suspicions.record_completion(digest, read_clock())
        if was_suspected:
            self._note_suspicions()
        return was_suspected

    def _note_suspicions(self) -> None:
        """Have routers told in a moment."""
        if self._waiters and self._waking is None:
            loop = asyncio.get_running_loop()
            self._waking = loop.call_later(SUSPICIONS_GATHERED_S, self.wake)

    def _note_change(self) -> None:
        """Have everyone look at the table, soon if there are many targets."""
        self._changed_s = read_clock()
        if not self.is_large:
            self.wake()
        elif self._waiters and self._waking is None:
            self._waking = asyncio.get_running_loop().call_later(WAKES_EVERY_S, self.wake)

    def wake(self) -> None:
        """Let everyone who waits look again."""
        if self._waking is not None:
            self._waking.cancel()
            self._waking = None
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def answer(self, request: NewsRequest) -> News:
        """Return news for a subscriber, as soon as there are any."""
        await self.wait_for_news(request)
        return self.news(request)

    def knows(self, request: NewsRequest) -> bool:
        """Tell whether the subscriber has heard this replica's table before."""
        return request.epoch == self.epoch

    async def wait_for_news(self, request: NewsRequest) -> None:
        """Wait until there are news for a subscriber, or it has waited long enough."""
        revision = self._revision_of(request)
        self._note(request, revision)
        deadline_s = read_clock() + request.wait_s
        while not self._has_news(request, revision):
            if not await self._wait(deadline_s - read_clock()):
                break

    def _revision_of(self, request: NewsRequest) -> int:
        # Routers that start together would have the same table told by every replica.
        if request.table_digest == self.table.digest != 0:
            return self.table.revision
        return request.revision if self.knows(request) else 0

    @property
    def is_large(self) -> bool:
        """Tell whether there are too many targets to be told of one by one by every replica."""
        return len(self.table) > LISTED_TARGETS

    def is_behind(self, request: NewsRequest) -> bool:
        """Tell whether a subscriber lacks so many of many targets' changes that they need room.

        The others take turns: a version that all hear of at once has all ask for it at once,
        before any router has it to pass on.
        """
        return self.is_large and self.table.revision - self._revision_of(request) > FEW_RECORDS

    def _tells_changes(self, request: NewsRequest) -> bool:
        """Tell whether a subscriber is to hear of changes from here now."""
        if not self.is_large or request.is_first:
            return True
        subscription = self._subscriptions.get(request.node_id)
        return subscription is not None and subscription.lacks and self.has_room()

    async def wait_told(self, revision: int, limit_s: float) -> bool:
        """Wait until all replicas that ask here have a revision; tell whether they do."""
        deadline_s = read_clock() + limit_s
        while not self._are_told(revision):
            if not await self._wait(deadline_s - read_clock()):
                return False
        return True

    def routers(self) -> int:
        """Return how many routers ask here."""
        self._forget_silent(read_clock())
        return len(self._routers)

    def passing_places(self) -> list[RelayEndpoint]:
        """Return where routers that ask here pass documents on, the last to ask first."""
        self._forget_silent(read_clock())
        places = (item.passes_on for item in reversed(self._subscriptions.values()))
        return [place for place in places if place.host]

    def link_rate(self, host: str) -> float:
        """Return the rate of a router's link in bytes a second, as it last told it."""
        return self._link_rates.get(host, float("inf"))

    def report_place(self) -> str | None:
        """Return the host of a router at which a target may report, if it had better not here."""
        place = self._report_assignment.choose(self._heard.here, len(self._routers))
        if place is None:
            return None
        return self._subscriptions[self._routers[place]].passes_on.host or None

    def _place(self, node_id: str) -> int | None:
        """Return a router's place among those that ask here."""
        place = bisect_left(self._routers, node_id)
        return place if self._routers[place : place + 1] == [node_id] else None

    def _forget_silent(self, now_s: float) -> None:
        """Drop subscribers that are gone; the one that asked first stands first."""
        while self._subscriptions:
            node_id, item = next(iter(self._subscriptions.items()))
            if now_s - item.asked_s <= SUBSCRIBER_S:
                return
            del self._subscriptions[node_id]
            if item.kind == SubscriberKind.ROUTER:
                self._routers.remove(node_id)

    def _are_told(self, revision: int) -> bool:
        self._forget_silent(read_clock())
        present = self._subscriptions.values()
        replicas = [item for item in present if item.kind == SubscriberKind.REPLICA]
        return all(item.revision >= revision for item in replicas)

    def _note(self, request: NewsRequest, revision: int) -> None:
        """Note who asks; what a subscriber has may be what another waits for."""
        now_s = read_clock()
        before = self._subscriptions.pop(request.node_id, None)
        if before is None and request.kind == SubscriberKind.ROUTER:
            insort(self._routers, request.node_id)
        self._subscriptions[request.node_id] = self._subscription(request, revision, before, now_s)
        if request.relay.host:
            self._link_rates[request.relay.host] = request.relay.link_bytes_per_s
        self._forget_silent(now_s)
        if request.kind == SubscriberKind.REPLICA:
            self.wake()
        else:
            self.held.report(request.node_id, request.held, now_s, request.services)
            self.merge(request.records, request.last_seen)
            for target_id, age_s, _ in request.last_seen:
                self._heard.note_at_router(target_id, now_s - age_s)

    def _subscription(
        self, request: NewsRequest, revision: int, before: _Subscription | None, now_s: float
    ) -> _Subscription:
        """Return what is known of a subscriber that asks now."""
        heard_told_s = before.heard_told_s if before else float("-inf")
        told_digest = before.told_digest if before else 0
        agreed_s = before.agreed_s if before else now_s
        if request.table_digest in (told_digest, self.table.digest):
            agreed_s = now_s
        is_overdue = now_s - self._changed_s >= LAGS_S or now_s - agreed_s >= 3 * LAGS_S
        return _Subscription(
            request.kind,
            revision,
            now_s,
            heard_told_s,
            request.relay,
            told_digest,
            agreed_s,
            request.table_digest != self.table.digest and is_overdue,
        )

    def _has_news(self, request: NewsRequest, revision: int) -> bool:
        wants_version = request.kind == SubscriberKind.ROUTER
        is_newer = wants_version and self._version() > request.version
        has_orders = wants_version and self.evacuations().revision > request.evacuations_seen
        has_changes = self.table.revision > revision and self._tells_changes(request)
        # One replica is enough to wake a router; the others tell it with their next answers.
        has_suspicions = request.is_first and self.suspicions.revision > request.suspicions_seen
        has_told = request.epoch == self.epoch
        return not has_told or has_changes or is_newer or has_orders or has_suspicions

    def news(
        self, request: NewsRequest, held: HeldSum | None = None, has_room: bool = True
    ) -> News:
        """Return what there is for a subscriber now, with what routers hold if that has room.

        Without room, changes among many targets are left out; the subscriber asks again.
        """
        now_s = read_clock()
        changes = self._changes_for(request, has_room)
        changes = changes._replace(
            records=self.table.with_remaining_cold_time(changes.records, now_s)
        )
        suspicions, suspicions_revision = self.suspicions.changed_since(
            request.suspicions_seen if self.knows(request) else 0, SUSPICIONS_AT_ONCE, now_s
        )
        subscription = self._subscriptions.get(request.node_id)
        if subscription is not None and changes.revision == self.table.revision:
            self._subscriptions[request.node_id] = subscription._replace(
                told_digest=self.table.digest
            )
        return News(
            self.epoch,
            changes.revision,
            self._version(),
            self._is_current(),
            self._hosts(),
            self.routers(),
            changes.records,
            self._heard_for(request, now_s),
            self._leads(),
            held,
            self._place(request.node_id),
            self._heard.others() if self._tells_silence(subscription, now_s) else None,
            () if has_room else self._tables_at(request, changes.revision),
            changes.phases,
            suspicions,
            suspicions_revision,
            self.evacuations(),
        )

    def _tables_at(self, request: NewsRequest, revision: int) -> tuple[str, ...]:
        """Return routers that know more than a router does, for which there is no room here."""
        if not self.is_large or not request.is_first or revision >= self.table.revision:
            return ()
        know_more = [
            item.passes_on.host
            for item in self._subscriptions.values()
            if item.passes_on.host and item.revision >= revision + RECORDS_AT_ONCE
        ]
        return tuple(self._random.sample(know_more, min(TABLES_NAMED, len(know_more))))

    def _changes_for(self, request: NewsRequest, has_room: bool) -> Changes:
        """Return the changes that a subscriber is told now."""
        revision = self._revision_of(request)
        if not self.is_large or request.kind == SubscriberKind.REPLICA:
            return self.table.changed_since(revision)
        if not self._tells_changes(request):
            return Changes((), revision)
        changes = self.table.compact_changes_since(revision, RECORDS_AT_ONCE)
        return changes if has_room or len(changes.records) <= FEW_RECORDS else Changes((), revision)

    def _tells_silence(self, subscription: _Subscription | None, now_s: float) -> bool:
        """Tell whether a subscriber is told who is silent in place of who was heard."""
        return (
            subscription is not None
            and subscription.kind == SubscriberKind.ROUTER
            and self.is_large
            and now_s - subscription.agreed_s < DISAGREES_S
            and self._heard.are_few_silent()
        )

    def _heard_for(self, request: NewsRequest, now_s: float) -> tuple[LastSeen, ...]:
        """Return which targets were heard here lately, unless the subscriber was just told."""
        subscription = self._subscriptions.get(request.node_id)
        if subscription is None or now_s - subscription.heard_told_s < HEARD_EVERY_S:
            return ()
        if self._tells_silence(subscription, now_s):
            return ()
        is_router = subscription.kind == SubscriberKind.ROUTER
        # Other replicas are told in any case: without, each believes most targets silent and
        # tells every router whom it heard, target by target.
        if is_router and self.is_behind(request) and not self._has_room_for_list():
            return ()
        self._subscriptions[request.node_id] = subscription._replace(heard_told_s=now_s)
        return self._heard.listed(is_router)

    def _has_room_for_list(self) -> bool:
        """Take room for the heartbeats of all targets heard here; tell whether there was."""
        return self.take_room(HEARD_BYTES * self._heard.listable)

    async def _wait(self, limit_s: float) -> bool:
        """Wait for a change; tell whether one came."""
        if limit_s <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(limit_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True
