"""Count and log the requests of callers that end without a complete answer."""

from damaskwind.model.header_names import HeaderNames
from damaskwind.runtime.http1.messages import header
from damaskwind.runtime.http1.unanswered import (
    CALLER_LEFT,
    UnansweredReason,
    UnansweredRequest,
    log_unanswered,
)
from damaskwind.runtime.tallies import Tallies

__all__ = ["UNANSWERED", "UnansweredRequests", "unanswered_totals"]

# The counter, by the label `reason`; its metric is `damaskwind_unanswered_total`.
UNANSWERED = "unanswered"


class UnansweredRequests:
    """The requests of one router that ended without a complete answer."""

    def __init__(self, names: HeaderNames, tallies: Tallies) -> None:
        self._names = names
        self._tallies = tallies
        for reason in UnansweredReason:
            # Shown from the start, since an absent series can't be told from a missing counter.
            tallies.count(UNANSWERED, 0, reason=reason.value)

    def record(self, request: UnansweredRequest) -> None:
        """Count and log one request."""
        self._tallies.count(UNANSWERED, reason=request.reason.value)
        request_id = header(request.headers, self._names.request_id) or b""
        log_unanswered(request, request_id.decode("latin-1"))


def unanswered_totals(tallies: Tallies) -> dict[UnansweredReason, int]:
    """Return how many requests ended without an answer by reasons other than a caller's leaving.

    >>> tallies = Tallies()
    >>> _ = UnansweredRequests(HeaderNames(), tallies)
    >>> unanswered_totals(tallies)
    {}
    >>> tallies.count(UNANSWERED, reason="canceled")
    >>> unanswered_totals(tallies)
    {<UnansweredReason.CANCELED: 'canceled'>: 1}
    """
    totals = {
        UnansweredReason(value): count
        for labels, count in tallies.totals(UNANSWERED).items()
        for _, value in labels
    }
    return {
        reason: count for reason, count in totals.items() if count and reason not in CALLER_LEFT
    }
