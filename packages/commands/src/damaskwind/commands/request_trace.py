"""Merge the log lines of several VMs that relate to one request.

A router logs one line per request, when it ends. Its causes are logged elsewhere: in the
router's own events (targets unreachable, replicas lost, versions in force) and in what other VMs
logged about the same targets at the same time.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

__all__ = ["LogLine", "RequestTrace", "read_lines", "trace_request", "trace_text"]

# Lines from this long before a request's start until this long after its end are related to it.
# The loss of a target or replica is detected within seconds: heartbeats are 1.2 s apart, and four
# missed ones make a target silent.
LEAD_S = 5.0
LAG_S = 1.0
_REQUEST_EVENTS = ("request ended", "request refused")
# Events of a router that affect all its requests.
_NODE_EVENTS = (
    "replica heard",
    "replica lost",
    "configuration in force",
    "readiness changed",
    "drain begun",
    "drain ended",
    "started",
    "stopping",
    "log lines dropped",
)
_COMMON_FIELDS = ("time_s", "level", "node", "event")
_ATTEMPT_FIELDS = (
    "target",
    "rank",
    "load",
    "bound",
    "load_age_s",
    "donor",
    "outcome",
    "at_ms",
    "took_ms",
    "first_ms",
)


class LogLine(NamedTuple):
    """One log line of a process: seconds since 1970, the node, the event and the other fields."""

    time_s: float
    node: str
    event: str
    fields: dict[str, Any]


class RequestTrace(NamedTuple):
    """The lines of a request, related lines in time order, and the count of unreadable lines."""

    request: list[LogLine]
    around: list[LogLine]
    unreadable: int


def read_lines(lines: Iterable[bytes]) -> Iterator[LogLine | None]:
    """Decode log lines; yield `None` for each malformed one.

    A prefix before a line's JSON, such as a log collector's timestamp, is ignored.

    >>> list(read_lines([b'12:00 {"time_s":1.0,"node":"r","event":"started","role":"router"}']))
    [LogLine(time_s=1.0, node='r', event='started', fields={'role': 'router'})]
    """
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            if line.strip():
                yield None
            continue
        try:
            table = msgspec.json.decode(line[start:], type=dict[str, Any])
            fields = {key: value for key, value in table.items() if key not in _COMMON_FIELDS}
            node = table.get("node", "")
            yield LogLine(float(table["time_s"]), node, table["event"], fields)
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            yield None


def trace_request(request_id: str, lines: Iterable[LogLine | None]) -> RequestTrace:
    """Collect the lines of a request and the lines related to it."""
    parsed = list(lines)
    unreadable = parsed.count(None)
    logged = sorted((line for line in parsed if line is not None), key=lambda line: line.time_s)
    request_lines = [
        line
        for line in logged
        if line.event in _REQUEST_EVENTS and line.fields.get("request") == request_id
    ]
    around = [
        line for line in logged if any(_is_related(line, request) for request in request_lines)
    ]
    return RequestTrace(request_lines, around, unreadable)


def _is_related(line: LogLine, request: LogLine) -> bool:
    """Return whether a line is close to a request in time and concerns its targets or router."""
    started_s = _started_s(request)
    if not started_s - LEAD_S <= line.time_s <= request.time_s + LAG_S:
        return False
    if line.event in _REQUEST_EVENTS:
        return False
    attempted = {attempt[0] for attempt in request.fields.get("attempts", [])}
    if line.fields.get("target") in attempted:
        return True
    return line.node == request.node and line.event in _NODE_EVENTS


def _started_s(request: LogLine) -> float:
    """Return when a request started, computed from its final log line."""
    return request.time_s - request.fields.get("took_ms", 0) / 1000


def trace_text(trace: RequestTrace) -> str:
    """Format a trace as text, with times in ms since the request's start."""
    started_s = _started_s(trace.request[0])
    parts = []
    for request in trace.request:
        summary = {key: value for key, value in request.fields.items() if key != "attempts"}
        parts.append(f"{request.node}: {request.event}")
        parts += [f"  {key}: {_value(value)}" for key, value in summary.items()]
        parts += [_attempt_text(attempt) for attempt in request.fields.get("attempts", [])]
    parts.append("around it, in ms from its start:")
    for line in trace.around:
        fields_text = " ".join(f"{key}={_value(value)}" for key, value in line.fields.items())
        at_ms = round((line.time_s - started_s) * 1000)
        parts.append(f"{at_ms:>8}  {line.node}  {line.event}  {fields_text}".rstrip())
    if not trace.around:
        parts.append("       -  nothing was logged")
    if trace.unreadable:
        parts.append(f"{trace.unreadable} lines could not be read")
    return "\n".join(parts)


def _attempt_text(attempt: list[Any]) -> str:
    """Format one attempt with the names of its fields."""
    named = zip(_ATTEMPT_FIELDS, attempt, strict=False)
    return "  sent: " + " ".join(f"{name}={_value(value)}" for name, value in named)


def _value(value: Any) -> str:
    """Format a value; an empty one becomes a dash."""
    if value in (None, ""):
        return "-"
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
