"""Show operators the requests that are suspected or known as fatal, and let them clear these."""

import msgspec
from loguru import logger

from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.decisions.fatal_requests.identity import DIGEST_BYTES
from damaskwind.decisions.fatal_requests.suspicion import Standing
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer

__all__ = ["FATAL_REQUESTS_PATH", "FatalRequestsSite"]

FATAL_REQUESTS_PATH = b"/operator/v1/fatal-requests"
_JSON = [(b"content-type", b"application/json")]


class FatalRequestsSite:
    """Handler of `GET FATAL_REQUESTS_PATH` and `DELETE FATAL_REQUESTS_PATH/DIGEST`."""

    def __init__(self, feed: NewsFeed) -> None:
        self._feed = feed

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call of an operator."""
        request = exchange.request
        rest = request.target.removeprefix(FATAL_REQUESTS_PATH)
        if request.method == b"GET" and not rest:
            exchange.respond(Answer(200, _JSON, msgspec.json.encode(self._shown())))
            return
        if request.method == b"DELETE" and rest.startswith(b"/"):
            self._lift(exchange, rest[1:])
            return
        exchange.respond(Answer(405, []))

    def _shown(self) -> dict[str, list[dict[str, object]]]:
        now_s, table = read_clock(), self._feed.suspicions
        rows = [
            {
                "digest": item.digest.hex(),
                "standing": table.standing(item.digest, now_s),
                "targets_ended": item.ends,
                "age_s": item.age_s,
            }
            for item in table.entries(table.digests(), now_s)
        ]
        return {"requests": [row for row in rows if row["standing"] is not Standing.CLEAR]}

    def _lift(self, exchange: Exchange, digest_hex: bytes) -> None:
        """Clear the request that an operator names; routers get this with their next updates."""
        try:
            digest = bytes.fromhex(digest_hex.decode("latin-1"))
        except ValueError:
            digest = b""
        if len(digest) != DIGEST_BYTES:
            body = {"message": f"expected a digest of {2 * DIGEST_BYTES} hexadecimal digits"}
            exchange.respond(Answer(400, _JSON, msgspec.json.encode(body)))
            return
        if not self._feed.clear_suspicion(digest):
            body = {"message": "this request is neither suspected nor held fatal"}
            exchange.respond(Answer(404, _JSON, msgspec.json.encode(body)))
            return
        logger.info("request lifted", digest=digest.hex(), caller=exchange.caller)
        exchange.respond(Answer(200, _JSON, msgspec.json.encode({"lifted": digest.hex()})))
