"""The description of a request that is to be placed at a target."""

from typing import NamedTuple

from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.model.configuration import ClientAccount, PriorityClass
from damaskwind.model.targets import TargetKind
from damaskwind.router.caller import Caller
from damaskwind.router.explain import RequestRecord

__all__ = ["WorkItem"]


class WorkItem(NamedTuple):
    """A request to be placed at a target; `deadline_s` is on the monotonic clock.

    `total_tokens` counts against the account's limit.
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
