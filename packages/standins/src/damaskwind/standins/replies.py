"""Write an engine's answers, whole or streamed, with the armed faults."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from damaskwind.runtime.clock import read_clock
from damaskwind.standins.batching import Generation
from damaskwind.standins.faults import Fault
from damaskwind.standins.listening import raw_transport

__all__ = ["ReplyOptions", "send_whole", "stream_reply", "whole_reply"]

_LATE_DELAY_S = 0.02
_MISSING_BYTES = 16
_LATE_BODY = b'{"id": "chatcmpl-late", "choices": []}'
_LATE_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-request-id: late\r\n"
    b"content-length: %d\r\n\r\n%s" % (len(_LATE_BODY), _LATE_BODY)
)


class ReplyOptions(NamedTuple):
    """How to answer; some faults set `reply_id` and `reply_tokens` of another request.

    With `timing_start_s`, the time at which the request was received, each chunk
    includes timing.
    """

    model: str
    reply_id: str
    reply_tokens: list[str]
    finish_reason: str
    include_usage: bool = False
    from_token: int = 0
    timing_start_s: float | None = None
    faults: frozenset[Fault] = frozenset()


def _usage(generation: Generation) -> dict[str, Any]:
    """Return the token usage of a generation."""
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced_tokens,
        "total_tokens": generation.prompt_tokens + generation.produced_tokens,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


def _head(options: ReplyOptions, kind: str) -> dict[str, Any]:
    """Return the fields common to all objects of an answer."""
    return {
        "id": f"chatcmpl-{options.reply_id}",
        "object": kind,
        "created": 0,
        "model": options.model,
    }


def _event(options: ReplyOptions, choices: list[dict], **extra: Any) -> bytes:
    """Return one server-sent event."""
    chunk = _head(options, "chat.completion.chunk") | {"choices": choices} | extra
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _delta(
    options: ReplyOptions, delta: dict, finish_reason: str | None, now_s: float = 0.0
) -> bytes:
    """Return the event for one delta."""
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    if options.timing_start_s is None:
        return _event(options, [choice])
    timing = {"received_s": options.timing_start_s, "made_s": now_s}
    return _event(options, [choice], timing=timing)


def _send_late_answer(clock: Any, request: Any) -> None:
    """Send an unrequested answer on the connection after the actual one."""
    transport = raw_transport(request)

    def send() -> None:
        if transport.connected:
            transport.write(_LATE_ANSWER)

    clock.callLater(_LATE_DELAY_S, send)


class _Stream:
    """Stream the tokens of a generation to one caller as they are produced."""

    def __init__(
        self, clock: Any, request: Any, generation: Generation, options: ReplyOptions
    ) -> None:
        self._clock = clock
        self._request = request
        self._generation = generation
        self._options = options
        self.done: Deferred = Deferred()
        self._is_open = True

    def start(self) -> None:
        """Send the tokens produced so far and listen for the rest."""
        self._request.setHeader("content-type", "text/event-stream")
        self._generation.listener = self.on_token
        for index in range(self._options.from_token, self._generation.produced_tokens):
            self.on_token(index, self._generation.answer[index])
        if self._generation.finished:
            self.on_token(self._generation.produced_tokens, None)

    def on_token(self, index: int, token: str | None) -> None:
        """Send a token, or the end of the answer if `token` is `None`."""
        if not self._is_open:
            return
        if token is None:
            self._end()
            return
        delta: dict[str, str] = {"content": self._options.reply_tokens[index]}
        if index == 0:
            delta["role"] = "assistant"
        self._request.write(_delta(self._options, delta, None, read_clock()))
        is_middle = index + 1 >= (len(self._generation.answer) + 1) // 2
        if Fault.CUT_ANSWER in self._options.faults and is_middle:
            self._is_open = False
            raw_transport(self._request).loseConnection()

    def _end(self) -> None:
        """Send the last events of the answer."""
        self._is_open = False
        options = self._options
        self._request.write(_delta(options, {}, options.finish_reason))
        if options.include_usage:
            self._request.write(_event(options, [], usage=_usage(self._generation)))
        if Fault.NO_END_MARKER not in options.faults:
            self._request.write(b"data: [DONE]\n\n")
        if Fault.LATE_EXTRA in options.faults:
            _send_late_answer(self._clock, self._request)
        self.done.callback(None)

    def detach(self) -> None:
        """Stop writing: the caller has disconnected."""
        self._is_open = False


def stream_reply(
    clock: Any, request: Any, generation: Generation, options: ReplyOptions
) -> tuple[Deferred, Callable[[], None]]:
    """Stream a generation; return a `Deferred` of its end and a function to detach the caller."""
    stream = _Stream(clock, request, generation, options)
    stream.start()
    return stream.done, stream.detach


def _whole_body(generation: Generation, options: ReplyOptions) -> bytes:
    """Return the body of an answer that is not streamed."""
    message = {"role": "assistant", "content": "".join(options.reply_tokens)}
    choice = {"index": 0, "message": message, "finish_reason": options.finish_reason}
    answer = _head(options, "chat.completion")
    answer |= {"choices": [choice], "usage": _usage(generation)}
    return json.dumps(answer).encode()


def send_whole(clock: Any, request: Any, body: bytes, faults: frozenset[Fault]) -> bool:
    """Send a body with the given faults; return whether the answer is complete."""
    if Fault.CUT_ANSWER in faults or Fault.WRONG_LENGTH in faults:
        missing = _MISSING_BYTES if Fault.WRONG_LENGTH in faults else len(body) // 2
        sent = body if Fault.WRONG_LENGTH in faults else body[: len(body) // 2]
        request.setHeader("content-length", str(len(sent) + missing))
        request.write(sent)
        request.loseConnection()
        return False
    request.setHeader("content-length", str(len(body)))
    request.write(body)
    if Fault.LATE_EXTRA in faults:
        _send_late_answer(clock, request)
    return True


def whole_reply(
    clock: Any, request: Any, generation: Generation, options: ReplyOptions
) -> tuple[Deferred, Callable[[], None]]:
    """Answer when the generation ends; the return value is as for `stream_reply`."""
    done: Deferred = Deferred()

    def on_token(index: int, token: str | None) -> None:
        if token is not None or done.called:
            return
        request.setHeader("content-type", "application/json")
        if send_whole(clock, request, _whole_body(generation, options), options.faults):
            done.callback(None)

    def detach() -> None:
        generation.listener = None

    generation.listener = on_token
    if generation.finished:
        on_token(generation.produced_tokens, None)
    return done, detach
