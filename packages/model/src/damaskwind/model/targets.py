"""The announcements of targets and a router's view of them."""

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
    """The kinds of targets: engines, which run models, and plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(StrEnum):
    """The state of a target, as it announces it or as its lease implies."""

    SERVING = "serving"
    LEAVING = "leaving"
    LAPSED = "lapsed"


class FencingMode(StrEnum):
    """Whether a target refuses orders with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Address(NamedTuple):
    """An IP address and a port.

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
    """The load that a target measured at itself.

    `load_tokens` counts the outstanding work: prompt tokens still to be computed plus
    tokens still to be generated, over running and waiting requests. A plain service
    reports its requests in progress as `load_tokens`. `age_s` is the age of the
    measurement when the report was sent.
    """

    load_tokens: int
    capacity_tokens: int
    running_requests: int
    waiting_requests: int
    age_s: float


class TargetAnnouncement(NamedTuple):
    """The announcement that a target posts to any router periodically while it runs.

    `incarnation` grows with every start of the target, and `sequence` with every
    announcement of one incarnation; a pair that is not greater than the known one is
    stale. The announcement is valid for `lease_s`.
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
    """One router's current view of a target, which is the input of placement.

    `load_tokens` is the router's best estimate of the outstanding work at the target,
    and `report_age_s` the age of the report that the estimate is based on. `ejected` is
    set while the target is excluded because of its own failures.
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
