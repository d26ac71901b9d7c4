"""A cheap load generator for `router_path.py`: raw connections with minimal parsing."""

import json
from typing import Any

from twisted.internet.protocol import Factory, Protocol

__all__ = ["LoadGenerator"]

OPEN_INTERVAL_S = 0.004
_TOKEN = b'"content":'
_HEAD_END = b"\r\n\r\n"


class _Caller(Protocol):
    """One connection that sends requests sequentially or holds one stream open."""

    def __init__(self, load: "LoadGenerator") -> None:
        self._load = load
        self._received = b""
        self._sent_s = 0.0
        self.tokens = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first request."""
        self.transport.setTcpNoDelay(True)
        self._send_request()

    def _send_request(self) -> None:
        """Send one request."""
        self._sent_s = self._load.reactor.seconds()
        self._received = b""
        self.transport.write(self._load.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count the tokens of a stream, or wait for the end of a whole answer."""
        if self._load.is_stream:
            self.tokens += data.count(_TOKEN)
            return
        self._received += data
        head, separator, body = self._received.partition(_HEAD_END)
        if not separator:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        ended = len(body) >= length if length else body.endswith(b"0\r\n\r\n")
        if ended:
            self._load.record_answer(head.startswith(b"HTTP/1.1 200"), self._sent_s)
            self._send_request()


class LoadGenerator:
    """Generate load on one address over a number of connections."""

    def __init__(self, reactor: Any, host: str, port: int, key: str, body: dict) -> None:
        self.reactor = reactor
        self.is_stream = False
        self.request = b""
        self._host = host
        self._port = port
        self._key = key
        self._body = body
        self._callers: list[_Caller] = []
        self._latencies_s: list[float] = []
        self._errors = 0

    def start(self, kind: str, count: int, seconds: float) -> None:
        """Open the connections and schedule the report."""
        self.is_stream = kind != "whole"
        body = json.dumps({**self._body, "stream": self.is_stream, "user": kind}).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: benchmark\r\n"
            f"authorization: Bearer {self._key}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        self.request = head.encode() + body
        factory = Factory.forProtocol(self._make_caller)
        factory.noisy = False
        from twisted.internet.endpoints import TCP4ClientEndpoint

        endpoint = TCP4ClientEndpoint(self.reactor, self._host, self._port)
        for number in range(count):
            self.reactor.callLater(number * OPEN_INTERVAL_S, endpoint.connect, factory)
        if kind == "hold":
            self.reactor.callLater(0.1, self._check_open, count)
        else:
            self.reactor.callLater(seconds, self._report)

    def _make_caller(self) -> _Caller:
        """Create one caller."""
        caller = _Caller(self)
        self._callers.append(caller)
        return caller

    def record_answer(self, is_ok: bool, sent_s: float) -> None:
        """Record an answer and its latency."""
        self._errors += not is_ok
        self._latencies_s.append(self.reactor.seconds() - sent_s)

    def _check_open(self, count: int) -> None:
        """Report once every stream has begun, and keep the streams open."""
        if sum(caller.tokens > 0 for caller in self._callers) < count:
            self.reactor.callLater(0.1, self._check_open, count)
            return
        print(json.dumps({"open": count}), flush=True)

    def _report(self) -> None:
        """Print the counts and stop the reactor."""
        latencies = sorted(self._latencies_s) or [0.0]
        results = {
            "tokens": sum(caller.tokens for caller in self._callers),
            "requests": len(self._latencies_s),
            "errors": self._errors,
        }
        for name in (50, 95, 99):
            index = min(len(latencies) - 1, len(latencies) * name // 100)
            results[f"p{name}_ms"] = latencies[index] * 1000
        print(json.dumps(results), flush=True)
        self.reactor.stop()
