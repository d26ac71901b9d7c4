"""Describe the requests that are refused before their handler has them."""

from typing import NamedTuple

import h11
from loguru import logger

from damaskwind.runtime.http1.limits import ServerLimits

__all__ = ["UnreadRefusal", "log_refusal"]


class UnreadRefusal(NamedTuple):
    """A request that is refused while it is read, with the limits that apply to it.

    `head` is `None` while it was not read whole. `earlier_requests` came on the same connection,
    and `took_s` seconds have passed since the first byte of this one.
    """

    status: int
    why: str
    caller: str
    head: h11.Request | None
    head_bytes: int
    body_bytes: int
    unparsed_bytes: int
    earlier_requests: int
    applied: ServerLimits
    present: ServerLimits
    took_s: float


def log_refusal(refusal: UnreadRefusal) -> None:
    """Log a refusal, and the limits applied to it beside those in force."""
    head = refusal.head
    logger.info(
        "request refused unread",
        status=refusal.status,
        why=refusal.why,
        caller=refusal.caller,
        method="" if head is None else head.method.decode("latin-1"),
        head_bytes=refusal.head_bytes,
        body_bytes=refusal.body_bytes,
        earlier_requests=refusal.earlier_requests,
        applied_header_bytes=refusal.applied.header_bytes,
        applied_body_bytes=refusal.applied.body_bytes,
        header_bytes=refusal.present.header_bytes,
        max_body_bytes=refusal.present.body_bytes,
        unparsed_bytes=refusal.unparsed_bytes,
        took_s=round(refusal.took_s, 3),
    )
