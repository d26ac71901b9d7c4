"""Attribute the delay of first tokens to its components, from the routers' records.

The engines report when a request reached them and when they produced the token, so
the delay excludes prefill. Each request's delay is split into the components that its
record shows, and those of the slowest requests are summed by component.
"""

from typing import Any, NamedTuple

__all__ = [
    "PARTS",
    "FirstToken",
    "SlowRequest",
    "SlowShare",
    "split_delay",
    "slow_requests",
    "slowest",
    "slowest_by_part",
]

SLOW_SHARE = 0.05
PARTS = ("limit", "placement", "queue", "retries", "sockets and loops", "way back")


class FirstToken(NamedTuple):
    """The delay of a first token: of the request to the engine, and of the token to the caller."""

    request_id: str
    to_engine_ms: float
    to_caller_ms: float
    at_s: float = 0.0

    @property
    def delay_ms(self) -> float:
        """Return the total delay."""
        return self.to_engine_ms + self.to_caller_ms


class SlowRequest(NamedTuple):
    """One of the slowest requests with its delay by component."""

    request_id: str
    account: str
    at_s: float
    parts_ms: dict[str, float]


class SlowShare(NamedTuple):
    """The share of one component in the delay of the slowest requests.

    `requests` counts the requests whose largest component it is.
    """

    part: str
    share: float
    mean_ms: float
    requests: int


def split_delay(first_token: FirstToken, record: dict[str, Any]) -> dict[str, float]:
    """Split one delay into components; sockets and loops take what the record lacks.

    >>> record = {"choices": [{"at_ms": 50.0}, {"at_ms": 90.0}],
    ...     "events": [{"at_ms": 51.0, "event": "queued"}], "attempts": [{"started_ms": 90.0}]}
    >>> split_delay(FirstToken("a", 100.0, 2.0), record)["queue"]
    39.0
    """
    first_choice_ms = record["choices"][0]["at_ms"] if record["choices"] else 0.0
    first_attempt_ms = (
        record["attempts"][0]["started_ms"] if record["attempts"] else first_choice_ms
    )
    last_attempt_ms = (
        record["attempts"][-1]["started_ms"] if record["attempts"] else first_choice_ms
    )
    queued = [event["at_ms"] for event in record["events"] if event["event"] == "queued"]
    queued_ms = first_attempt_ms - queued[0] if queued and queued[0] <= first_attempt_ms else 0.0
    return {
        "limit": first_choice_ms,
        "placement": first_attempt_ms - first_choice_ms - queued_ms,
        "queue": queued_ms,
        "retries": last_attempt_ms - first_attempt_ms,
        "sockets and loops": first_token.to_engine_ms - last_attempt_ms,
        "way back": first_token.to_caller_ms,
    }


def slowest(first_tokens: list[FirstToken]) -> list[FirstToken]:
    """Return the slowest requests, one in twenty, slowest first."""
    ordered = sorted(first_tokens, key=lambda first_token: first_token.delay_ms, reverse=True)
    return ordered[: max(int(len(ordered) * SLOW_SHARE), 1)]


def slow_requests(
    first_tokens: list[FirstToken], records: dict[str, dict[str, Any]]
) -> list[SlowRequest]:
    """Return the slowest requests that have a record, slowest first."""
    return [
        SlowRequest(
            first_token.request_id,
            records[first_token.request_id]["client_account"],
            first_token.at_s,
            split_delay(first_token, records[first_token.request_id]),
        )
        for first_token in slowest(first_tokens)
        if first_token.request_id in records
    ]


def slowest_by_part(requests: list[SlowRequest]) -> list[SlowShare]:
    """Sum the delays of the slowest requests by component, largest first."""
    delays = [request.parts_ms for request in requests]
    total_ms = sum(sum(delay.values()) for delay in delays)
    if not total_ms:
        return []
    shares = [_part_share(part, delays, total_ms) for part in PARTS]
    return sorted(shares, key=lambda share: share.share, reverse=True)


def _part_share(part: str, delays: list[dict[str, float]], total_ms: float) -> SlowShare:
    """Return the share of one component in the total delay."""
    part_ms = sum(delay[part] for delay in delays)
    largest = sum(delay[part] == max(delay.values()) for delay in delays)
    return SlowShare(part, round(part_ms / total_ms, 3), round(part_ms / len(delays), 1), largest)
