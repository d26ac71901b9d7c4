"""Check a traffic configuration for contradictions before it is published."""

from collections import Counter

from damaskwind.model.traffic_configuration import TrafficConfiguration, TrafficRoute

__all__ = ["configuration_mistakes"]


def configuration_mistakes(configuration: TrafficConfiguration) -> list[str]:
    """Return one message per contradiction; an empty list means that it may be published.

    >>> configuration_mistakes(TrafficConfiguration(0))
    ['version: expected a number above 0, got 0']
    """
    mistakes = []
    if configuration.version <= 0:
        mistakes.append(f"version: expected a number above 0, got {configuration.version}")
    services = {service.name for service in configuration.services}
    if len(services) < len(configuration.services):
        mistakes.append("services: two have the same name")
    for route in configuration.routes:
        mistakes += _route_mistakes(route, services)
    locations = Counter((route.host, route.path_prefix) for route in configuration.routes)
    mistakes += [
        f"routes: {count} routes share {host}{prefix}"
        for (host, prefix), count in locations.items()
        if count > 1
    ]
    key_counts = Counter(
        key for account in configuration.known_accounts for key in dict.fromkeys(account.keys)
    )
    if any(count > 1 for count in key_counts.values()):
        mistakes.append("accounts: two share a key")
    return mistakes


def _route_mistakes(route: TrafficRoute, services: set[str]) -> list[str]:
    """Return one message per mistake of a route."""
    mistakes = []
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        mistakes.append(f"route {route.name}: prefix must begin and end with a slash")
    if route.timeout_s <= 0:
        mistakes.append(f"route {route.name}: timeout must be above 0")
    for share in route.shares:
        if share.service not in services:
            mistakes.append(f"route {route.name}: unknown service {share.service}")
    if any(share.weight < 0 for share in route.shares):
        mistakes.append(f"route {route.name}: a weight is below 0")
    if sum(share.weight for share in route.shares) <= 0:
        mistakes.append(f"route {route.name}: weights add up to 0")
    return mistakes
