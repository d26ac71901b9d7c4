"""The urgency of control sends and how long each may be queued."""

from enum import IntEnum

__all__ = ["MAX_WAIT_S", "Urgency"]


class Urgency(IntEnum):
    """The order in which the pacer serves sends; lower goes first."""

    LEAVE = 0
    PROBE = 1
    LIMITS = 2
    REPAIR = 3
    JOIN = 4
    ROUTINE = 5


# A probe delayed beyond its timeout would only make a live router suspected.
MAX_WAIT_S: dict[Urgency, float] = {
    Urgency.LEAVE: 10.0,
    Urgency.PROBE: 0.8,
    Urgency.JOIN: 2.0,
    Urgency.LIMITS: 2.0,
    Urgency.REPAIR: 1.0,
    Urgency.ROUTINE: 1.0,
}
