"""Know which software version of a service began a stream, at any router."""

from typing import NamedTuple

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.fleet_view import FleetView

__all__ = ["OriginVerdict", "StreamOrigins"]


class OriginVerdict(NamedTuple):
    """At which version a stream may go on.

    It may go on anywhere if `version` is `None` and `is_refused` is not set. A stream that is
    refused may be tried again after `retry_after_s`; `None` means that a retry is of no use.
    """

    version: str | None = None
    is_refused: bool = False
    why: str = ""
    retry_after_s: float | None = None


ANYWHERE = OriginVerdict()


class StreamOrigins:
    """What one router knows of the versions that began streams."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    async def record(self, call: Call, target: TargetRecord) -> None:
        """Record the version that begins a stream, before its first event is forwarded."""

    async def resolve(self, call: Call) -> OriginVerdict:
        """Return at which version a stream that is taken up may go on."""
        return ANYWHERE
