"""Place chats on targets by a named policy."""

from collections.abc import Iterable
from random import Random

from damaskwind.decisions.placement.messages import PlacementChoice, PlacementQuery, SpillNote
from damaskwind.model.targets import LoadReport, TargetView

__all__ = ["Placer"]


class Placer:
    """One router's placement: its targets, their loads, and the chats that spilled.

    `near_domains` are the failure domains whose targets rank together with the
    router's own (a chat keeps its home there whichever router it comes through).
    """

    def __init__(
        self,
        policy_name: str,
        router_id: str,
        failure_domain: str,
        load_factor: float,
        random: Random,
        near_domains: Iterable[str] = (),
    ) -> None:
        raise NotImplementedError

    def set_policy(self, policy_name: str, load_factor: float) -> None:
        """Change the policy and the bound, keeping targets and loads."""

    def set_router_count(self, count: int) -> None:
        """Say how many routers share the targets."""

    def update_target(self, view: TargetView, now_s: float) -> None:
        """Add a target or replace what is known of it (its load: see `observe_report`)."""

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""

    def targets(self) -> tuple[TargetView, ...]:
        """Return every known target."""

    def observe_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take in a load report that arrived now; its `age_s` says when it was measured."""

    def place(self, query: PlacementQuery, now_s: float) -> PlacementChoice:
        """Choose a target. Call `started` when the request is sent there."""

    def started(
        self, request_id: str, target_id: str, chat_digest: str, need_tokens: float, now_s: float
    ) -> None:
        """Count a request that was just sent to a target."""

    def finished(self, request_id: str, done: bool, now_s: float) -> None:
        """End a request; `done` says that it was served to its end."""

    def heard_spill(self, note: SpillNote, now_s: float) -> None:
        """Take in a peer's note."""

    def take_spill_notes(self, now_s: float) -> tuple[SpillNote, ...]:
        """Return own notes not yet gossiped, oldest first, and forget them."""
