"""Let operators list, order and lift evacuations at a replica's metrics address."""

from urllib.parse import unquote

import msgspec

from damaskwind.control.fleet.evacuation_calls import EvacuationCalls, EvacuationStatus
from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer

__all__ = ["EVACUATIONS_PATH", "EvacuationsSite"]

EVACUATIONS_PATH = b"/operator/v1/evacuations"
_JSON = [(b"content-type", b"application/json")]
_ORDERS = {b"PUT": True, b"DELETE": False}
_STATUS = {
    EvacuationStatus.ACKNOWLEDGED: 200,
    EvacuationStatus.NO_SUCH_DOMAIN: 404,
    EvacuationStatus.UNKNOWN: 503,
}


class EvacuationsSite:
    """Handler of `GET EVACUATIONS_PATH`, and of `PUT` and `DELETE EVACUATIONS_PATH/DOMAIN`."""

    def __init__(self, calls: EvacuationCalls, feed: NewsFeed) -> None:
        self._calls = calls
        self._feed = feed

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call of an operator."""
        request = exchange.request
        rest = request.target.removeprefix(EVACUATIONS_PATH)
        if request.method == b"GET" and not rest:
            exchange.respond(Answer(200, _JSON, msgspec.json.encode(self._shown())))
            return
        is_evacuated = _ORDERS.get(request.method)
        if is_evacuated is None or not rest.startswith(b"/"):
            exchange.respond(Answer(405, []))
            return
        failure_domain = unquote(rest[1:].decode("latin-1"))
        result = await self._calls.order(failure_domain, is_evacuated, exchange.caller)
        body = {"failure_domain": failure_domain, "message": result.detail}
        exchange.respond(Answer(_STATUS[result.status], _JSON, msgspec.json.encode(body)))

    def _shown(self) -> dict[str, object]:
        evacuations = self._feed.evacuations()
        return {
            "revision": evacuations.revision,
            "failure_domains": list(evacuations.failure_domains),
        }
