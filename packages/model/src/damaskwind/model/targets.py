"""What a target says of itself and what a router knows of it."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Address",
    "FencingMode",
    "LoadReport",
    "ModelOffer",
    "TargetAnnouncement",
    "TargetKind",
    "TargetState",
    "TargetView",
]


class TargetKind(StrEnum):
    """Tell an engine, which runs models, from a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(StrEnum):
    """Where a target is in its life, by its own word or by its lease."""

    SERVING = "serving"
    LEAVING = "leaving"
    LAPSED = "lapsed"


class FencingMode(StrEnum):
    """Whether a target refuses an order with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Address(NamedTuple):
    """An IP number and a port.

    >>> str(Address("127.0.0.1", 80))
    '127.0.0.1:80'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ModelOffer(NamedTuple):
    """A model version that an engine has loaded, with its adapters."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()


class LoadReport(NamedTuple):
    """The load that a target measured at itself, some time ago.

    `load_tokens` counts the work in hand: prompt tokens still to be computed
    plus tokens still to be generated, over running and waiting requests.
    `age_s` is how old the measurement was when the report was sent. A plain
    service reports requests in hand as `load_tokens`.
    """

    load_tokens: int
    capacity_tokens: int
    running_requests: int
    waiting_requests: int
    age_s: float


class TargetAnnouncement(NamedTuple):
    """What a target posts to any router, over and over while it lives.

    `incarnation` grows with every start of the target, `sequence` with every
    announcement of one incarnation; a pair that is not greater than the one
    known is stale. `lease_s` says how long the announcement holds.
    """

    target_id: str
    incarnation: int
    sequence: int
    kind: TargetKind
    service: str
    failure_domain: str
    address: Address
    state: TargetState
    lease_s: float
    load: LoadReport
    models: tuple[ModelOffer, ...] = ()
    fencing: FencingMode = FencingMode.IGNORED


class TargetView(NamedTuple):
    """A target as one router knows it now; the placement's input.

    `load_tokens` is the router's best estimate of the work in hand at the
    target, `report_age_s` the age of the report under it. `ejected` is set
    while the target's own failures keep it out.
    """

    target_id: str
    incarnation: int
    kind: TargetKind
    service: str
    failure_domain: str
    address: Address
    state: TargetState
    load_tokens: float
    capacity_tokens: int
    report_age_s: float
    models: tuple[ModelOffer, ...] = ()
    ejected: bool = False
