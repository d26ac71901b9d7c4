"""Turn intents into plans and plans into confirmed changes, through the log.

A plan is computed against the state that a majority stored a moment ago and is
itself committed to the log. Any replica can then show and confirm it, whichever
replica leads by then.
"""

import secrets
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

from damaskwind.control.operator_api.difference import affected_objects, difference_lines
from damaskwind.control.operator_api.plan_warnings import plan_warnings
from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict, ProposalPort
from damaskwind.control.operator_api.refusal import OperatorCode, OperatorRefusedError
from damaskwind.control.operator_api.views import outcome_view, plan_view
from damaskwind.control.state.command import (
    Actor,
    ConfirmCommand,
    OrderCommand,
    PlanCommand,
    RecordCommand,
    WantedState,
    encode_command,
)
from damaskwind.control.state.configuration_machine import ConfigurationMachine, operator_roles
from damaskwind.control.state.outcome import ApplyResult, ResultStatus, decode_result
from damaskwind.control.state.plan_book import MAX_OUTCOMES
from damaskwind.decisions.placement.placer import PLACEMENT_POLICIES
from damaskwind.decisions.replication.messages import RefusalReason
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_change import (
    ConfigurationChange,
    change_from_table,
    change_to_table,
    check_change,
    touched_objects,
)
from damaskwind.model.exception import ConfigurationError

__all__ = ["IntentLimits", "IntentService", "random_id"]

_PLAN_ATTEMPTS = 4
_ID_BYTES = 10


class IntentLimits(NamedTuple):
    """Lifetime of plans and timeouts of the log."""

    plan_ttl_s: float = 900.0
    read_timeout_s: float = 2.0
    commit_timeout_s: float = 5.0


def random_id(prefix: str) -> str:
    """Return a random id that does not collide and can't be guessed."""
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"


class IntentService:
    """Operators' actions on one replica, independent of HTTP."""

    def __init__(
        self,
        port: ProposalPort,
        machine: ConfigurationMachine,
        limits: IntentLimits,
        wall_clock: Callable[[], float] = time.time,
        new_id: Callable[[str], str] = random_id,
    ) -> None:
        self._port = port
        self._machine = machine
        self._limits = limits
        self._wall_clock = wall_clock
        self._new_id = new_id

    def actor(self, operator: str, origin: str) -> Actor:
        """Return the actor of a request, with a timestamp of this replica's wall clock."""
        return Actor(operator, origin, self._wall_clock())

    async def read_current(self) -> None:
        """Wait until the local state is current; refuse if there is no majority."""
        if not await self._port.read_current(self._limits.read_timeout_s):
            raise OperatorRefusedError(
                OperatorCode.NO_QUORUM,
                "no majority of the control replicas answers; this request changed nothing",
            )

    async def _require_role(self, operator: str, origin: str, role: str, action: str) -> None:
        """Refuse an operator who lacks a role, and record the attempt in the audit trail."""
        if role in operator_roles(self._machine.configuration, operator):
            return
        attempt = RecordCommand(
            self.actor(operator, origin), action, f"role {role}", str(ResultStatus.FORBIDDEN)
        )
        await self._port.propose(encode_command(attempt), self._limits.commit_timeout_s)
        raise OperatorRefusedError(OperatorCode.FORBIDDEN, f"'{operator}' lacks the role '{role}'")

    async def _commit(self, command: Any, ask: str) -> ApplyResult:
        """Commit a command and return its result; refuse if that fails or is uncertain."""
        outcome = await self._port.propose(encode_command(command), self._limits.commit_timeout_s)
        # A replica that caught up from a snapshot has the state but not the command's result.
        if outcome.verdict is not CommitVerdict.COMMITTED or not outcome.result:
            raise _commit_refusal(outcome, ask)
        result = decode_result(outcome.result)
        if result.status is ResultStatus.FORBIDDEN:
            raise OperatorRefusedError(
                OperatorCode.FORBIDDEN, "the operator lacks the role for this"
            )
        if result.status is ResultStatus.MALFORMED:
            raise OperatorRefusedError(OperatorCode.FAILED, f"not applied: {result.detail}")
        return result

    async def plan(self, operator: str, origin: str, intent: Any) -> dict[str, Any]:
        """Plan an intent and return the plan, without changing the configuration."""
        await self._require_role(operator, origin, "planner", "plan")
        change = _parse_intent(intent)
        plan_id = self._new_id("plan")
        for _ in range(_PLAN_ATTEMPTS):
            base = self._machine.configuration
            command = self._plan_command(operator, origin, plan_id, base, change)
            if not command.difference:
                return {"plan": None, "already_in_force": True, "revision": base.revision}
            result = await self._commit(command, f"GET /operator/v1/plans/{plan_id}")
            if result.status is ResultStatus.PLANNED:
                return {"plan": self._view_of(command)}
            await self.read_current()
        raise OperatorRefusedError(
            OperatorCode.CONFLICT, "the configuration keeps changing; state the intent again"
        )

    def _plan_command(
        self,
        operator: str,
        origin: str,
        plan_id: str,
        base: Configuration,
        change: ConfigurationChange,
    ) -> PlanCommand:
        """Check a change against a base configuration and return the command for its plan."""
        mistakes = check_change(base, change) + _placement_mistakes(change)
        if mistakes:
            logger.info("intent refused", operator=operator, mistakes=len(mistakes))
            raise _invalid(mistakes)
        return PlanCommand(
            actor=self.actor(operator, origin),
            plan_id=plan_id,
            base_revision=base.revision,
            ttl_s=self._limits.plan_ttl_s,
            change=change_to_table(change),
            difference=difference_lines(base, change),
            touches=touched_objects(change),
            affects=affected_objects(base, change),
            warnings=plan_warnings(base, change),
        )

    def _view_of(self, command: PlanCommand) -> dict[str, Any]:
        """Return the view of a plan that was just committed."""
        return plan_view(command, command.actor.now_s, self._wall_clock())

    def show_plan(self, plan_id: str) -> dict[str, Any]:
        """Return an open plan or the outcome of a closed one, from the local state."""
        outcome = self._machine.plans.outcome(plan_id)
        if outcome is not None:
            return {"outcome": outcome_view(outcome)}
        plan = self._machine.plans.plan(plan_id)
        if plan is None:
            raise _unknown_plan(plan_id)
        return {"plan": plan_view(plan, plan.planned_at_s, self._wall_clock())}

    async def confirm(self, operator: str, origin: str, plan_id: str) -> dict[str, Any]:
        """Confirm a plan, or return the outcome of its first confirmation."""
        command = ConfirmCommand(self.actor(operator, origin), plan_id)
        result = await self._commit(command, f"GET /operator/v1/plans/{plan_id}")
        if result.outcome is None:
            raise _unknown_plan(plan_id)
        view = {"outcome": outcome_view(result.outcome), "repeated": result.repeated}
        if result.status is ResultStatus.CONFIRMED:
            return view
        raise _not_confirmed(result, view)

    async def order(
        self,
        operator: str,
        origin: str,
        order_id: str,
        target_id: str,
        wanted: WantedState,
        address: str = "",
    ) -> dict[str, Any]:
        """Commit an order to a target and return its fencing number."""
        await self._require_role(operator, origin, "confirmer", "order")
        order_id = order_id or self._new_id("order")
        command = OrderCommand(self.actor(operator, origin), order_id, target_id, wanted, address)
        result = await self._commit(command, "POST /operator/v1/orders with the same order_id")
        return {
            "order_id": order_id,
            "fencing_number": result.fencing_number,
            "repeated": result.repeated,
        }

    async def change_membership(
        self,
        operator: str,
        origin: str,
        action: str,
        replica_id: str,
        address: str,
        failure_domain: str,
    ) -> dict[str, Any]:
        """Add or remove a replica of the log, recorded in the trail before and after."""
        await self._require_role(operator, origin, "confirmer", action)
        subject = f"replica {replica_id}"
        ask = "GET /operator/v1/replicas"
        asked = RecordCommand(self.actor(operator, origin), action, subject, "requested")
        await self._commit(asked, ask)
        outcome = await self._port.change_membership(
            action, replica_id, address, failure_domain, self._limits.commit_timeout_s
        )
        done = RecordCommand(self.actor(operator, origin), action, subject, str(outcome.verdict))
        # Best effort: the removal of this very replica may have ended its leadership.
        await self._port.propose(encode_command(done), self._limits.commit_timeout_s)
        if outcome.detail == RefusalReason.INVALID_CHANGE:
            raise OperatorRefusedError(
                OperatorCode.BAD_REQUEST,
                f"'{action}' of '{replica_id}' is no change that can be made to the replicas",
            )
        if outcome.verdict is not CommitVerdict.COMMITTED:
            raise _commit_refusal(outcome, ask)
        return {"action": action, "replica_id": replica_id, "verdict": str(outcome.verdict)}


def _invalid(mistakes: list[str]) -> OperatorRefusedError:
    """Return the refusal of an intent, with all its mistakes."""
    return OperatorRefusedError(
        OperatorCode.INVALID_INTENT, "the intent has mistakes", mistakes=mistakes
    )


def _parse_intent(intent: Any) -> ConfigurationChange:
    """Parse an intent; refuse a malformed one."""
    try:
        return change_from_table(intent)
    except ConfigurationError as error:
        raise _invalid(error.mistakes) from error


def _placement_mistakes(change: ConfigurationChange) -> list[str]:
    """Return a mistake for a placement policy that routers don't have."""
    if change.policy is None or change.policy.placement in PLACEMENT_POLICIES:
        return []
    return [f"policy.placement: expected one of {', '.join(sorted(PLACEMENT_POLICIES))}"]


def _commit_refusal(outcome: CommitOutcome, ask: str) -> OperatorRefusedError:
    """Return the refusal for a proposal that is not known to be committed."""
    if outcome.verdict is CommitVerdict.REFUSED:
        return OperatorRefusedError(
            OperatorCode.NO_QUORUM,
            f"this replica can't commit now; this request changed nothing ({outcome.detail})",
            leader=outcome.leader_hint,
        )
    return OperatorRefusedError(
        OperatorCode.OUTCOME_UNKNOWN,
        "the outcome is not known yet; asking again or resending is safe",
        nothing_changed=False,
        ask=ask,
    )


def _unknown_plan(plan_id: str) -> OperatorRefusedError:
    """Return the refusal for a plan that is neither open nor among the stored outcomes."""
    return OperatorRefusedError(
        OperatorCode.UNKNOWN_PLAN,
        "no such plan is open, and its outcome is not among the last"
        f" {MAX_OUTCOMES} that are remembered; the audit trail tells of older ones",
        plan_id=plan_id,
    )


def _not_confirmed(result: ApplyResult, view: dict[str, Any]) -> OperatorRefusedError:
    """Return the refusal for a plan that was closed without being applied."""
    if result.status is ResultStatus.CONFLICT:
        return OperatorRefusedError(
            OperatorCode.CONFLICT,
            "the configuration changed after the plan was made; plan again",
            **view,
        )
    return OperatorRefusedError(OperatorCode.EXPIRED, "the plan has expired; plan again", **view)
