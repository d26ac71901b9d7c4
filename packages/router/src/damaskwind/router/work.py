"""What the router knows of a request while it looks for a target."""

from typing import NamedTuple

from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.model.configuration import ClientAccount, PriorityClass
from damaskwind.model.targets import TargetKind
from damaskwind.router.caller import Caller
from damaskwind.router.explain import RequestRecord

__all__ = ["WorkItem"]


class WorkItem(NamedTuple):
    """A request that wants a target; `deadline_s` is on the monotonic clock.

    `total_tokens` is what counts against the account's limit.
    """

    request_id: str
    kind: TargetKind
    account: ClientAccount
    priority: PriorityClass
    query: PlacementQuery
    idempotent: bool
    total_tokens: float
    deadline_s: float
    record: RequestRecord
    caller: Caller
