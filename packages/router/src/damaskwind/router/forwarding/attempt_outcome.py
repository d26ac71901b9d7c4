"""The typed messages of one attempt: where it is sent, and how it ended."""

from enum import StrEnum
from typing import NamedTuple

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.placement.affinity import Choice
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.slot_permits import Permit
from damaskwind.runtime.http1.messages import Answer

__all__ = ["AttemptEnd", "AttemptOutcome", "Placement", "Replacement"]


class AttemptEnd(StrEnum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    SUPERSEDED = "superseded"
    WITHHELD = "withheld"
    HELD = "held"
    NOT_RUN = "not-run"
    TARGET_ERROR = "target-error"
    BROKEN = "broken"
    STALLED = "stalled"
    CALLED_BACK = "called-back"


class Placement(NamedTuple):
    """The target chosen for a request, the choice, and the engine to copy prompt parts from.

    A choice that `is_confined` was made among the targets of one software version of several.
    """

    target: TargetRecord
    choice: Choice
    donor: Address | None
    is_confined: bool = False


class AttemptOutcome(NamedTuple):
    """How an attempt ended, why, and the complete answer if the target answered with a failure.

    `was_reached` tells whether a connection to the target was established, `first_s` is the
    time from the send to the head of the answer, in seconds. `is_displaced` means that another
    target answered at the address, `is_connection_lost` that the target closed the connection
    before the answer was complete, `asks_for_pause` that it asked for a pause (Retry-After).
    A request that was withheld was not sent, one that is held must not be. An attempt that was
    superseded was canceled, since that at another target went on; one that was called back was
    given up, since the request became known as fatal. `via` is the host of the router
    that sent the request on, if it was another one. An answer that `is_unframed` ended with its
    connection; `open_bytes` is what came of an event whose end did not. The target wrote a whole
    answer to an attempt that `is_answered`, and did not only refuse or fail.
    """

    end: AttemptEnd
    why: str = ""
    answer: Answer | None = None
    was_reached: bool = True
    first_s: float | None = None
    is_displaced: bool = False
    is_connection_lost: bool = False
    asks_for_pause: bool = False
    via: str = ""
    is_unframed: bool = False
    open_bytes: int = 0
    is_answered: bool = False

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent to its target."""
        return self.was_reached and self.end not in (AttemptEnd.WITHHELD, AttemptEnd.HELD)


class Replacement(NamedTuple):
    """What takes the place of an attempt: a target, its permit if one is needed, and a retry.

    The retry was taken from the budget at `taken_s`.
    """

    placement: Placement
    permit: Permit | None
    taken_s: float
