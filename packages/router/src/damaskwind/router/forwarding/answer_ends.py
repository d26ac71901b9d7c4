"""Find out whether the end of an unframed answer was its end or that of its target's process.

An answer without a length and chunks is complete when its connection closes in an orderly way,
and that is also what a kernel does to the connections of a process that crashed. A target that
still runs shortly afterwards has ended the answer itself. See
`docs/decisions/0033-ends-of-unframed-answers.md`.
"""

import asyncio

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["AnswerEnds"]


class AnswerEnds:
    """Checks the ends of unframed answers at one router, and counts what the checks find."""

    def __init__(self, target_states: TargetStates, tallies: Tallies) -> None:
        self._target_states = target_states
        self._connections = target_states.connections
        self._tallies = tallies
        self._probes: dict[str, asyncio.Task[bool]] = {}

    async def has_outlived(self, target: TargetRecord, request_id: bytes) -> bool:
        """Return whether a target ended the unframed answer that has just ended.

        The proof is from `SETTLE_S` after the end, or later: all connections of a process that
        exits are closed by then. That a target is leaving proves nothing: it may be killed before
        it has ended its answers.
        """
        ended_s = read_clock()
        others = self._connections.count_open(target.target_id)
        found = await self._find_proof(target)
        self._tallies.count("unframed_end_checks", found=found)
        heard_s = self._connections.heard_s(target.target_id)
        logger.info(
            "unframed end checked",
            request_id=request_id.decode("latin-1"),
            target=target.target_id,
            connections=others,
            # Negative if what vouches was last heard before the answer ended.
            heard_after_end_ms=round((heard_s - ended_s) * 1000, 1),
            took_ms=round((read_clock() - ended_s) * 1000, 1),
            outcome=found,
        )
        return found != "nothing"

    async def _find_proof(self, target: TargetRecord) -> str:
        """Return what shows that an answer was ended by its target, or `nothing`."""
        target_id = target.target_id
        has_open = self._connections.has_open(target_id)
        probe = None if has_open else self._probe(target)
        await asyncio.sleep(SETTLE_S)
        if not self._is_same_life(target):
            return "nothing"
        # A shared probe may have begun before this end. It proves nothing then, but the connection
        # that it made does if it is still open.
        was_refused = probe is not None and not await asyncio.shield(probe)
        if self._connections.has_open(target_id):
            return "connection" if probe is None else "probe"
        if was_refused:
            return "nothing"
        return "probe" if await asyncio.shield(self._probe(target)) else "nothing"

    def _is_same_life(self, target: TargetRecord) -> bool:
        """Return whether the process that was sent to is the one that is registered now."""
        known = self._target_states.view.targets.record_of(target.target_id)
        return known is not None and known.incarnation == target.incarnation

    def _probe(self, target: TargetRecord) -> asyncio.Task[bool]:
        """Return a probe of a target, shared by the ends that wait for it at once."""
        target_id = target.target_id
        probe = self._probes.get(target_id)
        if probe is None:
            self._tallies.count("unframed_end_probes")
            probing = self._connections.probe(target_id, target.address)
            probe = self._probes[target_id] = asyncio.ensure_future(probing)
            probe.add_done_callback(lambda _: self._probes.pop(target_id))
        return probe
