"""What a target reports of itself, and where it is in its life."""

from enum import IntEnum
from typing import NamedTuple

from damaskwind.model.targets import Address

__all__ = ["PhaseChange", "TargetPhase", "TargetRecord"]


class TargetPhase(IntEnum):
    """Where a target is in its life; it only moves forward."""

    SERVING = 0
    LEAVING = 1
    GONE = 2


class TargetRecord(NamedTuple):
    """A target as it reported itself.

    `slots` is how many requests it runs at once, `sequence` grows with each
    report of a life, `born_ms` is the Unix time of its start, in ms; 0 where it
    tells none. It stays cold for `cold_s` from when it was heard, in a spell that it first
    told with its report `cold_sequence`; 0 is the one after its start. `clock_steps` counts how
    often a smaller birth was taken for later, the last time in place of the life born at
    `superseded_born_ms`.
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

    @property
    def incarnation(self) -> tuple[int, int]:
        """Return what orders the lives of one target."""
        return (self.clock_steps, self.born_ms)


class PhaseChange(NamedTuple):
    """What a life of a known target has come to: a third of the bytes of its record."""

    target_id: str
    phase: TargetPhase
    sequence: int
    incarnation: tuple[int, int]
