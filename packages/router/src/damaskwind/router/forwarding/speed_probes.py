"""Ask two targets for their load and speed before a request is sent to one of them."""

import asyncio

from loguru import logger

from damaskwind.decisions.load.held_requests import parse_target_load
from damaskwind.decisions.load.probe_budget import ProbeBudget
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.attempt_outcome import AttemptEnd, AttemptOutcome, Placement
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.health_checks import HealthChecks
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError, ConnectFailedError
from damaskwind.runtime.http1.messages import header
from damaskwind.runtime.tallies import Tallies

__all__ = ["SpeedProbes"]

# Targets answer health checks within 1 ms, a connection to another failure domain takes some ms.
# A request waits no longer than this for a probe.
PROBE_DEADLINE_S = 0.012


class SpeedProbes:
    """The probes of one router."""

    def __init__(self, target_states: TargetStates, names: HeaderNames, tallies: Tallies) -> None:
        self.budget = ProbeBudget()
        self._target_states = target_states
        self._checks = HealthChecks(target_states, names)
        self._names = names
        self._tallies = tallies

    def record_sent(self, call: Call, outcome: AttemptOutcome) -> None:
        """Count a request that was sent to a target of a service that reports its speed."""
        was_sent = outcome.was_reached and outcome.end is not AttemptEnd.WITHHELD
        if was_sent and self._target_states.target_speeds.has_figures(call.service):
            self.budget.count_send()

    async def refresh(self, call: Call, placement: Placement) -> bool:
        """Probe the chosen target and its rival if that is worth it; tell whether it was done.

        Reports that arrive by the deadline count like any other report.
        """
        pair = self._pair(call, placement)
        if not pair:
            return False
        begun_s = read_clock()
        answered = await asyncio.gather(*(self._probe(target) for target in pair))
        for is_answered in answered:
            self._tallies.count("speed_probes", answered=str(is_answered).lower())
        logger.info(
            "targets probed",
            request=call.facts.request_id.decode("latin-1"),
            targets=[target.target_id for target in pair],
            answered=answered,
            start_ms=int(placement.choice.candidate.start_s * 1000),
            took_ms=int((read_clock() - begun_s) * 1000),
        )
        return True

    def _pair(self, call: Call, placement: Placement) -> tuple[TargetRecord, ...]:
        """Return the targets to probe; none if that is not worth it or the budget is spent."""
        start_s = placement.choice.candidate.start_s
        if start_s is None or call.key is None:
            return ()
        if self._target_states.reach.is_relayed(placement.target):
            return ()
        rival = self._target_states.view.targets.record_of(placement.choice.rival_id)
        if rival is None or not self.budget.take(start_s / call.route.objective_s):
            return ()
        return (placement.target, rival)

    async def _probe(self, target: TargetRecord) -> bool:
        """Probe one target; tell whether it reported its load by the deadline."""
        try:
            async with asyncio.timeout(PROBE_DEADLINE_S):
                head, _ = await self._checks.send(target, PROBE_DEADLINE_S)
        except (TimeoutError, ConnectFailedError, AnswerBrokenError):
            return False
        if not self._checks.is_named_by(head, target):
            return False
        load = parse_target_load(header(head.headers, self._names.target_load))
        return load is not None and self._target_states.record_probe(target, load)
