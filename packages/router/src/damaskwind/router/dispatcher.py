"""Send a request to a target and retry it elsewhere when the verdict allows it.

A request that certainly did not run may be sent to another target. One that may
have run is retried only if it is idempotent, and never after a byte of the answer
was forwarded to the caller.
"""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple

from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater
from twisted.web.iweb import IResponse

from damaskwind.decisions.retries.budget import RetryBudget
from damaskwind.decisions.retries.decision import RetryPolicy, decide_retry
from damaskwind.model.configuration import Policy
from damaskwind.model.exception import RefusedError
from damaskwind.model.targets import TargetKind, TargetView
from damaskwind.model.verdict import Refusal, Verdict, worst_verdict
from damaskwind.router.account_limits import AccountLimits
from damaskwind.router.explain import AttemptRecord
from damaskwind.router.placing import Placing
from damaskwind.router.target_client import AttemptError
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.target_signals import TargetSignalTracker, parse_response_signals
from damaskwind.router.work import WorkItem

__all__ = ["Dispatcher", "TargetAnswer"]

Send = Callable[[TargetView], Awaitable[IResponse]]


class TargetAnswer(NamedTuple):
    """A target that started to answer, with the head of its response."""

    target: TargetView
    response: IResponse
    started_s: float


class Dispatcher:
    """Place requests, send them, and retry them by verdict within the retry budget."""

    def __init__(
        self,
        placing: Placing,
        limits: AccountLimits,
        health: TargetHealth,
        signals: TargetSignalTracker,
        reactor: Any,
        random: Random,
    ) -> None:
        self._placing = placing
        self._limits = limits
        self._health = health
        self._signals = signals
        self._reactor = reactor
        self._random = random
        self._policy = RetryPolicy()
        self._budgets = {kind: RetryBudget(Policy().retry_share) for kind in TargetKind}
        self.on_attempt_ended: Callable[[WorkItem, Verdict, str], None] = lambda *ignored: None

    def set_policy(self, policy: Policy) -> None:
        """Apply a confirmed policy."""
        self._policy = RetryPolicy(max_attempts=policy.max_attempts)
        for budget in self._budgets.values():
            budget.share = policy.retry_share

    async def run(self, work: WorkItem, send: Send) -> TargetAnswer:
        """Return the answer of a target; raise `RefusedError` when no target answers.

        The caller must pass the returned answer to `finish` when the request ends.
        """
        await self._limits.admit(work)
        try:
            return await self._try_targets(work, send)
        except BaseException:
            self._limits.release(work, 0)
            raise

    async def _try_targets(self, work: WorkItem, send: Send) -> TargetAnswer:
        """Try targets one after the other until one answers."""
        self._budgets[work.kind].count_request(self._reactor.seconds())
        failures: list[AttemptError] = []
        tried: frozenset[str] = frozenset()
        while True:
            target = await self._place(work, tried, failures)
            started_s = self._reactor.seconds()
            try:
                response = await send(target)
            except AttemptError as error:
                self._signals.observe(target, error.signals)
                self._record_failure(work, target, started_s, error)
                failures.append(error)
                tried |= {target.target_id}
                await deferLater(self._reactor, self._retry_delay_s(work, failures))
            except BaseException:
                self._placing.end(work, target, False)
                raise
            else:
                self._signals.observe(target, parse_response_signals(response))
                return TargetAnswer(target, response, started_s)

    def finish(
        self,
        work: WorkItem,
        answer: TargetAnswer,
        verdict: Verdict,
        reason: str = "",
        detail: str = "",
        used_tokens: int | None = None,
    ) -> None:
        """End a request that a target started to answer, and record its result."""
        self._limits.release(work, used_tokens)
        self._placing.end(work, answer.target, verdict is Verdict.RAN)
        if not work.caller.gone:
            self._health.observe(answer.target, verdict is Verdict.RAN)
        self._record_attempt(work, answer.target, answer.started_s, verdict, reason, detail)

    async def _place(
        self, work: WorkItem, tried: frozenset[str], failures: list[AttemptError]
    ) -> TargetView:
        """Choose a target.

        If that fails after earlier attempts, the refusal carries the verdict of those attempts.
        """
        try:
            return await self._placing.place(work, tried)
        except (RefusedError, CancelledError) as error:
            if not failures:
                raise
            refusal = self._refusal(failures)
            if isinstance(error, RefusedError):
                refusal = refusal._replace(retry_after_s=error.refusal.retry_after_s)
            raise RefusedError(refusal) from error

    def _record_failure(
        self, work: WorkItem, target: TargetView, started_s: float, error: AttemptError
    ) -> None:
        """Record an attempt that failed before its answer started."""
        self._placing.end(work, target, False)
        if error.suspect and not work.caller.gone:
            self._health.observe(target, False)
        self._record_attempt(work, target, started_s, error.verdict, error.reason, error.detail)

    def _retry_delay_s(self, work: WorkItem, failures: list[AttemptError]) -> float:
        """Return the delay before the next attempt; raise `RefusedError` if none is allowed."""
        last = failures[-1]
        if work.caller.gone or last.final:
            raise RefusedError(self._refusal(failures))
        now_s = self._reactor.seconds()
        decision = decide_retry(
            last.verdict,
            work.idempotent,
            0,
            len(failures),
            work.deadline_s,
            now_s,
            self._budgets[work.kind],
            self._policy,
            self._random,
        )
        work.record.add_event(f"retry: {decision.reason}", now_s)
        if not decision.retry:
            raise RefusedError(self._refusal(failures))
        return decision.delay_s

    def _refusal(self, failures: list[AttemptError]) -> Refusal:
        """Return the refusal of a request whose attempts failed, with the worst verdict."""
        last = failures[-1]
        verdict = worst_verdict([failure.verdict for failure in failures])
        return Refusal(last.reason, verdict, last.detail, last.retry_after_s)

    def _record_attempt(
        self,
        work: WorkItem,
        target: TargetView,
        started_s: float,
        verdict: Verdict,
        reason: str,
        detail: str,
    ) -> None:
        """Add an attempt to the request's record and to the metrics."""
        record = work.record
        duration_ms = round((self._reactor.seconds() - started_s) * 1000, 2)
        started_ms = record.elapsed_ms(started_s)
        record.attempts.append(
            AttemptRecord(target.target_id, started_ms, duration_ms, verdict, str(reason), detail)
        )
        self.on_attempt_ended(work, verdict, str(reason))
