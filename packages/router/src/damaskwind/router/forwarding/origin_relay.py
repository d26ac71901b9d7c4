"""Write down at replicas which versions began this router's streams, and ask the replicas.

While a router knows one version of a service alone, nothing is written down: all its streams began
there. Once it knows a second one, those still of use are, and from then on each new stream
before its first event.
"""

import asyncio
import secrets
from typing import NamedTuple

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.streams.holders import choose_holders
from damaskwind.decisions.streams.origin_table import OriginTable
from damaskwind.decisions.streams.version_history import VersionHistory
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.origin_link import BegunStream, OriginLink
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import News
from damaskwind.wire.stream_origins import MAX_VERSION_CHARS

__all__ = ["Asked", "OriginRelay"]

# The first event waits this long at most for a replica to confirm its stream.
CONFIRM_S = 0.1
# When the first holder has not confirmed within this time, the others are sent the stream at once.
HEDGE_S = 0.02
# How long a question waits for its first answer, and after that for one that differs.
ASK_S = 0.1
ASK_GRACE_S = 0.005
# A router of today's deployments begins some ten streams a second, of 20 s each.
MAX_STREAMS = 4096
MAX_KEYS = 3 * MAX_STREAMS
# The table of targets drops silent ones without a new revision.
REFRESH_S = 1.0


class Asked(NamedTuple):
    """What the replicas answered: the versions for a key, and how many replicas `answered`.

    Of all `replicas`, `down` have no process that could answer anybody.
    """

    versions: frozenset[str]
    answered: int
    down: int
    replicas: int


class OriginRelay:
    """One router's streams, the replicas that hold them, and the versions known of services."""

    def __init__(self, targets: TargetTable, news_port: int) -> None:
        self.tallies = Tallies()
        self.table = OriginTable(MAX_KEYS)
        # The upper bits of the numbers by which writes of this process are told from others'.
        self.writer_base = (secrets.randbits(29) + 1) << 32
        self._targets = targets
        self._news_port = news_port
        self._history = VersionHistory()
        self._seen_revision = -1
        self._refreshed_s = float("-inf")
        self._links: dict[str, OriginLink] = {}
        self._epochs: dict[str, str] = {}
        # In order of the last write, by writer.
        self._streams: dict[int, BegunStream] = {}

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
        return self._history.versions(service, now_s)

    def keep(self, stream: BegunStream) -> None:
        """Remember a stream here."""
        now_s = read_clock()
        self.table.merge(stream.entry(now_s), now_s)
        self._streams.pop(stream.writer, None)
        self._streams[stream.writer] = stream
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.expires_s > now_s and len(self._streams) <= MAX_STREAMS:
                return
            del self._streams[oldest.writer]
            for link in self._links.values():
                link.drop(oldest.writer)

    async def write_down(self, stream: BegunStream) -> bool:
        """Write a stream down; return whether a replica confirmed it in time."""
        if len(stream.version) > MAX_VERSION_CHARS:
            return False
        first, *others = self._holders(stream) or [None]
        if first is None:
            return False
        self._links[first].write(stream, is_urgent=True)
        for host in others:
            self._links[host].write(stream, is_urgent=False)
        if await _is_set(stream.confirmed, HEDGE_S):
            return True
        for host in others:
            self._links[host].hurry()
        return await _is_set(stream.confirmed, CONFIRM_S - HEDGE_S)

    async def ask(self, key: bytes) -> Asked:
        """Ask all replicas for the versions of a key."""
        links = list(self._links.values())
        waiting = {asyncio.ensure_future(link.ask(key)) for link in links}
        found: set[str] = set()
        answered, ends_s = 0, read_clock() + ASK_S
        while waiting and (left_s := ends_s - read_clock()) > 0:
            done, waiting = await asyncio.wait(
                waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            answers = [task.result() for task in done]
            answered += sum(answer is not None for answer in answers)
            news = {version for answer in answers for version in answer or ()}
            if news and not found:
                ends_s = min(ends_s, read_clock() + ASK_GRACE_S)
            found |= news
        for task in waiting:
            task.cancel()
        down = sum(link.is_down for link in links)
        return Asked(frozenset(found), answered, down, len(links))

    def _holders(self, stream: BegunStream) -> list[str]:
        failing = [host for host, link in self._links.items() if not _is_usable(link)]
        return choose_holders(stream.keys[0], self._links, failing)

    def _refresh(self, now_s: float) -> None:
        """Take note of the versions in the table of targets."""
        revision = self._targets.revision
        if revision == self._seen_revision and now_s - self._refreshed_s < REFRESH_S:
            return
        self._seen_revision, self._refreshed_s = revision, now_s
        services = self._history.update(self._targets.versions(), now_s)
        if not services:
            return
        for stream in list(self._streams.values()):
            is_short = len(stream.version) <= MAX_VERSION_CHARS
            if stream.service in services and stream.expires_s > now_s and is_short:
                for number, host in enumerate(self._holders(stream)):
                    self._links[host].write(stream, is_urgent=number == 0)

    def _write_again(self, host: str, link: OriginLink, now_s: float) -> None:
        """Write down again what a replica held before it restarted."""
        for stream in self._streams.values():
            is_needed = self._history.has_several(stream.service, now_s)
            if is_needed and stream.expires_s > now_s and host in self._holders(stream):
                link.write(stream, is_urgent=False)


def _is_usable(link: OriginLink) -> bool:
    return link.is_supported and not link.is_failing


async def _is_set(event: asyncio.Event, limit_s: float) -> bool:
    """Wait for an event; return whether it happened in time."""
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
