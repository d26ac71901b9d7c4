"""Query the HTTP addresses of other routers by datagram, on demand."""

from typing import Any

from twisted.internet.defer import Deferred

from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.runtime.settings import parse_address

__all__ = ["PeerAddresses"]

KIND = "http"
_QUERY = b"?"
_TIMEOUT_S = 1.0


class PeerAddresses:
    """Send and answer queries for HTTP addresses of routers."""

    def __init__(self, membership: Any, clock: Any) -> None:
        self._membership = membership
        self._clock = clock
        self._waiting: dict[str, list[Deferred]] = {}
        self.own_address = ""
        membership.register_kind(KIND, self._receive)

    def request_address(self, router_id: str) -> Deferred:
        """Return a Deferred with a router's address, or `None` if it does not answer in time."""
        answer: Deferred = Deferred()
        if not self._membership.send(KIND, router_id, _QUERY, Urgency.REPAIR):
            answer.callback(None)
            return answer
        self._waiting.setdefault(router_id, []).append(answer)
        timer = self._clock.callLater(_TIMEOUT_S, self._resolve, router_id, None)

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        return answer.addBoth(stop_timer)

    def _receive(self, router_id: str, payload: bytes) -> None:
        """Answer a query, or resolve pending queries with an answer."""
        if payload == _QUERY:
            own = self.own_address.encode()
            self._membership.send(KIND, router_id, own, Urgency.REPAIR)
            return
        try:
            address = parse_address(payload.decode("ascii"))
        except (ValueError, UnicodeDecodeError):
            return
        self._resolve(router_id, address)

    def _resolve(self, router_id: str, address: Any) -> None:
        """Resolve all pending queries for a router's address."""
        for answer in self._waiting.pop(router_id, []):
            answer.callback(address)
