"""The replicated state machine: the same commands give the same state everywhere.

It reads no clock and no random generator, and it checks a plan against nothing
but its base revision: the replica that took the intent checked the change
against exactly that revision, so confirming it is a plain replacement. Rules
of checking may thus differ between versions of the program without two
replicas ever deciding differently.
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
    """Register the method that applies one kind of command."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[command] = handler
        return handler

    return register


def operator_roles(configuration: Configuration, operator: str) -> tuple[str, ...]:
    """Return the roles of an operator; the bootstrap one has all until others exist."""
    if operator == BOOTSTRAP_OPERATOR:
        return () if configuration.operators else ("viewer", "planner", "confirmer")
    held = configuration.operators.get(operator)
    return held.roles if held is not None else ()


class ConfigurationMachine:
    """The confirmed configuration, the plans, the orders and the audit trail."""

    def __init__(self, state: MachineState | None = None) -> None:
        self._load(state or MachineState())

    def _load(self, state: MachineState) -> None:
        """Replace everything by a state."""
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
        """Return the plans; only to be read."""
        return self._plans

    @property
    def orders(self) -> OrderBook:
        """Return the orders; only to be read."""
        return self._orders

    @property
    def trail(self) -> AuditTrail:
        """Return the audit trail; only to be read."""
        return self._trail

    def changes_after(self, revision: int) -> tuple[ChangeRecord, ...]:
        """Return who brought about each later revision, as far as it is remembered."""
        return tuple(note for note in self._changes if note.revision > revision)

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply the command at an index of the log and return its encoded result.

        An index that was applied already changes nothing.
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
        """Replace the whole state by a snapshot's."""
        self._load(decode_state(payload))

    def _append_to_trail(
        self, actor: Actor, action: str, subject: str, result: str, detail: tuple[str, ...] = ()
    ) -> None:
        """Put an act on the audit trail."""
        revision = self._configuration.revision
        event = AuditEvent(
            actor.now_s, actor.operator, actor.origin, action, subject, result, revision, detail
        )
        self._trail.append(event)

    def _is_forbidden(self, actor: Actor, role: str, action: str, subject: str) -> bool:
        """Tell whether the actor lacks a role, and put it on the trail if so."""
        if role in operator_roles(self._configuration, actor.operator):
            return False
        self._append_to_trail(actor, action, subject, ResultStatus.FORBIDDEN)
        return True

    @_handler_for(PlanCommand)
    def _store_plan(self, command: PlanCommand) -> ApplyResult:
        """Store a plan on the current revision."""
        revision = self._configuration.revision
        known = self._plans.plan(command.plan_id) or self._plans.outcome(command.plan_id)
        if known is not None:
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
        """Confirm a plan once; later confirmations are given the first outcome."""
        actor, plan_id = command
        revision = self._configuration.revision
        first = self._plans.outcome(plan_id)
        # The plan may have taken the role, or the key, of the one who confirmed it.
        is_own = first is not None and first.operator == actor.operator
        if not is_own and self._is_forbidden(actor, "confirmer", "confirm", plan_id):
            return ApplyResult(ResultStatus.FORBIDDEN, revision)
        if first is not None:
            return ApplyResult(first.status, first.revision, repeated=True, outcome=first)
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
        """Tell whether another change came between a plan and its confirmation."""
        return plan.base_revision != self._configuration.revision

    def _commit_plan(self, actor: Actor, plan: Plan) -> ApplyResult:
        """Bring a plan's change into the configuration."""
        try:
            change = change_from_table(plan.change)
        except ConfigurationError:
            return ApplyResult(ResultStatus.MALFORMED, self._configuration.revision)
        self._configuration = apply_change(self._configuration, change)
        note = ChangeRecord(
            self._configuration.revision, plan.plan_id, actor.operator, actor.now_s, plan.touches
        )
        self._changes.append(note)
        del self._changes[:-MAX_CHANGES]
        return self._close_plan(actor, plan, ResultStatus.CONFIRMED)

    def _close_plan(self, actor: Actor, plan: Plan, status: ResultStatus) -> ApplyResult:
        """Keep a plan's outcome and put it on the trail."""
        conflicts: tuple[ChangeRecord, ...] = ()
        if status is ResultStatus.CONFLICT:
            conflicts = self.changes_after(plan.base_revision)[-_MAX_REPORTED_CONFLICTS:]
        revision = self._configuration.revision
        outcome = PlanOutcome(
            plan.plan_id, status, actor.operator, actor.now_s, revision, conflicts
        )
        self._plans.close(outcome)
        detail = tuple(f"revision {note.revision} by {note.operator}" for note in conflicts)
        self._append_to_trail(actor, "confirm", plan.plan_id, status, detail or plan.difference)
        return ApplyResult(status, revision, outcome=outcome)

    @_handler_for(OrderCommand)
    def _issue_order(self, command: OrderCommand) -> ApplyResult:
        """Give an order its fencing number, the first one when it is repeated."""
        actor = command.actor
        if self._is_forbidden(actor, "confirmer", "order", command.target_id):
            return ApplyResult(ResultStatus.FORBIDDEN)
        first = self._orders.fencing_number_of(command.order_id)
        if first is not None:
            return ApplyResult(ResultStatus.ORDERED, repeated=True, fencing_number=first)
        number = self._orders.issue(command)
        wanted = (f"role {command.wanted.role}", *command.wanted.models)
        self._append_to_trail(actor, "order", command.target_id, f"fencing number {number}", wanted)
        return ApplyResult(ResultStatus.ORDERED, fencing_number=number)

    @_handler_for(RecordCommand)
    def _record_action(self, command: RecordCommand) -> ApplyResult:
        """Put an act that changes no configuration on the trail."""
        self._append_to_trail(command.actor, command.action, command.subject, command.result)
        return ApplyResult(ResultStatus.RECORDED, self._configuration.revision)
