"""A caller's request that passed authentication and validation."""

from typing import Any, NamedTuple

from damaskwind.model.configuration import ClientAccount, Configuration, PriorityClass
from damaskwind.router.caller import Caller
from damaskwind.router.explain import RequestRecord

__all__ = ["AdmittedRequest"]


class AdmittedRequest(NamedTuple):
    """An admitted request, with the configuration in force when it arrived."""

    request: Any
    request_id: str
    account: ClientAccount
    priority: PriorityClass
    configuration: Configuration
    deadline_s: float
    idempotency_key: str
    record: RequestRecord
    caller: Caller
