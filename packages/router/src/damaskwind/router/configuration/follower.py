"""Follow the confirmed configuration; never move to a lower revision.

One stream from one replica delivers each revision as it is confirmed. While no
current replica can be reached, hints from other routers announce newer revisions,
which are fetched from those routers. A router without any revision first polls all
known replicas and routers. Unless a current replica answers, it applies the highest
revision received within a settling time, because the first to answer may be the one
that is furthest behind.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from loguru import logger

from damaskwind.model.configuration import Configuration
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.router.configuration.call_rate_limiter import CallRateLimiter
from damaskwind.router.configuration.state_file import read_state_file, write_state_file
from damaskwind.router.configuration.upstream import ATTEMPT_BYTES, Upstream, UpstreamUpdate
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ReplicaSettings, parse_address
from damaskwind.wire.authentication import CallSigner, CallVerifier
from damaskwind.wire.configuration_history import decode_revision
from damaskwind.wire.follow_service import HEARTBEAT_S, FollowService

__all__ = ["ConfigurationFollower", "FollowerTiming"]

HINT_ATTEMPTS = 6
MAX_POLLED_PEERS = 16
POLL_TIMEOUT_S = 1.0
REVISION_ONLY = 2**63 - 1
CALL_BUDGET_SHARE = 1 / 8


class FollowerTiming:
    """Timeouts and delays of the follower, in seconds."""

    def __init__(
        self,
        heartbeat_s: float = HEARTBEAT_S,
        settle_s: float = 3.0,
        initial_backoff_s: float = 0.5,
        max_backoff_s: float = 8.0,
        hint_delay_s: float = 0.5,
    ) -> None:
        self.silence_s = 2.5 * heartbeat_s
        self.settle_s = settle_s
        self.initial_backoff_s = initial_backoff_s
        self.max_backoff_s = max_backoff_s
        self.hint_delay_s = hint_delay_s


class ConfigurationFollower:
    """Maintain one router's configuration.

    `configuration` is the one that the router enforces: subscribers are called before
    the revision is reported to anyone. `peers` returns the addresses at which other
    routers serve their `service`. Attempts to open a stream and rounds of polling are
    each limited to a share of `control_bytes_per_s`.
    """

    def __init__(
        self,
        router_id: str,
        failure_domain: str,
        signer: CallSigner,
        replicas: tuple[ReplicaSettings, ...],
        random: Random,
        state_file: Path | None = None,
        peers: Callable[[], list[Address]] = list,
        timing: FollowerTiming | None = None,
        control_bytes_per_s: float = float("inf"),
    ) -> None:
        self.configuration: Configuration | None = None
        self.service = FollowService(
            CallVerifier(signer.cluster, signer.cluster_key), _never_current, _ignore_report
        )
        self.source = ""
        self._random = random
        self._state_file = state_file
        self._peers = peers
        self._timing = timing or FollowerTiming()
        self._replicas = _local_first(replicas, failure_domain, random)
        rate = CALL_BUDGET_SHARE * control_bytes_per_s
        self._stream_limiter = CallRateLimiter(rate, read_clock())
        self._poll_limiter = CallRateLimiter(rate, read_clock())
        self._upstream = Upstream(router_id, failure_domain, signer)
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._candidate: Configuration | None = None
        self._settle_timer: asyncio.TimerHandle | None = None
        self._current_until_s = float("-inf")
        self._highest_seen = 0
        self._needs_full = False
        self._hints: dict[Address, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self._accepted: tuple[Configuration, str] | None = None
        self._write_task: asyncio.Task | None = None

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 before any."""
        return self.configuration.revision if self.configuration is not None else 0

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.configuration is not None

    @property
    def may_be_behind(self) -> bool:
        """Return whether no current replica confirmed the revision in force recently."""
        return read_clock() > self._current_until_s or self._highest_seen > self.revision

    @property
    def received_bytes(self) -> int:
        """Return the bytes received, including estimated headers."""
        return self._upstream.received_bytes

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent, including estimated headers."""
        return self._upstream.sent_bytes

    def charge_bytes(self, charge: Callable[[int, int], None]) -> None:
        """Call `charge(sent, received)` for all bytes, of own calls and of peers' fetches."""
        self._upstream.on_bytes = charge
        self.service.on_bytes = charge

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` to put each new configuration in force."""
        self._subscribers.append(callback)
        if self.configuration is not None:
            callback(self.configuration)

    async def start(self) -> None:
        """Read the state file and start to follow."""
        if self._state_file is not None:
            stored = read_state_file(self._state_file)
            if stored is not None:
                self._offer(stored, "state file", is_current=False)
        self._spawn(self._follow())
        self._spawn(self._poll_until_ready())

    async def stop(self) -> None:
        """Stop following; the configuration stays in force."""
        self._upstream.close()
        if self._settle_timer is not None:
            self._settle_timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._write_task is not None:
            await asyncio.wait([self._write_task])

    def handle_revision_hint(self, peer_address: Address, revision: int) -> None:
        """Handle a hint that a router enforces a revision; fetch it if it is newer."""
        self._highest_seen = max(self._highest_seen, revision)
        if revision <= self.revision:
            return
        is_new = peer_address not in self._hints
        self._hints[peer_address] = max(revision, self._hints.get(peer_address, 0))
        if is_new:
            self._spawn(self._fetch_hint(peer_address))

    def _spawn(self, coroutine: object) -> None:
        """Run a coroutine as a task that `stop` cancels."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self) -> None:
        """Keep a stream from one replica open, trying the replicas in turn."""
        backoff_s = self._timing.initial_backoff_s
        attempt = 0
        while self._replicas and not self._upstream.is_closed:
            address = self._replicas[attempt % len(self._replicas)]
            await asyncio.sleep(self._stream_limiter.pause_s(read_clock()))
            self._stream_limiter.spend(ATTEMPT_BYTES, read_clock())
            started_s = read_clock()
            try:
                await self._watch(address)
            except MessageError as error:
                # `stop` closes the connection, which fails the stream before this task
                # receives its cancellation.
                if self._upstream.is_closed:
                    return
                logger.warning(
                    "stream of configurations ended", source=str(address), why=str(error)
                )
            if read_clock() - started_s > self._timing.silence_s:
                backoff_s = self._timing.initial_backoff_s
            attempt += 1
            if attempt % len(self._replicas) == 0 or len(self._replicas) == 1:
                await asyncio.sleep(self._random.uniform(0, backoff_s))
                backoff_s = min(2 * backoff_s, self._timing.max_backoff_s)

    async def _watch(self, address: Address) -> None:
        """Follow one replica until it fails, exceeds the silence timeout or is not current."""
        stale_updates = 0
        async with self._upstream.watch(address, self._base()) as stream:
            while not self._upstream.is_closed:
                update = await stream.next(self._timing.silence_s)
                await self._handle_update(update, f"replica {address}")
                stale_updates = 0 if update.is_current else stale_updates + 1
                if stale_updates > 1 and len(self._replicas) > 1:
                    raise MessageError("the replica is not current")
                await stream.report(self.revision)

    def _latest_known(self) -> Configuration | None:
        """Return the highest configuration known here, whether or not it is in force."""
        accepted = self._accepted[0] if self._accepted is not None else None
        return accepted or self.configuration or self._candidate

    def _base(self) -> int:
        """Return the revision against which a delta may be sent; 0 requests the full state."""
        latest = self._latest_known()
        return 0 if self._needs_full or latest is None else latest.revision

    async def _handle_update(self, update: UpstreamUpdate, source: str) -> None:
        """Apply an update from a replica or a router, and wait until it is in force.

        After an update that can't be decoded, the full configuration is requested.
        """
        encoded = update.encoded
        self._highest_seen = max(self._highest_seen, encoded.revision)
        latest = self._latest_known()
        latest_revision = latest.revision if latest is not None else 0
        if encoded.body and encoded.revision > latest_revision:
            self._needs_full = True
            configuration = decode_revision(encoded, latest)
            self._needs_full = False
            self._offer(configuration, source, update.is_current)
        elif encoded.revision < latest_revision:
            logger.debug("lower revision ignored", source=source, revision=encoded.revision)
        elif update.is_current and self.configuration is None and latest is not None:
            self._apply(latest, source)
        if self._write_task is not None:
            await asyncio.shield(self._write_task)
        if update.is_current and encoded.revision == self.revision:
            self._current_until_s = read_clock() + self._timing.silence_s

    def _offer(self, configuration: Configuration, source: str, is_current: bool) -> None:
        """Apply a configuration, or keep it as a candidate while settling.

        While settling, another source may still deliver a higher revision.
        """
        latest = self._latest_known()
        if latest is not None and configuration.revision <= latest.revision:
            return
        if self.configuration is not None or self._accepted is not None or is_current:
            self._apply(configuration, source)
            return
        self._candidate = configuration
        self.source = source
        if self._settle_timer is None:
            loop = asyncio.get_running_loop()
            self._settle_timer = loop.call_later(self._timing.settle_s, self._apply_candidate)

    def _apply_candidate(self) -> None:
        """Apply the highest revision received while settling."""
        if self.configuration is None and self._candidate is not None:
            self._apply(self._candidate, self.source)

    def _apply(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force, after writing it to the state file if there is one.

        A configuration that was in force but not stored would be lost at a restart, and
        the router would then start with a lower revision.
        """
        self._candidate = None
        if self._state_file is None:
            self._enforce(configuration, source)
            return
        self._accepted = (configuration, source)
        if self._write_task is None:
            self._write_task = asyncio.ensure_future(self._write_accepted(self._state_file))

    async def _write_accepted(self, path: Path) -> None:
        """Write accepted configurations to the file and enforce them, until none is left.

        A failed write must not prevent a confirmed change from being enforced.
        """
        loop = asyncio.get_running_loop()
        try:
            while self._accepted is not None:
                configuration, source = self._accepted
                try:
                    await loop.run_in_executor(None, write_state_file, path, configuration)
                except OSError as error:
                    logger.warning("state file not written", path=str(path), error=str(error))
                if self._accepted[0] is configuration:
                    self._accepted = None
                self._enforce(configuration, source)
        finally:
            self._write_task = None

    def _enforce(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force, then publish it to others."""
        self.configuration = configuration
        self.source = source
        for callback in self._subscribers:
            callback(configuration)
        self.service.publish(configuration)
        logger.info("configuration applied", revision=configuration.revision, source=source)

    async def _poll_until_ready(self) -> None:
        """Poll all replicas and routers until a configuration is in force.

        Usually the stream from a current replica delivers one before the first poll.
        """
        await asyncio.sleep(self._timing.hint_delay_s)
        while not self.is_ready and not self._upstream.is_closed:
            await self._poll_sources()
            pause_s = self._timing.initial_backoff_s
            await asyncio.sleep(self._random.uniform(pause_s / 2, pause_s))
            await asyncio.sleep(self._poll_limiter.pause_s(read_clock()))

    async def _poll_sources(self) -> None:
        """Poll for revision numbers only, then fetch the highest from a source that has it."""
        peers = self._peers()
        polled = self._random.sample(peers, min(len(peers), MAX_POLLED_PEERS))
        addresses = list(dict.fromkeys([*self._replicas, *polled]))
        self._poll_limiter.spend(ATTEMPT_BYTES * len(addresses), read_clock())
        revisions = await asyncio.gather(*(self._poll_revision(address) for address in addresses))
        known = sorted(zip(revisions, addresses, strict=True), reverse=True)
        for revision, address in known:
            latest = self._latest_known()
            if revision > (latest.revision if latest is not None else 0):
                await self._fetch(address)

    async def _poll_revision(self, address: Address) -> int:
        """Return the revision that one replica or router has, or 0 if it does not answer."""
        try:
            update = await self._upstream.fetch(address, REVISION_ONLY, POLL_TIMEOUT_S)
        except MessageError as error:
            logger.debug("poll for the revision failed", source=str(address), error=str(error))
            return 0
        return update.encoded.revision

    async def _fetch_hint(self, address: Address) -> None:
        """Fetch the revision that a router was reported to have.

        If a current replica is followed, wait first, since its stream may deliver it.
        """
        pause_s = self._timing.hint_delay_s
        try:
            if read_clock() <= self._current_until_s:
                await asyncio.sleep(self._random.uniform(0, pause_s))
            for _ in range(HINT_ATTEMPTS):
                if self._hints[address] <= self.revision or self._upstream.is_closed:
                    break
                await self._fetch(address)
                pause_s *= 2
                await asyncio.sleep(self._random.uniform(0, pause_s))
        finally:
            self._hints.pop(address, None)

    async def _fetch(self, address: Address) -> None:
        """Fetch the latest revision that one replica or router has."""
        try:
            update = await self._upstream.fetch(address, self._base())
            await self._handle_update(update, str(address))
        except MessageError as error:
            logger.debug("not fetched", source=str(address), error=str(error))


def _never_current() -> bool:
    """Return `False`: a router never claims to be current."""
    return False


def _ignore_report(router_id: str, failure_domain: str, revision: int) -> None:
    """Ignore a report, since routers report to replicas."""


def _local_first(
    replicas: tuple[ReplicaSettings, ...], failure_domain: str, random: Random
) -> list[Address]:
    """Return the replicas' addresses in random order, those in the own domain first."""
    shuffled = random.sample(replicas, len(replicas))
    shuffled.sort(key=lambda replica: replica.failure_domain != failure_domain)
    return [parse_address(replica.address) for replica in shuffled]
