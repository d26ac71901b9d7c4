"""The record of a target as reported by itself, and its lifecycle phases."""

from enum import IntEnum
from typing import NamedTuple

from damaskwind.model.targets import Address

__all__ = ["PhaseChange", "TargetPhase", "TargetRecord"]


class TargetPhase(IntEnum):
    """Lifecycle phase of a target incarnation; it only advances."""

    SERVING = 0
    LEAVING = 1
    GONE = 2


class TargetRecord(NamedTuple):
    """A target as reported by itself.

    `slots` is the number of requests that it runs concurrently. `sequence` grows with each
    report of an incarnation. `born_ms` is the Unix time of its start in ms, or 0 if it
    reports none. The target stays cold for `cold_s` after the record is received, in a cold
    period first reported with sequence `cold_sequence`; 0 is the period after its start.
    `clock_steps` counts how often an earlier start time was accepted as a later incarnation;
    the last one replaced the incarnation started at `superseded_born_ms`. `version` is that of
    the software that the incarnation runs, empty if it reports none.
    """

    target_id: str
    service: str
    address: Address
    failure_domain: str
    phase: TargetPhase
    sequence: int
    slots: int = 1
    cold_s: float = 0.0
    born_ms: int = 0
    clock_steps: int = 0
    superseded_born_ms: int = 0
    cold_sequence: int = 0
    version: str = ""

    @property
    def incarnation(self) -> tuple[int, int]:
        """Return the sort key that orders the incarnations of a target."""
        return (self.clock_steps, self.born_ms)


class PhaseChange(NamedTuple):
    """A new phase of a known target's incarnation, in a third of the bytes of its record."""

    target_id: str
    phase: TargetPhase
    sequence: int
    incarnation: tuple[int, int]
