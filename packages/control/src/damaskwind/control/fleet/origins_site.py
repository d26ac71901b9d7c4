"""Keep in memory which versions began streams, for routers that write and ask."""

from damaskwind.decisions.streams.origin_table import OriginTable
from damaskwind.model.exception import MessageError
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.stream_origins import OriginAnswer, decode_call, encode_message

__all__ = ["OriginsSite"]

# Keys that a replica holds; each stream has two.
MAX_KEYS = 131_072


class OriginsSite:
    """HTTP handler of one path of a replica's internal address."""

    def __init__(self, tallies: Tallies) -> None:
        self.table = OriginTable(MAX_KEYS)
        self._tallies = tallies
        tallies.gauge("stream_origin_keys", "of streams written down", lambda: len(self.table))
        tallies.gauge("stream_origins_evicted", "for want of room", lambda: self.table.evicted)

    async def handle(self, exchange: Exchange) -> None:
        """Merge what a router writes down, and answer what it asks for."""
        body = exchange.request.body
        try:
            call = decode_call(body)
        except MessageError as error:
            exchange.respond(Answer(400, [], str(error).encode()))
            return
        now_s = read_clock()
        for entry in call.entries:
            self.table.merge(entry, now_s)
        found = tuple(tuple(sorted(self.table.versions(key, now_s))) for key in call.keys)
        answer = encode_message(OriginAnswer(found))
        self._tallies.count("stream_origins", len(call.entries), kind="written")
        self._tallies.count("stream_origins", len(call.keys), kind="asked")
        self._tallies.count("received_bytes", len(body), kind="stream-origins")
        self._tallies.count("sent_bytes", len(answer), kind="stream-origins")
        exchange.respond(Answer(200, [], answer))
