"""Forward a request from its caller to a target and relay the answer, within its deadline."""

import asyncio
from collections.abc import Mapping
from contextlib import nullcontext
from random import Random
from types import MappingProxyType

from loguru import logger

from damaskwind.decisions.fatal_requests.identity import identify_request
from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget
from damaskwind.decisions.routing.table import RoutingReason, choose_service
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.admission_gate import AdmissionGate
from damaskwind.router.forwarding.attempt import AttemptEnd, AttemptOutcome, AttemptSender
from damaskwind.router.forwarding.call import Call, read_facts, read_key
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.crash_detector import CrashDetector
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.engine_memory import EngineMemory
from damaskwind.router.forwarding.final_answers import FinalAnswers
from damaskwind.router.forwarding.fleet_shedding import FleetShedding
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.hedged_sends import HedgedSends
from damaskwind.router.forwarding.origin_form import in_origin_form
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.recorded_sends import RecordedSends
from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.request_steps import RequestSteps
from damaskwind.router.forwarding.route_resolution import MAX_WAIT_S, RouteResolver
from damaskwind.router.forwarding.service_throttles import ServiceThrottles
from damaskwind.router.forwarding.speed_probes import SpeedProbes
from damaskwind.router.forwarding.stop_window import StopWindow
from damaskwind.router.forwarding.stream_origins import StreamOrigins
from damaskwind.router.forwarding.target_bodies import TargetBodies
from damaskwind.router.forwarding.target_choice import TargetChooser
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.held_bytes import GivenUpError
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Request, header
from damaskwind.runtime.http1.unanswered import UnansweredReason, describe_cancellation
from damaskwind.runtime.tallies import Tallies

__all__ = ["Forwarder"]

# A body of 4 MB takes 24 ms to hash, in which no other request would be served.
HASHED_AT_ONCE_BYTES = 65_536
# A log line shows at most this much of what a caller sent.
MAX_SHOWN_CHARACTERS = 64
_ROUTING_STATUS = {RoutingReason.NO_ROUTE: 404, RoutingReason.UNKNOWN_KEY: 401}


def _interrupted(exchange: Exchange, why: str) -> AttemptOutcome:
    """Return the outcome of a request whose work ended early, possibly after its whole answer."""
    end = AttemptEnd.DELIVERED if exchange.is_finished else AttemptEnd.BROKEN
    return AttemptOutcome(end, why)


def _route_of(request: Request) -> tuple[str, str]:
    """Return the host and the path by which the route of a request is found."""
    host = (header(request.headers, b"host") or b"").decode("latin-1")
    return host, request.target.partition(b"?")[0].decode("latin-1")


class Forwarder:
    """The request handler of a router's caller-facing address.

    `started_s` is when the process began to serve, in monotonic seconds, by
    default now. `region_of` maps each failure domain to its region. With `has_contention`,
    callers compete for capacity: requests are sent to engines by the memory that they need,
    and shed by the counts of all routers.
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
        tallies: Tallies | None = None,
        has_contention: bool = False,
    ) -> None:
        self.view = view
        self.target_states = TargetStates(view, connections, heartbeat_s, random)
        self.tallies = Tallies() if tallies is None else tallies
        self._names = names
        self._budget_terms = budget_terms
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._started_s = read_clock() if started_s is None else started_s
        self.memory = EngineMemory(view, self.tallies) if has_contention else None
        self.admissions = PoolAdmissions(self.target_states, random, self.memory)
        self.throttles = ServiceThrottles(self.target_states, random)
        self.crash_detector = CrashDetector(self.target_states)
        self.chooser = TargetChooser(
            self.target_states, self.admissions, failure_domain, region_of, random, self.memory
        )
        self.replacements = Replacements(
            self.target_states, self.admissions, self.chooser, self._budget, self.tallies
        )
        self.origins = StreamOrigins(view, self.tallies)
        self.sender = AttemptSender(
            self.target_states, names, self.origins, self.tallies, self.replacements
        )
        self.sends = RecordedSends(
            self.sender,
            self.target_states,
            self.admissions,
            self.throttles,
            self.crash_detector,
            self.tallies,
            self.memory,
        )
        self.stop_window = StopWindow()
        self.sends.on_delivered.append(self.stop_window.record_delivered)
        self._resolver = RouteResolver(view)
        self.shedding: FleetShedding | None = None
        gates: tuple[AdmissionGate, ...] = (self.throttles,)
        if has_contention:
            self.shedding = FleetShedding(self.target_states, self.admissions, self.tallies, random)
            self.shedding.attach(self.throttles, self.sends)
            gates = (self.memory, self.throttles, self.shedding)
        self.hedged_sends = HedgedSends(
            self.sends,
            self.chooser,
            self.admissions,
            self.throttles,
            self.target_states,
            self._budget,
            self.tallies,
        )
        self.steps = RequestSteps(
            self.target_states,
            self.admissions,
            gates,
            self.chooser,
            self.hedged_sends,
            self.replacements,
            self.tallies,
            SpeedProbes(self.target_states, names, self.tallies),
            self.origins,
            self.stop_window,
        )
        self.answers = FinalAnswers(self.admissions, self._started_s, self.tallies)

    def bound_target_bodies(self, bodies: TargetBodies) -> None:
        """Bound the large request bodies in hand at each target, also those of second sends."""
        self.steps.target_bodies = self.hedged_sends.target_bodies = bodies
        self.replacements.target_bodies = bodies

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request to its final answer, also if its work is canceled or fails."""
        call = await self._admit(exchange)
        if call is None:
            return
        delivery = Delivery(exchange, call.route.is_resumable)
        outcome = fault = None
        try:
            call.digest = await self._identify(exchange, call)
            held = self.target_states.suspicions.find_held(call)
            if held is not None:
                self.answers.refuse_fatal(exchange, call, delivery, held)
                return
            async with exchange.account or nullcontext():
                async with asyncio.timeout(max(call.left_s(), 0.0)):
                    outcome = await self.steps.run(exchange, call, delivery)
                exchange.release_body()
                if outcome.end is AttemptEnd.DELIVERED and not await delivery.flushed():
                    outcome = AttemptOutcome(AttemptEnd.BROKEN, "the caller stopped reading")
        except GivenUpError as error:
            outcome = AttemptOutcome(AttemptEnd.BROKEN, str(error))
        except TimeoutError:
            outcome = AttemptOutcome(AttemptEnd.STALLED, "deadline exceeded")
        except asyncio.CancelledError as error:
            if exchange.loss is not None:
                self.answers.log_lost(call, delivery, exchange.loss)
                raise
            fault = UnansweredReason.CANCELED
            outcome = _interrupted(exchange, describe_cancellation(error))
            logger.error("request canceled", request=call.name, why=outcome.why)
        except Exception as error:
            fault = UnansweredReason.HANDLER_FAILED
            outcome = _interrupted(exchange, f"failed here: {error!r}")
            logger.opt(exception=error).error("request failed", request=call.name)
        finally:
            self.admissions.record_ended(call)
            if self.shedding is not None:
                self.shedding.record_final(call, outcome)
        # A cancellation of this task takes effect at its next wait, of which there is none here.
        self.answers.finish(exchange, call, delivery, outcome, fault)

    def is_refused_by_head(self, request: Request) -> bool:
        """Return whether a request is refused by the table in force, whatever its body is."""
        table = self.view.table
        if table is None:
            return True
        key = read_key(request.headers, self._names)
        return bool(table.find(*_route_of(in_origin_form(request)), key).refusal)

    async def _admit(self, exchange: Exchange) -> Call | None:
        """Resolve the request's route and account; answer it and return `None` if either fails."""
        exchange.request = request = in_origin_form(exchange.request)
        facts = read_facts(request.headers, self._names)
        if self.view.table is None:
            self.answers.refuse(exchange, facts.request_id, 503, "no configuration is known yet")
            return None
        host, path = _route_of(request)
        key = read_key(request.headers, self._names)
        limit_s = min(MAX_WAIT_S, facts.wait_s / 2)
        try:
            table, found, is_uncertain = await self._resolver.resolve(host, path, key, limit_s)
        except asyncio.CancelledError:
            if exchange.loss is not None:
                raise
            self.answers.refuse(exchange, facts.request_id, 503, "canceled before its route")
            return None
        if found.refusal:
            status = 503 if is_uncertain else _ROUTING_STATUS[found.refusal]
            self.answers.refuse(exchange, facts.request_id, status, found.refusal, table.version)
            self._log_denial(request, status, host, path)
            return None
        if exchange.is_body_unread:
            # A newer table allows what the one in force at the head refused.
            self.answers.refuse(exchange, facts.request_id, 503, "its body was not read")
            return None
        # A stream goes on at the service that began it.
        attempt_id = facts.resumes or facts.request_id
        draw = facts.part_ids[-2] if len(facts.part_ids) > 1 else attempt_id
        service = choose_service(found.route, draw)
        call = Call(facts, found.route, found.account, service, table.version, exchange.started_s)
        self._budget(service).count_request(read_clock())
        return call

    def _log_denial(self, request: Request, status: int, host: str, path: str) -> None:
        """Log what a refusal by the table in force was decided by, without the caller's key."""
        view = self.view
        credentials = header(request.headers, self._names.authorization) or b""
        logger.info(
            "request denied",
            status=status,
            host=host[:MAX_SHOWN_CHARACTERS],
            path=path[:MAX_SHOWN_CHARACTERS],
            scheme=credentials.partition(b" ")[0][:MAX_SHOWN_CHARACTERS].decode("latin-1"),
            key_bytes=len(credentials),
            newest_version=view.sources.newest_version(),
            **view.source.describe(read_clock()),
        )

    async def _identify(self, exchange: Exchange, call: Call) -> bytes:
        """Return the digest of a request; where bytes are bounded, a thread hashes large bodies."""
        request = exchange.request
        host = header(request.headers, b"host") or b""
        key = read_key(request.headers, self._names)
        caller = call.account.name if call.account else key or ""
        parts = (request.method, host, request.target, caller.encode(), request.body)
        if exchange.account is None or len(request.body) <= HASHED_AT_ONCE_BYTES:
            return identify_request(*parts)
        return await asyncio.to_thread(identify_request, *parts)

    def _budget(self, service: str) -> SharedRetryBudget:
        """Return this router's retry budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._budget_terms, lambda: self.view.most_routers, self._started_s
            )
            self._budgets[service] = budget
        return budget
