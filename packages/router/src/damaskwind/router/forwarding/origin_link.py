"""Write down at one replica which versions began streams, and ask it.

One call is in flight at a time; what arrives meanwhile goes with the next, over the same
connection. A call costs a replica far more than an entry, so that entries that nobody waits for
go with a later one.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from itertools import islice
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.streams.origin_table import MAX_LASTS_S, OriginEntry
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
from damaskwind.runtime.http1.messages import Answer, Request
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.stream_origins import (
    ORIGINS_PATH,
    OriginAnswer,
    OriginCall,
    decode_answer,
    encode_message,
)

__all__ = ["BegunStream", "OriginLink", "ReplicaAnswer"]

CONNECT_TIMEOUT_S = 0.25
ANSWER_TIMEOUT_S = 0.3
ANSWER_LIMIT_BYTES = 65_536
# A call with this many entries is 10 KB, and takes a replica with a quarter of a core 10 ms.
MAX_BATCH = 256
# Entries that nobody waits for are sent with a call that is made anyway, or this much later. A
# router and the replica that confirmed an entry are rarely lost within a second of each other.
LAZY_S = 1.0
# Of these entries, a call carries this many, so that a replica that has restarted is not sent
# all streams of all routers at once, while other streams wait for it.
LAZY_BATCH = 32
# Other replicas are called first while a call has waited this long for its answer, which takes
# 1 to 5 ms.
SLOW_S = 0.02
# The process of such a replica has ended; one that is cut off does not answer at all.
_REFUSED = "ConnectionRefusedError"
_ERRORS = (ConnectFailedError, AnswerBrokenError, TimeoutError, MessageError)


class _UnsupportedError(Exception):
    """The replica is of an earlier version and holds no streams."""


class _RefusedError(AnswerBrokenError):
    """The replica doesn't understand the call."""


class ReplicaAnswer(NamedTuple):
    """What a replica knows of a key: its `versions`, and more if it tells the fleet's state.

    `known` are the versions of the service, and `replicas` all hosts as it knows them. That it
    holds no more of the key is proved only if it `is_proof`: it has not just restarted.
    """

    versions: frozenset[str]
    known: frozenset[str] = frozenset()
    replicas: frozenset[str] = frozenset()
    is_proof: bool = False


class _Question(NamedTuple):
    key: bytes
    service: str
    answer: "asyncio.Future[ReplicaAnswer | None]"


class BegunStream:
    """A stream that this router began or took up, as it is written down.

    It `is_confirmed` once a replica holds it. Replicas that are `stale` may hold another version
    of it from an earlier write of the same request.
    """

    __slots__ = (
        "_change",
        "expires_s",
        "is_confirmed",
        "is_superseded",
        "keys",
        "sent_to",
        "sequence",
        "service",
        "stale",
        "version",
        "writer",
    )

    def __init__(
        self,
        service: str,
        keys: tuple[bytes, ...],
        version: str,
        writer: int,
        sequence: int,
        expires_s: float,
    ) -> None:
        self.service = service
        self.keys = keys
        self.version = version
        self.writer = writer
        self.sequence = sequence
        self.expires_s = expires_s
        self.is_confirmed = False
        self.is_superseded = False
        self.sent_to: frozenset[OriginLink] = frozenset()
        self.stale: frozenset[OriginLink] = frozenset()
        # Made only while it is waited for: an event is half of a stream's memory.
        self._change: asyncio.Event | None = None

    def supersede(self, former: "BegunStream") -> None:
        """Take the place of an earlier write."""
        former.is_superseded = True
        self.stale = former.stale
        if former.version != self.version:
            self.stale |= former.sent_to

    def confirm(self, link: "OriginLink") -> None:
        """Record that a replica holds this write."""
        self.is_confirmed = True
        self.note_current(link)

    def note_current(self, link: "OriginLink") -> None:
        """Record that a replica holds no earlier write, or has lost all that it held."""
        self.stale -= {link}
        if self._change is not None:
            self._change.set()

    def note_failed(self) -> None:
        """Record that a replica doesn't answer."""
        if self._change is not None:
            self._change.set()

    async def wait_confirmed(self, links: "Iterable[OriginLink]", limit_s: float) -> bool:
        """Wait until a replica holds it or none of some may answer; return whether one does."""
        await self._wait(
            lambda: self.is_confirmed or not any(link.may_answer for link in links), limit_s
        )
        return self.is_confirmed

    async def wait_replaced(self, limit_s: float) -> bool:
        """Wait until no replica holds another version of it; return whether that is so in time."""
        return await self._wait(lambda: not self.stale, limit_s)

    async def _wait(self, is_met: Callable[[], bool], limit_s: float) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not is_met():
                    self._change = asyncio.Event()
                    await self._change.wait()
        self._change = None
        return is_met()

    def entry(self, now_s: float) -> OriginEntry:
        """Return what is written down now."""
        # Replicas refuse a call with a number that the field can't hold, and keep none so long.
        lasts_ms = int(min(max(self.expires_s - now_s, 0.0), MAX_LASTS_S) * 1000)
        return OriginEntry(self.keys, self.version, self.writer, self.sequence, lasts_ms)


class OriginLink:
    """The calls to one replica. It `is_failing` from a failed call to the next sign of life.

    It `is_down` if its last call was refused by a machine on which nothing listens.
    """

    def __init__(self, address: Address, tallies: Tallies) -> None:
        self.is_failing = False
        self.is_down = False
        self.is_supported = True
        # Whether the replica tells which versions it knows, as those of this version do.
        self.tells_versions = True
        self._address = address
        self._tallies = tallies
        # Not yet written down, by writer: those that no replica has confirmed, and the others.
        self._urgent: dict[int, BegunStream] = {}
        self._lazy: dict[int, BegunStream] = {}
        self._questions: list[_Question] = []
        self._is_urgent = asyncio.Event()
        self._connection: ClientConnection | None = None
        self._calling: asyncio.Task | None = None
        self._called_s = float("inf")

    async def stop(self) -> None:
        """End the call in flight and close the connection."""
        if self._calling is not None:
            self._calling.cancel()
            await asyncio.gather(self._calling, return_exceptions=True)
        self._answer_none()
        self._drop_connection()

    @property
    def may_answer(self) -> bool:
        """Return whether a call may succeed: the replica was heard since one failed."""
        return self.is_supported and not self.is_failing

    def is_usable(self, now_s: float) -> bool:
        """Return whether a call may be expected to succeed at once."""
        return self.may_answer and now_s - self._called_s < SLOW_S

    @property
    def pending(self) -> int:
        """Return how many streams are still to be written down."""
        return len(self._urgent) + len(self._lazy)

    def write(self, stream: BegunStream, is_urgent: bool) -> None:
        """Write a stream down, at once if somebody waits for it."""
        if not self.is_supported:
            return
        # A later write of the same request replaces an earlier one.
        self.drop(stream.writer)
        (self._urgent if is_urgent else self._lazy)[stream.writer] = stream
        self._start(is_urgent)

    def drop(self, writer: int) -> None:
        """Drop a pending write that is of no use any more."""
        self._urgent.pop(writer, None)
        self._lazy.pop(writer, None)

    async def ask(self, key: bytes, service: str) -> ReplicaAnswer | None:
        """Return what the replica knows of a key, `None` if it doesn't answer."""
        if not self.is_supported:
            return None
        answer = asyncio.get_running_loop().create_future()
        self._questions.append(_Question(key, service, answer))
        self._start(True)
        return await answer

    def note_alive(self, is_restarted: bool) -> None:
        """Send what is pending, since the replica was heard."""
        self.is_failing = self.is_down = False
        self.is_supported = self.is_supported or is_restarted
        self.tells_versions = self.tells_versions or is_restarted
        if self.pending:
            self._start(bool(self._urgent))

    def _start(self, is_urgent: bool) -> None:
        """Make calls unless some are made; a failing replica gets only what is waited for."""
        if is_urgent:
            self._is_urgent.set()
        elif self.is_failing:
            return
        if self._calling is None:
            self._calling = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            await self._make_calls()
        finally:
            self._calling = None

    async def _make_calls(self) -> None:
        """Make calls while something is pending, until one fails."""
        while self.pending or self._questions:
            if not self._is_urgent.is_set():
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._is_urgent.wait(), LAZY_S)
            self._is_urgent.clear()
            if not await self._send_batch():
                return

    def _take_batch(self) -> list[BegunStream]:
        """Take what the next call writes down."""
        batch = list(islice(self._urgent.values(), MAX_BATCH))
        batch += islice(self._lazy.values(), LAZY_BATCH)
        for stream in batch:
            self.drop(stream.writer)
        if self._urgent:
            self._is_urgent.set()
        return batch

    async def _send_batch(self) -> bool:
        """Make one call; return whether it succeeded."""
        now_s = read_clock()
        valid = [stream for stream in self._take_batch() if stream.expires_s > now_s]
        questions = self._questions[:MAX_BATCH]
        del self._questions[:MAX_BATCH]
        entries = tuple(stream.entry(now_s) for stream in valid)
        call = OriginCall(entries, tuple(question.key for question in questions))
        services = tuple(dict.fromkeys(question.service for question in questions))
        for stream in valid:
            stream.sent_to |= {self}
        try:
            answer = await self._ask_with(call, services)
        except _UnsupportedError:
            self.is_supported = False
            for stream in (*valid, *self._urgent.values(), *self._lazy.values()):
                stream.note_failed()
            self._urgent.clear()
            self._lazy.clear()
            logger.info("replica holds no streams", host=self._address.host)
        except _ERRORS as error:
            self._put_back(valid)
            self._fail(error)
            # Replicas keep streams in memory alone.
            for stream in valid if self.is_down else ():
                stream.note_current(self)
        else:
            self.is_failing = self.is_down = False
            for stream in valid:
                stream.confirm(self)
            for question, told in zip(questions, _told(questions, answer), strict=True):
                _settle(question.answer, told)
            return True
        for question in questions:
            _settle(question.answer, None)
        self._answer_none()
        return False

    async def _ask_with(self, call: OriginCall, services: tuple[str, ...]) -> OriginAnswer:
        """Make a call that also asks for the versions of services, if the replica tells them."""
        if services and self.tells_versions:
            try:
                return await self._call(call._replace(services=services))
            except _RefusedError:
                self.tells_versions = False
                logger.info("replica does not tell versions", host=self._address.host)
        return await self._call(call)

    def _put_back(self, streams: list[BegunStream]) -> None:
        """Keep streams for a later call, unless a later write has replaced them."""
        for stream in streams:
            if stream.is_superseded:
                continue
            if stream.writer not in self._urgent and stream.writer not in self._lazy:
                is_urgent = not stream.is_confirmed
                (self._urgent if is_urgent else self._lazy)[stream.writer] = stream

    def _fail(self, error: Exception) -> None:
        """Keep what is pending until the replica is heard again."""
        if not self.is_failing:
            logger.info(
                "stream origins not sent",
                host=self._address.host,
                pending=self.pending,
                why=repr(error),
            )
        self.is_failing = True
        self.is_down = isinstance(error, ConnectFailedError) and str(error) == _REFUSED
        self._drop_connection()
        for stream in (*self._urgent.values(), *self._lazy.values()):
            stream.note_failed()

    def _answer_none(self) -> None:
        """Let nobody wait for an answer any longer."""
        for question in self._questions:
            _settle(question.answer, None)
        self._questions.clear()

    async def _call(self, call: OriginCall) -> OriginAnswer:
        body = encode_message(call)
        request = Request(b"POST", ORIGINS_PATH, [(b"host", b"control")], body)
        self._called_s = read_clock()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S + ANSWER_TIMEOUT_S):
                answer = await self._fetch(request)
        finally:
            self._called_s = float("inf")
        if answer.status == 404:
            raise _UnsupportedError
        if answer.status == 400:
            raise _RefusedError("status 400")
        if answer.status != 200:
            raise AnswerBrokenError(f"status {answer.status}")
        self._tallies.count("stream_origin_calls")
        self._tallies.count("sent_bytes", len(body), kind="stream-origins")
        found = decode_answer(answer.body)
        if len(found.versions) != len(call.keys):
            raise AnswerBrokenError("not as many answers as questions")
        if len(found.known) not in (0, len(call.services)):
            raise AnswerBrokenError("not as many services as asked for")
        return found

    async def _fetch(self, request: Request) -> Answer:
        """Make a call, on a new connection if the replica has closed the last one since."""
        if self._connection is not None and self._connection.is_open:
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await fetch(self._connection, request, ANSWER_LIMIT_BYTES)
            except AnswerBrokenError:
                pass
        self._drop_connection()
        self._connection = await connect(self._address, CONNECT_TIMEOUT_S)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await fetch(self._connection, request, ANSWER_LIMIT_BYTES)

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


def _told(questions: list[_Question], answer: OriginAnswer) -> Iterator[ReplicaAnswer]:
    """Return what an answer tells to each question."""
    services = dict.fromkeys(question.service for question in questions)
    known = dict(zip(services, map(frozenset, answer.known), strict=False))
    replicas = frozenset(answer.replicas)
    for question, versions in zip(questions, answer.versions, strict=True):
        is_proof = answer.is_settled and question.service in known and bool(replicas)
        told = known.get(question.service, frozenset())
        yield ReplicaAnswer(frozenset(versions), told, replicas, is_proof)


def _settle(future: asyncio.Future, answer: ReplicaAnswer | None) -> None:
    if not future.done():
        future.set_result(answer)
