"""Own the account of the bytes that a process holds, and give up what exceeds the bound.

One account serves all listening addresses of a process, since its memory is one.
"""

import asyncio
from contextlib import suppress
from itertools import count
from types import TracebackType

from loguru import logger

from damaskwind.decisions.held_bytes.body_queue import (
    MAX_WAIT_S,
    BodyQueue,
    BodyStep,
    is_body_stalled,
)
from damaskwind.decisions.held_bytes.bound import HeldBounds, derive_bounds
from damaskwind.decisions.held_bytes.connection_shares import CONNECTION_BYTES
from damaskwind.decisions.held_bytes.ledger import HeldLedger
from damaskwind.model.exception import DamaskwindError
from damaskwind.model.header_names import HeaderNames
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.held_memory import CallerSide
from damaskwind.runtime.http1.messages import Headers, header
from damaskwind.runtime.tallies import Tallies

__all__ = ["GivenUpError", "HeldBytes", "HeldRequest", "open_account"]


# What a header field takes as objects, of which there are three in the parser and one behind it.
HEADER_FIELD_BYTES = 320


class GivenUpError(DamaskwindError):
    """The answer to a request was given up, since too many bytes are in hand."""


class HeldRequest:
    """The account of one request.

    As a context manager it cancels the task inside when the answer is given up, and raises
    `GivenUpError` in its place.
    """

    def __init__(self, held_bytes: "HeldBytes", number: int, caller: CallerSide, name: str) -> None:
        self.number = number
        self.caller = caller
        self.name = name
        self.size_bytes = 0
        self.read_bytes = 0
        self.begun_s = read_clock()
        self._held_bytes = held_bytes
        self._ledger = held_bytes.ledger
        self._task: asyncio.Task | None = None
        self._is_given_up = False

    def begin_body(self, size_bytes: int) -> bool:
        """Return whether to read the body now; otherwise it waits, or was refused."""
        self.size_bytes = size_bytes
        return self._held_bytes.begin_body(self)

    def add_body(self, size_bytes: int) -> bool:
        """Record a piece that was read; return whether to read on."""
        self.read_bytes += size_bytes
        return bool(self.size_bytes) or self._held_bytes.grow_body(self, size_bytes)

    def hold(self, size_bytes: int) -> None:
        """Add bytes of the answer; a negative size releases them."""
        self._ledger.hold(self.number, size_bytes, read_clock())
        if size_bytes > 0:
            self._held_bytes.enforce_bound()

    def take(self, size_bytes: int) -> None:
        """Release bytes that the caller's socket has accepted."""
        self._ledger.take(self.number, size_bytes, read_clock())

    def release_body(self) -> None:
        """Release the bytes of the body, since the request won't be sent again."""
        self._held_bytes.release_body(self)

    def close(self) -> None:
        """Drop all that is held; a second call has no effect."""
        self._held_bytes.close(self)

    def give_up(self) -> None:
        """Reset an answer that has begun; end the work for one that has not."""
        self._is_given_up = True
        if self.caller.has_begun or self._task is None:
            self.caller.give_up()
        if self._task is not None:
            self._task.cancel()

    async def __aenter__(self) -> "HeldRequest":
        self._task = asyncio.current_task()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        task, self._task = self._task, None
        if self._is_given_up and error is None:
            # Given up by the last step of the task: its cancellation is still pending.
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(0)
            error = asyncio.CancelledError()
        if self._is_given_up and isinstance(error, asyncio.CancelledError | TimeoutError):
            task.uncancel()
            raise GivenUpError("given up, as too many bytes are in hand") from error


class HeldBytes:
    """The accounts of all requests of one process.

    Bodies that wait unread are told to resume or to refuse in a later turn of the event loop.
    """

    def __init__(self, bounds: HeldBounds, names: HeaderNames, tallies: Tallies) -> None:
        self.ledger = HeldLedger(bounds.total_bytes)
        self.bodies = BodyQueue(bounds.body_bytes)
        self._names = names
        self._tallies = tallies
        self._numbers = count(1)
        self._requests: dict[int, HeldRequest] = {}
        self._wait_limits: dict[int, asyncio.TimerHandle] = {}

    def register_gauges(self) -> None:
        """Register the gauges of the bytes in hand."""
        show, ledger, bodies = self._tallies.gauge, self.ledger, self.bodies
        show("held_bytes", "of requests and answers in hand", lambda: ledger.held_bytes)
        show("held_bytes_bound", "that may be in hand", lambda: ledger.bound_bytes)
        show("held_body_bytes", "of request bodies in hand", lambda: bodies.held_bytes)
        show("bodies_waiting", "request bodies left unread", lambda: bodies.waiting)

    def open(self, caller: CallerSide, headers: Headers) -> HeldRequest:
        """Return the account of a request whose head was read."""
        name = (header(headers, self._names.request_id) or b"").decode("latin-1")
        request = HeldRequest(self, next(self._numbers), caller, name)
        self._requests[request.number] = request
        self.ledger.open(request.number)
        self.ledger.hold_body(request.number, len(headers) * HEADER_FIELD_BYTES)
        return request

    def count_connections(self, change: int) -> None:
        """Account for connections that were opened, or closed where the change is negative."""
        self.ledger.hold_base(change * CONNECTION_BYTES)
        if change > 0:
            self.enforce_bound()

    def close(self, request: HeldRequest) -> None:
        """Drop what is held for a request, and read bodies that now have room."""
        if self._requests.pop(request.number, None) is None:
            return
        self.ledger.close(request.number)
        self._cancel_wait_limit(request.number)
        self._end_body(request)

    def release_body(self, request: HeldRequest) -> None:
        """Drop the body of a request that won't be sent again, and read others that have room."""
        self.ledger.release_body(request.number)
        self._end_body(request)

    def _end_body(self, request: HeldRequest) -> None:
        loop = asyncio.get_running_loop()
        for number in self.bodies.close(request.number, read_clock()):
            loop.call_soon(self._resume_body, number)

    def begin_body(self, request: HeldRequest) -> bool:
        """Decide about a request's body; return whether to read it now."""
        number, size_bytes = request.number, request.size_bytes
        self.enforce_bound()
        if self.ledger.is_full:
            self._tallies.count("request_bodies", step="no room")
            self._refuse_body(request)
            return False
        step = self.bodies.offer(number, size_bytes, read_clock())
        if step is BodyStep.REFUSE and self._time_out_stalled():
            step = self.bodies.offer(number, size_bytes, read_clock())
        self._tallies.count("request_bodies", step=step.name.lower())
        if step is BodyStep.READ:
            self.ledger.hold_body(number, size_bytes)
            self.enforce_bound()
        elif step is BodyStep.WAIT:
            limit = asyncio.get_running_loop().call_later(MAX_WAIT_S, self._end_wait, number)
            self._wait_limits[number] = limit
            self._log_body(request, "body left unread")
            self._time_out_stalled()
        else:
            self._refuse_body(request)
        return step is BodyStep.READ

    def grow_body(self, request: HeldRequest, size_bytes: int) -> bool:
        """Account for a piece of a body; return `False` if it was refused for lack of room."""
        if not self.bodies.grow(request.number, size_bytes):
            self._tallies.count("request_bodies", step="refuse")
            self._refuse_body(request)
            return False
        self.ledger.hold_body(request.number, size_bytes)
        self.enforce_bound()
        return True

    def enforce_bound(self) -> None:
        """Give up answers until the bytes in hand are within their bound."""
        while (number := self.ledger.victim(read_clock())) is not None:
            self._give_up(self._requests[number])

    def _give_up(self, request: HeldRequest) -> None:
        self._tallies.count("answers_given_up", begun=str(request.caller.has_begun).lower())
        logger.warning(
            "answer given up",
            request=request.name,
            begun=request.caller.has_begun,
            answer_bytes=self.ledger.answer_bytes(request.number),
            left_s=round(self.ledger.left_s(request.number, read_clock()), 1),
            held_bytes=self.ledger.held_bytes,
            bound_bytes=self.ledger.bound_bytes,
        )
        # What the task still refers to is freed in the next turn of the event loop.
        self.ledger.close(request.number)
        request.give_up()

    def _time_out_stalled(self) -> bool:
        """End the requests whose bodies come too slowly; return whether there were any."""
        now_s = read_clock()
        stalled = [
            request
            for number, request in self._requests.items()
            if number not in self._wait_limits
            and is_body_stalled(request.size_bytes, request.read_bytes, now_s - request.begun_s)
        ]
        for request in stalled:
            self._tallies.count("request_bodies", step="stalled")
            self._log_body(request, "body stalled")
            request.caller.time_out_body()
        return bool(stalled)

    def _resume_body(self, number: int) -> None:
        """Let a body be read that waited."""
        self._cancel_wait_limit(number)
        request = self._requests.get(number)
        if request is not None:
            self.ledger.hold_body(number, request.size_bytes)
            self.enforce_bound()
            request.begun_s = read_clock()
            request.caller.resume_body()

    def _end_wait(self, number: int) -> None:
        """Refuse a body that has waited for too long."""
        self._tallies.count("request_bodies", step="waited in vain")
        self._refuse_body(self._requests[number])

    def _refuse_body(self, request: HeldRequest) -> None:
        self._log_body(request, "body refused")
        retry_after_s = self.bodies.retry_after_s(request.size_bytes, read_clock())
        request.caller.refuse_body(retry_after_s)

    def _cancel_wait_limit(self, number: int) -> None:
        limit = self._wait_limits.pop(number, None)
        if limit is not None:
            limit.cancel()

    def _log_body(self, request: HeldRequest, message: str) -> None:
        logger.info(
            message,
            request=request.name,
            size_bytes=request.size_bytes,
            body_bytes=self.bodies.held_bytes,
            bound_bytes=self.bodies.bound_bytes,
            waiting=self.bodies.waiting,
            expected_wait_s=round(self.bodies.expected_wait_s(request.size_bytes, read_clock()), 3),
        )


def open_account(memory_bytes: int | None, names: HeaderNames, tallies: Tallies) -> HeldBytes:
    """Return the account of a process that is killed beyond `memory_bytes`, if that is known."""
    bounds = derive_bounds(memory_bytes)
    logger.info("held bytes bounded", memory_bytes=memory_bytes, **bounds._asdict())
    return HeldBytes(bounds, names, tallies)
