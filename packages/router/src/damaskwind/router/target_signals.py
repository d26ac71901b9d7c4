"""Track the signals that targets send in their answers: requested pauses and leaving.

Engines and plain services use the same signals.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loguru import logger
from twisted.web.iweb import IResponse

from damaskwind.decisions.target_signals.answer_signals import AnswerSignals, parse_signals
from damaskwind.decisions.target_signals.signal_table import SignalTable, TargetSignal
from damaskwind.model.targets import TargetView

__all__ = ["TargetSignalTracker", "parse_response_signals"]

_LEAVING = b"x-leaving"


class _Incarnation(NamedTuple):
    """One incarnation of a target."""

    target_id: str
    incarnation: int


def _incarnation(view: TargetView) -> _Incarnation:
    return _Incarnation(view.target_id, view.incarnation)


def _first_header(response: IResponse, name: bytes) -> bytes | None:
    """Return the first value of a header."""
    return response.headers.getRawHeaders(name, [None])[0]


def parse_response_signals(response: IResponse) -> AnswerSignals:
    """Return the signals in the head of an answer."""
    return parse_signals(
        response.code,
        _first_header(response, b"retry-after"),
        _first_header(response, _LEAVING),
        _first_header(response, b"date"),
    )


class TargetSignalTracker:
    """The current signals of all targets; `find` returns a live target by its id."""

    def __init__(self, find: Callable[[str], TargetView | None], clock: Any) -> None:
        self._find = find
        self._clock = clock
        self._table = SignalTable()

    def observe(self, view: TargetView, signals: AnswerSignals) -> None:
        """Record the signals of one answer."""
        new = self._table.observe(_incarnation(view), signals, self._clock.seconds())
        if new is not TargetSignal.NOTHING:
            logger.info(
                "target asks",
                target=view.target_id,
                service=view.service,
                wish=new.value,
                rest_s=round(signals.rest_s, 3),
                incarnation=view.incarnation,
            )

    def signal(self, view: TargetView) -> TargetSignal:
        """Return the signal of a target that is in effect now."""
        return self._table.signal(_incarnation(view), self._clock.seconds())

    def paused_or_leaving(self) -> frozenset[str]:
        """Return the live targets that asked for no new requests, by a pause or by leaving."""
        incarnations = self._table.active(self._clock.seconds()) if self._table else ()
        return frozenset(
            incarnation.target_id for incarnation in incarnations if self._is_live(incarnation)
        )

    def pause_left_s(self, views: Iterable[TargetView]) -> float | None:
        """Return the seconds until the first requested pause of these targets ends."""
        incarnations = [_incarnation(view) for view in views]
        return self._table.pause_left_s(incarnations, self._clock.seconds())

    def _is_live(self, incarnation: _Incarnation) -> bool:
        view = self._find(incarnation.target_id)
        return view is not None and _incarnation(view) == incarnation
