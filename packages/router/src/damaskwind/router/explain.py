"""Keep a bounded record of what was done with each request, and why."""

from collections import OrderedDict
from typing import Any, NamedTuple

from damaskwind.decisions.placement.messages import CandidateResult, PlacementChoice, PoolSnapshot
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict

__all__ = ["AttemptRecord", "ExplainLog", "RequestRecord", "router_of"]

_ID_SEPARATOR = "."
_MAX_CANDIDATES = 8


class AttemptRecord(NamedTuple):
    """One attempt at one target; `reason` and `detail` are empty when it served."""

    target_id: str
    started_ms: float
    duration_ms: float
    verdict: Verdict
    reason: str = ""
    detail: str = ""


class ChoiceRecord(NamedTuple):
    """One placement: the choice, why, the candidates asked, and the pool they came from."""

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
    """What is known of one request; times count from its arrival."""

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
        """Return the milliseconds since the request came."""
        return round((now_s - self.started_s) * 1000, 2)

    def record_choice(self, choice: PlacementChoice, pool: PoolSnapshot, now_s: float) -> None:
        """Note a placement."""
        considered = len(choice.candidates)
        kept = choice.candidates[:_MAX_CANDIDATES]
        now_ms = self.elapsed_ms(now_s)
        self.choices.append(
            ChoiceRecord(now_ms, choice.target_id, str(choice.reason), considered, kept, pool)
        )

    def add_event(self, text: str, now_s: float) -> None:
        """Note anything else that mattered: a wait, a resume, a crossed answer."""
        self.events.append((self.elapsed_ms(now_s), text))

    def end(self, verdict: Verdict, reason: Reason | None, detail: str, now_s: float) -> None:
        """Note how it ended; the first end counts."""
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
    """The last `limit` requests by id."""

    def __init__(self, limit: int) -> None:
        self._limit = max(limit, 1)
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def start(self, request_id: str, path: str, now_s: float) -> RequestRecord:
        """Begin a record and forget the oldest one over the limit."""
        record = RequestRecord(request_id, path, now_s)
        self._records[request_id] = record
        if len(self._records) > self._limit:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return a request's record while it is kept."""
        return self._records.get(request_id)


def router_of(request_id: str) -> str:
    """Return the id of the router that a request id names.

    >>> router_of("router-1.0f3a")
    'router-1'
    """
    return request_id.rpartition(_ID_SEPARATOR)[0]
