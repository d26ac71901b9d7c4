"""Programs of requests on one connection to an HTTP server, and what must come of them.

A program is what one caller writes, cut into pieces, and what happens to the server between
these: its limits change, its handler answers, a drain begins. It runs on a transport in memory,
so that the server sees exactly these pieces.
"""

import asyncio
from typing import NamedTuple

import h11
from hypothesis import strategies as st

from damaskwind.runtime.http1.connection_phase import PHASE_RULES
from damaskwind.runtime.http1.messages import Answer, Request
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.http1.server_connection import ServerConnection

__all__ = [
    "LARGE",
    "SMALL",
    "MemoryTransport",
    "Program",
    "SentRequest",
    "Step",
    "Waiting",
    "answer_body",
    "programs",
    "run_program",
]

SMALL = ServerLimits(600, 300, 5.0, 5.0)
LARGE = ServerLimits(2400, 1200, 5.0, 5.0)
# What requests keep to that are too large at all times.
EXCESSIVE = ServerLimits(4000, 2000)
# By how much ways to count the size of a head differ here: the request line and spaces.
COUNTING_BYTES = 300
# Turns of the event loop in which all that can go on does.
SETTLE_TURNS = 12
METHODS = (b"GET", b"POST", b"PUT", b"DELETE", b"HEAD")
TARGETS = (
    b"/a/",
    b"/a/b;c=1?q=%2F&r=//",
    b"//a//b/../c",
    b"/a%2Fb?x=http://h/",
    b"/a?" + b"q" * 60,
)


class SentRequest(NamedTuple):
    """A request as it is written, and the limits which it needs at least."""

    method: bytes
    target: bytes
    body: bytes
    wire: bytes
    head_bytes: int

    def fits(self, limits):
        """Return whether a request keeps to the limits, however its head is counted."""
        return self.head_bytes <= limits.header_bytes and len(self.body) <= limits.body_bytes

    def exceeds(self, limits):
        """Return whether a request is too large, however its head is counted."""
        is_head_larger = self.head_bytes > limits.header_bytes + COUNTING_BYTES
        return is_head_larger or len(self.body) > limits.body_bytes


class Step(NamedTuple):
    """Something that happens to the server once `at_bytes` were written."""

    at_bytes: int
    limits: ServerLimits | None = None
    answers: bool = False
    drains: bool = False


class Program(NamedTuple):
    """What a caller writes, where it is cut, and what happens meanwhile."""

    requests: tuple[SentRequest, ...]
    cuts: tuple[int, ...]
    steps: tuple[Step, ...]
    first_limits: ServerLimits
    has_memory: bool
    ends_with: bytes = b""
    refused: int | None = None


class MemoryTransport(asyncio.Transport):
    """A transport that keeps what is written, and hands over pieces while it may be read."""

    def __init__(self, protocol):
        super().__init__()
        self.written = b""
        self.is_closed = False
        self._protocol = protocol
        self._unread = []
        self._is_paused = False

    def feed(self, data):
        """Hand a piece to the protocol, or keep it until reading goes on."""
        self._unread.append(data)
        self._deliver()

    def _deliver(self):
        while self._unread and not self._is_paused and not self.is_closed:
            self._protocol.data_received(self._unread.pop(0))

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False
        asyncio.get_running_loop().call_soon(self._deliver)

    def write(self, data):
        self.written += bytes(data)

    def write_eof(self):
        pass

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    abort = close

    def is_closing(self):
        return self.is_closed

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name, default=None):
        return self if name == "socket" else default

    def setsockopt(self, *options):
        """Accept options as a socket does."""

    def fileno(self):
        return -1


class Waiting:
    """Accounts that let every second body wait for a turn of the event loop, and refuse one."""

    def __init__(self, refused):
        self._opened = 0
        self._refused = refused

    def open(self, caller, headers):
        self._opened += 1
        is_refused = self._opened - 1 == self._refused
        return _Account(caller, self._opened % 2 == 0 or is_refused, is_refused)


class _Account:
    def __init__(self, caller, waits, is_refused):
        self._caller = caller
        self._waits = waits
        self._is_refused = is_refused

    def begin_body(self, size_bytes):
        if self._is_refused:
            self._caller.refuse_body(1.0)
        elif self._waits:
            asyncio.get_running_loop().call_soon(self._caller.resume_body)
        return not self._waits

    def add_body(self, size_bytes):
        return True

    def hold(self, size_bytes):
        pass

    take = hold

    def release_body(self):
        pass

    close = release_body


class Outcome(NamedTuple):
    """The answers to a program as (status, body), what ran, and the bytes after the last."""

    answers: list[tuple[int, bytes]]
    ran: list[Request]
    is_closed: bool
    begun: int


def run_program(program):
    """Return the outcome of a program."""
    return asyncio.run(_run(program))


def answer_body(request):
    """Return the body with which the handler answers a request."""
    return b"%s %d" % (request.target, len(request.body))


async def _run(program):
    gate, ran = asyncio.Event(), []
    gate.set()

    async def handle(exchange):
        ran.append(exchange.request)
        await gate.wait()
        body = answer_body(exchange.request)
        if len(ran) % 2:
            exchange.respond(Answer(200, [], body))
            return
        exchange.begin(200, [])
        await asyncio.sleep(0)
        if exchange.request.method != b"HEAD":
            exchange.write(body)
        exchange.finish()

    memory = Waiting(program.refused) if program.has_memory else None
    server = HttpServer(handle, program.first_limits, memory)
    protocol = ServerConnection(server)
    transport = MemoryTransport(protocol)
    protocol.connection_made(transport)
    data = b"".join(request.wire for request in program.requests) + program.ends_with
    places = {0, len(data), *program.cuts, *(step.at_bytes for step in program.steps)}
    borders = sorted(place for place in places if place <= len(data))
    for start, end in zip(borders, [*borders[1:], len(data)], strict=True):
        for step in program.steps:
            if step.at_bytes == start:
                _take(step, server, gate)
        if start < end:
            transport.feed(data[start:end])
            for _ in range(1 + start % 3):
                await asyncio.sleep(0)
    gate.set()
    for _ in range(SETTLE_TURNS * (1 + len(program.requests))):
        await asyncio.sleep(0)
    is_closed = transport.is_closed or PHASE_RULES[protocol.phase].drops
    outcome = _parse(program, transport.written, ran, is_closed)
    transport.close()
    for _ in range(3):
        await asyncio.sleep(0)
    return outcome


def _take(step, server, gate):
    """Let a step happen to the server."""
    if step.limits is not None:
        server.limits = step.limits
    if step.answers:
        gate.set()
    else:
        gate.clear()
    if step.drains:
        server.close_after_answers()
        server.close_idle()


def _parse(program, written, ran, is_closed):
    """Return the outcome by a caller that parses the answers in the order of its requests."""
    answers, begun = [], 0
    for request in program.requests:
        if not written:
            break
        begun += 1
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=request.method, target=b"/", headers=[(b"host", b"h")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(written)
        status, body = 0, b""
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return Outcome(answers, ran, is_closed, begun)
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
        answers.append((status, body))
        written = parser.trailing_data[0]
    if written:
        raise AssertionError(f"bytes after the last answer: {written[:80]!r}")
    return Outcome(answers, ran, is_closed, begun)


def near(limit):
    """Return sizes up to a limit, most of them close to it."""
    return st.sampled_from((0, 1, limit // 2, limit - 2, limit - 1, limit))


@st.composite
def sent_requests(draw, number, limits):
    """Return a request that keeps to the limits, in any form that RFC 9112 allows."""
    method, target = draw(st.sampled_from(METHODS)), draw(st.sampled_from(TARGETS))
    target += (b"&" if b"?" in target else b"?") + b"n=%d" % number
    body = b"b" * draw(near(limits.body_bytes)) if draw(st.booleans()) else b""
    space = draw(st.sampled_from((b"", b" ", b"  ", b"\t")))
    counts_request_line = draw(st.booleans())
    fields = [b"Host:" + space + b"h.example", b"ATTEMPT-id:" + space + b"%d" % number]
    framed = _length_framed(draw, fields, space, body)
    if draw(st.booleans()):
        framed = _chunked(draw, fields, space, body)
    if draw(st.integers(0, 4)) == 0:
        fields.append(b"Expect: 100-continue")
    request_line = method + b" " + target + b" HTTP/1.1\r\n"
    head = request_line + b"".join(field + b"\r\n" for field in fields)
    counted = len(head) + 2 if counts_request_line else len(head) - len(request_line)
    room = limits.header_bytes - counted - len(b"X-F:" + space + b"\r\n")
    if room > 0:
        filler = b"X-F:" + space + b"f" * max(1, draw(near(room)))
        head, counted = head + filler + b"\r\n", counted + len(filler) + 2
    empty_lines = b"\r\n" * draw(st.sampled_from((0, 0, 0, 1, 2)))
    wire = empty_lines + head + b"\r\n" + framed
    return SentRequest(method, target, body, wire, counted)


def _length_framed(draw, fields, space, body):
    """Return a body with a length, which is added to the fields."""
    if body:
        fields.append(b"content-LENGTH:" + space + b"%d" % len(body))
    return body


def _chunked(draw, fields, space, body):
    """Return a body in chunks with extensions and trailers, which is stated in the fields."""
    fields[:] = [field for field in fields if not field.startswith(b"content-LENGTH")]
    fields.append(b"Transfer-Encoding:" + space + draw(st.sampled_from((b"chunked", b"Chunked"))))
    extension = draw(st.sampled_from((b"", b";x", b';name="a;b"', b" ;e=" + b"1" * 40)))
    extension = extension.lstrip(b" ")
    size = draw(st.sampled_from((1, 7, 64, 1000)))
    size = max(size, len(body) // 16)
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = [b"%x" % len(piece) + extension + b"\r\n" + piece + b"\r\n" for piece in pieces]
    trailer = draw(st.sampled_from((b"", b"X-T: 1\r\n", b"X-T:1\r\nX-U: " + b"u" * 200 + b"\r\n")))
    return b"".join(chunks) + b"0" + extension + b"\r\n" + trailer + b"\r\n"


@st.composite
def programs(draw, drains=False, has_excess=False):
    """Return a program of a few requests."""
    count = draw(st.integers(1, 4))
    sizes = (SMALL, LARGE, EXCESSIVE) if has_excess else (SMALL, SMALL, LARGE)
    requests = tuple(
        draw(sent_requests(number, draw(st.sampled_from(sizes)))) for number in range(count)
    )
    size = sum(len(request.wire) for request in requests)
    ends, end = [], 0
    for request in requests:
        end += len(request.wire)
        ends.append(end)
    place = st.one_of(
        st.integers(0, size),
        st.builds(
            lambda at, by: min(max(at + by, 0), size),
            st.sampled_from([0, *ends]),
            st.integers(-4, 4),
        ),
    )
    cuts = tuple(draw(st.lists(place, max_size=8)))
    limits = st.sampled_from((None, SMALL, LARGE))
    steps = draw(
        st.lists(st.builds(Step, place, limits, st.booleans(), st.just(False)), max_size=5)
    )
    if drains:
        steps.append(Step(draw(place), drains=True, answers=draw(st.booleans())))
    first = draw(st.sampled_from((SMALL, LARGE)))
    ends_with = draw(st.sampled_from((b"", b"\r\n")))
    return Program(requests, cuts, tuple(steps), first, draw(st.booleans()), ends_with)
