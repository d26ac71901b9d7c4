"""Decide whether a router's path to the targets of a service is cut, by probes of a few of them.

That one target can't be reached says nothing of the others. That none of a sample can be
reached, while other routers reach them, means that this router's own path is cut. One success
does not mean that it is back: a path that loses three packets in ten lets half of the
connections pass.
"""

from enum import StrEnum

__all__ = ["SAMPLE_TARGETS", "PathState", "ServicePath"]

# A path that loses three packets in ten is taken for cut in 13 of 100 checks of this size.
SAMPLE_TARGETS = 3
# Rounds of probes in a row, and the share of each that must succeed, before a path is used again.
RETURN_ROUNDS = 2
RETURN_SHARE = 2.0 / 3.0


class PathState(StrEnum):
    """Whether a router reaches the targets of a service itself."""

    OPEN = "open"
    CUT = "cut"


class ServicePath:
    """The path of one router to the targets of one service.

    >>> path = ServicePath()
    >>> path.observe_check(reached=0, probed=3, others_reach=True), path.state.value
    (True, 'cut')
    >>> [path.observe_round(reached, 3) for reached in (3, 0, 2, 3)], path.state.value
    ([False, False, False, True], 'open')
    """

    def __init__(self) -> None:
        self.state = PathState.OPEN
        self._good_rounds = 0

    @property
    def is_cut(self) -> bool:
        """Return whether requests should not be sent over this path."""
        return self.state is PathState.CUT

    def observe_check(self, reached: int, probed: int, others_reach: bool) -> bool:
        """Record a check of an open path; return whether it is cut now.

        Where no other router reaches the targets either, they are gone, and nothing is known
        of the path.
        """
        if self.is_cut or reached or not probed or not others_reach:
            return False
        self.state = PathState.CUT
        self._good_rounds = 0
        return True

    def observe_round(self, reached: int, probed: int) -> bool:
        """Record a round of probes over a cut path; return whether it is open again."""
        if not self.is_cut:
            return False
        is_good = probed > 0 and reached >= RETURN_SHARE * probed
        self._good_rounds = self._good_rounds + 1 if is_good else 0
        if self._good_rounds < RETURN_ROUNDS:
            return False
        self.state = PathState.OPEN
        return True

    def reopen(self) -> bool:
        """Use the path again, since no other router reaches the targets any more."""
        was_cut = self.is_cut
        self.state = PathState.OPEN
        return was_cut
