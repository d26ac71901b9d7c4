"""A router's view of the fleet: its targets, its configuration and its replicas.

The view merges the updates of all reachable replicas. The configuration version never
decreases while the process runs. The first configuration is taken only from a replica
that is certain to be current or, if there has been none for a while, from any other, so
that a partitioned failure domain serves what it can.
"""

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.shed_aggregator import ShedNews
from damaskwind.decisions.admission.shed_counts import ShedReport
from damaskwind.decisions.cold_targets.cold_periods import ColdStartLimits
from damaskwind.decisions.cold_targets.router_count import MaxRouterCount
from damaskwind.decisions.following.document_sources import DocumentSources
from damaskwind.decisions.following.read_redirection import RelayEndpoint
from damaskwind.decisions.limits.slices import rendezvous_order
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.load.token_sums import HeldTokens, TokenSums
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import SilentTargets, TargetTable
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.decisions.routing.table import RouteTable
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.exception import ConfigurationError, MessageError
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration, TrafficService
from damaskwind.router.forwarding.document_follower import DocumentFollower
from damaskwind.router.forwarding.document_relay import DocumentRelay, WholeDocument
from damaskwind.router.forwarding.heartbeat_relay import HeartbeatRelay
from damaskwind.router.forwarding.origin_relay import OriginRelay
from damaskwind.router.forwarding.suspicion_relay import SuspicionRelay
from damaskwind.router.forwarding.table_exchange import TableExchange
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.wire.document_difference import apply_difference
from damaskwind.wire.document_fetch import DocumentFetcher
from damaskwind.wire.news import (
    TABLE_PATH,
    BrittleReport,
    Document,
    LastSeen,
    News,
    SeenRevision,
    SubscriberKind,
    TableCopy,
    pack_document,
    unpack_document,
)
from damaskwind.wire.news_link import NewsLink
from damaskwind.wire.peers import peers_digest

__all__ = ["ConfigurationSource", "FleetView"]

# Delay between the first calls to the replicas: the first one answers with the target table
# within some ms, and the others then need not send it again.
STAGGER_S = 0.06
# Heartbeats come every 1.2 s: three missed ones, plus the delay of the updates.
SILENT_S = 4.6
# A target that announces that it is gone still serves for as long as a draining one.
LINGER_S = 2.0
# A reachable replica sends an update every second.
REACHABLE_S = 2.2


class ConfigurationSource(NamedTuple):
    """Where the configuration in force came from: `base` is 0 for a whole document."""

    version: int = 0
    base: int = 0
    told_by: str = ""
    in_force_s: float = 0.0
    routes: int = 0
    keys: int = 0

    def describe(self, now_s: float) -> dict[str, str | int | float]:
        """Return the source for a log line, with its age in place of a time."""
        fields = self._asdict()
        in_force_s = fields.pop("in_force_s")
        return fields | {"in_force_for_s": round(now_s - in_force_s, 3)}


def _no_held_counts(host: str) -> tuple[HeldCount, ...]:
    """Return no counts; the default while nothing is sent to targets."""
    return ()


def _no_held_tokens(host: str) -> None:
    """Return nothing; the default where the memory of engines is not considered."""
    return


class FleetView:
    """One router's view of the fleet; `table` is `None` until a configuration is in force."""

    def __init__(
        self,
        node_id: str,
        seed_hosts: tuple[str, ...],
        news_port: int,
        decode: Callable[[bytes], TrafficConfiguration],
        random: Random,
        own_host: str = "",
        link_bytes_per_s: float = float("inf"),
        failure_domain: str = "",
    ) -> None:
        self.targets = TargetTable()
        self.evacuations = Evacuations()
        self.table: RouteTable | None = None
        self.source = ConfigurationSource()
        self.routers = 1
        self.on_gone: list[Callable[[str], None]] = []
        self.on_cold: list[Callable[[TargetRecord], None]] = []
        self.on_evacuations_lifted: list[Callable[[frozenset[str]], None]] = []
        self.max_routers = MaxRouterCount()
        self.on_restarted: list[Callable[[TargetRecord], None]] = []
        self.on_configuration: list[Callable[[TrafficConfiguration], None]] = []
        self.on_load_sum: list[Callable[[str, HeldSum], None]] = []
        self.on_shed_news: list[Callable[[str, ShedNews], None]] = []
        self.count_for_shedding: Callable[[], tuple[ShedReport, ...]] = tuple
        self.count_services: Callable[[], tuple[ServiceReport, ...]] = tuple
        self.count_held: Callable[[str], tuple[HeldCount, ...]] = _no_held_counts
        self.count_tokens: Callable[[str], tuple[HeldTokens, ...] | None] = _no_held_tokens
        self.report_brittle: Callable[[], BrittleReport] = BrittleReport
        self.on_brittle_news: list[Callable[[str, News], None]] = []
        self.on_stop: list[Callable[[], Awaitable[None]]] = []
        self.on_token_sums: list[Callable[[str, TokenSums], None]] = []
        # The routers through which this one may send, as replicas last named them.
        self.peers: tuple[PeerEndpoint, ...] = ()
        self.on_peers: list[Callable[[], None]] = []
        self.has_cut_path: Callable[[], bool] = lambda: False
        self.own_peer = (
            PeerEndpoint(own_host, secrets.token_hex(8), failure_domain) if own_host else NO_PEER
        )
        self._node_id = node_id
        self._news_port = news_port
        self._decode = decode
        self._random = random
        self._seed_hosts = seed_hosts
        self._links: dict[str, NewsLink] = {}
        self.sources = DocumentSources(node_id)
        self._fetcher = DocumentFetcher(news_port, own_host)
        self._own_host = own_host
        self._link_bytes_per_s = link_bytes_per_s
        self.relay = DocumentRelay(self._newest_for, self._whole, link_bytes_per_s)
        self.heartbeats = HeartbeatRelay(self.targets, self.reaches_majority)
        self._table_exchange = TableExchange(
            self.targets, self._seen, self._merge_table, news_port, link_bytes_per_s
        )
        self.relay.handlers[TABLE_PATH] = self._table_exchange.handle
        self.suspicions = SuspicionRelay(news_port, random.random())
        self.suspicions.order_hosts = self._ordered_hosts
        self.origins = OriginRelay(self.targets, news_port)
        self.documents = DocumentFollower(
            self.sources,
            self._fetcher,
            self.known_version,
            lambda: len(self._links),
            self._receive_document,
            self._last_heard_s,
        )
        self._document = b""
        self._received = Document(0, b"")
        self._fetching: asyncio.Task | None = None
        self._router_counts: dict[str, int] = {}

    def start(self) -> None:
        """Subscribe to the seeds and start to relay documents."""
        if self._own_host:
            self.relay.listen(self._own_host, self._news_port)
        self.follow(rendezvous_order(self._node_id, self._seed_hosts), STAGGER_S)
        self._fetching = asyncio.ensure_future(self.documents.run())

    async def stop(self) -> None:
        """End all subscriptions and background tasks."""
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)
        self._fetcher.close()
        for callback in self.on_stop:
            await callback()
        await self._table_exchange.stop()
        await self.suspicions.stop()
        await self.origins.stop()
        await self.relay.stop()
        for link in self._links.values():
            await link.stop()

    def follow(self, hosts: Iterable[str], stagger_s: float = 0.0) -> None:
        """Subscribe to each host without a subscription yet, at intervals of `stagger_s`."""
        fresh = [host for host in hosts if host not in self._links]
        for index, host in enumerate(fresh):
            link = NewsLink(
                self._node_id,
                SubscriberKind.ROUTER,
                Address(host, self._news_port),
                self,
                self._random,
                relay=RelayEndpoint(self._own_host, self._link_bytes_per_s),
            )
            self._links[host] = link
            self.suspicions.follow(host)
            self.origins.follow(host)
            link.start(index * stagger_s)

    @property
    def node_id(self) -> str:
        """Return this router's name."""
        return self._node_id

    @property
    def most_routers(self) -> int:
        """Return the highest recent router count, for bounds that too low a count would exceed."""
        return max(self.routers, self.max_routers.value(read_clock()) or 0)

    def count_reachable_replicas(self) -> int:
        """Return the number of replicas that were reached recently."""
        return len(self._reachable_hosts())

    def _reachable_hosts(self) -> list[str]:
        """Return the hosts of the replicas that were reached recently."""
        oldest_s = read_clock() - REACHABLE_S
        return [host for host, link in self._links.items() if link.last_received_s > oldest_s]

    def reaches_majority(self) -> bool:
        """Tell whether a majority of the replicas was reached recently."""
        return 2 * self.count_reachable_replicas() > len(self._links)

    def news_ages_s(self) -> list[float]:
        """Return how long ago each replica was last heard, in seconds; infinity for never."""
        now_s = read_clock()
        return [now_s - link.last_received_s for link in self._links.values()]

    def recently_seen_targets(self) -> tuple[LastSeen, ...]:
        """Return the targets that reported to this router recently."""
        return self.heartbeats.recent_reports()

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return records reported to this router that replicas may not know yet."""
        return self.heartbeats.new_records()

    def is_first(self, host: str) -> bool:
        """Tell whether a replica ranks first by rendezvous hashing among the reachable ones."""
        return host == self._ordered_hosts()[0]

    def _ordered_hosts(self) -> list[str]:
        """Return the reachable replicas, or all if none is, by rendezvous hashing."""
        hosts = self._reachable_hosts() or list(self._links)
        return list(rendezvous_order(self._node_id, hosts))

    def takes_work(self, record: TargetRecord) -> bool:
        """Tell whether a target may be sent to: it serves and its domain is not evacuated."""
        if record.phase is not TargetPhase.SERVING:
            return False
        return record.failure_domain not in self.evacuations.failure_domains

    def serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that take work."""
        evacuated = self.evacuations.failure_domains
        return [
            record
            for record in self.targets.serving()
            if record.service == service and record.failure_domain not in evacuated
        ]

    def serving_or_draining(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that take work or still finish their requests."""
        departed = self.targets.departed(read_clock(), LINGER_S)
        records = [*self.targets.serving_or_leaving(), *departed]
        return [record for record in records if record.service == service]

    def is_silent(self, target_id: str, now_s: float) -> bool:
        """Tell whether a target has missed its heartbeats, as far as this router can tell."""
        # While this process was suspended, it received no heartbeats at all.
        seen_s = max(self.targets.last_seen_s(target_id), last_woken_s())
        return now_s - seen_s > SILENT_S and self.count_reachable_replicas() > 0

    def table_digest(self) -> int:
        """Return a digest of the targets known here."""
        return self.targets.digest

    def held_counts(self, host: str) -> tuple[HeldCount, ...]:
        """Return this router's requests in flight by target, as reported to a replica."""
        return self.count_held(host)

    def service_counts(self) -> tuple[ServiceReport, ...]:
        """Return this router's recent counts by service, as reported to a replica."""
        return self.count_services()

    def held_tokens(self, host: str) -> tuple[HeldTokens, ...] | None:
        """Return the tokens that this router holds at engines, as reported to a replica."""
        return self.count_tokens(host)

    def shed_reports(self) -> tuple[ShedReport, ...]:
        """Return this router's counts for load shedding, as reported to a replica."""
        return self.count_for_shedding()

    def peer_endpoint(self) -> PeerEndpoint:
        """Return where this router sends requests on for others."""
        return self.own_peer

    def known_peers_digest(self) -> int:
        """Return the digest of the routers through which this one may send."""
        return peers_digest(self.peers)

    def brittle_report(self) -> BrittleReport:
        """Return which services are brittle, as reported to a replica."""
        return self.report_brittle()

    def is_cut_off(self) -> bool:
        """Return whether this router's path to the targets of some service is cut."""
        return self.has_cut_path()

    def known_version(self) -> int:
        """Return the configuration version in force here; 0 for none."""
        return self.table.version if self.table else 0

    def _last_heard_s(self, host: str) -> float:
        """Return when the last update of a replica arrived, in monotonic seconds."""
        link = self._links.get(host)
        return link.last_received_s if link is not None else float("-inf")

    def _receive_document(self, host: str, document: Document, asked_s: float) -> bool:
        """Put a fetched document in force; return whether it is newer than the one before."""
        held_version = self.known_version()
        content = self._unpack(document)
        took_s = read_clock() - asked_s
        self.apply_document(host, content, took_s, len(document.packed), document.base_version)
        if self.known_version() == held_version:
            return False
        self._received = document
        return True

    def handle_news(self, host: str, news: News) -> None:
        """Merge an update from a replica."""
        now_s = read_clock()
        self.sources.record_version(host, news.version, news.is_current, news.leads, now_s)
        self.sources.router_index = news.place
        self.documents.observe_versions()
        self._apply_evacuations(host, news.evacuations)
        self._merge_records(host, news.records, now_s)
        self._merge_records(host, self.targets.expand_phases(news.phases), now_s)
        if news.table_sources:
            self._table_exchange.fetch(news.table_sources)
        for target_id, age_s, born_ms in news.last_seen:
            self.targets.mark_seen(target_id, now_s - age_s, born_ms)
        others = news.others_last_seen
        if others is not None and others.digest == self.targets.digest:
            self.targets.mark_others_seen(SilentTargets(others.silent, now_s - others.age_s))
        for target_id in self.targets.forget(now_s):
            logger.info("target forgotten", target=target_id)
            self._notify_gone(target_id)
        self.suspicions.handle_news(host, news)
        self.origins.handle_news(host, news)
        for callback in self.on_brittle_news:
            callback(host, news)
        self._router_counts[host] = news.routers
        self.routers = max(1, *self._router_counts.values())
        self.max_routers.observe(self.routers, now_s)
        if news.held is not None:
            for callback in self.on_load_sum:
                callback(host, news.held)
        if news.held_tokens is not None:
            for callback in self.on_token_sums:
                callback(host, news.held_tokens)
        if news.shedding is not None:
            for callback in self.on_shed_news:
                callback(host, news.shedding)
        if news.peers is not None and news.peers != self.peers:
            self.peers = news.peers
            hosts = [peer.host for peer in news.peers]
            logger.info("peers named", hosts=hosts, told_by=host)
            for callback in self.on_peers:
                callback()
        self.follow(news.hosts)

    def _apply_evacuations(self, host: str, evacuations: Evacuations) -> None:
        """Apply evacuations of a newer revision; older ones are ignored."""
        if evacuations.revision <= self.evacuations.revision:
            return
        lifted = frozenset(self.evacuations.failure_domains) - set(evacuations.failure_domains)
        self.evacuations = evacuations
        for callback in self.on_evacuations_lifted:
            callback(lifted)
        logger.info(
            "evacuations in force",
            revision=evacuations.revision,
            failure_domains=evacuations.failure_domains,
            told_by=host,
        )

    def _seen(self) -> tuple[SeenRevision, ...]:
        """Return the epoch and revision seen of each replica."""
        return tuple(link.seen for link in self._links.values())

    def _merge_table(self, host: str, copy: TableCopy) -> None:
        """Merge the target table fetched from another router.

        A router of an earlier version omits software versions, which the replicas still have to
        send.
        """
        self._merge_records(host, copy.records, read_clock())
        for seen in copy.seen if copy.has_versions else ():
            for link in self._links.values():
                link.merge_seen(seen)
        logger.info("targets fetched", host=host, targets=len(copy.records))

    def _merge_records(self, host: str, records: Iterable[TargetRecord], now_s: float) -> None:
        """Merge records of targets."""
        for record in records:
            incarnation = self.targets.incarnation_of(record.target_id)
            if self.targets.merge(record, now_s):
                if incarnation not in (None, record.incarnation) and record.service:
                    self._notify_restarted(record)
                if record.cold_s > 0:
                    self._notify_cold(record)
                logger.info(
                    "target known",
                    target=record.target_id,
                    phase=record.phase.name.lower(),
                    service=record.service,
                    address=str(record.address),
                    sequence=record.sequence,
                    born_ms=record.born_ms,
                    software=record.version,
                    told_by=host,
                )
                if record.phase is TargetPhase.GONE:
                    self._notify_gone(record.target_id)

    def _notify_restarted(self, record: TargetRecord) -> None:
        """Run the callbacks that drop the state of a target's former incarnation."""
        logger.info("target restarted", target=record.target_id, born_ms=record.born_ms)
        for callback in self.on_restarted:
            callback(record)

    def _notify_cold(self, record: TargetRecord) -> None:
        """Run the callbacks for a target that reports to be cold."""
        for callback in self.on_cold:
            callback(record)

    def health_path(self, service: str) -> str:
        """Return the path of the health checks of a service's targets."""
        if self.table is None:
            return TrafficService(service).health_path
        return self.table.health_path(service)

    def cold_start_limits(self, service: str) -> ColdStartLimits:
        """Return the terms for cold targets of a service: how long, and at which rate."""
        return self.table.cold_start_limits(service) if self.table else ColdStartLimits()

    def _notify_gone(self, target_id: str) -> None:
        for callback in self.on_gone:
            callback(target_id)

    def _newest_for(self, held_version: int) -> Document:
        """Return the document in force as received, or whole if its base is not `held_version`."""
        received = self._received
        if not self.table or received.version != self.known_version():
            return Document(0, b"")
        if received.base_version not in (0, held_version):
            return Document(received.version, pack_document(self._document))
        return received

    def _whole(self) -> WholeDocument:
        """Return the configuration in force as it was published."""
        return WholeDocument(self.known_version(), self._document)

    def _unpack(self, document: Document) -> bytes:
        """Return the whole content of a document; raise `MessageError` if it can't be restored."""
        if not document.base_version:
            return unpack_document(document.packed)
        if document.base_version != self.known_version():
            raise MessageError(
                f"difference from version {document.base_version}, which is not in force here"
            )
        return apply_difference(self._document, document.packed)

    def apply_document(
        self, host: str, document: bytes, took_s: float, packed_bytes: int, base: int = 0
    ) -> None:
        """Apply a configuration of a newer version; an older one is ignored.

        `base` is the version from which the document came as a difference, 0 if it came whole.
        """
        try:
            configuration = self._decode(document)
        except ConfigurationError as error:
            logger.error("configuration unreadable", told_by=host, why=str(error))
            return
        if configuration.version <= self.known_version():
            return
        before = self.known_version()
        self.table = RouteTable(configuration)
        self._document = document
        self.source = ConfigurationSource(
            configuration.version,
            base,
            host,
            read_clock(),
            len(configuration.routes),
            sum(len(account.keys) for account in configuration.known_accounts),
        )
        for callback in self.on_configuration:
            callback(configuration)
        logger.info(
            "configuration in force",
            version=configuration.version,
            before=before,
            told_by=host,
            routes=len(configuration.routes),
            requires_keys=configuration.requires_keys,
            packed_bytes=packed_bytes,
            fetch_s=round(took_s, 3),
            behind_s=round(self.documents.lag.behind_s(read_clock()), 3),
        )

    def handle_loss(self, host: str) -> None:
        """Drop a lost replica as a document source; the targets learned from it stay known."""
        self.sources.remove(host)
        self.documents.observe_versions()
        self.documents.has_update.set()
