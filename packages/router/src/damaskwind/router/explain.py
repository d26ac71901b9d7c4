"""Record how each request was handled, and why, for a bounded number of requests."""

from collections import OrderedDict
from typing import Any, NamedTuple

from damaskwind.decisions.placement.messages import CandidateResult, PlacementChoice, PoolSnapshot
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict

__all__ = ["AttemptRecord", "ExplainLog", "RequestRecord", "router_of"]

_ID_SEPARATOR = "."
_MAX_CANDIDATES = 8


class AttemptRecord(NamedTuple):
    """One attempt at one target; `reason` and `detail` are empty if it succeeded."""

    target_id: str
    started_ms: float
    duration_ms: float
    verdict: Verdict
    reason: str = ""
    detail: str = ""


class ChoiceRecord(NamedTuple):
    """One placement: the chosen target, the reason, the candidates, and the pool's state."""

    at_ms: float
    target_id: str | None
    reason: str
    considered: int
    candidates: tuple[CandidateResult, ...]
    pool: PoolSnapshot

    def as_table(self) -> dict[str, Any]:
        """Return the placement as a plain table for JSON."""
        ranked = [target._asdict() for target in self.pool.first_in_rank]
        return {
            **self._asdict(),
            "candidates": [note._asdict() for note in self.candidates],
            "pool": {**self.pool._asdict(), "first_in_rank": ranked},
        }


class RequestRecord:
    """The record of one request; times count from its arrival."""

    __slots__ = ("account", "attempts", "choices", "ended", "events", "path", "request_id")
    __slots__ += ("started_s",)

    def __init__(self, request_id: str, path: str, started_s: float) -> None:
        self.request_id = request_id
        self.path = path
        self.started_s = started_s
        self.account = ""
        self.choices: list[ChoiceRecord] = []
        self.attempts: list[AttemptRecord] = []
        self.events: list[tuple[float, str]] = []
        self.ended: dict[str, Any] | None = None

    def elapsed_ms(self, now_s: float) -> float:
        """Return the milliseconds since the request arrived."""
        return round((now_s - self.started_s) * 1000, 2)

    def record_choice(self, choice: PlacementChoice, pool: PoolSnapshot, now_s: float) -> None:
        """Record a placement."""
        considered = len(choice.candidates)
        kept = choice.candidates[:_MAX_CANDIDATES]
        now_ms = self.elapsed_ms(now_s)
        self.choices.append(
            ChoiceRecord(now_ms, choice.target_id, str(choice.reason), considered, kept, pool)
        )

    def add_event(self, text: str, now_s: float) -> None:
        """Record another event that explains the result, such as a wait or a resume."""
        self.events.append((self.elapsed_ms(now_s), text))

    def end(self, verdict: Verdict, reason: Reason | None, detail: str, now_s: float) -> None:
        """Record how the request ended; only the first call counts."""
        if self.ended is None:
            duration_ms = self.elapsed_ms(now_s)
            self.ended = {"verdict": verdict, "reason": reason or "", "detail": detail}
            self.ended["duration_ms"] = duration_ms

    def as_table(self) -> dict[str, Any]:
        """Return the record as a plain table for JSON."""
        return {
            "request_id": self.request_id,
            "path": self.path,
            "client_account": self.account,
            "choices": [choice.as_table() for choice in self.choices],
            "attempts": [attempt._asdict() for attempt in self.attempts],
            "events": [{"at_ms": at_ms, "event": text} for at_ms, text in self.events],
            "end": self.ended,
        }


class ExplainLog:
    """The records of the last `limit` requests, by request id."""

    def __init__(self, limit: int) -> None:
        self._limit = max(limit, 1)
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def start(self, request_id: str, path: str, now_s: float) -> RequestRecord:
        """Start a record, and drop the oldest one if the limit is exceeded."""
        record = RequestRecord(request_id, path, now_s)
        self._records[request_id] = record
        if len(self._records) > self._limit:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return a request's record, or `None` if it is not stored."""
        return self._records.get(request_id)


def router_of(request_id: str) -> str:
    """Return the id of the router that issued a request id.

    >>> router_of("router-1.0f3a")
    'router-1'
    """
    return request_id.rpartition(_ID_SEPARATOR)[0]
