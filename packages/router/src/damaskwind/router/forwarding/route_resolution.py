"""Find the route and account of a request, by a newer table than the one in force if needed.

Callers don't retry a request that is answered 401 or 404. A router hears of a version before it
has fetched it, and until then it can't know whether a route or key is wrong. It therefore waits
before it refuses a request, but not before it forwards one.
"""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from damaskwind.decisions.routing.table import RouteTable, RoutingOutcome
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock

__all__ = ["MAX_WAIT_S", "Resolution", "RouteResolver"]

# A version is mostly in force within this time of the first word of it.
MAX_WAIT_S = 0.4


class Resolution(NamedTuple):
    """The outcome for a request and the table that gave it.

    A refusal that `is_uncertain` is given by a table which is known to be outdated.
    """

    table: RouteTable
    outcome: RoutingOutcome
    is_uncertain: bool


class RouteResolver:
    """The lookups of one router, which has a configuration in force."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._changed = asyncio.Event()
        view.on_configuration.append(self._wake)

    async def resolve(
        self, host: str, path: str, key: str | None, limit_s: float = MAX_WAIT_S
    ) -> Resolution:
        """Return the outcome for a request, after `limit_s` at most if it may be refused."""
        deadline_s = read_clock() + limit_s
        while True:
            table = self._view.table
            outcome = table.find(host, path, key)
            is_uncertain = bool(outcome.refusal) and self._view.sources.has_newer(table.version)
            left_s = deadline_s - read_clock()
            if not is_uncertain or left_s <= 0:
                return Resolution(table, outcome, is_uncertain)
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _wake(self, configuration: TrafficConfiguration) -> None:
        """Wake all that wait, since another table is in force."""
        self._changed.set()
        self._changed = asyncio.Event()
