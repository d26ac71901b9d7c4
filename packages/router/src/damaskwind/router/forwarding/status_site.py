"""Show operators whether a router is behind, by how much, and which replicas it waits for."""

import msgspec

from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer

__all__ = ["ROUTER_STATUS_PATH", "RouterStatusSite"]

# `damaskwind status` asks each endpoint for this path.
ROUTER_STATUS_PATH = b"/operator/v1/router"
_JSON = [(b"content-type", b"application/json")]


class RouterStatusSite:
    """Handler of `GET ROUTER_STATUS_PATH` at a router's metrics address."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call of an operator."""
        request = exchange.request
        if (request.method, request.target) != (b"GET", ROUTER_STATUS_PATH):
            exchange.respond(Answer(405, []))
            return
        exchange.respond(Answer(200, _JSON, msgspec.json.encode(self._shown())))

    def _shown(self) -> dict[str, object]:
        """Return what is shown; `behind_s` is 0 if no newer configuration is known here."""
        view = self._view
        return {
            "router_id": view.node_id,
            "revision_in_force": view.known_version(),
            "revision_known": max(view.known_version(), view.sources.newest_version()),
            "behind_s": round(view.documents.lag.behind_s(read_clock()), 3),
            "waits_for": view.documents.waits_for(),
        }
