"""Open plans and the outcomes of closed ones, bounded identically on every replica."""

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
    """A plan as it was proposed; `change` is the table of the requested change."""

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
    """The content of a plan book in a snapshot, oldest first."""

    plans: tuple[Plan, ...] = ()
    outcomes: tuple[PlanOutcome, ...] = ()


def plan_has_expired(plan: Plan, now_s: float) -> bool:
    """Return whether a plan has expired at `now_s`, the time in a command.

    Both times come from the clocks of the replicas that received the requests.
    If `now_s` is earlier than the plan's time by more than the tolerance, a clock
    has jumped; the plan's age is then unknown and it counts as expired.
    """
    age_s = now_s - plan.planned_at_s
    return not -CLOCK_TOLERANCE_S <= age_s <= plan.ttl_s


def _size_bytes(plan: Plan) -> int:
    """Return the encoded size of a plan, which is the same on every replica."""
    return len(msgspec.json.encode(plan))


class PlanBook:
    """Plans and outcomes by plan id; the oldest are evicted beyond the bounds."""

    def __init__(self, state: PlanBookState | None = None) -> None:
        initial = state or PlanBookState()
        self._plans = {plan.plan_id: plan for plan in initial.plans}
        self._sizes_bytes = {plan.plan_id: _size_bytes(plan) for plan in initial.plans}
        self._total_bytes = sum(self._sizes_bytes.values())
        self._outcomes = {outcome.plan_id: outcome for outcome in initial.outcomes}

    def plan(self, plan_id: str) -> Plan | None:
        """Return an open plan, or `None`."""
        return self._plans.get(plan_id)

    def outcome(self, plan_id: str) -> PlanOutcome | None:
        """Return the outcome of a closed plan, or `None` if it is not kept."""
        return self._outcomes.get(plan_id)

    def open(self, plan: Plan) -> None:
        """Add a plan and evict the oldest ones beyond the bounds."""
        self._plans[plan.plan_id] = plan
        self._sizes_bytes[plan.plan_id] = _size_bytes(plan)
        self._total_bytes += self._sizes_bytes[plan.plan_id]
        own_plan_ids = [key for key, item in self._plans.items() if item.operator == plan.operator]
        for plan_id in own_plan_ids[:-MAX_OPEN_PLANS_PER_OPERATOR]:
            self._remove(plan_id)
        while len(self._plans) > MAX_OPEN_PLANS or self._is_too_large():
            self._remove(next(iter(self._plans)))

    def _is_too_large(self) -> bool:
        """Return whether the open plans exceed the size limit; one plan alone always fits."""
        return self._total_bytes > MAX_OPEN_PLANS_BYTES and len(self._plans) > 1

    def _remove(self, plan_id: str) -> None:
        """Remove an open plan."""
        del self._plans[plan_id]
        self._total_bytes -= self._sizes_bytes.pop(plan_id)

    def close(self, outcome: PlanOutcome) -> None:
        """Replace a plan with its outcome; evict the oldest outcome beyond the bound."""
        self._remove(outcome.plan_id)
        self._outcomes[outcome.plan_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]

    def open_plans(self) -> tuple[Plan, ...]:
        """Return the open plans, oldest first."""
        return tuple(self._plans.values())

    def state(self) -> PlanBookState:
        """Return the content for a snapshot."""
        return PlanBookState(self.open_plans(), tuple(self._outcomes.values()))
