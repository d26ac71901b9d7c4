"""Forward a request from its caller to a target and relay the answer, within its deadline."""

import asyncio
from collections.abc import Mapping
from random import Random
from types import MappingProxyType

from damaskwind.decisions.admission.retry_after import draw_retry_after_pause_s
from damaskwind.decisions.fatal_requests.identity import identify_request
from damaskwind.decisions.fatal_requests.suspicion import Standing
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.placement.affinity import choose_target, policy_for
from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget
from damaskwind.decisions.routing.regions import is_allowed
from damaskwind.decisions.routing.table import RoutingReason, choose_service
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.attempt import (
    AttemptEnd,
    AttemptOutcome,
    AttemptSender,
    Placement,
)
from damaskwind.router.forwarding.call import AttemptNote, Call, read_facts, read_key
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.crash_detector import BrokenSend, CrashDetector
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.final_answers import FinalAnswers
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.service_throttles import ServiceThrottles
from damaskwind.router.forwarding.target_states import SendResult, TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import header
from damaskwind.runtime.tallies import Tallies

__all__ = ["Forwarder"]

# Sends allowed beyond a route's attempts when all earlier ones certainly did not run.
EXTRA_SENDS = 1
# Unreachable targets that a request may try, at 0.3 s each, before it is refused.
MAX_UNREACHED = 3


# The status with which a target itself answers a request whose deadline has passed.
DEADLINE_PASSED = 504

_ROUTING_STATUS = {RoutingReason.NO_ROUTE: 404, RoutingReason.UNKNOWN_KEY: 401}


def _send_result(outcome: AttemptOutcome) -> SendResult:
    """Return what the outcome of an attempt implies for the state of its target."""
    was_refused = outcome.end is AttemptEnd.NOT_RUN and outcome.was_reached
    is_good = outcome.end is AttemptEnd.DELIVERED
    return SendResult(is_good, outcome.was_reached, was_refused, outcome.is_displaced)


def _ran_to_end(outcome: AttemptOutcome) -> bool:
    """Tell whether the target ran the request to completion.

    A request that waited at a target until its deadline may never have started.
    """
    if outcome.end is AttemptEnd.TARGET_ERROR:
        return outcome.answer.status != DEADLINE_PASSED
    return outcome.end is AttemptEnd.DELIVERED


class Forwarder:
    """The request handler of a router's caller-facing address.

    `started_s` is when the process began to serve, in monotonic seconds, by
    default now. `region_of` maps each failure domain to its region.
    """

    def __init__(
        self,
        view: FleetView,
        connections: TargetConnections,
        names: HeaderNames,
        failure_domain: str,
        budget_terms: BudgetTerms,
        heartbeat_s: float,
        random: Random,
        started_s: float | None = None,
        region_of: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self.view = view
        self.target_states = TargetStates(view, connections, heartbeat_s, random)
        self.tallies = Tallies()
        self._names = names
        self._failure_domain = failure_domain
        self._budget_terms = budget_terms
        self._region_of = region_of
        self._random = random
        self.admissions = PoolAdmissions(self.target_states, random)
        self.throttles = ServiceThrottles(self.target_states, random)
        self.crash_detector = CrashDetector(self.target_states)
        self.crash_detector.on_crashed.append(self._record_target_crash)
        self._sender = AttemptSender(self.target_states, names)
        self._sender.on_answer_started = self._record_answer_started
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._started_s = read_clock() if started_s is None else started_s
        self.answers = FinalAnswers(self.admissions, self._started_s)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request to its final answer."""
        call = self._admit(exchange)
        if call is None:
            return
        delivery = Delivery(exchange, call.route.is_resumable)
        if self.view.suspicions.standing(call.digest) is Standing.FATAL:
            ends = self.view.suspicions.table.level(call.digest).ends
            self.answers.refuse_fatal(exchange, call, delivery, ends)
            return
        try:
            async with asyncio.timeout(max(call.left_s(), 0.0)):
                outcome = await self._serve(exchange, call, delivery)
        except TimeoutError:
            outcome = AttemptOutcome(AttemptEnd.STALLED, "deadline exceeded")
        except asyncio.CancelledError:
            self.answers.log(call, delivery, "caller left", "the caller closed its connection")
            raise
        finally:
            self.admissions.record_ended(call)
        self.answers.finish(exchange, call, delivery, outcome)

    def _admit(self, exchange: Exchange) -> Call | None:
        """Resolve the request's route and account; answer it and return `None` if either fails."""
        request = exchange.request
        facts = read_facts(request.headers, self._names)
        table = self.view.table
        if table is None:
            self.answers.refuse(exchange, facts.request_id, 503, "no configuration is known yet")
            return None
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        key = read_key(request.headers, self._names)
        found = table.find(host, path, key)
        if found.refusal:
            status = _ROUTING_STATUS[found.refusal]
            self.answers.refuse(exchange, facts.request_id, status, found.refusal, table.version)
            return None
        draw = facts.part_ids[-2] if len(facts.part_ids) > 1 else facts.request_id
        service = choose_service(found.route, draw)
        caller = found.account.name if found.account else key or ""
        digest = identify_request(
            request.method, host.encode("latin-1"), request.target, caller.encode(), request.body
        )
        call = Call(
            facts, found.route, found.account, service, table.version, exchange.started_s, digest
        )
        self._budget(service).count_request(read_clock())
        return call

    async def _serve(self, exchange: Exchange, call: Call, delivery: Delivery) -> AttemptOutcome:
        """Send until an answer is delivered or no further attempt is allowed."""
        outcome = AttemptOutcome(AttemptEnd.NOT_RUN, "no target")
        failure: AttemptOutcome | None = None
        placement = self._choose_target(call)
        if placement is None:
            self._set_retry_after(call)
            return outcome
        if call.key is None and not self.throttles.admits(call.service):
            call.retry_after_s = self.throttles.retry_after_s(call)
            return outcome._replace(why="service overloaded", was_reached=False)
        home = placement.choice.candidate if call.key else None
        rejection = await self.admissions.admit(call, home)
        self.tallies.count("entries", step=call.entry.step)
        if rejection is not None:
            call.retry_after_s = rejection.retry_after_s
            return AttemptOutcome(AttemptEnd.NOT_RUN, rejection.why, was_reached=False)
        if call.entry.waited_ms:
            placement = self._choose_target(call)
        while True:
            if placement is None:
                self._set_retry_after(call)
                return failure or outcome
            if call.reached and not self._budget(call.service).take(read_clock()):
                return failure or outcome._replace(why=f"{outcome.why}; retry budget spent")
            outcome = await self._send(exchange, call, delivery, placement)
            if outcome.end is AttemptEnd.DELIVERED:
                return outcome
            if outcome.answer is not None:
                failure = outcome
            if not self._may_retry(call, outcome):
                return failure or outcome
            if outcome.is_connection_lost and not await self._may_retry_after_loss(call):
                return failure or outcome
            placement = self._choose_target(call)

    def _may_retry(self, call: Call, outcome: AttemptOutcome) -> bool:
        """Tell whether the request may be sent to another target."""
        if outcome.end is AttemptEnd.WITHHELD:
            return True
        if not outcome.was_reached:
            return call.unreached < MAX_UNREACHED
        if outcome.end is AttemptEnd.NOT_RUN:
            return call.sends < call.route.max_attempts + EXTRA_SENDS
        return call.route.may_repeat and call.sends < call.route.max_attempts

    async def _may_retry_after_loss(self, call: Call) -> bool:
        """Tell whether a request whose last send broke may be sent to another target.

        The request itself may have crashed the target, so it is retried elsewhere once, not twice.
        """
        if call.exit_probe is not None:
            # Other requests share the probe, so it continues when this caller leaves.
            await asyncio.shield(call.exit_probe)
        return self.view.suspicions.table.may_retry(call.digest)

    async def _send(
        self,
        exchange: Exchange,
        call: Call,
        delivery: Delivery,
        placement: Placement,
    ) -> AttemptOutcome:
        """Make one attempt at a target and record its outcome."""
        target, choice = placement.target, placement.choice
        begun_s = read_clock()
        basis = self.target_states.loads.basis(target.target_id, begun_s, call.key is not None)
        if basis.age_s is not None:
            self.tallies.observe("load_age", basis.age_s, source=basis.source.value)
        self.tallies.count("placements", load_from=basis.source.value)
        self.admissions.record_sent(call, target.target_id)
        call.sends += 1
        call.tried.add(target.target_id)
        self.target_states.record_sent(target, begun_s)
        may_reroute = call.route.may_repeat and call.sends < call.route.max_attempts
        # Until the outcome is known, the request may be running.
        could_have_run, call.may_have_run = call.may_have_run, True
        call.exit_probe, level = None, self.view.suspicions.table.level(call.digest)
        call.is_suspected = level.ends > 0
        outcome = AttemptOutcome(AttemptEnd.BROKEN, "canceled")
        try:
            outcome = await self._sender.send(
                exchange.request, call, placement, delivery, may_reroute
            )
        finally:
            now_s = read_clock()
            self.admissions.record_ended(call)
            call.notes.append(
                AttemptNote(
                    target.target_id,
                    choice.rank,
                    round(choice.candidate.load, 1),
                    round(choice.bound, 1),
                    basis.age_s,
                    choice.donor_id,
                    f"{outcome.end}: {outcome.why}",
                    int((begun_s - call.started_s) * 1000),
                    int((now_s - begun_s) * 1000),
                    None if outcome.first_s is None else int(outcome.first_s * 1000),
                    basis.source.value,
                )
            )
        self.tallies.count("attempts", end=outcome.end.value)
        if outcome.end is AttemptEnd.WITHHELD:
            call.may_have_run = could_have_run
            call.sends -= 1
            return outcome
        if call.key is None:
            self._record_service_result(call, outcome, now_s - begun_s)
        call.reached += outcome.was_reached
        if not outcome.was_reached:
            call.unreached += 1
            call.sends -= 1
        if not outcome.was_reached or outcome.end is AttemptEnd.STALLED:
            call.silent_domains.add(target.failure_domain)
        if outcome.end is AttemptEnd.NOT_RUN:
            call.may_have_run = could_have_run
            if outcome.was_reached and not outcome.is_displaced:
                self.admissions.record_rejection(call, target.target_id)
        self.target_states.record_ended(target, _send_result(outcome), now_s)
        if outcome.is_connection_lost:
            broken = BrokenSend(call.digest, level, call.facts.request_id)
            call.exit_probe = self.crash_detector.probe(target, broken)
        elif _ran_to_end(outcome):
            self.view.suspicions.record_completion(call.digest)
        return outcome

    def _record_service_result(self, call: Call, outcome: AttemptOutcome, took_s: float) -> None:
        """Record the answer time or the refusal of a service that reports no load."""
        result = _send_result(outcome)
        if outcome.answer is not None or result.is_good:
            self.throttles.record_answer(call, took_s)
        elif result.was_refused and not result.is_displaced and not outcome.asks_for_pause:
            self.throttles.record_rejection(call)

    def _record_target_crash(self, target: TargetRecord, sends: list[BrokenSend]) -> None:
        """Put the requests in flight at a target that crashed under suspicion."""
        self.view.suspicions.record_target_end((item.digest, item.level) for item in sends)

    def _record_answer_started(self, call: Call, target_id: str, first_s: float) -> None:
        """Record how long a target took to begin its answer."""
        self.tallies.observe("first_piece", first_s, kind=call.route.kind.value)
        objective_share = first_s / call.route.objective_s
        self.target_states.record_answer_started(
            call.service, target_id, objective_share, read_clock()
        )
        self.admissions.record_answer_started(call)

    def _choose_target(self, call: Call) -> Placement | None:
        """Choose the next target for a request, `None` if there is none to try."""
        now_s = read_clock()
        records = self._allowed_targets(call)
        for target_id in call.tried:
            records.pop(target_id, None)
        if self.target_states.are_all_unreachable(records, bool(call.unreached), now_s):
            return None
        is_engine = call.key is not None
        candidates = self.target_states.candidates(records.values(), now_s, is_engine)
        # A partition that hides one target of another failure domain hides the rest as well.
        partitioned_domains = call.silent_domains - {self._failure_domain}
        if partitioned_domains:
            candidates = [
                item._replace(
                    is_doubtful=item.is_doubtful or item.failure_domain in partitioned_domains
                )
                for item in candidates
            ]
        candidates = self.admissions.add_queued_load(call.service, candidates)
        choice = choose_target(
            candidates,
            call.key,
            self._failure_domain,
            policy_for(self.view.routers, self.target_states.loads.has_sums(now_s)),
            self._random,
        )
        if choice is None:
            return None
        donor = records.get(choice.donor_id)
        target = records[choice.candidate.target_id]
        return Placement(target, choice, donor.address if donor else None)

    def _allowed_targets(self, call: Call) -> dict[str, TargetRecord]:
        """Return, by id, the targets that a request may be sent to or copy prompt parts from."""
        return {
            target_id: record
            for target_id, record in self.target_states.serving_or_draining(call.service).items()
            if is_allowed(record.failure_domain, call.regions, self._region_of)
        }

    def _set_retry_after(self, call: Call) -> None:
        """Let the caller retry when the first pause ends, if all targets asked for one."""
        rest_s = self.target_states.pause_left_s(self._allowed_targets(call).values(), read_clock())
        if rest_s is not None:
            call.retry_after_s = draw_retry_after_pause_s(
                rest_s, call.route.objective_s, self._random
            )

    def _budget(self, service: str) -> SharedRetryBudget:
        """Return this router's retry budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._budget_terms, lambda: self.view.routers, self._started_s
            )
            self._budgets[service] = budget
        return budget
