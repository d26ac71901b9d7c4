"""Find the route of a request by host and longest path prefix, and its account by key."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from damaskwind.decisions.cold_targets.cold_periods import ColdStartLimits
from damaskwind.model.traffic_configuration import (
    EngineProfile,
    KeyedAccount,
    TrafficConfiguration,
    TrafficRoute,
    TrafficService,
)

__all__ = ["RouteTable", "RoutingOutcome", "RoutingReason", "choose_service", "host_name"]

_HASH_RANGE = float(1 << 64)


class RoutingReason:
    """The reasons why a request has no route or no account."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


class RoutingOutcome(NamedTuple):
    """The route and account of a request, or in `refusal` the reason why one is missing."""

    route: TrafficRoute | None
    account: KeyedAccount | None = None
    refusal: str = ""


class RouteTable:
    """The routes and keys of one configuration version, indexed.

    >>> from damaskwind.model.traffic_configuration import RouteKind, ServiceShare
    >>> shares = (ServiceShare("s", 1),)
    >>> routes = [
    ...     TrafficRoute(n, "h", p, RouteKind.IDEMPOTENT, shares, 1.0, needs_key=False)
    ...     for n, p in (("all", "/"), ("long", "/a/b/"))
    ... ]
    >>> table = RouteTable(TrafficConfiguration(1, tuple(routes)))
    >>> table.find("h", "/a/b/c", None).route.name, table.find("h", "/a/x", None).route.name
    ('long', 'all')
    """

    def __init__(self, configuration: TrafficConfiguration) -> None:
        self.configuration = configuration
        self._routes = {(route.host, route.path_prefix): route for route in configuration.routes}
        self._routes_by_name = {
            (host_name(route.host), route.path_prefix): route for route in configuration.routes
        }
        self._accounts = {
            key: account for account in configuration.known_accounts for key in account.keys
        }
        self._health_paths = {item.name: item.health_path for item in configuration.services}
        self._cold_start_limits = {
            item.name: ColdStartLimits(item.cold_start_s, item.cold_per_s)
            for item in configuration.services
        }
        self._engine_profiles = {item.name: item.engine for item in configuration.services}

    def health_path(self, service: str) -> str:
        """Return the path of the health checks of a service's targets."""
        return self._health_paths.get(service, TrafficService(service).health_path)

    def cold_start_limits(self, service: str) -> ColdStartLimits:
        """Return the limits for cold targets of a service."""
        return self._cold_start_limits.get(service, ColdStartLimits())

    def engine_profile(self, service: str) -> EngineProfile | None:
        """Return the properties of a service's engines, if they are known."""
        return self._engine_profiles.get(service)

    @property
    def has_engine_profiles(self) -> bool:
        """Return whether the properties of the engines of any service are known."""
        return any(self._engine_profiles.values())

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration.version

    def find(self, host: str, path: str, key: str | None) -> RoutingOutcome:
        """Return the route and account of a request.

        The longest matching path prefix wins; prefixes end with a slash. A host that no route
        states as it was sent is compared without its port and regardless of case.
        A configuration that states no accounts requires no keys; one whose accounts are empty
        has no valid key.
        """
        route = _longest_match(self._routes, host, path)
        if route is None:
            route = _longest_match(self._routes_by_name, host_name(host), path)
        if route is None:
            return RoutingOutcome(None, None, RoutingReason.NO_ROUTE)
        account = self._accounts.get(key) if key else None
        if account is None and route.needs_key and self.configuration.requires_keys:
            return RoutingOutcome(route, None, RoutingReason.UNKNOWN_KEY)
        return RoutingOutcome(route, account)


def host_name(host: str) -> str:
    """Return the name in a Host header, in lower case (RFC 9110, sections 4.2.3 and 7.2).

    >>> host_name("Shop.Example:8080"), host_name("shop.example."), host_name("[2001:db8::1]:80")
    ('shop.example', 'shop.example', '[2001:db8::1]')
    """
    name, colon, port = host.rpartition(":")
    has_port = colon and (port.isdigit() or not port)
    return (name if has_port else host).lower().removesuffix(".")


def _longest_match(
    routes: Mapping[tuple[str, str], TrafficRoute], host: str, path: str
) -> TrafficRoute | None:
    """Return the route of a host with the longest prefix of a path."""
    end = path.rfind("/")
    while end >= 0:
        route = routes.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: TrafficRoute, draw: bytes) -> str:
    """Choose a service of a route at random by weight, with the hash of `draw`.

    The same bytes always give the same service, so that requests that share a cache
    stay together.

    >>> from damaskwind.model.traffic_configuration import RouteKind, ServiceShare
    >>> shares = (ServiceShare("a", 0), ServiceShare("b", 1))
    >>> choose_service(TrafficRoute("r", "h", "/", RouteKind.IDEMPOTENT, shares, 1.0), b"x")
    'b'
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    point = xxhash.xxh3_64_intdigest(draw) / _HASH_RANGE * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return next(share.service for share in reversed(shares) if share.weight > 0)
