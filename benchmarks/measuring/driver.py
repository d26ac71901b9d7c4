"""Send a trace through the routers and record the outcome of each request."""

import asyncio
import json
from typing import Any, NamedTuple

import treq
from treq.client import HTTPClient
from twisted.internet import reactor
from twisted.web.client import Agent, HTTPConnectionPool

from benchmarks.measuring.calendar_load import Call, Turn
from benchmarks.measuring.delays import DelayHistogram
from benchmarks.measuring.first_token import FirstToken
from damaskwind.model.prefix import ModelName
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.clock import read_clock

__all__ = ["CallOutcome", "Driver", "TurnOutcome"]

REQUEST_TIMEOUT_S = 40.0
_CONNECTIONS_PER_ROUTER = 128
_DONE = b"data: [DONE]"


class TurnOutcome(NamedTuple):
    """The outcome of a turn. `verdict` is empty when the caller received none."""

    turn: Turn
    request_id: str
    status: int
    verdict: str
    reason: str
    text: str
    is_complete: bool
    prompt_tokens: int
    cached_tokens: int
    detail: str = ""


class CallOutcome(NamedTuple):
    """The outcome of a call of a plain service."""

    call: Call
    request_id: str
    status: int
    verdict: str
    reason: str
    answer: dict[str, Any] | None
    detail: str = ""


class _Stream:
    """Parse a streamed answer as its caller receives it."""

    def __init__(self, started_s: float, driver: "Driver") -> None:
        self._asked_s = started_s
        self._driver = driver
        self._buffer = b""
        self._last_token: tuple[float, float] | None = None
        self.first_token_s: tuple[float, float] | None = None
        self.text: list[str] = []
        self.is_done = False
        self.error: dict[str, Any] = {}
        self.usage: dict[str, Any] = {}

    def feed(self, data: bytes) -> None:
        """Process received bytes."""
        received_s = read_clock()
        events = (self._buffer + data).split(b"\n\n")
        self._buffer = events.pop()
        for event in events:
            self._handle_event(event, received_s)

    def _handle_event(self, event: bytes, received_s: float) -> None:
        """Process one server-sent event."""
        if event.startswith(_DONE):
            self.is_done = True
            return
        lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
        if not lines:
            return
        chunk = json.loads(b"".join(lines))
        if "error" in chunk:
            self.error = chunk["error"]
        if chunk.get("usage"):
            self.usage = chunk["usage"]
        for choice in chunk.get("choices", ()):
            if choice["delta"].get("content"):
                self.text.append(choice["delta"]["content"])
                self._record_timing(chunk.get("timing"), received_s)

    def _record_timing(self, timing: dict[str, float] | None, received_s: float) -> None:
        """Record the delay that the path added to a token."""
        if timing is None:
            return
        made_s = timing["made_s"]
        if self._last_token is None:
            self.first_token_s = (timing["received_s"] - self._asked_s, received_s - made_s)
            self._driver.first_token.record(sum(self.first_token_s))
        else:
            last_received_s, last_made_s = self._last_token
            self._driver.between_tokens.record(
                (received_s - last_received_s) - (made_s - last_made_s)
            )
        self._last_token = (received_s, made_s)


def _header(response: Any, name: str) -> str:
    """Return the first value of a response header, or an empty text."""
    return (response.headers.getRawHeaders(name) or [""])[0]


def _parse_error(body: bytes) -> dict[str, Any]:
    """Return the error object of a body, empty if there is none."""
    try:
        return json.loads(body).get("error", {})
    except (ValueError, AttributeError):
        return {}


class Driver:
    """Send turns and calls at their scheduled times and record the outcomes."""

    def __init__(self, routers: list[str], keys: dict[str, str], model: ModelName) -> None:
        self._routers = routers
        self._keys = keys
        self._model = model
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _CONNECTIONS_PER_ROUTER
        pool.retryAutomatically = False
        self._pool = pool
        self._client = HTTPClient(Agent(reactor, pool=pool))
        self._chats: dict[int, asyncio.Future] = {}
        self.first_token = DelayHistogram()
        self.between_tokens = DelayHistogram()
        self.first_tokens: list[FirstToken] = []
        self.turns: list[TurnOutcome] = []
        self.calls: list[CallOutcome] = []

    async def run(self, turns: list[Turn], calls: list[Call], started_s: float) -> None:
        """Run a trace whose times count from `started_s`."""
        jobs = [(turn.at_s, self._run_turn(turn)) for turn in turns]
        jobs += [(call.at_s, self._run_call(call)) for call in calls]
        tasks = [asyncio.ensure_future(_run_at(started_s + at_s, job)) for at_s, job in jobs]
        await asyncio.gather(*tasks)

    async def close(self) -> None:
        """Close the connections."""
        await to_future(self._pool.closeCachedConnections())

    async def _run_turn(self, turn: Turn) -> None:
        """Send a turn after the previous turn of its chat has ended."""
        earlier = self._chats.get(turn.chat)
        finished = self._chats[turn.chat] = asyncio.get_running_loop().create_future()
        if earlier is not None:
            await earlier
        try:
            address = self._routers[turn.router]
            headers = {"authorization": f"Bearer {self._keys[turn.account]}"}
            self.turns.append(await self.stream(turn, address, headers))
        finally:
            finished.set_result(None)

    async def stream(self, turn: Turn, address: str, headers: dict[str, str]) -> TurnOutcome:
        """Send a turn to an address and read the streamed answer."""
        body = {
            "model": self._model.model,
            "messages": [message._asdict() for message in turn.messages],
            "max_tokens": turn.answer_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "user": turn.account,
        }
        stream = _Stream(read_clock(), self)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await to_future(
                    self._client.post(
                        f"http://{address}/v1/chat/completions",
                        json=body,
                        headers=headers,
                        unbuffered=True,
                    )
                )
                if response.code != 200:
                    return await _refused_turn(turn, response)
                await to_future(treq.collect(response, stream.feed))
        except Exception as error:
            return _finished_turn(turn, "", 0, stream, repr(error))
        request_id = _header(response, "x-request-id")
        if stream.first_token_s is not None:
            to_engine_s, to_caller_s = stream.first_token_s
            self.first_tokens.append(
                FirstToken(request_id, to_engine_s * 1000, to_caller_s * 1000, turn.at_s)
            )
        return _finished_turn(turn, request_id, 200, stream, "")

    async def _run_call(self, call: Call) -> None:
        """Send one call of a plain service."""
        headers = {"authorization": f"Bearer {self._keys[call.account]}"}
        if call.key:
            headers["idempotency-key"] = call.key
        url = f"http://{self._routers[call.router]}{call.path}"
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                sent = self._client.request(call.method, url, data=call.body, headers=headers)
                response = await to_future(sent)
                body = await to_future(response.content())
        except Exception as error:
            self.calls.append(CallOutcome(call, "", 0, "", "", None, repr(error)))
            return
        error = _parse_error(body)
        answer = json.loads(body) if response.code == 200 else None
        verdict = _header(response, "x-verdict")
        request_id = _header(response, "x-request-id")
        reason = str(error.get("code", ""))
        self.calls.append(CallOutcome(call, request_id, response.code, verdict, reason, answer))


async def _run_at(at_s: float, job: Any) -> None:
    """Await a job at a time of the monotonic clock."""
    await asyncio.sleep(max(at_s - read_clock(), 0.0))
    await job


async def _refused_turn(turn: Turn, response: Any) -> TurnOutcome:
    """Return the outcome of a turn that was refused before it streamed."""
    error = _parse_error(await to_future(response.content()))
    return TurnOutcome(
        turn,
        _header(response, "x-request-id"),
        response.code,
        _header(response, "x-verdict"),
        str(error.get("code", "")),
        "",
        False,
        0,
        0,
        str(error.get("message", "")),
    )


def _finished_turn(
    turn: Turn, request_id: str, status: int, stream: _Stream, detail: str
) -> TurnOutcome:
    """Return the outcome of a turn that streamed."""
    is_complete = stream.is_done and not stream.error
    details = stream.usage.get("prompt_tokens_details") or {}
    return TurnOutcome(
        turn,
        request_id,
        status,
        "ran" if is_complete else str(stream.error.get("verdict", "")),
        str(stream.error.get("code", "")),
        "".join(stream.text),
        is_complete,
        stream.usage.get("prompt_tokens", 0),
        details.get("cached_tokens", 0),
        detail or str(stream.error.get("message", "")),
    )
