"""Send an overdue request to a second target; the first answer that is accepted is delivered.

A stream is accepted when it begins, another answer when it is whole: until then the other
attempt may still be needed. The attempts run as two tasks. The one whose answer is accepted
first cancels the other before any of it is forwarded, so that two answers never mix: a
canceled attempt closes its connection and forwards nothing.
"""

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from functools import partial

from loguru import logger

from damaskwind.decisions.retries.hedging import (
    MAX_STREAM_OVERLAP_S,
    HedgeBudget,
    HedgeRefusal,
    HedgeSituation,
    OverdueDelay,
    StartTimes,
    find_target_refusal,
    refuse_hedge,
)
from damaskwind.decisions.retries.shared_budget import SharedRetryBudget
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome, Placement
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.recorded_sends import RecordedSends
from damaskwind.router.forwarding.service_throttles import ServiceThrottles
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.target_choice import TargetChooser
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.tallies import Tallies

__all__ = ["HedgedSends"]

# 503 Service Unavailable: the target refuses the request.
UNAVAILABLE = 503

# If both attempts fail, the request ends with the first of these: what was answered, then
# what may have run, then what has not run.
_PRECEDENCE = (
    AttemptEnd.DELIVERED,
    AttemptEnd.TARGET_ERROR,
    AttemptEnd.BROKEN,
    AttemptEnd.STALLED,
    AttemptEnd.CALLED_BACK,
    AttemptEnd.NOT_RUN,
    AttemptEnd.WITHHELD,
    AttemptEnd.HELD,
)


class _Attempt:
    """One attempt of a race."""

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self.begun_s = read_clock()
        self.task: asyncio.Task[AttemptOutcome] | None = None


class _Race:
    """The attempts of one request; `winner` is the one whose answer was accepted first.

    `on_answer_started` is called with the winner and its time to start, `on_superseded` with an
    attempt that is canceled in favor of the other one.
    """

    def __init__(
        self,
        call: Call,
        start: Callable[..., asyncio.Task[AttemptOutcome]],
        on_answer_started: Callable[[Call, _Attempt, float], None],
        on_superseded: Callable[[Call, _Attempt], None],
    ) -> None:
        self.call = call
        self.attempts: list[_Attempt] = []
        self.winner: _Attempt | None = None
        self._start = start
        self._on_answer_started = on_answer_started
        self._on_superseded = on_superseded

    @property
    def tasks(self) -> list[asyncio.Task[AttemptOutcome]]:
        """Return the tasks of the attempts, the first one first."""
        return [attempt.task for attempt in self.attempts]

    def start(self, placement: Placement) -> None:
        """Begin an attempt."""
        attempt = _Attempt(placement)
        self.attempts.append(attempt)
        attempt.task = self._start(placement, partial(self._accept, attempt))

    def supersede(self, attempt: _Attempt) -> None:
        """Cancel an attempt that is in progress."""
        if attempt.task.done():
            return
        self.call.superseded_targets.add(attempt.placement.target.target_id)
        attempt.task.cancel()
        self._on_superseded(self.call, attempt)

    async def wait(self, timeout_s: float | None, return_when: str = asyncio.ALL_COMPLETED) -> None:
        """Wait until the attempts have ended, or for `timeout_s`."""
        await asyncio.wait(self.tasks, timeout=timeout_s, return_when=return_when)

    def outcome(self) -> AttemptOutcome:
        """Return the outcome of the race once all attempts have ended."""
        ended = [task for task in self.tasks if not task.cancelled()]
        if not ended:
            return AttemptOutcome(AttemptEnd.BROKEN, "all attempts were canceled")
        outcomes = [task.result() for task in ended if task.exception() is None]
        if not outcomes:
            return ended[0].result()
        outcome = min(outcomes, key=lambda outcome: _PRECEDENCE.index(outcome.end))
        was_refused = outcome.end is AttemptEnd.NOT_RUN and outcome.was_reached
        if was_refused and len(ended) < len(self.tasks):
            # Only a request that certainly has not run may exceed the attempts of its route.
            return outcome._replace(end=AttemptEnd.STALLED)
        is_refusal = outcome.answer is not None and outcome.answer.status == UNAVAILABLE
        if is_refusal and self.call.possible_runs > 1:
            # Callers take it as a promise that the request has not run at the other target either.
            return outcome._replace(end=AttemptEnd.BROKEN, answer=None)
        return outcome

    async def close(self) -> None:
        """Cancel what is still in progress, and wait until its connections are closed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _accept(self, attempt: _Attempt, first_s: float) -> None:
        """Let an attempt deliver its answer, and cancel the other one."""
        if self.winner is not None or attempt.task.cancelling():
            raise asyncio.CancelledError
        self.winner = attempt
        self._on_answer_started(self.call, attempt, first_s)
        for other in self.attempts:
            if other is not attempt:
                self.supersede(other)


class HedgedSends:
    """The sends of one router, of which overdue ones are made at a second target too.

    Second sends are made only after some target has reported how long work takes there.
    """

    def __init__(
        self,
        sends: RecordedSends,
        chooser: TargetChooser,
        admissions: PoolAdmissions,
        throttles: ServiceThrottles,
        target_states: TargetStates,
        retry_budget: Callable[[str], SharedRetryBudget],
        tallies: Tallies,
    ) -> None:
        self.in_progress = 0
        # Bounds the large bodies at each target; `None` where they are not bounded.
        self.target_bodies: TargetBodies | None = None
        self._sends = sends
        self._chooser = chooser
        self._admissions = admissions
        self._throttles = throttles
        self._target_states = target_states
        self._retry_budget = retry_budget
        self._tallies = tallies
        self._start_times = StartTimes()
        self._budgets: dict[str, HedgeBudget] = {}
        self._was_enabled = False

    @property
    def is_enabled(self) -> bool:
        """Return whether overdue requests are sent to a second target."""
        return self._target_states.reports_work_time

    async def send(
        self, exchange: Exchange, call: Call, delivery: Delivery, placement: Placement
    ) -> AttemptOutcome:
        """Make one attempt at a target, and a second one elsewhere if it is overdue."""
        if not self._may_become_overdue(call, delivery):
            return await self._sends.send(exchange, call, delivery, placement)

        def start(where: Placement, accept: Callable[[float], None]) -> asyncio.Task:
            attempt = self._sends.send(exchange, call, delivery, where, accept)
            return asyncio.ensure_future(attempt)

        race = _Race(call, start, self._record_started, self._record_superseded)
        try:
            race.start(placement)
            await self._run(race, len(exchange.request.body))
            return race.outcome()
        finally:
            await race.close()

    async def _run(self, race: _Race, size_bytes: int) -> None:
        """Wait for the first attempt, begin the second one if it is overdue, and await both."""
        call = race.call
        overdue = self._start_times.overdue_delay(
            call.route.name, call.route.objective_s, read_clock()
        )
        await race.wait(overdue.delay_s)
        if last_woken_s() > race.attempts[0].begun_s:
            # What arrived while this process was suspended is still unread.
            await race.wait(overdue.delay_s)
        if race.winner is None and not race.tasks[0].done():
            second = self._place_second(call, race.attempts[0], overdue, size_bytes)
            if second is not None:
                with self._body_in_hand(second, size_bytes):
                    await self._run_second(race, second)
        await race.wait(None)

    async def _run_second(self, race: _Race, placement: Placement) -> None:
        """Make a second attempt while the first one is in progress."""
        race.call.begin_second(placement.target.target_id)
        self.in_progress += 1
        try:
            race.start(placement)
            if race.call.route.kind is RouteKind.STREAMING:
                await race.wait(MAX_STREAM_OVERLAP_S, asyncio.FIRST_COMPLETED)
                if race.winner is None:
                    self._end_overlap(race)
            await race.wait(None)
        finally:
            self.in_progress -= 1
            self._record_race(race)

    def _end_overlap(self, race: _Race) -> None:
        """Cancel the first attempt if both are in progress.

        It is the one that is overdue. The second one may use all of the remaining time, which
        helps if the first target has stopped to answer.
        """
        if not any(task.done() for task in race.tasks):
            race.supersede(race.attempts[0])

    def _may_become_overdue(self, call: Call, delivery: Delivery) -> bool:
        """Return whether a request may be sent to two targets at once."""
        if not self.is_enabled or self._target_states.brittle.is_brittle(call.service):
            return False
        if not self._was_enabled:
            self._was_enabled = True
            logger.info("second sends enabled", service=call.service)
        route = call.route
        has_attempts = call.sends + 2 <= route.max_attempts
        return route.may_repeat and has_attempts and not delivery.has_begun

    def _body_in_hand(self, placement: Placement, size_bytes: int) -> AbstractContextManager[None]:
        """Count a body as in hand at its target while the attempt is made there."""
        if self.target_bodies is None:
            return nullcontext()
        return self.target_bodies.sending(placement.target.target_id, size_bytes)

    def _find_target_refusal(
        self, placement: Placement | None, size_bytes: int
    ) -> HedgeRefusal | None:
        """Return why the chosen target gets no second send, or `None` if it may get one."""
        if placement is None:
            return HedgeRefusal.NO_TARGET
        bodies, target_id = self.target_bodies, placement.target.target_id
        if bodies is not None and not bodies.may_send(target_id, size_bytes):
            return HedgeRefusal.POOL_SHORT
        return find_target_refusal(placement.choice.candidate)

    def _place_second(
        self, call: Call, first: _Attempt, overdue: OverdueDelay, size_bytes: int
    ) -> Placement | None:
        """Return where an overdue request is sent a second time, `None` if it is not."""
        situation = self._situation(call)
        refusal, placement = refuse_hedge(situation), None
        if refusal is None:
            placement = self._chooser.choose(call)
            refusal = self._find_target_refusal(placement, size_bytes)
        if refusal is None and not self._budget(call.service).take(read_clock()):
            refusal = HedgeRefusal.BUDGET
        if refusal is not None:
            self._tallies.count("second_sends_withheld", why=refusal.value)
        self._log_decision(call, first, placement, overdue, situation, refusal)
        return placement if refusal is None else None

    def _situation(self, call: Call) -> HedgeSituation:
        """Return an overdue request and its pool as the decision needs them."""
        state = self._admissions.pool_state(call.service)
        share = 1.0 if call.key is not None else self._throttles.admitted_share(call.service)
        return HedgeSituation(
            call.left_s(),
            self._target_states.suspicions.is_suspected(call),
            state.queued,
            state.headroom,
            state.start_fraction,
            share,
        )

    def _budget(self, service: str) -> HedgeBudget:
        """Return this router's budget of second sends to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = HedgeBudget(self._retry_budget(service))
        return budget

    def _record_started(self, call: Call, attempt: _Attempt, first_s: float) -> None:
        """Learn the start time of a first attempt."""
        if attempt.placement.target.target_id != call.second_target:
            self._start_times.record(call.route.name, first_s, read_clock())

    def _record_superseded(self, call: Call, attempt: _Attempt) -> None:
        """Learn from a canceled first attempt that its answer takes longer than this."""
        target = attempt.placement.target
        if target.target_id == call.second_target:
            return
        now_s = read_clock()
        waited_s = now_s - attempt.begun_s
        self._start_times.record(call.route.name, waited_s, now_s)
        self._target_states.record_overdue(
            target, waited_s / call.route.objective_s, now_s, call.key is not None
        )

    def _record_race(self, race: _Race) -> None:
        """Count and log which attempt was answered first."""
        first, second = race.attempts
        outcomes = {first: "first answered", second: "second answered"}
        outcome = outcomes.get(race.winner, "none answered")
        self._tallies.count("second_sends", outcome=outcome)
        logger.info(
            "second send ended",
            request=race.call.facts.request_id.decode("latin-1"),
            outcome=outcome,
            first=first.placement.target.target_id,
            second=second.placement.target.target_id,
            took_ms=int((read_clock() - second.begun_s) * 1000),
        )

    def _log_decision(
        self,
        call: Call,
        first: _Attempt,
        placement: Placement | None,
        overdue: OverdueDelay,
        situation: HedgeSituation,
        refusal: HedgeRefusal | None,
    ) -> None:
        """Log whether an overdue request is sent again, with the inputs of the decision."""
        now_s = read_clock()
        load_age_s = None
        if placement is not None:
            target_id = placement.target.target_id
            is_engine = call.key is not None
            load_age_s = self._target_states.loads.basis(target_id, now_s, is_engine).age_s
        logger.info(
            "second send withheld" if refusal else "second send",
            request=call.facts.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service,
            why=refusal.value if refusal else "overdue",
            first=first.placement.target.target_id,
            second=placement.target.target_id if placement else "",
            load=round(placement.choice.candidate.load, 1) if placement else None,
            load_age_s=load_age_s,
            waited_ms=int((now_s - first.begun_s) * 1000),
            overdue_ms=int(overdue.delay_s * 1000),
            learned_from=overdue.learned_from,
            queued=situation.queued,
            headroom=situation.headroom,
            start_fraction=round(situation.start_fraction, 2),
            admitted_share=round(situation.admitted_share, 2),
            left_ms=int(situation.left_s * 1000),
        )
