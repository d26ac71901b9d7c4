"""The messages between routers and share allocators, and what a limiter decides."""

from enum import StrEnum
from typing import NamedTuple

from damaskwind.model.verdict import Refusal

__all__ = [
    "AccountDemand",
    "AccountGrant",
    "AccountLimit",
    "DemandReport",
    "LimitDecision",
    "LimitOutcome",
    "LimitPolicy",
    "ShareGrant",
]


class AccountLimit(NamedTuple):
    """The fleet-wide limit of a client account."""

    max_concurrent_requests: int
    max_tokens_per_s: float


class LimitPolicy(NamedTuple):
    """How shares are leased.

    `lease_s` is the life of a lease, `renew_s` the time between reports,
    `idle_s` how long an unused share is kept, `burst_s` how many seconds of its
    rate a token bucket saves up, `credit_s` how many it lends; their sum is the
    longest burst. `floor_share` of a domain's slice is divided
    over `floor_routers` routers, whether they exist or not: what a router that
    no allocator answers may still use. `linger_s` keeps the units of a router that
    is not heard of, and not known to be dead, booked after their lease ended,
    since their requests may still run; it covers the longest request.
    """

    lease_s: float = 8.0
    renew_s: float = 3.0
    idle_s: float = 6.0
    burst_s: float = 1.0
    credit_s: float = 1.0
    wait_s: float = 2.0
    retry_after_s: float = 1.0
    floor_share: float = 0.1
    floor_routers: int = 64
    linger_s: float = 120.0


class AccountDemand(NamedTuple):
    """What a router holds and wants of one account from one domain's slice.

    `applied_sequence` is the newest report whose grant it applied; it never goes
    back to an older one. `granted_by` is the allocator that gave what it holds.
    """

    account: str
    in_use: int
    wanted: int
    wanted_tokens_per_s: int
    held: int = 0
    held_tokens_per_s: int = 0
    held_remaining_ms: int = 0
    granted_by: str = ""
    applied_sequence: int = 0


class DemandReport(NamedTuple):
    """A router's demand, sent to the router that allocates for these accounts."""

    router_id: str
    router_domain: str
    slice_domain: str
    sequence: int
    demands: tuple[AccountDemand, ...]


class AccountGrant(NamedTuple):
    """The whole share of one account that a router may use from now on.

    `confirm` asks to hear at once that it was applied, since others wait for units.
    `recall_pending` tells that others were just asked to give units back.
    """

    account: str
    units: int
    tokens_per_s: int
    confirm: bool = False
    recall_pending: bool = False


class ShareGrant(NamedTuple):
    """The answer to the report with `report_sequence`.

    Its leases run from the moment the router sent that report. One with a lease of
    0 grants nothing: it asks the router to report at once what it needs now.
    """

    allocator_id: str
    slice_domain: str
    report_sequence: int
    lease_ms: int
    grants: tuple[AccountGrant, ...]


class LimitOutcome(StrEnum):
    """Name what the limiter says to a request."""

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"


class LimitDecision(NamedTuple):
    """Admit, wait for a grant until `wait_until_s` at most, or refuse.

    A request that waits is to be tried again at `retry_at_s` even without a grant.
    """

    outcome: LimitOutcome
    wait_until_s: float = 0.0
    refusal: Refusal | None = None
    retry_at_s: float = 0.0
