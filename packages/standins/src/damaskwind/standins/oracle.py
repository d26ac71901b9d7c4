"""What a target counts about its own work: the tests' oracle."""

from collections import Counter
from typing import Any

__all__ = ["Oracle"]


class Oracle:
    """Count how often each request ran, by its id, key and body.

    A request counts as run from the moment that the target took it. `late` names
    those that came more than `grace_s` after the target began to leave.
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
        """Count that a request was taken."""
        self.events["run"] += 1
        self.runs_by_id[request_id] += 1
        self.runs_by_body[body_digest] += 1
        if key:
            self.runs_by_key[key] += 1

    def record_arrival(self, request_id: str, leaving_for_s: float) -> None:
        """Note a request that came when the target had been leaving for a while."""
        if leaving_for_s > self.grace_s:
            self.events["new_work_after_leaving"] += 1
            self.late[request_id] = round(leaving_for_s, 3)

    def count_event(self, event: str, count: int = 1) -> None:
        """Count something else, such as `finished`, `cancelled` or `refused`."""
        self.events[event] += count

    def snapshot(self) -> dict[str, Any]:
        """Return all counts as plain tables."""
        return {
            "runs_by_id": dict(self.runs_by_id),
            "runs_by_key": dict(self.runs_by_key),
            "runs_by_body": dict(self.runs_by_body),
            "events": dict(self.events),
            "late": self.late,
            "faults": dict(self.faults),
        }
