"""Say where the delay of first tokens goes, from the routers' own records.

The engines tell when a request reached them and when they made the token, so
prefill is no part of this delay. Each request's delay is cut into the parts
that its record shows, and the slowest ones are added up by part.
"""

from typing import Any, NamedTuple

__all__ = [
    "PARTS",
    "FirstToken",
    "SlowRequest",
    "SlowShare",
    "cut_by_part",
    "slow_requests",
    "slowest",
    "slowest_by_part",
]

SLOW_SHARE = 0.05
PARTS = ("limit", "placement", "queue", "retries", "sockets and loops", "way back")


class FirstToken(NamedTuple):
    """The delay of a first token: before the engine had the request, and after it made it."""

    request_id: str
    before_ms: float
    back_ms: float
    at_s: float = 0.0

    @property
    def delay_ms(self) -> float:
        """Return the whole delay."""
        return self.before_ms + self.back_ms


class SlowRequest(NamedTuple):
    """One of the slowest requests, with its delay by part."""

    request_id: str
    account: str
    at_s: float
    parts_ms: dict[str, float]


class SlowShare(NamedTuple):
    """What one part has of the slowest requests' delay.

    `requests` counts those of which it is the largest part.
    """

    part: str
    share: float
    mean_ms: float
    requests: int


def cut_by_part(first: FirstToken, record: dict[str, Any]) -> dict[str, float]:
    """Cut one delay into parts; what the record doesn't explain went by outside of it.

    >>> record = {"choices": [{"at_ms": 50.0}, {"at_ms": 90.0}],
    ...     "events": [{"at_ms": 51.0, "event": "queued"}], "attempts": [{"started_ms": 90.0}]}
    >>> cut_by_part(FirstToken("a", 100.0, 2.0), record)["queue"]
    39.0
    """
    chosen_ms = record["choices"][0]["at_ms"] if record["choices"] else 0.0
    first_ms = record["attempts"][0]["started_ms"] if record["attempts"] else chosen_ms
    last_ms = record["attempts"][-1]["started_ms"] if record["attempts"] else chosen_ms
    queued = [event["at_ms"] for event in record["events"] if event["event"] == "queued"]
    queued_ms = first_ms - queued[0] if queued and queued[0] <= first_ms else 0.0
    return {
        "limit": chosen_ms,
        "placement": first_ms - chosen_ms - queued_ms,
        "queue": queued_ms,
        "retries": last_ms - first_ms,
        "sockets and loops": first.before_ms - last_ms,
        "way back": first.back_ms,
    }


def slowest(firsts: list[FirstToken]) -> list[FirstToken]:
    """Return the slowest requests, one in twenty."""
    ordered = sorted(firsts, key=lambda first: first.delay_ms, reverse=True)
    return ordered[: max(int(len(ordered) * SLOW_SHARE), 1)]


def slow_requests(
    firsts: list[FirstToken], records: dict[str, dict[str, Any]]
) -> list[SlowRequest]:
    """Return the slowest requests of which there is a record, the slowest first."""
    return [
        SlowRequest(
            first.request_id,
            records[first.request_id]["client_account"],
            first.at_s,
            cut_by_part(first, records[first.request_id]),
        )
        for first in slowest(firsts)
        if first.request_id in records
    ]


def slowest_by_part(requests: list[SlowRequest]) -> list[SlowShare]:
    """Add the delays of the slowest requests up by part, the largest part first."""
    cuts = [request.parts_ms for request in requests]
    whole_ms = sum(sum(cut.values()) for cut in cuts)
    if not whole_ms:
        return []
    shares = [_share(part, cuts, whole_ms) for part in PARTS]
    return sorted(shares, key=lambda share: share.share, reverse=True)


def _share(part: str, cuts: list[dict[str, float]], whole_ms: float) -> SlowShare:
    """Return what one part has of the delay."""
    spent_ms = sum(cut[part] for cut in cuts)
    largest = sum(cut[part] == max(cut.values()) for cut in cuts)
    return SlowShare(part, round(spent_ms / whole_ms, 3), round(spent_ms / len(cuts), 1), largest)
