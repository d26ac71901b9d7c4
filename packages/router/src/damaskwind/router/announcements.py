"""Receive the announcements of targets: their state, their models and their load."""

from collections.abc import Callable
from typing import Any

import msgspec

from damaskwind.model.checking import check_table
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import LoadReport, TargetAnnouncement
from damaskwind.model.verdict import Refusal, Verdict
from damaskwind.router.answers import answer_json
from damaskwind.router.authentication import bearer_key, same_key

__all__ = ["Announcements"]


class Announcements:
    """Serve `POST /targets/v1/announcements`."""

    def __init__(
        self, membership: Any, announce_key: str, observe_load: Callable[[str, LoadReport], None]
    ) -> None:
        self._membership = membership
        self._announce_key = announce_key
        self._observe_load = observe_load

    def receive(self, request: Any) -> bytes:
        """Handle one announcement and answer with the time until the next one is due."""
        if not same_key(bearer_key(request.getHeader("authorization")), self._announce_key):
            detail = "the announce key is not valid"
            raise RefusedError(Refusal(Reason.BAD_KEY, Verdict.NOT_RUN, detail))
        body = request.content.read()
        announcement = _parse_announcement(body)
        outcome = self._membership.announce(announcement, len(body))
        if not outcome.accepted:
            return answer_json(request, 409, {"incarnation": outcome.incarnation})
        # A renewal emits no event. Peers receive its load by gossip, this router here.
        self._observe_load(announcement.target_id, announcement.load)
        next_s = self._membership.next_announcement_s(announcement.lease_s)
        return answer_json(request, 200, {"next_announcement_s": next_s})


def _parse_announcement(body: bytes) -> TargetAnnouncement:
    """Parse and check an announcement; raise `RefusedError` that lists every mistake."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        refusal = Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, f"not JSON: {error}")
        raise RefusedError(refusal) from error
    checked = check_table(raw, TargetAnnouncement, "announcement")
    if checked.mistakes:
        detail = "; ".join(checked.mistakes)
        raise RefusedError(Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail))
    return checked.value
