"""Routes, services, caller limits and accounts that an operator publishes as one document.

Unlike `Configuration`, whose objects are confirmed one plan at a time, a traffic
configuration is a single versioned document; the highest acknowledged version is in
force.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "KeyedAccount",
    "RouteKind",
    "ServiceShare",
    "TrafficConfiguration",
    "TrafficRoute",
    "TrafficService",
]


class RouteKind(StrEnum):
    """The kind of a route's requests, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """One of the services that share a route, with the weight of its traffic."""

    service: str
    weight: float


class TrafficRoute(NamedTuple):
    """How requests below a path of a host are treated.

    `timeout_s` is the longest time that a request may be kept waiting. `objective_s` is
    the time to the answer (streams: the first event) that users expect, and
    `gap_objective_s` the longest expected pause between events. Priority 0 is served
    first. With `needs_key`, a request must carry an account's key, if the configuration
    requires keys. With `regions`, it is served in one of them, and nowhere if there are none;
    `None` means that it may be served anywhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float = 1.0
    gap_objective_s: float = 0.2
    priority: int = 1
    max_attempts: int = 1
    needs_key: bool = True
    has_prompt_parts: bool = False
    is_resumable: bool = False
    regions: tuple[str, ...] | None = None

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once.

        A stream may only if it can be resumed.
        """
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineProfile(NamedTuple):
    """The properties of each engine of a service.

    Its memory holds `capacity_tokens` of running requests, of `bytes_per_token` each. An event
    of a stream carries `tokens_per_event`.
    """

    slots: int
    capacity_tokens: int
    bytes_per_token: int = 0
    tokens_per_event: int = 1


class TrafficService(NamedTuple):
    """A pool of targets; `max_connections` bounds the connections that each accepts.

    A target is cold for `cold_start_s` after its start. A cold target handles `cold_per_s`
    requests per second from all routers together; 0 means no bound. `engine` is `None` for a
    service whose targets are not known to be engines.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class KeyedAccount(NamedTuple):
    """A client account with its API keys; its priority overrides the route's.

    With `regions`, its requests are served in one of them; `None` means anywhere.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] | None = None


class TrafficConfiguration(NamedTuple):
    """One published document; version 0 means that none was published.

    Without accounts (`None`) requests need no keys. An empty tuple means that no key is valid.

    >>> TrafficConfiguration(1).requires_keys, TrafficConfiguration(1, accounts=()).requires_keys
    (False, True)
    """

    version: int = 0
    routes: tuple[TrafficRoute, ...] = ()
    services: tuple[TrafficService, ...] = ()
    limits: CallerLimits = CallerLimits()
    accounts: tuple[KeyedAccount, ...] | None = None

    @property
    def requires_keys(self) -> bool:
        """Return whether requests need keys, on routes that do not except them from it."""
        return self.accounts is not None

    @property
    def known_accounts(self) -> tuple[KeyedAccount, ...]:
        """Return the accounts, none if the document states none."""
        return () if self.accounts is None else self.accounts
