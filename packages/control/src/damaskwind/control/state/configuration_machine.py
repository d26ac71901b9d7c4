"""The replicated state machine: the same commands give the same state on every replica.

It is deterministic: it reads no clock and no random generator. It checks a plan
only against its base revision. The replica that received the intent validated
the change against exactly that revision, so confirming a plan is a plain
replacement. Validation rules may therefore differ between program versions
without the replicas diverging.
"""

from collections.abc import Callable
from typing import Any

from damaskwind.control.audit.entry import AuditEvent
from damaskwind.control.audit.trail import AuditTrail
from damaskwind.control.state.command import (
    Actor,
    ConfirmCommand,
    OrderCommand,
    PlanCommand,
    RecordCommand,
    decode_command,
)
from damaskwind.control.state.order_book import OrderBook
from damaskwind.control.state.outcome import (
    ApplyResult,
    ChangeRecord,
    PlanOutcome,
    ResultStatus,
    encode_result,
)
from damaskwind.control.state.plan_book import Plan, PlanBook, plan_has_expired
from damaskwind.control.state.snapshot import MachineState, decode_state, encode_state
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_change import apply_change, change_from_table
from damaskwind.model.configuration_checks import BOOTSTRAP_OPERATOR
from damaskwind.model.exception import ConfigurationError, MessageError

__all__ = ["MAX_CHANGES", "ConfigurationMachine", "operator_roles"]

MAX_CHANGES = 1000
_MAX_REPORTED_CONFLICTS = 20

Handler = Callable[[Any, Any], ApplyResult]
_HANDLERS: dict[type, Handler] = {}


def _handler_for(command: type) -> Callable[[Handler], Handler]:
    """Register the decorated method as the handler of one kind of command."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[command] = handler
        return handler

    return register


def operator_roles(configuration: Configuration, operator: str) -> tuple[str, ...]:
    """Return the roles of an operator.

    The bootstrap operator has all roles until other operators exist, then none.
    """
    if operator == BOOTSTRAP_OPERATOR:
        return () if configuration.operators else ("viewer", "planner", "confirmer")
    entry = configuration.operators.get(operator)
    return entry.roles if entry is not None else ()


class ConfigurationMachine:
    """The confirmed configuration, the plans, the orders and the audit trail."""

    def __init__(self, state: MachineState | None = None) -> None:
        self._load(state or MachineState())

    def _load(self, state: MachineState) -> None:
        """Replace the whole state."""
        self._configuration = state.configuration
        self._changes = list(state.changes)
        self._plans = PlanBook(state.plans)
        self._orders = OrderBook(state.orders)
        self._trail = AuditTrail(state.trail)
        self._applied_index = state.applied_index

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the latest confirmed revision."""
        return self._configuration

    @property
    def applied_index(self) -> int:
        """Return the index of the last command applied."""
        return self._applied_index

    @property
    def plans(self) -> PlanBook:
        """Return the plans; callers must not modify them."""
        return self._plans

    @property
    def orders(self) -> OrderBook:
        """Return the orders; callers must not modify them."""
        return self._orders

    @property
    def trail(self) -> AuditTrail:
        """Return the audit trail; callers must not modify it."""
        return self._trail

    def changes_after(self, revision: int) -> tuple[ChangeRecord, ...]:
        """Return the kept change records of revisions after `revision`, oldest first."""
        return tuple(record for record in self._changes if record.revision > revision)

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply the command at an index of the log and return its encoded result.

        A command at an index that was already applied changes nothing.
        """
        if index <= self._applied_index:
            return encode_result(ApplyResult(ResultStatus.MALFORMED, detail="applied before"))
        self._applied_index = index
        try:
            command = decode_command(payload)
        except MessageError as error:
            return encode_result(ApplyResult(ResultStatus.MALFORMED, detail=str(error)))
        return encode_result(_HANDLERS[type(command)](self, command))

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        state = MachineState(
            configuration=self._configuration,
            changes=tuple(self._changes),
            plans=self._plans.state(),
            orders=self._orders.state(),
            trail=self._trail.state(),
            applied_index=self._applied_index,
        )
        return encode_state(state)

    def restore(self, payload: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        self._load(decode_state(payload))

    def _append_to_trail(
        self, actor: Actor, action: str, subject: str, result: str, detail: tuple[str, ...] = ()
    ) -> None:
        """Append an operator's action to the audit trail."""
        revision = self._configuration.revision
        event = AuditEvent(
            actor.now_s, actor.operator, actor.origin, action, subject, result, revision, detail
        )
        self._trail.append(event)

    def _is_forbidden(self, actor: Actor, role: str, action: str, subject: str) -> bool:
        """Return whether the actor lacks a role; if so, record that on the audit trail."""
        if role in operator_roles(self._configuration, actor.operator):
            return False
        self._append_to_trail(actor, action, subject, ResultStatus.FORBIDDEN)
        return True

    @_handler_for(PlanCommand)
    def _store_plan(self, command: PlanCommand) -> ApplyResult:
        """Store a plan if its base is the current revision."""
        revision = self._configuration.revision
        existing = self._plans.plan(command.plan_id) or self._plans.outcome(command.plan_id)
        if existing is not None:
            return ApplyResult(ResultStatus.PLANNED, revision, repeated=True)
        if self._is_forbidden(command.actor, "planner", "plan", command.plan_id):
            return ApplyResult(ResultStatus.FORBIDDEN, revision)
        if command.base_revision != revision:
            return ApplyResult(ResultStatus.BASE_MOVED, revision)
        actor = command.actor
        plan = Plan(
            plan_id=command.plan_id,
            base_revision=command.base_revision,
            operator=actor.operator,
            origin=actor.origin,
            planned_at_s=actor.now_s,
            ttl_s=command.ttl_s,
            change=command.change,
            difference=command.difference,
            touches=command.touches,
            affects=command.affects,
            warnings=command.warnings,
        )
        self._plans.open(plan)
        self._append_to_trail(actor, "plan", plan.plan_id, ResultStatus.PLANNED, plan.difference)
        return ApplyResult(ResultStatus.PLANNED, revision)

    @_handler_for(ConfirmCommand)
    def _confirm_plan(self, command: ConfirmCommand) -> ApplyResult:
        """Confirm a plan once; later confirmations return the first outcome."""
        actor, plan_id = command
        revision = self._configuration.revision
        first_outcome = self._plans.outcome(plan_id)
        # The plan itself may have removed the role or key of the operator who confirmed it.
        is_own = first_outcome is not None and first_outcome.operator == actor.operator
        if not is_own and self._is_forbidden(actor, "confirmer", "confirm", plan_id):
            return ApplyResult(ResultStatus.FORBIDDEN, revision)
        if first_outcome is not None:
            return ApplyResult(
                first_outcome.status, first_outcome.revision, repeated=True, outcome=first_outcome
            )
        plan = self._plans.plan(plan_id)
        if plan is None:
            self._append_to_trail(actor, "confirm", plan_id, ResultStatus.UNKNOWN_PLAN)
            return ApplyResult(ResultStatus.UNKNOWN_PLAN, revision)
        if plan_has_expired(plan, actor.now_s):
            return self._close_plan(actor, plan, ResultStatus.EXPIRED)
        if self._is_stale(plan):
            return self._close_plan(actor, plan, ResultStatus.CONFLICT)
        return self._commit_plan(actor, plan)

    def _is_stale(self, plan: Plan) -> bool:
        """Return whether the configuration has changed since the plan's base revision."""
        return plan.base_revision != self._configuration.revision

    def _commit_plan(self, actor: Actor, plan: Plan) -> ApplyResult:
        """Apply a plan's change to the configuration."""
        try:
            change = change_from_table(plan.change)
        except ConfigurationError:
            return ApplyResult(ResultStatus.MALFORMED, self._configuration.revision)
        self._configuration = apply_change(self._configuration, change)
        record = ChangeRecord(
            self._configuration.revision, plan.plan_id, actor.operator, actor.now_s, plan.touches
        )
        self._changes.append(record)
        del self._changes[:-MAX_CHANGES]
        return self._close_plan(actor, plan, ResultStatus.CONFIRMED)

    def _close_plan(self, actor: Actor, plan: Plan, status: ResultStatus) -> ApplyResult:
        """Store a plan's outcome and record it on the audit trail."""
        conflicts: tuple[ChangeRecord, ...] = ()
        if status is ResultStatus.CONFLICT:
            conflicts = self.changes_after(plan.base_revision)[-_MAX_REPORTED_CONFLICTS:]
        revision = self._configuration.revision
        outcome = PlanOutcome(
            plan.plan_id, status, actor.operator, actor.now_s, revision, conflicts
        )
        self._plans.close(outcome)
        detail = tuple(f"revision {record.revision} by {record.operator}" for record in conflicts)
        self._append_to_trail(actor, "confirm", plan.plan_id, status, detail or plan.difference)
        return ApplyResult(status, revision, outcome=outcome)

    @_handler_for(OrderCommand)
    def _issue_order(self, command: OrderCommand) -> ApplyResult:
        """Issue a fencing number for an order; a repeated order keeps its first one."""
        actor = command.actor
        if self._is_forbidden(actor, "confirmer", "order", command.target_id):
            return ApplyResult(ResultStatus.FORBIDDEN)
        first_number = self._orders.fencing_number_of(command.order_id)
        if first_number is not None:
            return ApplyResult(ResultStatus.ORDERED, repeated=True, fencing_number=first_number)
        number = self._orders.issue(command)
        wanted = (f"role {command.wanted.role}", *command.wanted.models)
        self._append_to_trail(actor, "order", command.target_id, f"fencing number {number}", wanted)
        return ApplyResult(ResultStatus.ORDERED, fencing_number=number)

    @_handler_for(RecordCommand)
    def _record_action(self, command: RecordCommand) -> ApplyResult:
        """Record an action that changes no configuration on the audit trail."""
        self._append_to_trail(command.actor, command.action, command.subject, command.result)
        return ApplyResult(ResultStatus.RECORDED, self._configuration.revision)
