"""Keep what targets of this router asked for in their answers, chats and calls alike."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loguru import logger
from twisted.web.iweb import IResponse

from damaskwind.decisions.target_signals.answer_signals import AnswerSignals, parse_signals
from damaskwind.decisions.target_signals.signal_table import SignalTable, TargetSignal
from damaskwind.model.targets import TargetView

__all__ = ["TargetWishes", "said_in"]

_LEAVING = b"x-leaving"


class _Life(NamedTuple):
    """One life of a target."""

    target_id: str
    incarnation: int


def _life(view: TargetView) -> _Life:
    return _Life(view.target_id, view.incarnation)


def _first(response: IResponse, name: bytes) -> bytes | None:
    """Return the first value of a header."""
    return response.headers.getRawHeaders(name, [None])[0]


def said_in(response: IResponse) -> AnswerSignals:
    """Return what the head of an answer asks for."""
    return parse_signals(
        response.code,
        _first(response, b"retry-after"),
        _first(response, _LEAVING),
        _first(response, b"date"),
    )


class TargetWishes:
    """The wishes of all targets; `find` returns a live target by its id."""

    def __init__(self, find: Callable[[str], TargetView | None], clock: Any) -> None:
        self._find = find
        self._clock = clock
        self._words = SignalTable()

    def hear(self, view: TargetView, said: AnswerSignals) -> None:
        """Take what a target said in an answer."""
        new = self._words.observe(_life(view), said, self._clock.seconds())
        if new is not TargetSignal.NOTHING:
            logger.info(
                "target asks",
                target=view.target_id,
                service=view.service,
                wish=new.value,
                rest_s=round(said.rest_s, 3),
                incarnation=view.incarnation,
            )

    def of(self, view: TargetView) -> TargetSignal:
        """Return what a target wants now."""
        return self._words.signal(_life(view), self._clock.seconds())

    def barred(self) -> frozenset[str]:
        """Return the live targets that want no new requests now."""
        lives = self._words.active(self._clock.seconds()) if self._words else ()
        return frozenset(life.target_id for life in lives if self._is_live(life))

    def rest_left_s(self, views: Iterable[TargetView]) -> float | None:
        """Return the seconds until the first of these targets that rest has rested."""
        lives = [_life(view) for view in views]
        return self._words.rest_left_s(lives, self._clock.seconds())

    def _is_live(self, life: _Life) -> bool:
        view = self._find(life.target_id)
        return view is not None and _life(view) == life
