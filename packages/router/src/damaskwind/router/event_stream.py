"""Scan a stream of server-sent events without parsing the JSON of each token.

Only complete events are forwarded, and tokens are counted. The end marker and the few
chunks that carry no token are found by substring searches over the bytes, so that a
token costs four searches and no parsing.
"""

from typing import Any

import msgspec

__all__ = ["EventScanner", "PassThrough"]

_END = b"\n\n"
_DONE = b"data: [DONE]"
_PREFIX = b"data:"
_FINISH = b'"finish_reason"'
_NULL = b"null"
_VALUE_BYTES = 7
# No engine sends a larger event.
MAX_EVENT_BYTES = 1024 * 1024


def _is_plain_token(event: bytes) -> bool:
    """Return whether the bytes of an event show that it is a token and nothing else."""
    if b"[DONE]" in event or b'"usage"' in event or b'"role"' in event:
        return False
    at = event.find(_FINISH)
    return at < 0 or _NULL in event[at + len(_FINISH) : at + len(_FINISH) + _VALUE_BYTES]


def _parse(event: bytes) -> dict[str, Any]:
    """Return an event's JSON object, or an empty one if it has none."""
    try:
        chunk = msgspec.json.decode(event.removeprefix(_PREFIX))
    except msgspec.DecodeError:
        return {}
    return chunk if isinstance(chunk, dict) else {}


def _has_token(chunk: dict[str, Any]) -> bool:
    """Return whether a chunk carries a generated token."""
    return any((choice.get("delta") or {}).get("content") for choice in chunk.get("choices") or ())


class EventScanner:
    """Forward the complete events of one answer and count the delivered tokens.

    `delivered_tokens` is the token from which an engine is asked to resume.
    `received_chunks` counts the pieces received, so that a stall can be detected.
    `complete` is set at the end marker; nothing is forwarded after it. `is_too_long` is set
    when an event exceeds `MAX_EVENT_BYTES`, so that it may have no end.

    >>> scanner = EventScanner(keep_usage=False)
    >>> scanner.feed(b"data: {}" + _END + b"data: {")
    b'data: {}\\n\\n'
    >>> scanner.feed(b"}" + _END + b"data: [DONE]" + _END)
    b'data: {}\\n\\ndata: [DONE]\\n\\n'
    >>> scanner.complete
    True
    """

    def __init__(self, keep_usage: bool) -> None:
        self.delivered_tokens = 0
        self.received_chunks = 0
        self.complete = False
        self.is_too_long = False
        self.usage: dict[str, Any] = {}
        self._keep_usage = keep_usage
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return those to forward now."""
        self.received_chunks += 1
        if self.complete:
            return b""
        data = self._take_complete(data)
        if not data:
            return b""
        if data.count(_END) == 1 and _is_plain_token(data):
            self.delivered_tokens += 1
            return data
        return b"".join(self._process_event(event) for event in data.split(_END)[:-1])

    def _take_complete(self, data: bytes) -> bytes:
        """Return the complete events of what came so far, and keep the rest."""
        if not self._partial and data.endswith(_END):
            return data
        searched_bytes = max(len(self._partial) - 1, 0)
        self._partial += data
        end = self._partial.rfind(_END, searched_bytes) + len(_END)
        if end < len(_END):
            self.is_too_long = len(self._partial) > MAX_EVENT_BYTES
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return complete

    def _process_event(self, event: bytes) -> bytes:
        """Count one event and return the bytes of it to forward."""
        if self.complete:
            return b""
        if event == _DONE:
            self.complete = True
            return event + _END
        if _is_plain_token(event):
            self.delivered_tokens += 1
            return event + _END
        chunk = _parse(event)
        self.delivered_tokens += _has_token(chunk)
        if chunk.get("usage"):
            self.usage = chunk["usage"]
            if not chunk.get("choices") and not self._keep_usage:
                return b""
        return event + _END

    def end(self, ended_normally: bool) -> bool:
        """Return whether the answer was complete, after its connection ended."""
        return self.complete

    def restart(self) -> None:
        """Discard the partial event of a cut answer before a resumed answer follows."""
        self._partial = bytearray()
        self.is_too_long = False


class PassThrough:
    """Forward a plain service's body unchanged; it is complete if its HTTP response is."""

    def __init__(self) -> None:
        self.received_chunks = 0
        self.complete = False
        self.is_too_long = False

    def feed(self, data: bytes) -> bytes:
        """Count a piece and return it."""
        self.received_chunks += 1
        return data

    def end(self, ended_normally: bool) -> bool:
        """Return whether the body was complete, after its connection ended."""
        self.complete = ended_normally
        return ended_normally

    def restart(self) -> None:
        """Do nothing: a plain service's answer is never resumed."""
