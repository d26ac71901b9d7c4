"""The settings of a router that forwards requests by a published configuration."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from damaskwind.decisions.retries.shared_budget import BudgetTerms
from damaskwind.model.targets import Address
from damaskwind.runtime.http1.limits import READ_AHEAD_BYTES

__all__ = ["ROUTER_ADDRESSES", "ForwardingSettings"]

# The part of the descriptors, in 32nds, that the connections of each address may take. What is
# left is for connections to targets, replicas and other routers.
ROUTER_ADDRESSES = MappingProxyType({"callers": 10, "internal": 8, "ready": 1, "metrics": 1})


class ForwardingSettings(NamedTuple):
    """The addresses of a router and its parameters at startup.

    Targets report every `heartbeat_s` seconds. Without a `metrics_port` no metrics are
    served. Without an `internal_host` no documents are served to other routers, which is done
    at `news_port`. `region_of` maps each failure domain to its region. `has_contention` states
    that callers compete for capacity and that callers and targets may read slowly;
    `memory_bytes` is the memory beyond which the process is killed, and `max_sockets` how many
    descriptors it may use for sockets; `None` if that isn't known. `max_connections` replaces the
    largest number of connections of an address, by its name in `ROUTER_ADDRESSES`. Of a caller's
    later requests, `read_ahead_bytes` are read before an answer has ended.
    """

    node_id: str
    failure_domain: str
    caller_address: Address
    ready_address: Address
    seed_hosts: tuple[str, ...]
    news_port: int
    grace_s: float = 8.0
    heartbeat_s: float = 1.2
    budget: BudgetTerms = BudgetTerms()
    metrics_port: int = 0
    internal_host: str = ""
    link_bytes_per_s: float = float("inf")
    region_of: Mapping[str, str] = MappingProxyType({})
    has_contention: bool = False
    memory_bytes: int | None = None
    max_sockets: int | None = None
    max_connections: Mapping[str, int] = MappingProxyType({})
    read_ahead_bytes: int = READ_AHEAD_BYTES
