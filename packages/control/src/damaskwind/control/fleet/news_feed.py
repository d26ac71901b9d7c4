"""Hold what subscribers have to hear, and wake those that wait for it."""

import asyncio
import secrets
import time
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from damaskwind.control.fleet.target_heartbeats import TargetHeartbeats
from damaskwind.decisions.fatal_requests.suspicion import Suspicion, SuspicionTable
from damaskwind.decisions.following.read_redirection import RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldAggregator, HeldSum
from damaskwind.decisions.membership.report_assignment import ReportAssignment
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.membership.target_table import Changes, TargetTable
from damaskwind.model.evacuations import Evacuations
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import Heard, News, NewsRequest, SubscriberKind

__all__ = ["NewsFeed"]

# A subscriber that has not asked for so long is gone: three held calls.
SUBSCRIBER_TTL_S = 4.0
# Heartbeats of targets are told no more often: in a release a subscriber gets several
# answers a second, and the ages are two thirds of each.
HEARTBEAT_INTERVAL_S = 0.8
# So many heartbeats are told one by one: 1.6 KB, a packet when compressed. Of more, routers
# that know the same targets are told who is silent.
MAX_LISTED_TARGETS = 64
# A heartbeat in a list, compressed.
HEARTBEAT_BYTES = 10
# A router that has known other targets for so long is told all heartbeats after all.
MAX_MISMATCH_S = 2.0
# Changes among more than LISTED_TARGETS are told by the replica that is first for a router.
# One that still lacks some, the last of them so old or its table other for three times that, hears
# of them from the others where their links are idle: its first one may be frozen.
LAG_THRESHOLD_S = 0.5
# Changes among many targets are told together: each wakes all routers that wait.
WAKE_INTERVAL_S = 0.05
# So many records go with an answer, so that heartbeats of the log find room between them.
MAX_RECORDS = 500
# So few new records go without room too, and any change of a phase, a third of the bytes: a leave
# must not wait for the parts of tables and the sums that have the link.
SMALL_UPDATE_RECORDS = 16
# What one lost target had in hand, four times over, is told in one answer.
MAX_SUSPICIONS = 256
# What the routers say of one lost target comes within this.
SUSPICION_BATCH_S = 0.01
# Routers that are named to one for which the link has no room; the second is for one that
# has ended meanwhile.
MAX_TABLE_SOURCES = 2


class _Subscription(NamedTuple):
    """What a subscriber was known to have when it last asked, and what it was told then.

    `agreed_s` is when its table last was the one of this replica, or what that was when it was
    told all; it `lacks` changes that its first replica should have told it by now.
    """

    kind: str
    revision: int
    last_request_s: float
    heartbeats_sent_s: float
    relay: RelayEndpoint
    sent_digest: int
    last_match_s: float
    is_lagging: bool


class NewsFeed:
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
        self.load_sums = HeldAggregator()
        self.suspicions = SuspicionTable()
        self.epoch = secrets.token_hex(4)
        self._version = version
        self._is_current = is_current
        self._hosts = hosts
        self._is_leader = leads
        self.evacuations = evacuations
        # Whether news that can wait find the link idle; set by who sends them.
        self.has_headroom: Callable[[], bool] = lambda: True
        # Takes so many bytes of what the link has for news, if nothing waits there.
        self.reserve_headroom: Callable[[int], bool] = lambda size_bytes: True
        self._heartbeats = TargetHeartbeats(self.table)
        self._report_assignment = ReportAssignment()
        self._random = Random(secrets.randbits(64))
        self._subscriptions: dict[str, _Subscription] = {}
        self._routers: list[str] = []
        self._link_rates: dict[str, float] = {}
        self._waiters: set[asyncio.Future] = set()
        self._wake_timer: asyncio.TimerHandle | None = None
        self._last_change_s = float("-inf")

    def report(self, record: TargetRecord) -> bool:
        """Take a target's own report; tell whether it changed anything."""
        now_s = read_clock()
        changed = self.table.report(record, now_s)
        held = self.table.record_of(record.target_id)
        if held is not None and (held.service, held.born_ms) == (record.service, record.born_ms):
            self._heartbeats.record(record.target_id, now_s)
        if changed:
            self._schedule_wake()
        return changed

    def leave(self, target_id: str) -> bool:
        """Take a target's word that it is gone."""
        changed = self.table.leave(target_id, read_clock(), int(time.time() * 1000))
        self._heartbeats.remove(target_id)
        if changed:
            self._schedule_wake()
        return changed

    def merge(self, records: Iterable[TargetRecord], heard: Iterable[Heard]) -> None:
        """Take what another replica knows."""
        now_s = read_clock()
        changed = [self.table.merge(record, now_s) for record in records]
        for target_id, age_s, born_ms in heard:
            self.table.mark_seen(target_id, now_s - age_s, born_ms)
        if any(changed):
            self._schedule_wake()

    def merge_suspicions(self, items: Iterable[Suspicion]) -> list[bytes]:
        """Take what a router or another replica knows of fatal requests; return what was news."""
        news = self.suspicions.merge(items, read_clock())
        if news:
            self._schedule_suspicion_wake()
        return news

    def clear_suspicion(self, digest: bytes) -> bool:
        """Clear a request; tell whether it was under suspicion."""
        was_suspected = self.suspicions.record_completion(digest, read_clock())
        if was_suspected:
            self._schedule_suspicion_wake()
        return was_suspected

    def _schedule_suspicion_wake(self) -> None:
        """Have routers told in a moment."""
        if self._waiters and self._wake_timer is None:
            loop = asyncio.get_running_loop()
            self._wake_timer = loop.call_later(SUSPICION_BATCH_S, self.wake)

    def _schedule_wake(self) -> None:
        """Have everyone look at the table, soon if there are many targets."""
        self._last_change_s = read_clock()
        if not self.is_large:
            self.wake()
        elif self._waiters and self._wake_timer is None:
            self._wake_timer = asyncio.get_running_loop().call_later(WAKE_INTERVAL_S, self.wake)

    def wake(self) -> None:
        """Let everyone who waits look again."""
        if self._wake_timer is not None:
            self._wake_timer.cancel()
            self._wake_timer = None
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def answer(self, request: NewsRequest) -> News:
        """Return news for a subscriber, as soon as there are any."""
        await self.wait_for_updates(request)
        return self.build_news(request)

    def has_current_epoch(self, request: NewsRequest) -> bool:
        """Tell whether the subscriber has heard this replica's table before."""
        return request.epoch == self.epoch

    async def wait_for_updates(self, request: NewsRequest) -> None:
        """Wait until there are news for a subscriber, or it has waited long enough."""
        revision = self._revision_of(request)
        self._record_request(request, revision)
        deadline_s = read_clock() + request.wait_s
        while not self._has_updates(request, revision):
            if not await self._wait(deadline_s - read_clock()):
                break

    def _revision_of(self, request: NewsRequest) -> int:
        # Routers that start together would have the same table told by every replica.
        if request.table_digest == self.table.digest != 0:
            return self.table.revision
        return request.revision if self.has_current_epoch(request) else 0

    @property
    def is_large(self) -> bool:
        """Tell whether there are too many targets to be told of one by one by every replica."""
        return len(self.table) > MAX_LISTED_TARGETS

    def is_behind(self, request: NewsRequest) -> bool:
        """Tell whether a subscriber lacks so many of many targets' changes that they need room.

        The others take turns: a version that all hear of at once has all ask for it at once,
        before any router has it to pass on.
        """
        return (
            self.is_large
            and self.table.revision - self._revision_of(request) > SMALL_UPDATE_RECORDS
        )

    def _sends_changes(self, request: NewsRequest) -> bool:
        """Tell whether a subscriber is to hear of changes from here now."""
        if not self.is_large or request.is_first:
            return True
        subscription = self._subscriptions.get(request.node_id)
        return subscription is not None and subscription.is_lagging and self.has_headroom()

    async def wait_until_replicated(self, revision: int, limit_s: float) -> bool:
        """Wait until all replicas that ask here have a revision; tell whether they do."""
        deadline_s = read_clock() + limit_s
        while not self._is_replicated(revision):
            if not await self._wait(deadline_s - read_clock()):
                return False
        return True

    def router_count(self) -> int:
        """Return how many routers ask here."""
        self._drop_expired(read_clock())
        return len(self._routers)

    def relay_endpoints(self) -> list[RelayEndpoint]:
        """Return where routers that ask here pass documents on, the last to ask first."""
        self._drop_expired(read_clock())
        endpoints = (item.relay for item in reversed(self._subscriptions.values()))
        return [endpoint for endpoint in endpoints if endpoint.host]

    def link_rate(self, host: str) -> float:
        """Return the rate of a router's link in bytes a second, as it last told it."""
        return self._link_rates.get(host, float("inf"))

    def choose_report_host(self) -> str | None:
        """Return the host of a router at which a target may report, if it had better not here."""
        index = self._report_assignment.choose(self._heartbeats.direct_count, len(self._routers))
        if index is None:
            return None
        return self._subscriptions[self._routers[index]].relay.host or None

    def _router_index(self, node_id: str) -> int | None:
        """Return a router's index among those that ask here."""
        index = bisect_left(self._routers, node_id)
        return index if self._routers[index : index + 1] == [node_id] else None

    def _drop_expired(self, now_s: float) -> None:
        """Drop subscribers that are gone; the one that asked first stands first."""
        while self._subscriptions:
            node_id, item = next(iter(self._subscriptions.items()))
            if now_s - item.last_request_s <= SUBSCRIBER_TTL_S:
                return
            del self._subscriptions[node_id]
            if item.kind == SubscriberKind.ROUTER:
                self._routers.remove(node_id)

    def _is_replicated(self, revision: int) -> bool:
        self._drop_expired(read_clock())
        present = self._subscriptions.values()
        replicas = [item for item in present if item.kind == SubscriberKind.REPLICA]
        return all(item.revision >= revision for item in replicas)

    def _record_request(self, request: NewsRequest, revision: int) -> None:
        """Note who asks; what a subscriber has may be what another waits for."""
        now_s = read_clock()
        before = self._subscriptions.pop(request.node_id, None)
        if before is None and request.kind == SubscriberKind.ROUTER:
            insort(self._routers, request.node_id)
        self._subscriptions[request.node_id] = self._subscription(request, revision, before, now_s)
        if request.passes_on.host:
            self._link_rates[request.passes_on.host] = request.passes_on.link_bytes_per_s
        self._drop_expired(now_s)
        if request.kind == SubscriberKind.REPLICA:
            self.wake()
        else:
            self.load_sums.report(request.node_id, request.held, now_s, request.services)
            self.merge(request.records, request.heard)
            for target_id, age_s, _ in request.heard:
                self._heartbeats.record_at_router(target_id, now_s - age_s)

    def _subscription(
        self, request: NewsRequest, revision: int, before: _Subscription | None, now_s: float
    ) -> _Subscription:
        """Return what is known of a subscriber that asks now."""
        heartbeats_sent_s = before.heartbeats_sent_s if before else float("-inf")
        sent_digest = before.sent_digest if before else 0
        last_match_s = before.last_match_s if before else now_s
        if request.table_digest in (sent_digest, self.table.digest):
            last_match_s = now_s
        is_overdue = (
            now_s - self._last_change_s >= LAG_THRESHOLD_S
            or now_s - last_match_s >= 3 * LAG_THRESHOLD_S
        )
        return _Subscription(
            request.kind,
            revision,
            now_s,
            heartbeats_sent_s,
            request.passes_on,
            sent_digest,
            last_match_s,
            request.table_digest != self.table.digest and is_overdue,
        )

    def _has_updates(self, request: NewsRequest, revision: int) -> bool:
        wants_version = request.kind == SubscriberKind.ROUTER
        is_newer = wants_version and self._version() > request.version
        has_orders = wants_version and self.evacuations().revision > request.evacuations_seen
        has_changes = self.table.revision > revision and self._sends_changes(request)
        # One replica is enough to wake a router; the others tell it with their next answers.
        has_suspicions = request.is_first and self.suspicions.revision > request.suspicions_seen
        is_known = request.epoch == self.epoch
        return not is_known or has_changes or is_newer or has_orders or has_suspicions

    def build_news(
        self, request: NewsRequest, held: HeldSum | None = None, has_headroom: bool = True
    ) -> News:
        """Return what there is for a subscriber now, with what routers hold if that has room.

        Without room, changes among many targets are left out; the subscriber asks again.
        """
        now_s = read_clock()
        changes = self._changes_for(request, has_headroom)
        changes = changes._replace(
            records=self.table.with_remaining_cold_time(changes.records, now_s)
        )
        suspicions, suspicions_revision = self.suspicions.changed_since(
            request.suspicions_seen if self.has_current_epoch(request) else 0, MAX_SUSPICIONS, now_s
        )
        subscription = self._subscriptions.get(request.node_id)
        if subscription is not None and changes.revision == self.table.revision:
            self._subscriptions[request.node_id] = subscription._replace(
                sent_digest=self.table.digest
            )
        return News(
            self.epoch,
            changes.revision,
            self._version(),
            self._is_current(),
            self._hosts(),
            self.router_count(),
            changes.records,
            self._heartbeats_for(request, now_s),
            self._is_leader(),
            held,
            self._router_index(request.node_id),
            (
                self._heartbeats.summarize()
                if self._sends_silent_targets(subscription, now_s)
                else None
            ),
            () if has_headroom else self._choose_table_sources(request, changes.revision),
            changes.phases,
            suspicions,
            suspicions_revision,
            self.evacuations(),
        )

    def _choose_table_sources(self, request: NewsRequest, revision: int) -> tuple[str, ...]:
        """Return routers that know more than a router does, for which there is no room here."""
        if not self.is_large or not request.is_first or revision >= self.table.revision:
            return ()
        sources = [
            item.relay.host
            for item in self._subscriptions.values()
            if item.relay.host and item.revision >= revision + MAX_RECORDS
        ]
        return tuple(self._random.sample(sources, min(MAX_TABLE_SOURCES, len(sources))))

    def _changes_for(self, request: NewsRequest, has_headroom: bool) -> Changes:
        """Return the changes that a subscriber is told now."""
        revision = self._revision_of(request)
        if not self.is_large or request.kind == SubscriberKind.REPLICA:
            return self.table.changed_since(revision)
        if not self._sends_changes(request):
            return Changes((), revision)
        changes = self.table.compact_changes_since(revision, MAX_RECORDS)
        return (
            changes
            if has_headroom or len(changes.records) <= SMALL_UPDATE_RECORDS
            else Changes((), revision)
        )

    def _sends_silent_targets(self, subscription: _Subscription | None, now_s: float) -> bool:
        """Tell whether a subscriber is told who is silent in place of who was heard."""
        return (
            subscription is not None
            and subscription.kind == SubscriberKind.ROUTER
            and self.is_large
            and now_s - subscription.last_match_s < MAX_MISMATCH_S
            and self._heartbeats.has_few_silent()
        )

    def _heartbeats_for(self, request: NewsRequest, now_s: float) -> tuple[Heard, ...]:
        """Return which targets were heard here lately, unless the subscriber was just told."""
        subscription = self._subscriptions.get(request.node_id)
        if subscription is None or now_s - subscription.heartbeats_sent_s < HEARTBEAT_INTERVAL_S:
            return ()
        if self._sends_silent_targets(subscription, now_s):
            return ()
        is_router = subscription.kind == SubscriberKind.ROUTER
        # Other replicas are told in any case: without, each believes most targets silent and
        # tells every router whom it heard, target by target.
        if is_router and self.is_behind(request) and not self._reserve_list_headroom():
            return ()
        self._subscriptions[request.node_id] = subscription._replace(heartbeats_sent_s=now_s)
        return self._heartbeats.list_recent(is_router)

    def _reserve_list_headroom(self) -> bool:
        """Take room for the heartbeats of all targets heard here; tell whether there was."""
        return self.reserve_headroom(HEARTBEAT_BYTES * self._heartbeats.max_list_length)

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
