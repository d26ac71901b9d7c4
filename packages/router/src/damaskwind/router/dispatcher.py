"""Find a target for a request, and another one when the verdict allows it.

A request that certainly did not run may go elsewhere; one that may have run is
sent again only when it is idempotent, and never once a byte was passed on.
"""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple

from twisted.internet.task import deferLater
from twisted.web.iweb import IResponse

from damaskwind.decisions.placement.messages import PlacementQuery, PlacementReason
from damaskwind.model.configuration import ClientAccount, Configuration, PriorityClass
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict, worst_verdict
from damaskwind.router.caller import Caller
from damaskwind.router.explain import AttemptRecord, RequestRecord
from damaskwind.router.target_client import AttemptError
from damaskwind.router.target_directory import TargetDirectory

__all__ = ["Dispatcher", "Placed", "Work"]

_RETRY_BASE_S = 0.025
_RETRY_CAP_S = 1.0
_NO_TARGET_RETRY_S = 2.0
_OVERLOADED_RETRY_S = 1.0


class Work(NamedTuple):
    """A request that wants a target; `deadline_s` is on the monotonic clock."""

    request_id: str
    kind: TargetKind
    account: ClientAccount
    priority: PriorityClass
    query: PlacementQuery
    idempotent: bool
    total_tokens: float
    deadline_s: float
    record: RequestRecord
    caller: Caller


class Placed(NamedTuple):
    """A target that has begun to answer."""

    target: TargetView
    response: IResponse
    started_s: float


Send = Callable[[TargetView], Awaitable[IResponse]]


class Dispatcher:
    """Place requests on targets, count them, and retry by verdict."""

    def __init__(
        self,
        directory: TargetDirectory,
        configuration: Callable[[], Configuration],
        reactor: Any,
        random: Random,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._reactor = reactor
        self._random = random
        self.in_progress = 0

    async def run(self, work: Work, send: Send) -> Placed:
        """Return the target that answers; raise `RefusedError` when none does."""
        failures: list[AttemptError] = []
        excluded: set[str] = set()
        while True:
            target = await self._place(work, frozenset(excluded), failures)
            started_s = self._reactor.seconds()
            self._started(work, target, started_s)
            try:
                response = await send(target)
            except AttemptError as error:
                self._failed(work, target, started_s, error)
                failures.append(error)
                excluded.add(target.target_id)
                self._check_retry(work, failures)
                await deferLater(self._reactor, self._backoff_s(len(failures)))
            else:
                return Placed(target, response, started_s)

    def finish(
        self, work: Work, placed: Placed, verdict: Verdict, reason: str = "", detail: str = ""
    ) -> None:
        """End a request that a target had begun to answer."""
        now_s = self._reactor.seconds()
        done = verdict is Verdict.RAN
        self._directory.placers[work.kind].finished(work.request_id, done, now_s)
        self._note(work, placed.target, placed.started_s, verdict, reason, detail)
        self._directory.room_changed()

    async def _place(
        self, work: Work, excluded: frozenset[str], failures: list[AttemptError]
    ) -> TargetView:
        """Choose a target or refuse."""
        now_s = self._reactor.seconds()
        query = work.query._replace(excluded=excluded)
        choice = self._directory.placers[work.kind].place(query, now_s)
        work.record.chose(choice, now_s)
        target = self._directory.find(choice.target_id) if choice.target_id else None
        if target is not None:
            return target
        verdict = worst_verdict([failure.verdict for failure in failures])
        if choice.reason is PlacementReason.NONE_UNDER_BOUND:
            detail = "every target is at its load bound"
            raise RefusedError(Refusal(Reason.OVERLOADED, verdict, detail, _OVERLOADED_RETRY_S))
        detail = "no live target can serve this request"
        if failures:
            detail = failures[-1].detail
        raise RefusedError(Refusal(Reason.NO_TARGET, verdict, detail, _NO_TARGET_RETRY_S))

    def _started(self, work: Work, target: TargetView, now_s: float) -> None:
        """Count a request that goes to a target now."""
        self._directory.placers[work.kind].started(
            work.request_id,
            target.target_id,
            work.query.chat_digest,
            work.query.need_tokens,
            now_s,
        )

    def _failed(
        self, work: Work, target: TargetView, started_s: float, error: AttemptError
    ) -> None:
        """End an attempt that failed before its answer."""
        now_s = self._reactor.seconds()
        self._directory.placers[work.kind].finished(work.request_id, False, now_s)
        self._note(work, target, started_s, error.verdict, error.reason, error.detail)

    def _check_retry(self, work: Work, failures: list[AttemptError]) -> None:
        """Raise `RefusedError` unless the request may be sent once more."""
        last = failures[-1]
        verdict = worst_verdict([failure.verdict for failure in failures])
        policy = self._configuration().policy
        safe = last.verdict is Verdict.NOT_RUN or work.idempotent
        in_time = self._reactor.seconds() < work.deadline_s
        if safe and in_time and len(failures) < policy.max_attempts and not work.caller.gone:
            return
        raise RefusedError(Refusal(last.reason, verdict, last.detail, last.retry_after_s))

    def _backoff_s(self, attempts: int) -> float:
        """Return a wait with full jitter."""
        return self._random.uniform(0, min(_RETRY_CAP_S, _RETRY_BASE_S * 2**attempts))

    def _note(
        self,
        work: Work,
        target: TargetView,
        started_s: float,
        verdict: Verdict,
        reason: str,
        detail: str,
    ) -> None:
        """Write an attempt into the request's record."""
        record = work.record
        duration_ms = round((self._reactor.seconds() - started_s) * 1000, 2)
        started_ms = record.since_ms(started_s)
        attempt = AttemptRecord(
            target.target_id, started_ms, duration_ms, verdict, str(reason), detail
        )
        record.attempts.append(attempt)
