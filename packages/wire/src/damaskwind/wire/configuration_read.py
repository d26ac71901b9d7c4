"""Reads of the configuration at a replica, or at a router that the replica redirects to.

>>> read_url("10.1.0.1", 8101, 7)
'http://10.1.0.1:8101/configuration?version=7'
>>> read_version(b"version=7"), read_version(b"version=x")
(7, None)
"""

from enum import StrEnum
from typing import NamedTuple

from loguru import logger

from damaskwind.runtime.http1.exchange import Delivery

__all__ = [
    "READ_PATH",
    "ConfigurationRead",
    "ReadOutcome",
    "log_read",
    "outcome_of",
    "read_url",
    "read_version",
]

READ_PATH = b"/configuration"
_VERSION = b"version="


class ReadOutcome(StrEnum):
    """How a read of the configuration ended."""

    WHOLE = "whole"
    CALLER_LEFT = "caller-left"
    REFUSED = "refused"
    REDIRECTED = "sent-on"


class ConfigurationRead(NamedTuple):
    """A read confirmed by a majority; a read without a document is refused.

    `asked_s` is the monotonic time at which the request arrived, and `confirmation_s`
    the time it took to confirm that this process has the version. `redirect_url` is
    the URL at which a router serves the read in place of the replica.
    """

    caller: str
    version: int
    document: bytes
    asked_s: float
    confirmation_s: float
    redirect_url: str = ""

    def took_s(self, delivery: Delivery) -> float:
        """Return the duration of the read up to its last byte, in seconds."""
        return delivery.last_byte_s - self.asked_s


def outcome_of(delivery: Delivery) -> ReadOutcome:
    """Return how an answered read ended."""
    return ReadOutcome.WHOLE if delivery.is_complete else ReadOutcome.CALLER_LEFT


def log_read(read: ConfigurationRead, delivery: Delivery) -> None:
    """Log how much of the answer to a read was delivered, and how fast."""
    logger.info(
        "read ended",
        outcome=outcome_of(delivery),
        caller=read.caller,
        version=read.version,
        bytes=delivery.body_bytes,
        taken_bytes=delivery.taken_bytes,
        vouched_ms=_to_ms(read.confirmation_s),
        first_byte_ms=_to_ms(delivery.first_byte_s - read.asked_s),
        last_byte_ms=_to_ms(read.took_s(delivery)),
    )


def read_url(host: str, port: int, version: int) -> str:
    """Return the URL at which a router serves a version or a newer one."""
    return f"http://{host}:{port}{READ_PATH.decode()}?version={version}"


def read_version(query: bytes) -> int | None:
    """Return the requested version, or `None` if the query has none."""
    text = query.removeprefix(_VERSION)
    return int(text) if query.startswith(_VERSION) and text.isdigit() else None


def _to_ms(span_s: float) -> float:
    """Return a span in milliseconds, rounded for log lines."""
    return round(span_s * 1000, 1)
