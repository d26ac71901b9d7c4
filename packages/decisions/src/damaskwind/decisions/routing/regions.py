"""Restrict requests to the regions that their route and their client account allow."""

from collections.abc import Mapping

from damaskwind.model.traffic_configuration import KeyedAccount, TrafficRoute

__all__ = ["allowed_regions", "is_allowed"]


def allowed_regions(route: TrafficRoute, account: KeyedAccount | None) -> frozenset[str] | None:
    """Return the regions that both the route and the account allow; `None` if unrestricted.

    An empty list of regions allows none.

    >>> from damaskwind.model.traffic_configuration import RouteKind
    >>> route = TrafficRoute("r", "h", "/", RouteKind.STREAMING, (), 1.0, regions=("a", "b"))
    >>> sorted(allowed_regions(route, None))
    ['a', 'b']
    >>> allowed_regions(route, KeyedAccount("n", (), regions=("b", "c")))
    frozenset({'b'})
    >>> allowed_regions(route._replace(regions=None), KeyedAccount("n", ())) is None
    True
    >>> allowed_regions(route._replace(regions=()), KeyedAccount("n", ()))
    frozenset()
    """
    account_regions = account.regions if account is not None else None
    stated = [item for item in (route.regions, account_regions) if item is not None]
    return frozenset.intersection(*map(frozenset, stated)) if stated else None


def is_allowed(
    failure_domain: str, regions: frozenset[str] | None, region_of: Mapping[str, str]
) -> bool:
    """Return whether a request may be sent to a failure domain.

    A failure domain whose region is unknown belongs to no region.

    >>> is_allowed("d", frozenset("a"), {"d": "a"}), is_allowed("e", frozenset("a"), {"d": "a"})
    (True, False)
    >>> is_allowed("e", None, {})
    True
    """
    return regions is None or region_of.get(failure_domain) in regions
