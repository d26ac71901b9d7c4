"""Find out whether a target has crashed when attempts at it break.

A reset connection or a truncated answer looks the same whether the target has exited or
still runs. A new connection tells them apart: the port of an exited process refuses it.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.fatal_requests.evidence import SendEvidence, Suspect
from damaskwind.decisions.fatal_requests.suspicion import SuspicionLevel
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.router.forwarding.call import MAX_SHOWN_PARTS, shown_parts
from damaskwind.router.forwarding.target_states import TargetStates

__all__ = ["BrokenSend", "CrashDetector"]

# Limit on the requests in flight that a log line lists for one target.
LISTED_REQUESTS = 16


class BrokenSend(NamedTuple):
    """An attempt that broke.

    `digest` identifies the request, and `level` is its suspicion level when it was sent. `parts`
    and `group` are the other suspects then, see `SendEvidence`. `request_id` and the ids of its
    prompt's parts are for the log.
    """

    digest: bytes
    level: SuspicionLevel
    request_id: bytes
    part_ids: tuple[bytes, ...] = ()
    parts: tuple[Suspect, ...] = ()
    group: Suspect | None = None

    @property
    def evidence(self) -> SendEvidence:
        """Return the suspects of the request."""
        return SendEvidence(Suspect(self.digest, self.level), self.parts, self.group)


CrashCallback = Callable[[TargetRecord, list[BrokenSend]], None]


class CrashDetector:
    """Probes the targets of one router whose sends broke.

    The `on_crashed` callbacks get each target that has exited unexpectedly, with the sends that
    broke at this router. The exit of a leaving target is expected and not reported.
    """

    def __init__(self, target_states: TargetStates) -> None:
        self.on_crashed: list[CrashCallback] = []
        self._target_states = target_states
        self._connections = target_states.connections
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._broken: dict[str, list[BrokenSend]] = {}

    def probe(self, target: TargetRecord, broken: BrokenSend) -> asyncio.Task[bool]:
        """Record a broken send; the returned task tells whether its target has crashed.

        Sends to a target that break together share one probe.
        """
        target_id = target.target_id
        self._broken.setdefault(target_id, []).append(broken)
        probe = self._probes.get(target_id)
        if probe is None:
            probe = self._probes[target_id] = asyncio.ensure_future(self._probe(target))
        return probe

    async def _probe(self, target: TargetRecord) -> bool:
        target_id = target.target_id
        reach = self._target_states.reach
        try:
            answers = not reach.is_relayed(target) and await self._connections.probe(
                target_id, target.address
            )
            # A router whose own path is cut must not take a sound target for crashed.
            runs_elsewhere = False if answers else await reach.runs_elsewhere(target)
            # Silence of all others proves nothing, but a refusal of the target's own port does.
            is_unsure = runs_elsewhere is None and not await self._connections.refuses(
                target.address
            )
        finally:
            del self._probes[target_id]
            broken = self._broken.pop(target_id)
        phase = self._target_states.view.targets.phase_of(target_id)
        has_announced = self._target_states.has_announced_leaving(target)
        is_leaving = has_announced or phase is not TargetPhase.SERVING
        has_crashed = not (answers or runs_elsewhere or is_unsure or is_leaving)
        logger.warning(
            "sends broken",
            target=target_id,
            address=str(target.address),
            answers=answers,
            runs_elsewhere=runs_elsewhere,
            is_unsure=is_unsure,
            is_leaving=is_leaving,
            others_unreachable=reach.unreachable_targets(target.service),
            sends=len(broken),
            requests=[_shown(item) for item in broken[:LISTED_REQUESTS]],
        )
        if phase in (None, TargetPhase.GONE):
            # Another target may have its address by now, so it is not probed again.
            self._connections.forget(target_id)
        elif not answers:
            self._connections.watch(target_id, target.address)
            reach.note_failure(target)
        if has_crashed:
            for callback in self.on_crashed:
                callback(target, broken)
        return has_crashed


def _shown(broken: BrokenSend) -> list[str | int | list[str] | list[int]]:
    """Return a broken send for the log: id, digest, level, parts of the prompt, their levels."""
    return [
        broken.request_id.decode("latin-1"),
        broken.digest.hex(),
        broken.level.ends,
        shown_parts(broken.part_ids),
        [item.level.ends for item in broken.parts[:MAX_SHOWN_PARTS]],
    ]
