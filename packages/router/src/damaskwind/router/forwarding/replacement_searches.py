"""Describe an attempt that looks for a replacement, and why it may have none."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from math import inf

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.call import Call

__all__ = ["PAUSE_S", "Hindrance", "Search"]

# A target that has been silent for longer than this hardly goes on: its requests no longer wait
# for one with a free slot.
PAUSE_S = 2.0
# Silences that differ by less than this allow the same targets.
SILENCE_STEP_S = 0.5


class Hindrance(StrEnum):
    """Why nothing takes the place of an overdue attempt."""

    BUDGET = "retry budget"
    VERSION = "software version"
    NO_TARGET = "no target"
    NO_ROOM = "no room"
    NO_PERMIT = "no permit"
    SILENT = "target silent too"
    NOT_REACHED = "target not reached"


# A slot is of no use to an attempt that may not be sent again, or nowhere else.
_NO_SLOT_HELPS = frozenset((Hindrance.BUDGET, Hindrance.VERSION, Hindrance.NO_TARGET))


class Search:
    """An attempt at `target` that is overdue or was lost, for which a replacement is looked for.

    `silent_s` returns for how long the target has been silent, 0 while the attempt isn't overdue;
    `body_bytes` is the size of the request's body, and `via` the host of the router that sent the
    request on, if it was another one. An attempt that `is_lost` has no connection any more.
    `found` is done when the replacement is in hand, as `call.replacement`; it was taken by this
    search if it `has_taken` it. `hindrance` is why the last round found none.
    """

    def __init__(
        self,
        call: Call,
        target: TargetRecord,
        body_bytes: int,
        silent_s: Callable[[], float],
        via: str = "",
    ) -> None:
        self.call = call
        self.target = target
        self.body_bytes = body_bytes
        self.silent_s = silent_s
        self.via = via
        self.has_begun = False
        self.is_lost = False
        self.has_taken = False
        self.hindrance: Hindrance | None = None
        self.found: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @classmethod
    def of_lost(cls, call: Call, target: TargetRecord, body_bytes: int) -> "Search":
        """Return the search of an answer that had begun when its connection was lost."""
        search = cls(call, target, body_bytes, lambda: inf)
        search.is_lost = search.has_begun = True
        return search

    @property
    def urgency(self) -> tuple[bool, bool, int, float]:
        """Return the key by which searches are ordered, the most urgent one first."""
        return (not self.is_lost, not self.has_begun, self.call.priority, self.call.deadline_s)

    @property
    def could_use_slot(self) -> bool:
        """Return whether a slot of another target would help."""
        return not self.found.done() and self.hindrance not in _NO_SLOT_HELPS

    @property
    def scope(self) -> tuple[object, ...]:
        """Return what restricts the choice of a target: the same for many searches."""
        call = self.call
        return (
            call.regions,
            call.required_version,
            call.began_at,
            frozenset(call.tried),
            call.key is None,
            call.cost,
            self.body_bytes,
            self.has_begun,
            self.is_lost,
            self.via,
            min(self.silent_s(), PAUSE_S) // SILENCE_STEP_S,
        )
