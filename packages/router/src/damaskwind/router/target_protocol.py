"""The client side of one HTTP connection on the path of the chats, with bounded, valid heads."""

import re
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web._newclient import (
    BODY,
    DONE,
    HTTP11ClientProtocol,
    HTTPClientParser,
    ParseError,
)
from twisted.web.client import _HTTP11ClientFactory

__all__ = ["TargetProtocolFactory"]

# No target sends an answer whose head is larger than this, informational answers included.
HEAD_BYTES = 65_536
# A status code is a three-digit integer from 100 to 599 (RFC 9110, section 15).
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9][0-9]( .*)?", re.DOTALL)


def _check_status(parser: HTTPClientParser) -> None:
    """Have a parser refuse status lines whose status is none; it takes any integer by itself."""
    receive = parser.statusReceived

    def check(status_line: bytes) -> None:
        if _STATUS_LINE.fullmatch(status_line) is None:
            raise ParseError("no valid status", status_line)
        receive(status_line)

    parser.statusReceived = check


class _TargetProtocol(HTTP11ClientProtocol):
    """A client connection that is reset by a head without an end or a valid status."""

    _head_bytes = 0

    def request(self, request: Any) -> Deferred:
        """Send a request, whose answer's head begins with the next bytes."""
        self._head_bytes = 0
        answer = super().request(request)
        if self._parser is not None:
            _check_status(self._parser)
        return answer

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count the bytes until the head is complete, and parse them."""
        if self._parser is not None and self._parser.state not in (BODY, DONE):
            if self._head_bytes > HEAD_BYTES:
                self.transport.abortConnection()
                return
            self._head_bytes += len(data)
        super().dataReceived(data)


class TargetProtocolFactory(_HTTP11ClientFactory):
    """Makes the connections of a pool."""

    def buildProtocol(self, addr: Any) -> HTTP11ClientProtocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return _TargetProtocol(self._quiescentCallback)
