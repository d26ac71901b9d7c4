"""Log the steps of a proposal, so that a missing acknowledgement shows the step that waits.

The lines of one proposal, in order: `proposal forwarded` or `proposal delayed` at the
replica that was asked, `proposed` and `proposal decided` at the leader, `proposal answered`
at the replica that was asked. A delayed proposal is logged when its first attempt fails
and, as `proposal given up`, when its time is over.
"""

from collections.abc import Callable
from typing import Any

from loguru import logger

from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.replicated_state import machine_payload
from damaskwind.decisions.replication.events import ProposalOutcome
from damaskwind.runtime.clock import read_clock

__all__ = ["ProposalLog", "describe_nothing"]


def describe_nothing(payload: bytes) -> dict[str, Any]:
    """Return no fields for a command's payload."""
    return {}


class ProposalLog:
    """The log lines about proposals at one replica.

    `describe` returns the fields that identify a command, such as a version.
    """

    def __init__(self, replica: Replica) -> None:
        self.describe: Callable[[bytes], dict[str, Any]] = describe_nothing
        self._replica = replica

    def forwarded(self, request: Any, left_s: float) -> None:
        """Log that a request is about to be sent to the leader, and which life of it is meant."""
        leader = self._replica.core.leader
        self._log(
            "proposal forwarded",
            request,
            to=_id_of(leader),
            to_identity=_identity_of(leader),
            left_s=round(left_s, 3),
        )

    def answered(self, request: Any, outcome: ProposalOutcome, asked_s: float) -> None:
        """Log the leader's answer, or that there was none."""
        self._log_outcome("proposal answered", request, outcome, asked_s)

    def proposed(self, request: Any) -> None:
        """Log that this replica proposes a request itself."""
        core = self._replica.core
        self._log("proposed", request, role=core.role, term=core.term, last_index=core.last_index)

    def decided(self, request: Any, outcome: ProposalOutcome, asked_s: float) -> None:
        """Log the outcome of a request that this replica proposed."""
        self._log_outcome("proposal decided", request, outcome, asked_s)

    def delayed(self, request: Any, outcome: ProposalOutcome) -> None:
        """Log why the first attempt of a request was refused; it will be retried."""
        self._log("proposal delayed", request, why=_reason_of(outcome), **self._leader_fields())

    def given_up(self, request: Any, outcome: ProposalOutcome, attempts: int) -> None:
        """Log that all attempts of a request were refused until its timeout."""
        fields = {"why": _reason_of(outcome), "attempts": attempts, **self._leader_fields()}
        self._log("proposal given up", request, **fields)

    def _leader_fields(self) -> dict[str, Any]:
        """Return the known leader, and when this replica last received a message from one."""
        core = self._replica.core
        age_s = read_clock() - core.leader_seen_s
        return {
            "role": core.role,
            "term": core.term,
            "leader": _id_of(core.leader),
            "leader_age_s": round(age_s, 3),
        }

    def _log_outcome(
        self, event: str, request: Any, outcome: ProposalOutcome, asked_s: float
    ) -> None:
        self._log(
            event,
            request,
            outcome=outcome.outcome.value,
            index=outcome.index,
            why=_reason_of(outcome),
            took_s=round(read_clock() - asked_s, 3),
        )

    def _log(self, event: str, request: Any, **fields: Any) -> None:
        logger.info(event, **self._identify(request), **fields)

    def _identify(self, request: Any) -> dict[str, Any]:
        """Return the fields that identify a proposal or a change of the members."""
        payload = getattr(request, "payload", None)
        if payload is None:
            return {
                "change": request.action,
                "replica": request.replica_id,
                "identity": request.identity,
            }
        command = machine_payload(payload)
        return {} if command is None else self.describe(command)


def _id_of(leader: Any) -> str:
    return leader.replica_id if leader is not None else ""


def _identity_of(leader: Any) -> str:
    return leader.identity if leader is not None else ""


def _reason_of(outcome: ProposalOutcome) -> str:
    return str(outcome.reason or "")
