"""Counts of the work that a target did, used by tests as an oracle."""

from collections import Counter
from typing import Any

__all__ = ["Oracle"]


class Oracle:
    """Counts of how often each request ran, by its id, idempotency key and body.

    A request counts as run once the target has accepted it. `late` maps the ids of
    requests that arrived more than `grace_s` after the target began to leave to how
    long it had been leaving, in seconds.
    """

    def __init__(self, grace_s: float = 2.0) -> None:
        self.runs_by_id: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.grace_s = grace_s
        self.late: dict[str, float] = {}

    def record_run(self, request_id: str, key: str, body_digest: str) -> None:
        """Count an accepted request."""
        self.events["run"] += 1
        self.runs_by_id[request_id] += 1
        self.runs_by_body[body_digest] += 1
        if key:
            self.runs_by_key[key] += 1

    def record_arrival(self, request_id: str, leaving_for_s: float) -> None:
        """Record the arrival of a request if the target has been leaving for over `grace_s`."""
        if leaving_for_s > self.grace_s:
            self.events["new_work_after_leaving"] += 1
            self.late[request_id] = round(leaving_for_s, 3)

    def count_event(self, event: str, count: int = 1) -> None:
        """Count another event, such as `finished`, `cancelled` or `refused`."""
        self.events[event] += count

    def snapshot(self) -> dict[str, Any]:
        """Return all counts as plain dictionaries."""
        return {
            "runs_by_id": dict(self.runs_by_id),
            "runs_by_key": dict(self.runs_by_key),
            "runs_by_body": dict(self.runs_by_body),
            "events": dict(self.events),
            "late": self.late,
            "faults": dict(self.faults),
        }
