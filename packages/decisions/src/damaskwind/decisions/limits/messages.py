"""Messages between routers and share allocators, and the decisions of a limiter."""

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
    """Parameters of leases, token buckets and the share that needs no lease.

    `lease_s` is the duration of a lease, `renew_s` the time between reports and
    `idle_s` how long an unused share is kept. A token bucket saves up at most
    `burst_s` seconds of its rate and lends `credit_s` seconds; their sum is the
    longest burst. A request waits at most `wait_s` for a grant, and a refused caller
    is asked to wait at least `retry_after_s`.

    `floor_share` of a domain's slice is divided over `floor_routers` routers, whether
    or not they exist: a router may use its part even if no allocator responds.
    `linger_s` keeps the units of a router that stopped reporting, and is not known to
    be dead, booked after their lease has expired, since their requests may still run;
    it covers the longest request.
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
    """A router's use of one account's slice in one domain, its request and its lease.

    `in_use` counts requests in progress. `wanted` and `wanted_tokens_per_s` are the
    units and the rate that the router asks for; the `held` fields describe its current
    lease and `granted_by` is the allocator that granted it. `applied_sequence` is the
    newest report whose grant was applied; it never decreases.
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
    """The demand of a router, sent to the allocator of these accounts."""

    router_id: str
    router_domain: str
    slice_domain: str
    sequence: int
    demands: tuple[AccountDemand, ...]


class AccountGrant(NamedTuple):
    """The total share of one account that a router may use from now on.

    `confirm` asks the router to report at once that it applied a smaller share, since
    other routers wait for units. `recall_pending` indicates that other routers were
    just asked to return units.
    """

    account: str
    units: int
    tokens_per_s: int
    confirm: bool = False
    recall_pending: bool = False


class ShareGrant(NamedTuple):
    """The response to the report numbered `report_sequence`.

    Its leases start when the router sent that report. A grant with `lease_ms` 0 is a
    recall: it grants nothing and asks the router to report its current demand at once.
    """

    allocator_id: str
    slice_domain: str
    report_sequence: int
    lease_ms: int
    grants: tuple[AccountGrant, ...]


class LimitOutcome(StrEnum):
    """The result of asking a limiter to admit a request."""

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"


class LimitDecision(NamedTuple):
    """The decision to admit a request, to let it wait until `wait_until_s`, or to refuse it.

    A waiting request should be tried again at `retry_at_s` even if no grant arrives.
    """

    outcome: LimitOutcome
    wait_until_s: float = 0.0
    refusal: Refusal | None = None
    retry_at_s: float = 0.0
