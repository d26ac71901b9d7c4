"""Know which software version of a service began a stream, at any router."""

from enum import StrEnum
from itertools import count
from math import isfinite
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.streams.origin_table import attempt_key, content_key
from damaskwind.router.forwarding.call import Call, shown_event_id
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.origin_link import BegunStream
from damaskwind.router.forwarding.origin_relay import Asked
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["OriginSource", "OriginVerdict", "StreamOrigins"]

# A caller takes a stream up some seconds after its deadline at most: the time that a refusal
# asks it to wait, and what its own reaction takes.
MARGIN_S = 5.0
# A replica that restarts, or that is reached again, is heard within about a second.
RETRY_AFTER_S = 1.0
# One line in this time tells of streams that were not written down, with their number.
LOG_INTERVAL_S = 10.0


class OriginSource(StrEnum):
    """How the version of a stream became known."""

    HERE = "here"
    REPLICAS = "replicas"
    ONLY_VERSION = "only version"
    NONE = "none"


class OriginVerdict(NamedTuple):
    """At which version a stream may go on.

    It may go on anywhere if `version` is `None` and `is_refused` is not set. A stream that is
    refused may be tried again after `retry_after_s`; `None` means that a retry is of no use.
    """

    version: str | None = None
    is_refused: bool = False
    why: str = ""
    retry_after_s: float | None = None


ANYWHERE = OriginVerdict()
_NOBODY_ASKED = Asked(frozenset())
# The targets that a router learns of while the stream waits may run any version.
_NO_TARGET_YET = OriginVerdict(None, True, "no target of the service is known yet", RETRY_AFTER_S)


class StreamOrigins:
    """What one router knows of the versions that began streams."""

    def __init__(self, view: FleetView, tallies: Tallies | None = None) -> None:
        self._view = view
        self._relay = view.origins
        self._tallies = Tallies() if tallies is None else tallies
        self._relay.tallies = self._tallies
        self._sequences = count(1)
        self._unconfirmed = 0
        self._logged_s = float("-inf")

    async def record(self, call: Call, target: TargetRecord) -> bool:
        """Record the version that begins a stream, before its first event is forwarded.

        Return whether another version may still be on record, from an attempt before.

        It is written down also while one version of the service is known: all routers may end at
        once, and another version may serve when they are back. A stream that is taken up is
        recorded under the attempt that brought its first event as well.
        """
        versions = self._relay.known_versions(call.service) | {target.version}
        if versions == {""}:
            return False
        facts = call.facts
        keys = [attempt_key(call.service, facts.request_id)] if facts.request_id else []
        if facts.resumes:
            keys.append(attempt_key(call.service, facts.resumes))
        keys.append(content_key(call.service, call.digest))
        stream = BegunStream(
            call.service,
            tuple(dict.fromkeys(keys)),
            target.version,
            self._relay.writer_base + call.number % (1 << 32),
            next(self._sequences),
            call.deadline_s + MARGIN_S,
        )
        self._relay.keep(stream)
        started_s = read_clock()
        is_confirmed = await self._relay.write_down(stream)
        took_s = read_clock() - started_s
        self._tallies.observe("stream_write", took_s)
        self._tallies.count("streams_written", outcome="confirmed" if is_confirmed else "late")
        if not is_confirmed:
            self._log_unconfirmed(call, took_s)
        return not await self._relay.is_replaced(stream)

    async def resolve(self, call: Call) -> OriginVerdict:
        """Return at which version a stream that is taken up may go on."""
        started_s = read_clock()
        known = self._relay.known_versions(call.service)
        if not known:
            return ANYWHERE if any(self._view.serving(call.service)) else _NO_TARGET_YET
        verdict, source, asked = await self._find(call, known)
        outcome = "refused" if verdict.is_refused else "found"
        self._tallies.count("streams_taken_up", source=source, outcome=outcome)
        logger.info(
            "stream taken up",
            request_id=call.facts.request_id.decode("latin-1"),
            resumes=(call.facts.resumes or b"").decode("latin-1"),
            after=shown_event_id(call.facts.resume_after),
            software=verdict.version,
            source=source.value,
            known=sorted(known),
            answered=asked.answered,
            replicas=asked.replicas,
            is_proof=asked.is_proof,
            told=sorted(asked.known),
            news_age_ms=self._news_age_ms(),
            took_ms=round((read_clock() - started_s) * 1000, 1),
            retry_after_s=verdict.retry_after_s,
            outcome=verdict.why or outcome,
        )
        return verdict

    def _news_age_ms(self) -> tuple[int, ...]:
        """Return how long ago each replica was last heard, -1 for never."""
        ages_s = self._view.news_ages_s()
        return tuple(int(age_s * 1000) if isfinite(age_s) else -1 for age_s in ages_s)

    async def _find(
        self, call: Call, known: frozenset[str]
    ) -> tuple[OriginVerdict, OriginSource, Asked]:
        """Look for the version here, then at the replicas, then in what is known."""
        resumes = call.facts.resumes
        if resumes:
            key = attempt_key(call.service, resumes)
        else:
            key = content_key(call.service, call.digest)
        here = self._relay.table.versions(key, read_clock())
        if resumes and len(here) == 1:
            return OriginVerdict(*here), OriginSource.HERE, _NOBODY_ASKED
        asked = await self._relay.ask(key, call.service, is_named=bool(resumes))
        found = here | asked.versions
        if not found:
            return *_judge_unknown(known, asked), asked
        if len(found) > 1:
            why = "several versions may have begun the stream"
            return OriginVerdict(is_refused=True, why=why), OriginSource.NONE, asked
        if not resumes and not asked.is_proof:
            # Another stream of the same content may have begun at another version.
            why = "not all replicas have answered which version began the stream"
            return OriginVerdict(None, True, why, RETRY_AFTER_S), OriginSource.NONE, asked
        return _judge_found(found, known, asked), OriginSource.REPLICAS, asked

    def _log_unconfirmed(self, call: Call, took_s: float) -> None:
        self._unconfirmed += 1
        now_s = read_clock()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        logger.warning(
            "stream not written down in time",
            request_id=call.facts.request_id.decode("latin-1"),
            service=call.service,
            took_ms=round(took_s * 1000, 1),
            streams=self._unconfirmed,
        )
        self._logged_s, self._unconfirmed = now_s, 0


def _judge_found(found: frozenset[str], known: frozenset[str], asked: Asked) -> OriginVerdict:
    """Return the verdict on a stream whose version is on record."""
    if found <= known or not found <= asked.known:
        return OriginVerdict(*found)
    why = "no target of the version that began the stream is known yet"
    return OriginVerdict(None, True, why, RETRY_AFTER_S)


def _judge_unknown(known: frozenset[str], asked: Asked) -> tuple[OriginVerdict, OriginSource]:
    """Return the verdict on a stream that nobody who answered has written down.

    Such a stream went on without a record, or the replicas have lost it. It goes on at the only
    version that this router and all replicas know, of which they told after it was taken up.
    """
    versions = known | asked.known
    if len(versions) > 1:
        why = "the version that began the stream is not known"
        has_all = asked.answered >= asked.replicas > 0
        retry_after_s = None if has_all else RETRY_AFTER_S
        return OriginVerdict(None, True, why, retry_after_s), OriginSource.NONE
    if asked.is_proof:
        return OriginVerdict(*versions), OriginSource.ONLY_VERSION
    why = "not all replicas have answered, and the version that began the stream is not known"
    return OriginVerdict(None, True, why, RETRY_AFTER_S), OriginSource.NONE
