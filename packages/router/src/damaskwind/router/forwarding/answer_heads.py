"""Record what targets state in the heads of their answers: load, signals and brittleness."""

from damaskwind.decisions.load.held_requests import TargetLoad, parse_target_load
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.target_signals.answer_signals import (
    NO_SIGNALS,
    AnswerSignals,
    parse_brittleness,
    parse_signals,
)
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerHead
from damaskwind.runtime.http1.messages import header

__all__ = ["MISDIRECTED", "AnswerHeads"]

# 421 Misdirected Request: another target answers at the address.
MISDIRECTED = 421


class AnswerHeads:
    """Records the heads of answers in the states of their targets."""

    def __init__(self, target_states: TargetStates, names: HeaderNames) -> None:
        self._target_states = target_states
        self._loads = target_states.loads
        self._names = names

    def record(self, head: AnswerHead, target: TargetRecord) -> AnswerSignals:
        """Record what a target states in the head of an answer; return what it asks for."""
        self._target_states.activity.record_received(target.target_id, read_clock())
        load = self._read_load(head)
        self._target_states.record_speed(target, load)
        return self._read_signals(head, target, load)

    def _read_load(self, head: AnswerHead) -> TargetLoad | None:
        """Return the load that a target reports; a misdirected answer is another target's."""
        if head.status == MISDIRECTED:
            return None
        return parse_target_load(header(head.headers, self._names.target_load))

    def _read_signals(
        self, head: AnswerHead, target: TargetRecord, load: TargetLoad | None
    ) -> AnswerSignals:
        """Record the load and the signals in the head of an answer; return the signals.

        A misdirected answer (421) comes from another target, so its headers are ignored.
        """
        if head.status == MISDIRECTED:
            return NO_SIGNALS
        headers = head.headers
        if load is not None:
            self._target_states.reports_work_time |= load.work_time_percent is not None
            self._loads.observe_report(target.target_id, load, read_clock())
        signals = parse_signals(
            head.status,
            header(headers, b"retry-after"),
            header(headers, self._names.leaving),
            header(headers, b"date"),
        )
        self._target_states.record_signals(target, signals)
        brittleness = parse_brittleness(header(headers, self._names.brittle))
        self._target_states.brittle.observe(target, brittleness)
        return signals
