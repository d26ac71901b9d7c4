"""Wait for the head and the data of an answer; leave a silent target once another is in hand.

A target may be silent for a second and go on, so an overdue attempt keeps its connection until
its replacement is in hand (see `replacements`). It reads on meanwhile: if the answer goes on
first, the attempt does too.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple, TypeVar

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.exception import DamaskwindError
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.replacement_searches import Search
from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.target_paths import TargetPath
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.clock_loop import last_woken_s
from damaskwind.runtime.http1.client import AnswerHead, ClientConnection

__all__ = ["AnswerWaits", "ReplacedError", "WaitingAttempt"]

# A repeatable request is overdue after this many latency objectives if its target
# has been silent on all connections.
UNRESPONSIVE_OBJECTIVES = 1.5
UNRESPONSIVE_MIN_S = 0.8
# A request is also overdue after this many objectives if only this request is kept waiting.
STALL_OBJECTIVES = 4.0
STALL_MIN_S = 1.2
# The same between two events of a stream, in multiples of the route's gap objective, the
# pause that users accept.
STALL_GAPS = 4.0
STALL_GAP_MIN_S = 0.8
# A request that has waited for its target for this long when the path is found to be cut was
# most likely lost on it.
CUT_SILENCE_S = 0.05

_T = TypeVar("_T")


class ReplacedError(DamaskwindError):
    """An overdue attempt is given up, since what takes its place is in hand."""


class WaitingAttempt(NamedTuple):
    """An attempt that waits for its target; its request's body has `body_bytes`."""

    path: TargetPath
    connection: ClientConnection
    call: Call
    target: TargetRecord
    delivery: Delivery
    body_bytes: int


def _has_attempts_left(call: Call) -> bool:
    """Tell whether a target may be given up on for another one.

    A second send that began after this attempt may have used the last one.
    """
    return call.sends < call.route.max_attempts


class AnswerWaits:
    """The waits of one router's attempts for what their targets send."""

    def __init__(self, target_states: TargetStates, replacements: Replacements) -> None:
        self._target_states = target_states
        self._activity = target_states.activity
        self._replacements = replacements

    async def read_head(
        self, attempt: WaitingAttempt, reading: Coroutine[None, None, AnswerHead]
    ) -> AnswerHead:
        """Return the head that `reading` returns; raise `ReplacedError` if the attempt is left.

        It is overdue if the target is silent on all connections, if this request alone is kept
        waiting, or if the path to the service is found to be cut while the target is silent.
        """
        route, target = attempt.call.route, attempt.target
        stall_s = max(STALL_OBJECTIVES * route.objective_s, STALL_MIN_S)
        unresponsive_s = max(UNRESPONSIVE_OBJECTIVES * route.objective_s, UNRESPONSIVE_MIN_S)
        cut = None if attempt.path.via else self._target_states.reach.cut_of(target.service)
        begun_s = read_clock()

        def overdue_s() -> float:
            now_s, woken_s = read_clock(), last_woken_s()
            silent_s = self._activity.silent_s(target.target_id, now_s, woken_s)
            is_cut = cut is not None and cut.done() and silent_s > CUT_SILENCE_S
            if is_cut or silent_s > UNRESPONSIVE_MIN_S:
                return silent_s
            waited_s = now_s - max(begun_s, woken_s)
            return waited_s if waited_s > stall_s else 0.0

        return await self._read(attempt, reading, overdue_s, unresponsive_s, cut)

    async def read_data(self, attempt: WaitingAttempt) -> bytes | None:
        """Return the next piece of a stream; raise `ReplacedError` if the attempt is left.

        After this process was suspended, data that arrived in that time is read before the target
        counts as silent.
        """
        gap_s = max(STALL_GAPS * attempt.call.route.gap_objective_s, STALL_GAP_MIN_S)
        begun_s = read_clock()
        try:
            async with asyncio.timeout(gap_s):
                return await attempt.connection.read_data()
        except TimeoutError:
            # The timeout is of this wait, so a deadline that passes isn't handled here.
            pass

        def overdue_s() -> float:
            silent_s = read_clock() - max(begun_s, last_woken_s())
            return silent_s if silent_s >= gap_s else 0.0

        return await self._read(attempt, attempt.connection.read_data(), overdue_s, 0.0)

    async def _read(
        self,
        attempt: WaitingAttempt,
        reading: Coroutine[None, None, _T],
        overdue_s: Callable[[], float],
        limit_s: float,
        cut: asyncio.Future[None] | None = None,
    ) -> _T:
        """Return what is read; from `limit_s` or a cut on, look for a replacement.

        `overdue_s` returns for how long the target has been silent, 0 while it isn't overdue.
        """
        task = asyncio.ensure_future(reading)
        try:
            events = [task] if cut is None else [task, cut]
            await asyncio.wait(events, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                await self._replace(attempt, task, overdue_s)
            return task.result()
        finally:
            task.cancel()

    async def _replace(
        self, attempt: WaitingAttempt, reading: asyncio.Task[_T], overdue_s: Callable[[], float]
    ) -> None:
        """Wait for what is read; raise `ReplacedError` once a replacement is in hand before."""
        call = attempt.call

        def silent_s() -> float:
            # Bytes that have arrived are read before the attempt is given up.
            may_leave = _has_attempts_left(call) and attempt.delivery.can_go_on
            return overdue_s() if may_leave and not reading.done() else 0.0

        search = Search(call, attempt.target, attempt.body_bytes, silent_s, attempt.path.via)
        search.has_begun = attempt.delivery.has_begun
        self._replacements.begin(search)
        is_left = False
        try:
            await asyncio.wait([reading, search.found], return_when=asyncio.FIRST_COMPLETED)
            is_left = not reading.done()
        finally:
            self._replacements.end(search)
            if search.has_taken and not is_left:
                self._replacements.release(call)
        if is_left:
            self._log_given_up(attempt)
            raise ReplacedError

    def _log_given_up(self, attempt: WaitingAttempt) -> None:
        """Log an attempt that is given up for silence, and what takes its place."""
        call, target_id = attempt.call, attempt.target.target_id
        now_s = read_clock()
        silent_s = self._activity.silent_s(target_id, now_s, last_woken_s())
        heard_s = attempt.connection.last_received_s
        known = self._target_states.view.targets.record_of(target_id)
        heartbeat_s = self._target_states.view.targets.last_seen_s(target_id) if known else None
        taken = call.replacement
        logger.info(
            "attempt given up",
            request=call.facts.request_id.decode("latin-1"),
            target=target_id,
            via=attempt.path.via,
            heard_ms=None if heard_s is None else int((now_s - heard_s) * 1000),
            target_silent_ms=int(silent_s * 1000),
            heartbeat_age_ms=None if heartbeat_s is None else int((now_s - heartbeat_s) * 1000),
            waiting=self._activity.waiting(target_id),
            events=attempt.delivery.events,
            sends=call.sends,
            left_ms=int(call.left_s() * 1000),
            replacement=taken.placement.target.target_id if taken else "",
            has_permit=taken is not None and taken.permit is not None,
            kept_for=call.kept_for,
        )
