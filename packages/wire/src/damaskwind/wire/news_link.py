"""Poll one control replica for updates until stopped."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from loguru import logger

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.shed_counts import ShedReport
from damaskwind.decisions.following.read_redirection import NO_RELAY, RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldCount
from damaskwind.decisions.load.token_sums import HeldTokens
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import (
    AnswerBrokenError,
    ClientConnection,
    ConnectFailedError,
    connect,
    fetch,
)
from damaskwind.runtime.http1.messages import Request
from damaskwind.wire.news import (
    NEWS_PATH,
    BrittleReport,
    LastSeen,
    News,
    NewsRequest,
    SeenRevision,
    decode_news,
    encode,
    unpack_answer,
)

__all__ = ["NewsLink", "NewsTiming", "Subscriber"]

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


class NewsTiming(NamedTuple):
    """Timeouts and backoff of a link, in seconds.

    `hold_s` is how long a replica holds a request when it has nothing new: one call
    per second serves as a heartbeat in both directions. `answer_margin_s` beyond it
    covers a round trip and a busy replica. The backoff after a lost link is short,
    since a leave has to arrive within the drain bound (2 s), and routers that restart
    together with the replicas serve nothing before they reach one, so that each 0.1 s
    counts.
    """

    hold_s: float = 1.0
    answer_margin_s: float = 0.8
    connect_s: float = 0.5
    initial_backoff_s: float = 0.05
    max_backoff_s: float = 0.15


DEFAULT_TIMING = NewsTiming()


class Subscriber(Protocol):
    """The state that a link sends to a replica, and the receiver of its updates."""

    def table_digest(self) -> int:
        """Return a digest of the known targets."""
        ...

    def held_counts(self, host: str) -> tuple[HeldCount, ...]:
        """Return the requests in progress at targets, for a report to a replica."""
        ...

    def service_counts(self) -> tuple[ServiceReport, ...]:
        """Return what was recently observed of services, for a report to a replica."""
        ...

    def held_tokens(self, host: str) -> tuple[HeldTokens, ...] | None:
        """Return the tokens held at engines, `None` where these are not considered."""

    def shed_reports(self) -> tuple[ShedReport, ...]:
        """Return recent counts by priority and client account, for a report to a replica."""
        ...

    def peer_endpoint(self) -> PeerEndpoint:
        """Return where requests are sent on for other routers, `NO_PEER` for nowhere."""
        ...

    def known_peers_digest(self) -> int:
        """Return the digest of the routers that were named by replicas."""
        ...

    def is_cut_off(self) -> bool:
        """Return whether no target of some service is reached."""
        ...

    def brittle_report(self) -> BrittleReport | None:
        """Return which services are brittle, `None` where nothing is sent to targets."""

    def is_first(self, host: str) -> bool:
        """Return whether this replica is the one that sends changes at once."""
        ...

    def recently_seen_targets(self) -> tuple[LastSeen, ...]:
        """Return the targets that recently reported here, for a report to a replica."""
        ...

    def new_records(self) -> tuple[TargetRecord, ...]:
        """Return the records received from targets that replicas may not have."""
        ...

    def handle_news(self, host: str, news: News) -> None:
        """Handle an update from a replica."""
        ...

    def handle_loss(self, host: str) -> None:
        """Handle the loss of the link to a replica."""
        ...


class NewsLink:
    """A subscription to the updates of one replica.

    `last_received_s` is the monotonic time of the last update. `relay` is the endpoint
    at which the subscriber serves documents to others, if it does.
    """

    def __init__(
        self,
        node_id: str,
        kind: str,
        address: Address,
        subscriber: Subscriber,
        random: Random,
        timing: NewsTiming = DEFAULT_TIMING,
        clock: Callable[[], float] = read_clock,
        relay: RelayEndpoint = NO_RELAY,
    ) -> None:
        self.address = address
        self.last_received_s = float("-inf")
        self.is_up = False
        self._node_id = node_id
        self._kind = kind
        self._subscriber = subscriber
        self._random = random
        self._timing = timing
        self._clock = clock
        self._relay = relay
        self._epoch = ""
        self._revision = 0
        self._version = 0
        self._suspicions_seen = 0
        self._evacuations_seen = 0
        self._is_same_version = True
        self._task: asyncio.Task | None = None

    def start(self, delay_s: float = 0.0) -> None:
        """Start polling after a delay."""
        self._task = asyncio.ensure_future(self._run(delay_s))

    async def stop(self) -> None:
        """End the subscription."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def seen(self) -> SeenRevision:
        """Return the revision received of the replica's present epoch."""
        return SeenRevision(self._epoch, self._revision)

    def merge_seen(self, seen: SeenRevision) -> None:
        """Advance to the revision of another router, whose whole table was merged."""
        if seen.epoch == self._epoch:
            self._revision = max(self._revision, seen.revision)

    async def _run(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        backoff_s = self._timing.initial_backoff_s
        while True:
            try:
                await self._follow()
            except ConnectFailedError as error:
                self._report_loss(error)
            except (AnswerBrokenError, MessageError, TimeoutError) as error:
                self._report_loss(error)
                backoff_s = self._timing.initial_backoff_s
            except Exception as error:
                # An error that nobody foresaw must not end the subscription for good.
                logger.opt(exception=error).error(
                    "update not handled", host=self.address.host, why=repr(error)
                )
                self._forget_progress()
                self._report_loss(error)
            await asyncio.sleep(self._random.uniform(0.5, 1.0) * backoff_s)
            backoff_s = min(2 * backoff_s, self._timing.max_backoff_s)

    def _forget_progress(self) -> None:
        """Ask for everything again, since an update was received that was not handled whole."""
        self._epoch = ""
        self._revision = self._version = self._suspicions_seen = self._evacuations_seen = 0

    def _report_loss(self, error: Exception) -> None:
        """Notify the subscriber, and log the loss if the link was up."""
        if self.is_up:
            logger.warning("replica lost", host=self.address.host, why=repr(error))
        self.is_up = False
        self._subscriber.handle_loss(self.address.host)

    async def _follow(self) -> None:
        """Poll on one connection until it fails."""
        connection = await connect(self.address, self._timing.connect_s)
        try:
            while True:
                await self._ask(connection)
        finally:
            connection.abort()

    async def _ask(self, connection: ClientConnection) -> None:
        """Make one poll and handle the update."""
        timing = self._timing
        request = NewsRequest(
            self._node_id,
            self._kind,
            self._epoch,
            self._revision,
            self._version,
            timing.hold_s,
            self._subscriber.table_digest(),
            self._subscriber.held_counts(self.address.host),
            self._relay,
            self._subscriber.is_first(self.address.host),
            self._subscriber.recently_seen_targets(),
            self._subscriber.new_records(),
            self._suspicions_seen,
            self._evacuations_seen,
            self._subscriber.service_counts(),
            self._subscriber.held_tokens(self.address.host) if self._is_same_version else None,
            self._subscriber.shed_reports() if self._is_same_version else (),
            self._subscriber.peer_endpoint() if self._is_same_version else NO_PEER,
            self._subscriber.known_peers_digest() if self._is_same_version else 0,
            self._subscriber.is_cut_off() if self._is_same_version else False,
            self._is_same_version,
            self._subscriber.brittle_report() if self._is_same_version else None,
        )
        encoded = encode(request, with_versions=self._is_same_version)
        body = await self._call(connection, encoded, timing.hold_s)
        news = decode_news(body)
        # Another router's table may have advanced the revision since the request was sent.
        is_same_epoch = news.epoch == self._epoch
        revision = max(news.revision, self._revision) if is_same_epoch else news.revision
        if self._epoch and not is_same_epoch and not self._is_same_version:
            # The replica has restarted, perhaps with the present version. The records of this
            # answer lack software versions, so that all are asked for again.
            self._is_same_version, revision = True, 0
        self._revision = revision
        self._epoch, self._version = news.epoch, news.version
        self._suspicions_seen = news.suspicions_revision
        self._evacuations_seen = news.evacuations.revision
        self.last_received_s = self._clock()
        host = self.address.host
        if not self.is_up:
            self.is_up = True
            logger.info(
                "replica heard", host=host, version=news.version, is_current=news.is_current
            )
        self._subscriber.handle_news(host, news)

    async def _call(self, connection: ClientConnection, body: bytes, hold_s: float) -> bytes:
        """Make one call; raise `AnswerBrokenError` or `TimeoutError` when it fails."""
        request = Request(b"POST", NEWS_PATH, [(b"host", b"control")], body)
        limit_s = hold_s + self._timing.answer_margin_s
        # Not `wait_for`, which swallows a cancellation that coincides with the answer.
        async with asyncio.timeout(limit_s):
            answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
        if answer.status == 400 and self._is_same_version:
            # A replica of an earlier version refuses requests with fields that it doesn't know.
            self._is_same_version = False
            logger.warning("replica of an earlier version", host=self.address.host)
        if answer.status != 200 or not connection.is_open:
            raise AnswerBrokenError(f"status {answer.status}")
        return unpack_answer(answer)
