"""Keep in memory which versions began streams, for routers that write and ask.

A replica also tells which versions of a service it knows, so that a router which has not heard of
a release learns of it by its question.
"""

from collections.abc import Callable

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.streams.known_versions import KnownVersions
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
# A router hears within about a second that a replica has restarted, and writes down again what it
# held within another one; a call that fails takes half a second.
SETTLED_S = 3.0


class OriginsSite:
    """HTTP handler of one path of a replica's internal address."""

    def __init__(
        self, tallies: Tallies, targets: TargetTable, replicas: Callable[[], tuple[str, ...]]
    ) -> None:
        self.table = OriginTable(MAX_KEYS)
        self._tallies = tallies
        self._known = KnownVersions(targets)
        self._replicas = replicas
        self._started_s = read_clock()
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
        answer = encode_message(self._answer(found, call.services, now_s))
        self._tallies.count("stream_origins", len(call.entries), kind="written")
        self._tallies.count("stream_origins", len(call.keys), kind="asked")
        self._tallies.count("received_bytes", len(body), kind="stream-origins")
        self._tallies.count("sent_bytes", len(answer), kind="stream-origins")
        exchange.respond(Answer(200, [], answer))

    def _answer(
        self, found: tuple[tuple[str, ...], ...], services: tuple[str, ...], now_s: float
    ) -> OriginAnswer:
        if not services:
            return OriginAnswer(found)
        known = tuple(tuple(sorted(self._known.reported(name, now_s))) for name in services)
        is_settled = now_s - self._started_s >= SETTLED_S
        return OriginAnswer(found, known, self._replicas(), is_settled)
