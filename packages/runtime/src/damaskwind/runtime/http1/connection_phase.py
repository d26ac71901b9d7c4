"""The phases of a caller's connection, and what may be read, parsed and closed in each.

idle        no request is in hand; the next one is awaited
head        a part of a request's head, or of the empty lines before it, was read
body        the head was read whole, and the body is being read
unread      the body is left in the caller's socket until there is room for it
answering   the request was read whole, and its answer is being made or sent
answered    the last answer was written; what the caller still sends is dropped
refused     as `answered`, for a request that failed or was not read whole
ended       the connection has ended
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "BODY_READ_BYTES",
    "CHUNKED_READ_BYTES",
    "PHASE_RULES",
    "ConnectionPhase",
    "PhaseRule",
]

# One read brings at most this much. A larger one would be held beside the rest of a head, for each
# of the connections.
HEAD_READ_BYTES = 16_384
BODY_READ_BYTES = 65_536
# A body of unknown length may end anywhere in a read, and what follows is held as read ahead.
CHUNKED_READ_BYTES = 16_384


class PhaseRule(NamedTuple):
    """What applies in a phase.

    One read brings at most `read_bytes`; 0 means that nothing is read. With `parses` what was read
    is parsed at once, with `drops` it is dropped. In a phase that `is_idle` no request is in hand.
    With `may_yield` the connection may be closed for another one.
    """

    read_bytes: int
    parses: bool = False
    drops: bool = False
    is_idle: bool = False
    may_yield: bool = False


class ConnectionPhase(StrEnum):
    """A phase; `PHASE_RULES` has its rule."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    UNREAD = "unread"
    ANSWERING = "answering"
    ANSWERED = "answered"
    REFUSED = "refused"
    ENDED = "ended"


PHASE_RULES = {
    ConnectionPhase.IDLE: PhaseRule(HEAD_READ_BYTES, parses=True, is_idle=True, may_yield=True),
    ConnectionPhase.HEAD: PhaseRule(HEAD_READ_BYTES, parses=True, may_yield=True),
    ConnectionPhase.BODY: PhaseRule(BODY_READ_BYTES, parses=True),
    ConnectionPhase.UNREAD: PhaseRule(0),
    ConnectionPhase.ANSWERING: PhaseRule(HEAD_READ_BYTES),
    ConnectionPhase.ANSWERED: PhaseRule(BODY_READ_BYTES, drops=True, is_idle=True, may_yield=True),
    ConnectionPhase.REFUSED: PhaseRule(BODY_READ_BYTES, drops=True, may_yield=True),
    ConnectionPhase.ENDED: PhaseRule(0, drops=True),
}
