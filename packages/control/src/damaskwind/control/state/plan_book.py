"""Open plans and the outcomes of closed ones, both bounded the same on every replica."""

from typing import Any, NamedTuple

import msgspec

from damaskwind.control.state.outcome import PlanOutcome

__all__ = [
    "CLOCK_TOLERANCE_S",
    "MAX_OUTCOMES",
    "MAX_OPEN_PLANS",
    "MAX_OPEN_PLANS_BYTES",
    "MAX_OPEN_PLANS_PER_OPERATOR",
    "Plan",
    "PlanBook",
    "PlanBookState",
    "plan_has_expired",
]

MAX_OPEN_PLANS = 256
MAX_OPEN_PLANS_PER_OPERATOR = 64
MAX_OPEN_PLANS_BYTES = 8_388_608
MAX_OUTCOMES = 10_000
CLOCK_TOLERANCE_S = 60.0


class Plan(NamedTuple):
    """A plan as it was proposed; `change` is the table that states what is wanted."""

    plan_id: str
    base_revision: int
    operator: str
    origin: str
    planned_at_s: float
    ttl_s: float
    change: dict[str, Any]
    difference: tuple[str, ...]
    touches: tuple[str, ...]
    affects: tuple[str, ...]
    warnings: tuple[str, ...]


class PlanBookState(NamedTuple):
    """The book as a snapshot keeps it, oldest first."""

    plans: tuple[Plan, ...] = ()
    outcomes: tuple[PlanOutcome, ...] = ()


def plan_has_expired(plan: Plan, now_s: float) -> bool:
    """Tell whether a plan's life is over at a time that a command carries.

    Both times are those of the replicas that took the requests. When the later
    one lies before the earlier by more than the tolerance, a clock has jumped,
    the plan's age is not known, and it counts as expired.
    """
    age_s = now_s - plan.planned_at_s
    return not -CLOCK_TOLERANCE_S <= age_s <= plan.ttl_s


def _size_bytes(plan: Plan) -> int:
    """Return the size of a plan, the same on every replica."""
    return len(msgspec.json.encode(plan))


class PlanBook:
    """Plans by id. Beyond its bounds, the oldest plan or outcome is forgotten."""

    def __init__(self, state: PlanBookState | None = None) -> None:
        start = state or PlanBookState()
        self._plans = {plan.plan_id: plan for plan in start.plans}
        self._sizes_bytes = {plan.plan_id: _size_bytes(plan) for plan in start.plans}
        self._total_bytes = sum(self._sizes_bytes.values())
        self._outcomes = {outcome.plan_id: outcome for outcome in start.outcomes}

    def plan(self, plan_id: str) -> Plan | None:
        """Return an open plan."""
        return self._plans.get(plan_id)

    def outcome(self, plan_id: str) -> PlanOutcome | None:
        """Return the outcome of a closed plan that is still remembered."""
        return self._outcomes.get(plan_id)

    def open(self, plan: Plan) -> None:
        """Add a plan and forget the oldest ones beyond the bounds."""
        self._plans[plan.plan_id] = plan
        self._sizes_bytes[plan.plan_id] = _size_bytes(plan)
        self._total_bytes += self._sizes_bytes[plan.plan_id]
        own = [key for key, item in self._plans.items() if item.operator == plan.operator]
        for plan_id in own[:-MAX_OPEN_PLANS_PER_OPERATOR]:
            self._remove(plan_id)
        while len(self._plans) > MAX_OPEN_PLANS or self._is_too_large():
            self._remove(next(iter(self._plans)))

    def _is_too_large(self) -> bool:
        """Tell whether the open plans take too much; the newest one always fits."""
        return self._total_bytes > MAX_OPEN_PLANS_BYTES and len(self._plans) > 1

    def _remove(self, plan_id: str) -> None:
        """Forget an open plan."""
        del self._plans[plan_id]
        self._total_bytes -= self._sizes_bytes.pop(plan_id)

    def close(self, outcome: PlanOutcome) -> None:
        """Replace a plan by its outcome and forget the oldest outcome beyond the bound."""
        self._remove(outcome.plan_id)
        self._outcomes[outcome.plan_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]

    def open_plans(self) -> tuple[Plan, ...]:
        """Return the open plans, oldest first."""
        return tuple(self._plans.values())

    def state(self) -> PlanBookState:
        """Return what a snapshot keeps."""
        return PlanBookState(self.open_plans(), tuple(self._outcomes.values()))
