"""Handle operators' orders to evacuate failure domains, at any control replica."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from loguru import logger

from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict, ProposalPort
from damaskwind.control.state.evacuation_orders import (
    EvacuationOrders,
    OrderOutcome,
    OrderResult,
    decode_order_result,
    order_command,
)
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["EvacuationCalls", "EvacuationResult", "EvacuationStatus"]

# Operators try another replica after a second without an answer.
ORDER_TIMEOUT_S = 0.9
# An order that conflicts with another one for its failure domain is retried on top of it.
ORDER_ATTEMPTS = 4


class EvacuationStatus(StrEnum):
    """The result of an order."""

    ACKNOWLEDGED = "acknowledged"
    NO_SUCH_DOMAIN = "no-such-domain"
    UNKNOWN = "unknown"


class EvacuationResult(NamedTuple):
    """The status of an order, and what is wrong with it."""

    status: EvacuationStatus
    detail: str = ""


class EvacuationCalls:
    """Handles orders to evacuate failure domains at one replica.

    An order is acknowledged once a majority has it on disk, even if it changes nothing.
    If `failure_domains` is empty, any name is accepted.
    """

    def __init__(
        self,
        access: Callable[[], ProposalPort | None],
        orders: Callable[[], EvacuationOrders],
        has_enough_voters: Callable[[], bool],
        failure_domains: tuple[str, ...] = (),
    ) -> None:
        self._access = access
        self._orders = orders
        self._has_enough_voters = has_enough_voters
        self._failure_domains = failure_domains
        self.tallies = Tallies()

    async def order(
        self, failure_domain: str, is_evacuated: bool, caller: str = ""
    ) -> EvacuationResult:
        """Order the evacuation of a failure domain, or lift it."""
        started_s = read_clock()
        result = await self._order(failure_domain, is_evacuated)
        took_s = read_clock() - started_s
        self.tallies.count("evacuation_orders", status=result.status.value)
        self.tallies.observe("evacuation_order_duration", took_s, status=result.status.value)
        logger.info(
            "evacuation ordered" if is_evacuated else "evacuation withdrawn",
            failure_domain=failure_domain,
            status=result.status,
            why=result.detail,
            caller=caller,
            took_ms=round(took_s * 1000, 1),
        )
        return result

    async def _order(self, failure_domain: str, is_evacuated: bool) -> EvacuationResult:
        if self._failure_domains and failure_domain not in self._failure_domains:
            known = ", ".join(self._failure_domains)
            detail = f"there is no failure domain '{failure_domain}'; there are {known}"
            return EvacuationResult(EvacuationStatus.NO_SUCH_DOMAIN, detail)
        access = self._access()
        if access is None:
            return EvacuationResult(EvacuationStatus.UNKNOWN, "the disk is not usable")
        if not self._has_enough_voters():
            return EvacuationResult(EvacuationStatus.UNKNOWN, "too few replicas vote yet")
        outcome = await self._propose(access, failure_domain, is_evacuated)
        if outcome.verdict is not CommitVerdict.COMMITTED:
            return EvacuationResult(EvacuationStatus.UNKNOWN, outcome.detail)
        result = decode_order_result(outcome.result)
        if result.outcome is OrderOutcome.OTHER_BASE:
            return EvacuationResult(EvacuationStatus.UNKNOWN, "other orders came between")
        return EvacuationResult(EvacuationStatus.ACKNOWLEDGED, f"revision {result.revision}")

    async def _propose(
        self, access: ProposalPort, failure_domain: str, is_evacuated: bool
    ) -> CommitOutcome:
        """Propose an order to the log, based on the failure domain's last order."""
        deadline_s = read_clock() + ORDER_TIMEOUT_S
        base_revision = self._orders().last_order(failure_domain).revision
        for _ in range(ORDER_ATTEMPTS):
            command = order_command(failure_domain, is_evacuated, base_revision)
            outcome = await access.propose(command, deadline_s - read_clock())
            if outcome.verdict is not CommitVerdict.COMMITTED:
                break
            result: OrderResult = decode_order_result(outcome.result)
            if result.outcome is not OrderOutcome.OTHER_BASE:
                break
            base_revision = result.revision
        return outcome
