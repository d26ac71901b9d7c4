"""Views of plans, outcomes and objects for operators, as plain tables."""

from typing import Any

from damaskwind.control.operator_api.difference import redacted
from damaskwind.control.state.command import PlanCommand
from damaskwind.control.state.order_book import TargetOrder
from damaskwind.control.state.outcome import ChangeRecord, PlanOutcome
from damaskwind.control.state.plan_book import Plan
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_checks import OBJECT_KINDS
from damaskwind.model.configuration_codec import to_table

__all__ = ["configuration_view", "change_view", "order_view", "outcome_view", "plan_view"]


def plan_view(plan: Plan | PlanCommand, planned_at_s: float, now_s: float) -> dict[str, Any]:
    """Return a plan without its change, which holds key hashes."""
    operator = plan.operator if isinstance(plan, Plan) else plan.actor.operator
    return {
        "id": plan.plan_id,
        "base_revision": plan.base_revision,
        "planned_by": operator,
        "planned_at_s": planned_at_s,
        "expires_in_s": max(planned_at_s + plan.ttl_s - now_s, 0.0),
        "difference": list(plan.difference),
        "touches": list(plan.touches),
        "affects": list(plan.affects),
        "warnings": list(plan.warnings),
    }


def change_view(change: ChangeRecord) -> dict[str, Any]:
    """Return the operator and the details of the change that made a revision."""
    return to_table(change)


def outcome_view(outcome: PlanOutcome) -> dict[str, Any]:
    """Return the outcome of a plan."""
    return {**to_table(outcome), "status": str(outcome.status)}


def order_view(order: TargetOrder) -> dict[str, Any]:
    """Return the latest order to a target."""
    return to_table(order)


def configuration_view(
    configuration: Configuration, kind: str, name: str, with_hashes: bool
) -> dict[str, Any]:
    """Return the configuration, one kind of it, or one object; hashes by fingerprint.

    Unknown kinds and names give an empty table.
    """
    table = to_table(configuration)
    if kind:
        selected = table.get(kind, {}) if kind in (*OBJECT_KINDS, "policy") else {}
        if name and kind != "policy":
            selected = {key: value for key, value in selected.items() if key == name}
        table = {"revision": configuration.revision, kind: selected}
    return table if with_hashes else redacted(table)
