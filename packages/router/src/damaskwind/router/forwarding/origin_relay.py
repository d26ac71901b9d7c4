"""Write down at replicas which versions began this router's streams, and ask the replicas.

Each stream is written down before its first event, whatever number of versions is known: routers
keep streams in memory alone, and all of them may end at once.
"""

import asyncio
import secrets
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.streams.holders import choose_holders
from damaskwind.decisions.streams.known_versions import KnownVersions
from damaskwind.decisions.streams.origin_table import OriginTable
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.origin_link import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    BegunStream,
    OriginLink,
    ReplicaAnswer,
)
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import News
from damaskwind.wire.stream_origins import MAX_VERSION_CHARS

__all__ = ["Asked", "OriginRelay"]

# The first event waits this long at most for a replica to confirm its stream: as long as a call
# lasts at most. A stream without a record may be joined, or refused though its version serves.
CONFIRM_S = CONNECT_TIMEOUT_S + ANSWER_TIMEOUT_S
# A request that was sent on to another version waits this long for the former one to be replaced.
REPLACED_S = 0.1
# When the first holder has not answered within this time, the others are called.
HEDGE_S = 0.02
# The others are sent this share of the streams at once, after a burst. Without a bound, replicas
# that were slow under a burst of take-ups got three calls a stream and did not recover
# (decisions/0034).
HEDGE_SHARE = 0.1
HEDGE_BURST = 3.0
# How long a question waits for replicas that may still answer: as long as a call lasts at most.
ASK_S = CONNECT_TIMEOUT_S + ANSWER_TIMEOUT_S
# How long it waits for those that were not heard since a call to them failed. A replica that is
# back answers in 1 to 5 ms.
ASK_FAILING_S = 0.02
# How long it waits for an answer that differs, once an attempt was named.
ASK_GRACE_S = 0.005
# A router of today's deployments begins some ten streams a second, of 20 s each.
MAX_STREAMS = 4096
MAX_KEYS = 3 * MAX_STREAMS


class Asked(NamedTuple):
    """What the replicas answered: the versions for a key, and how many replicas `answered`.

    `known` are the versions of the service that they know. What is not on record is certain only
    if the answers are a `proof`: all replicas answered, each of which holds what it ever held.
    """

    versions: frozenset[str]
    known: frozenset[str] = frozenset()
    answered: int = 0
    replicas: int = 0
    is_proof: bool = False


class OriginRelay:
    """One router's streams, the replicas that hold them, and the versions known of services."""

    def __init__(self, targets: TargetTable, news_port: int) -> None:
        self.tallies = Tallies()
        self.table = OriginTable(MAX_KEYS)
        # The upper bits of the numbers by which writes of this process are told from others'.
        self.writer_base = (secrets.randbits(29) + 1) << 32
        self._news_port = news_port
        self._known = KnownVersions(targets)
        self._links: dict[str, OriginLink] = {}
        self._epochs: dict[str, str] = {}
        # In order of the last write, by writer.
        self._streams: dict[int, BegunStream] = {}
        self._hedges = HEDGE_BURST

    async def stop(self) -> None:
        """End all calls."""
        for link in self._links.values():
            await link.stop()

    def follow(self, host: str) -> None:
        """Let a replica hold streams too."""
        if host not in self._links:
            self._links[host] = OriginLink(Address(host, self._news_port), self.tallies)

    def handle_news(self, host: str, news: News) -> None:
        """Send a replica what it lacks, all that it should hold if it has restarted."""
        now_s = read_clock()
        self._refresh(now_s)
        link = self._links.get(host)
        if link is None:
            return
        former = self._epochs.get(host)
        self._epochs[host] = news.epoch
        is_restarted = former not in (None, news.epoch)
        if is_restarted:
            self._write_again(host, link, now_s)
        link.note_alive(is_restarted)

    def known_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service known now or lately; none if no target reports any."""
        now_s = read_clock()
        self._refresh(now_s)
        return self._known.versions(service, now_s)

    def keep(self, stream: BegunStream) -> None:
        """Remember a stream here."""
        now_s = read_clock()
        self.table.merge(stream.entry(now_s), now_s)
        former = self._streams.pop(stream.writer, None)
        if former is not None:
            stream.supersede(former)
            for link in self._links.values():
                link.drop(stream.writer)
        self._streams[stream.writer] = stream
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.expires_s > now_s and len(self._streams) <= MAX_STREAMS:
                return
            del self._streams[oldest.writer]
            for link in self._links.values():
                link.drop(oldest.writer)

    async def write_down(self, stream: BegunStream) -> bool:
        """Write a stream down; return whether a replica confirmed it in time.

        A call under way is waited for. Replicas that were not heard since a call to them failed
        are not; they are sent what is pending when they are heard again.
        """
        if len(stream.version) > MAX_VERSION_CHARS:
            return False
        first, *others = [self._links[host] for host in self._holders(stream)] or [None]
        if first is None:
            return False
        first.write(stream, is_urgent=True)
        for link in others:
            link.write(stream, is_urgent=False)
        for link in stream.stale:
            link.write(stream, is_urgent=True)
        self._hedges = min(self._hedges + HEDGE_SHARE, HEDGE_BURST)
        ends_s = read_clock() + CONFIRM_S
        if await stream.wait_confirmed([first], HEDGE_S):
            return True
        if first.may_answer and not self._take_hedge():
            await stream.wait_confirmed([first], ends_s - read_clock())
            if first.may_answer:
                return stream.is_confirmed
        reachable = [link for link in others if link.may_answer]
        for link in reachable:
            link.write(stream, is_urgent=True)
        return await stream.wait_confirmed([first, *reachable], ends_s - read_clock())

    def _take_hedge(self) -> bool:
        """Return whether other holders may be called beside the first one, which is slow."""
        if self._hedges < 1.0:
            return False
        self._hedges -= 1.0
        self.tallies.count("stream_write_hedges")
        return True

    async def is_replaced(self, stream: BegunStream) -> bool:
        """Return whether no replica holds another version of a stream any more.

        The replica that is asked first may be one that has missed the last write.
        """
        return await stream.wait_replaced(REPLACED_S)

    async def ask(self, key: bytes, service: str, is_named: bool) -> Asked:
        """Ask the replicas for the versions of a key.

        If the key `is_named`, by the id of an attempt, its first holder is asked before the
        others, and one that knows it is enough. Otherwise all replicas are waited for.
        """
        order = choose_holders(key, self._links, self._failing()) if is_named else []
        questions = _Questions(key, service, self._links, is_named)
        asked_s = read_clock()
        for host in order[:1]:
            await questions.ask([host], asked_s + HEDGE_S)
        if not questions.found:
            await questions.ask(questions.unasked(), asked_s + ASK_S)
        questions.cancel()
        return questions.result()

    def _holders(self, stream: BegunStream) -> list[str]:
        return choose_holders(stream.keys[0], self._links, self._failing())

    def _failing(self) -> list[str]:
        now_s = read_clock()
        return [host for host, link in self._links.items() if not link.is_usable(now_s)]

    def _refresh(self, now_s: float) -> None:
        """Take note of the versions in the table of targets."""
        for service, versions in self._known.refresh(now_s).items():
            logger.info("several versions known", service=service, versions=versions)

    def _write_again(self, host: str, link: OriginLink, now_s: float) -> None:
        """Write down again what a replica held before it restarted."""
        for stream in self._streams.values():
            is_short = len(stream.version) <= MAX_VERSION_CHARS
            if is_short and stream.expires_s > now_s and host in self._holders(stream):
                link.write(stream, is_urgent=False)


class _Questions:
    """The calls that look up one key."""

    def __init__(
        self, key: bytes, service: str, links: dict[str, OriginLink], is_named: bool
    ) -> None:
        self.found: set[str] = set()
        self._key = key
        self._service = service
        self._links = links
        self._is_named = is_named
        self._failing = {host for host, link in links.items() if not link.may_answer}
        self._waiting: dict[asyncio.Future, str] = {}
        self._asked: set[str] = set()
        self._failed: set[str] = set()
        self._answers: dict[str, ReplicaAnswer] = {}

    def unasked(self) -> list[str]:
        """Return the replicas that were not asked yet."""
        return [host for host in self._links if host not in self._asked]

    async def ask(self, hosts: list[str], ends_s: float) -> None:
        """Ask some replicas too, and wait for those that may still answer."""
        self._asked.update(hosts)
        for host in hosts:
            asking = asyncio.ensure_future(self._links[host].ask(self._key, self._service))
            self._waiting[asking] = host
        failing_end_s = read_clock() + ASK_FAILING_S
        while self._waiting:
            if self._failing.issuperset(self._waiting.values()):
                ends_s = min(ends_s, failing_end_s)
            left_s = ends_s - read_clock()
            if left_s <= 0:
                return
            done, _ = await asyncio.wait(
                self._waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            was_found = bool(self.found)
            for asking in done:
                self._take(asking)
            if self._is_named and self.found and not was_found:
                ends_s = min(ends_s, read_clock() + ASK_GRACE_S)
            if not self._is_named and not self._failed.isdisjoint(self._replicas()):
                # Without their answers, the others' prove nothing.
                return

    def _take(self, asking: asyncio.Future) -> None:
        """Take an answer, or note that there is none."""
        host = self._waiting.pop(asking)
        answer = asking.result()
        if answer is None:
            self._failed.add(host)
        else:
            self._answers[host] = answer
            self.found |= answer.versions

    def _replicas(self) -> frozenset[str]:
        """Return the hosts of all replicas, as those that answered name them.

        There may be others than this router knows, and some that it knows may have been removed.
        """
        return frozenset().union(*(answer.replicas for answer in self._answers.values()))

    def cancel(self) -> None:
        """Wait no longer."""
        for asking in self._waiting:
            asking.cancel()

    def result(self) -> Asked:
        """Return what was answered so far."""
        answers = self._answers.values()
        known = frozenset().union(*(answer.known for answer in answers))
        replicas = self._replicas()
        is_proof = all(one.is_proof for one in answers) and replicas <= self._answers.keys()
        count = len(replicas) or len(self._links)
        found = frozenset(self.found)
        return Asked(found, known, len(answers), count, bool(replicas) and is_proof)
