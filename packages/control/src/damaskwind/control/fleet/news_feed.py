"""Keep the updates for routers and other replicas, and answer their long polls."""

import secrets
import time
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from itertools import takewhile
from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.control.fleet.brittle_directory import BrittleDirectory
from damaskwind.control.fleet.heard_targets import TargetHeartbeats
from damaskwind.control.fleet.news_waiters import NewsWaiters
from damaskwind.control.fleet.peer_directory import PeerDirectory
from damaskwind.control.fleet.shed_decisions import ShedDecisions
from damaskwind.decisions.fatal_requests.suspicion import Suspicion, SuspicionTable
from damaskwind.decisions.following.read_redirection import RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldAggregator, HeldSum
from damaskwind.decisions.load.token_sums import TokenAggregator, TokenSums
from damaskwind.decisions.membership.report_assignment import ReportAssignment
from damaskwind.decisions.membership.target_record import (
    PhaseChange,
    TargetPhase,
    TargetRecord,
)
from damaskwind.decisions.membership.target_table import Changes, TargetTable
from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.evacuations import Evacuations
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.news import (
    BrittleNews,
    LastSeen,
    News,
    NewsRequest,
    SubscriberKind,
)
from damaskwind.wire.peers import peers_digest

__all__ = ["NewsFeed"]

# A subscriber without a request for this long is dropped: three long polls.
SUBSCRIBER_TTL_S = 4.0
# A router asks again as soon as it is answered, after a second and half of one at the latest. One
# that did not has perhaps ended, and a caller that is sent to it would find nobody.
RELAY_TTL_S = 1.5
# Minimum time between two lists of heartbeats to one subscriber. During a release a subscriber
# gets several answers a second, and two thirds of each would be heartbeat ages.
HEARTBEAT_INTERVAL_S = 0.8
# Up to this many heartbeats are listed one by one: 1.6 KB, one packet when compressed. With more
# targets, routers that have the same table get the list of silent targets instead.
MAX_LISTED_TARGETS = 64
# Compressed size of one heartbeat in a list.
HEARTBEAT_BYTES = 10
# A router whose table has differed for this long gets all heartbeats one by one.
MAX_MISMATCH_S = 2.0
# With more than MAX_LISTED_TARGETS targets, or more than MAX_REDUNDANT_ROUTERS routers, a router
# receives changes from its first replica. Other replicas with an idle link send them once the
# last change is this old, or once the router's table has differed for three times as long: its
# first replica may be frozen.
LAG_THRESHOLD_S = 0.5
# Changes among many targets are batched for this long, as each wakes all waiting routers.
WAKE_INTERVAL_S = 0.05
# Up to this many routers, every replica sends every change, so that no router waits for one that
# stands still. With more routers, these copies would fill the links.
MAX_REDUNDANT_ROUTERS = 16
# Maximum number of records in one answer, so that the log's heartbeats get through in between.
MAX_RECORDS = 500
# Up to this many new records are sent without headroom too, as is any change of a phase, which
# takes a third of the bytes: a leave must not wait behind parts of tables and load sums.
SMALL_UPDATE_RECORDS = 16
# Maximum number of suspicions in one answer: four times the requests in flight at a lost target.
MAX_SUSPICIONS = 256
# Every replica repeats a request that has become fatal in its answers for this time, which is two
# long polls and the longest wait for a turn: a router's first replica may stand still, or may have
# thousands of other suspicions to send before.
FATAL_REPEAT_S = 3.0
# The routers' reports about one lost target arrive within this time and are batched.
SUSPICION_BATCH_S = 0.01
# Number of routers named as sources of the table when the link has no headroom; the second one
# is a fallback in case the first has stopped.
MAX_TABLE_SOURCES = 2


class _Subscription(NamedTuple):
    """What a subscriber had at its last request, and what was sent to it then.

    `last_match_s` is when its table last equalled this replica's table, or the table that was
    last sent to it in full. It `is_lagging` if it lacks changes that its first replica should
    have sent by now.
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
    """The target table of one replica and the updates that its subscribers get from it."""

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
        self.token_sums = TokenAggregator()
        self.shedding = ShedDecisions(self.table, int(time.time()))
        self.suspicions = SuspicionTable()
        self._peers = PeerDirectory()
        self._brittle = BrittleDirectory(read_clock())
        self.epoch = secrets.token_hex(4)
        self._version = version
        self._is_current = is_current
        self._hosts = hosts
        self._is_leader = leads
        self.evacuations = evacuations
        # Returns whether the link is idle enough for deferrable updates; set by `NewsSite`.
        self.has_headroom: Callable[[], bool] = lambda: True
        # Reserves bytes of the link's share for updates if there is no backlog; set by `NewsSite`.
        self.reserve_headroom: Callable[[int], bool] = lambda size_bytes: True
        # Reserves the link for so many suspicions; returns after how many seconds they may be
        # sent; set by `NewsSite`.
        self.reserve_suspicions: Callable[[int], float] = lambda count: 0.0
        self._heartbeats = TargetHeartbeats(self.table)
        self._report_assignment = ReportAssignment()
        self._random = Random(secrets.randbits(64))
        self._subscriptions: dict[str, _Subscription] = {}
        # From when on the link is reserved for a subscriber's next suspicions.
        self._suspicion_turns_s: dict[str, float] = {}
        self._routers: list[str] = []
        self._link_rates: dict[str, float] = {}
        self._waiters = NewsWaiters()
        self._last_change_s = float("-inf")

    def replica_hosts(self) -> tuple[str, ...]:
        """Return the hosts of all replicas."""
        return self._hosts()

    def report(self, record: TargetRecord) -> bool:
        """Merge a report received from a target; return whether it changed anything."""
        now_s = read_clock()
        changed = self.table.report(record, now_s)
        stored = self.table.record_of(record.target_id)
        if stored is not None and (stored.service, stored.born_ms) == (
            record.service,
            record.born_ms,
        ):
            self._heartbeats.record(record.target_id, now_s)
        if changed:
            self._schedule_wake()
        return changed

    def leave(self, target_id: str) -> bool:
        """Merge a target's own announcement that it is gone; return whether it changed anything."""
        changed = self.table.leave(target_id, read_clock(), int(time.time() * 1000))
        self._heartbeats.remove(target_id)
        if changed:
            self._schedule_wake()
        return changed

    def merge(self, records: Iterable[TargetRecord], last_seen: Iterable[LastSeen]) -> None:
        """Merge records and heartbeats from another replica or a router."""
        now_s = read_clock()
        changed = [self.table.merge(record, now_s) for record in records]
        for target_id, age_s, born_ms in last_seen:
            self.table.mark_seen(target_id, now_s - age_s, born_ms)
        if any(changed):
            self._schedule_wake()

    def merge_suspicions(self, items: Iterable[Suspicion]) -> list[bytes]:
        """Merge suspicions from a router or another replica; return the digests that changed."""
        changed = self.suspicions.merge(items, read_clock())
        if changed:
            self._schedule_suspicion_wake()
        return changed

    def clear_suspicion(self, digest: bytes) -> bool:
        """Clear a request of suspicion; return whether it was suspected."""
        was_suspected = self.suspicions.record_completion(digest, read_clock())
        if was_suspected:
            self._schedule_suspicion_wake()
        return was_suspected

    def _schedule_suspicion_wake(self) -> None:
        """Wake the subscribers that get suspicions from here, batched."""
        self._waiters.wake_later(SUSPICION_BATCH_S, self.sends_redundantly)

    def _schedule_wake(self) -> None:
        """Wake the subscribers that get changes from here, batched if they are many."""
        self._last_change_s = read_clock()
        if self.sends_redundantly:
            self.wake()
        else:
            least_s = WAKE_INTERVAL_S if self.is_large else 0.0
            self._waiters.wake_later(least_s, wakes_all=False)

    def wake(self) -> None:
        """Wake all waiting subscribers, so that they check for updates."""
        self._waiters.wake_all()

    async def answer(self, request: NewsRequest) -> News:
        """Wait for updates for a subscriber and return them."""
        await self.wait_for_updates(request)
        return self.build_news(request)

    def has_current_epoch(self, request: NewsRequest) -> bool:
        """Return whether a request continues from an earlier answer of this replica process."""
        return request.epoch == self.epoch

    async def wait_for_updates(self, request: NewsRequest) -> None:
        """Wait until there are updates for a subscriber or its wait time is over."""
        revision = self._revision_of(request)
        self._record_request(request, revision)
        deadline_s = read_clock() + request.wait_s
        while not self._has_updates(request, revision):
            limit_s = deadline_s - read_clock()
            if limit_s <= 0:
                break
            if self._has_suspicions(request):
                turn_s = self._suspicion_turns_s.get(request.node_id, deadline_s)
                limit_s = min(limit_s, turn_s - read_clock())
            await self._waiters.wait(limit_s, self._gets_changes(request))

    def _revision_of(self, request: NewsRequest) -> int:
        # A router that has this table already need not receive it again: otherwise, routers that
        # start together would receive the same table from every replica.
        if request.table_digest == self.table.digest != 0:
            return self.table.revision
        return request.revision if self.has_current_epoch(request) else 0

    @property
    def is_large(self) -> bool:
        """Return whether there are too many targets for every replica to list them one by one."""
        return len(self.table) > MAX_LISTED_TARGETS

    def is_behind(self, request: NewsRequest) -> bool:
        """Return whether a subscriber lacks so many changes that sending them needs headroom.

        The other subscribers are answered in turn: if all learned of a version at once, all
        would fetch it at once, before any router has it to relay.
        """
        return (
            self.is_large
            and self.table.revision - self._revision_of(request) > SMALL_UPDATE_RECORDS
        )

    @property
    def sends_redundantly(self) -> bool:
        """Return whether every replica sends every change to every router."""
        return not self.is_large and len(self._routers) <= MAX_REDUNDANT_ROUTERS

    def _gets_changes(self, request: NewsRequest) -> bool:
        """Return whether a subscriber gets changes from this replica before all others."""
        return request.is_first or request.kind == SubscriberKind.REPLICA

    def _has_suspicions(self, request: NewsRequest) -> bool:
        """Return whether there are suspicions that a subscriber gets from this replica."""
        return request.is_first and self.suspicions.revision > request.suspicions_seen

    def _sends_changes(self, request: NewsRequest) -> bool:
        """Return whether this replica sends changes to a subscriber now."""
        if self.sends_redundantly or self._gets_changes(request):
            return True
        if not self.is_large and not self._revision_of(request):
            # A router that has just started serves nothing without targets.
            return True
        subscription = self._subscriptions.get(request.node_id)
        return subscription is not None and subscription.is_lagging and self.has_headroom()

    async def wait_until_replicated(self, revision: int, limit_s: float) -> bool:
        """Wait until all subscribed replicas have a revision; return whether they do."""
        deadline_s = read_clock() + limit_s
        while not self._is_replicated(revision):
            if not await self._waiters.wait_for_replication(deadline_s - read_clock()):
                return False
        return True

    def router_count(self) -> int:
        """Return the number of subscribed routers."""
        self._drop_expired(read_clock())
        return len(self._routers)

    def relay_endpoints(self) -> list[RelayEndpoint]:
        """Return the relay endpoints of the routers that run, most recent request first."""
        since_s = read_clock() - RELAY_TTL_S
        newest_first = reversed(self._subscriptions.values())
        running = takewhile(lambda item: item.last_request_s >= since_s, newest_first)
        return [item.relay for item in running if item.relay.host]

    def link_rate(self, host: str) -> float:
        """Return the link rate in bytes per second that a router last reported."""
        return self._link_rates.get(host, float("inf"))

    def choose_report_host(self) -> str | None:
        """Return the router host to which a target should report; `None` for this replica."""
        index = self._report_assignment.choose(self._heartbeats.direct_count, len(self._routers))
        if index is None:
            return None
        return self._subscriptions[self._routers[index]].relay.host or None

    def _router_index(self, node_id: str) -> int | None:
        """Return a router's index among the subscribed routers, by name."""
        index = bisect_left(self._routers, node_id)
        return index if self._routers[index : index + 1] == [node_id] else None

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired subscribers; they are ordered by their last request, oldest first."""
        while self._subscriptions:
            node_id, item = next(iter(self._subscriptions.items()))
            if now_s - item.last_request_s <= SUBSCRIBER_TTL_S:
                return
            del self._subscriptions[node_id]
            self._suspicion_turns_s.pop(node_id, None)
            if item.kind == SubscriberKind.ROUTER:
                self._routers.remove(node_id)
                self._peers.remove(node_id)
                self._brittle.remove(node_id)

    def _is_replicated(self, revision: int) -> bool:
        self._drop_expired(read_clock())
        present = self._subscriptions.values()
        replicas = [item for item in present if item.kind == SubscriberKind.REPLICA]
        return all(item.revision >= revision for item in replicas)

    def _record_request(self, request: NewsRequest, revision: int) -> None:
        """Record a subscriber's request and merge what it reports.

        A replica's request may complete a wait for replication, so it wakes those that wait.
        """
        now_s = read_clock()
        before = self._subscriptions.pop(request.node_id, None)
        if before is None and request.kind == SubscriberKind.ROUTER:
            insort(self._routers, request.node_id)
        self._subscriptions[request.node_id] = self._subscription(request, revision, before, now_s)
        if request.relay.host:
            self._link_rates[request.relay.host] = request.relay.link_bytes_per_s
        self._drop_expired(now_s)
        if request.kind == SubscriberKind.REPLICA:
            self._waiters.wake_replication()
        else:
            self.load_sums.report(request.node_id, request.held, now_s, request.services)
            if request.held_tokens is not None:
                self._report_tokens(request, now_s)
            self.shedding.report(request.node_id, request.shedding, now_s)
            self._peers.report(request.node_id, request.peer, request.is_cut_off)
            if request.brittle is not None and self._brittle.report(
                request.node_id, request.peer, request.brittle, now_s
            ):
                self.wake()
            self.merge(request.records, request.last_seen)
            for target_id, age_s, _ in request.last_seen:
                self._heartbeats.record_at_router(target_id, now_s - age_s)

    def _report_tokens(self, request: NewsRequest, now_s: float) -> None:
        """Take a router's report of the tokens that it holds, without entries that can't be."""
        ignored = self.token_sums.report(
            request.node_id, request.held_tokens, dict(request.held), now_s
        )
        if ignored:
            logger.warning("held tokens ignored", router=request.node_id, entries=ignored)

    def _subscription(
        self, request: NewsRequest, revision: int, before: _Subscription | None, now_s: float
    ) -> _Subscription:
        """Return the updated subscription of a subscriber that sent a request."""
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
            request.relay,
            sent_digest,
            last_match_s,
            request.table_digest != self.table.digest and is_overdue,
        )

    def _has_updates(self, request: NewsRequest, revision: int) -> bool:
        wants_version = request.kind == SubscriberKind.ROUTER
        is_newer = wants_version and self._version() > request.version
        has_evacuations = wants_version and self.evacuations().revision > request.evacuations_seen
        has_changes = self.table.revision > revision and self._sends_changes(request)
        # One replica is enough to wake a router; the others include it in their next answers.
        # A router ignores the names of a replica that does not lead for a while.
        brittle = self._brittle_for(request, read_clock()) if self._is_leader() else None
        has_granters = brittle is not None and brittle.granters is not None
        has_suspicions = self._has_suspicions(request) and self._may_send_suspicions(request)
        is_known = request.epoch == self.epoch
        return (
            not is_known
            or has_changes
            or is_newer
            or has_evacuations
            or has_suspicions
            or has_granters
        )

    def build_news(
        self,
        request: NewsRequest,
        held: HeldSum | None = None,
        has_headroom: bool = True,
        held_tokens: TokenSums | None = None,
    ) -> News:
        """Return the current updates for a subscriber, with the routers' load sums if given.

        Without headroom, changes among many targets are left out; the subscriber asks again.
        """
        now_s = read_clock()
        changes = self._changes_for(request, has_headroom)
        changes = changes._replace(
            records=self.table.with_remaining_cold_time(changes.records, now_s)
        )
        suspicions, suspicions_revision = self._suspicions_for(request, now_s)
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
            held_tokens,
            self.shedding.news(self.router_count(), now_s) if request.shedding else None,
            self._peers_for(request, now_s),
            self._brittle_for(request, now_s),
        )

    def _suspicions_for(
        self, request: NewsRequest, now_s: float
    ) -> tuple[tuple[Suspicion, ...], int]:
        """Return the suspicions that are sent to a subscriber now, and the revision it then has.

        A router that gets them from another replica is sent them from here once that one is lost.
        """
        seen = request.suspicions_seen if self.has_current_epoch(request) else 0
        is_sent = self.sends_redundantly or self._gets_changes(request)
        if not is_sent or not self._may_send_suspicions(request._replace(suspicions_seen=seen)):
            return self.suspicions.recently_fatal(FATAL_REPEAT_S, now_s), seen
        self._suspicion_turns_s.pop(request.node_id, None)
        return self.suspicions.changed_since(seen, MAX_SUSPICIONS, now_s)

    def _may_send_suspicions(self, request: NewsRequest) -> bool:
        """Return whether a subscriber may be sent suspicions now, or reserve its turn.

        The few other replicas don't wait: each has routers that get them from nobody else.
        """
        count = min(self.suspicions.revision - request.suspicions_seen, MAX_SUSPICIONS)
        if self.sends_redundantly or request.kind == SubscriberKind.REPLICA or count <= 0:
            return True
        now_s = read_clock()
        turn_s = self._suspicion_turns_s.get(request.node_id)
        if turn_s is None:
            turn_s = now_s + self.reserve_suspicions(count)
            self._suspicion_turns_s[request.node_id] = turn_s
        return turn_s <= now_s

    def _brittle_for(self, request: NewsRequest, now_s: float) -> BrittleNews | None:
        """Return what a router has to know of brittle services, `None` if there are none.

        One replica names the routers that grant their slots: the leader, or one that knows of no
        leader, for the routers that reach none either.
        """
        services = self._brittle.services(now_s)
        if request.brittle is None or not services:
            return None
        granters = self._brittle.granters(now_s)
        is_named = granters is not None and (self._is_leader() or not self._is_current())
        if not is_named:
            return BrittleNews(services)
        digest = peers_digest(tuple(item.endpoint for item in granters))
        return BrittleNews(
            services, None if digest == request.brittle.granters_digest else granters
        )

    def _peers_for(self, request: NewsRequest, now_s: float) -> tuple[PeerEndpoint, ...] | None:
        """Return the peers of a router, `None` if it has no use for them or knows them."""
        if not request.peer.host or not request.is_first:
            return None
        peers = self._peers.peers_of(request.node_id, now_s)
        return None if peers_digest(peers) == request.peers_digest else peers

    def _choose_table_sources(self, request: NewsRequest, revision: int) -> tuple[str, ...]:
        """Return hosts of routers with a newer table, when this replica's link lacks headroom."""
        if not self.is_large or not request.is_first or revision >= self.table.revision:
            return ()
        sources = [
            item.relay.host
            for item in self._subscriptions.values()
            if item.relay.host and item.revision >= revision + MAX_RECORDS
        ]
        return tuple(self._random.sample(sources, min(MAX_TABLE_SOURCES, len(sources))))

    def _changes_for(self, request: NewsRequest, has_headroom: bool) -> Changes:
        """Return the changes that are sent to a subscriber now."""
        revision = self._revision_of(request)
        if self.sends_redundantly or request.kind == SubscriberKind.REPLICA:
            return self.table.changed_since(revision)
        if not self._sends_changes(request):
            return Changes((), revision, self._departures_since(revision))
        changes = self.table.compact_changes_since(revision, MAX_RECORDS)
        return (
            changes
            if has_headroom or len(changes.records) <= SMALL_UPDATE_RECORDS
            else Changes((), revision)
        )

    def _departures_since(self, revision: int) -> tuple[PhaseChange, ...]:
        """Return the targets that left or went after a revision, unless targets are many.

        Every replica includes them in the answers that it sends anyway, since a router's first
        replica may stand still: a leaving target must get no new requests after 2 s.
        """
        if self.is_large:
            return ()
        return tuple(
            PhaseChange(item.target_id, item.phase, item.sequence, item.incarnation)
            for item in self.table.changed_since(revision).records
            if item.phase is not TargetPhase.SERVING
        )

    def _sends_silent_targets(self, subscription: _Subscription | None, now_s: float) -> bool:
        """Return whether a subscriber gets the silent targets instead of a list of heartbeats."""
        return (
            subscription is not None
            and subscription.kind == SubscriberKind.ROUTER
            and self.is_large
            and now_s - subscription.last_match_s < MAX_MISMATCH_S
            and self._heartbeats.has_few_silent()
        )

    def _heartbeats_for(self, request: NewsRequest, now_s: float) -> tuple[LastSeen, ...]:
        """Return the recent heartbeats, unless the subscriber received a list just before."""
        subscription = self._subscriptions.get(request.node_id)
        if subscription is None or now_s - subscription.heartbeats_sent_s < HEARTBEAT_INTERVAL_S:
            return ()
        if self._sends_silent_targets(subscription, now_s):
            return ()
        is_router = subscription.kind == SubscriberKind.ROUTER
        # Other replicas get the list in any case: without it, each would consider most targets
        # silent and list its own heartbeats one by one to every router.
        if is_router and self.is_behind(request) and not self._reserve_list_headroom():
            return ()
        self._subscriptions[request.node_id] = subscription._replace(heartbeats_sent_s=now_s)
        return self._heartbeats.list_recent(is_router)

    def _reserve_list_headroom(self) -> bool:
        """Reserve headroom for a list of all recent heartbeats; return whether there was enough."""
        return self.reserve_headroom(HEARTBEAT_BYTES * self._heartbeats.max_list_length)
