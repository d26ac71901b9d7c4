"""Find out whether a target has ended when sends to it break.

A connection that is reset, or an answer that is cut, looks the same whether the
target has ended or goes on. One try to connect tells: an ended process refuses.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.fatal_requests.suspicion import Known
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.router.forwarding.target_states import TargetStates

__all__ = ["BrokenSend", "CrashDetector"]

# A line tells this many of the requests that were in hand at a target that ended.
LISTED_REQUESTS = 16


class BrokenSend(NamedTuple):
    """A send that broke: the request, what was known of it when it was sent, its id for the log."""

    digest: bytes
    known: Known
    request_id: bytes


CrashCallback = Callable[[TargetRecord, list[BrokenSend]], None]


class CrashDetector:
    """The targets of one router that are being looked at.

    `on_crashed` is told of each target that ended by itself, with the sends that
    broke at this router; one that was leaving is not among them.
    """

    def __init__(self, target_states: TargetStates) -> None:
        self.on_crashed: list[CrashCallback] = []
        self._target_states = target_states
        self._connections = target_states.connections
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._broken: dict[str, list[BrokenSend]] = {}

    def probe(self, target: TargetRecord, broken: BrokenSend) -> asyncio.Task[bool]:
        """Note a send that broke; the task tells whether its target has ended by itself.

        Sends that break together are told by one look.
        """
        target_id = target.target_id
        self._broken.setdefault(target_id, []).append(broken)
        probe = self._probes.get(target_id)
        if probe is None:
            probe = self._probes[target_id] = asyncio.ensure_future(self._probe(target))
        return probe

    async def _probe(self, target: TargetRecord) -> bool:
        target_id = target.target_id
        try:
            answers = await self._connections.probe(target_id, target.address)
        finally:
            del self._probes[target_id]
            broken = self._broken.pop(target_id)
        phase = self._target_states.view.targets.phase_of(target_id)
        has_announced = self._target_states.has_announced_leaving(target)
        is_leaving = has_announced or phase is not TargetPhase.SERVING
        has_ended = not answers and not is_leaving
        logger.warning(
            "sends broken",
            target=target_id,
            address=str(target.address),
            answers=answers,
            is_leaving=is_leaving,
            sends=len(broken),
            requests=[
                [item.request_id.decode("latin-1"), item.digest.hex()]
                for item in broken[:LISTED_REQUESTS]
            ],
        )
        if phase in (None, TargetPhase.GONE):
            # Its address may be another target's by now.
            self._connections.forget(target_id)
        elif not answers:
            self._connections.watch(target_id, target.address)
        if has_ended:
            for callback in self.on_crashed:
                callback(target, broken)
        return has_ended
