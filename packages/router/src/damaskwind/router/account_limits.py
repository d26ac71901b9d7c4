"""Enforce the fleet-wide limits of client accounts.

This module connects the limiter and the allocator to the network: reports of demand
and grants of shares are datagrams between routers, within the control budget.
"""

import time
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from damaskwind.decisions.limits.allocator import ShareAllocator
from damaskwind.decisions.limits.codec import LimitsCodec
from damaskwind.decisions.limits.limiter import AccountLimiter
from damaskwind.decisions.limits.messages import (
    AccountLimit,
    DemandReport,
    LimitOutcome,
    LimitPolicy,
    ShareGrant,
)
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.configuration import Configuration
from damaskwind.model.exception import MessageError, RefusedError
from damaskwind.model.targets import TargetKind
from damaskwind.router.work import WorkItem

__all__ = ["AccountLimits"]

REPORT_KIND = "demand"
GRANT_KIND = "share"
_SERVICES_SUFFIX = "#services"


def _limit_name(account: str, kind: TargetKind) -> str:
    """Return the name of an account's limit for one kind of target.

    Plain services have a separate limit of the same size, so that a status check
    never waits for chats of the same account.
    """
    return account if kind is TargetKind.ENGINE else f"{account}{_SERVICES_SUFFIX}"


def _urgency(report: DemandReport) -> Urgency:
    """Give reports that request more priority over those that only renew leases."""
    has_increase = any(
        demand.wanted > demand.held or demand.wanted_tokens_per_s > demand.held_tokens_per_s
        for demand in report.demands
    )
    return Urgency.LIMITS if has_increase else Urgency.REPAIR


class AccountLimits:
    """Admit requests by the shares leased to this router, and lease shares to others.

    `domains` are the failure domains among which limits are divided; they must be
    the same on all routers.
    """

    def __init__(
        self,
        router_id: str,
        failure_domain: str,
        domains: tuple[str, ...],
        membership: Any,
        clock: Any,
        is_alone: bool,
    ) -> None:
        self._router_id = router_id
        self._domain = failure_domain
        self._domains = domains
        self._membership = membership
        self._clock = clock
        self._policy = LimitPolicy()
        self._codec = LimitsCodec()
        first_sequence = time.time_ns() // 1_000_000
        now_s = clock.seconds()
        self._learning_until_s = now_s if is_alone else now_s + self._policy.lease_s
        self._limiter = AccountLimiter(router_id, failure_domain, self._policy, first_sequence)
        self._allocator = ShareAllocator(router_id, failure_domain, self._policy, now_s, is_alone)
        self._waiters: list[Deferred] = []
        self._timer: Any = None
        self._is_stopped = False
        membership.register_kind(REPORT_KIND, self._receive_report)
        membership.register_kind(GRANT_KIND, self._receive_grant)

    @property
    def is_learning(self) -> bool:
        """Return whether shares leased before this start may be in use without being known."""
        return self._clock.seconds() < self._learning_until_s

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the confirmed limits."""
        limits = {
            _limit_name(name, kind): AccountLimit(
                account.max_concurrent_requests, account.max_tokens_per_s
            )
            for name, account in configuration.accounts.items()
            for kind in TargetKind
        }
        self._codec.set_names(limits, self._domains)
        self._limiter.set_limits(limits, self._domains)
        self._allocator.set_limits(limits, self._domains)

    async def admit(self, work: WorkItem) -> None:
        """Admit a request, waiting for a grant if needed, or raise `RefusedError`."""
        wait_until_s = None
        tokens = int(work.total_tokens)
        name = _limit_name(work.account.name, work.kind)
        while True:
            now_s = self._clock.seconds()
            decision = self._limiter.admit(name, tokens, now_s, wait_until_s)
            self._schedule_report()
            if decision.outcome is LimitOutcome.ADMITTED:
                return
            if decision.refusal is not None:
                raise RefusedError(decision.refusal)
            wait_until_s = decision.wait_until_s
            await self._wait_for_grant(decision.retry_at_s - now_s, work)

    def release(self, work: WorkItem, used_tokens: int | None) -> None:
        """Record that an admitted request ended, with its token usage if known."""
        expected = int(work.total_tokens)
        used = expected if used_tokens is None else used_tokens
        name = _limit_name(work.account.name, work.kind)
        self._limiter.release(name, expected, used, self._clock.seconds())
        self._schedule_report()
        self._wake_all()

    def stop(self) -> None:
        """Stop sending reports."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_for_grant(self, timeout_s: float, work: WorkItem) -> Deferred:
        """Return a Deferred that fires at the next grant, the next release or the timeout."""
        wakeup: Deferred = Deferred()
        timer = self._clock.callLater(max(timeout_s, 0.0), self._wake_one, wakeup)
        self._waiters.append(wakeup)
        work.caller.when_gone(lambda: self._wake_one(wakeup))

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        return wakeup.addBoth(stop_timer)

    def _wake_one(self, wakeup: Deferred) -> None:
        """Wake one waiting request."""
        if wakeup in self._waiters:
            self._waiters.remove(wakeup)
            wakeup.callback(None)

    def _wake_all(self) -> None:
        """Wake every waiting request."""
        waiters, self._waiters = self._waiters, []
        for wakeup in waiters:
            wakeup.callback(None)

    def _schedule_report(self) -> None:
        """Schedule the next report at the time the limiter asks for."""
        due_s = self._limiter.next_report_s()
        if due_s is None or self._is_stopped:
            return
        if self._timer is not None:
            if self._timer.getTime() <= due_s:
                return
            self._timer.cancel()
        delay_s = max(0.0, due_s - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._send_reports)

    def _send_reports(self) -> None:
        """Send the reports that are due; a report to this router is handled locally."""
        self._timer = None
        now_s = self._clock.seconds()
        for router_id, report in self._limiter.reports(self._routers(), now_s):
            if router_id == self._router_id:
                self._handle_report(router_id, report)
            else:
                payload = self._codec.encode_report(report, router_id)
                self._membership.send(REPORT_KIND, router_id, payload, _urgency(report))
        self._schedule_report()

    def _routers(self) -> dict[str, list[str]]:
        """Return the live routers of each failure domain, including this one."""
        routers: dict[str, list[str]] = {self._domain: [self._router_id]}
        for record in self._membership.routers():
            if record.router_id != self._router_id:
                routers.setdefault(record.failure_domain, []).append(record.router_id)
        return routers

    def _receive_report(self, router_id: str, payload: bytes) -> None:
        """Handle a report from another router; drop a malformed one."""
        try:
            report = self._codec.decode_report(router_id, self._router_id, payload)
        except MessageError as error:
            logger.warning("malformed report of demand dropped", error=str(error))
            return
        self._handle_report(router_id, report)

    def _handle_report(self, router_id: str, report: DemandReport) -> None:
        """Answer a report with a grant, and send the recalls that it causes."""
        self._allocator.set_routers(frozenset(self._routers()[self._domain]))
        grant = self._allocator.handle_report(report, self._clock.seconds())
        for holder_id, recall in self._allocator.pop_recalls():
            self._send_grant(holder_id, recall)
        if grant is not None:
            self._send_grant(router_id, grant)

    def _send_grant(self, router_id: str, grant: ShareGrant) -> None:
        """Send a grant or recall; one to this router is applied locally."""
        if router_id == self._router_id:
            self._apply_grant(grant)
        else:
            payload = self._codec.encode_grant(grant)
            self._membership.send(GRANT_KIND, router_id, payload, Urgency.LIMITS)

    def _receive_grant(self, router_id: str, payload: bytes) -> None:
        """Handle a grant from another router; drop a malformed one."""
        try:
            grant = self._codec.decode_grant(router_id, payload)
        except MessageError as error:
            logger.warning("malformed grant of shares dropped", error=str(error))
            return
        self._apply_grant(grant)

    def _apply_grant(self, grant: ShareGrant) -> None:
        """Apply a grant and wake the waiting requests."""
        self._limiter.apply_grant(grant, self._clock.seconds())
        self._schedule_report()
        self._wake_all()
