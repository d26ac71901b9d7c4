"""Keep requests within the memory of engines, by the tokens that they need and hold there."""

from collections.abc import Sequence

from loguru import logger

from damaskwind.decisions.admission.pool_admission import TargetSlots
from damaskwind.decisions.load.engine_tokens import EngineTokens, EngineUse
from damaskwind.decisions.load.request_cost import (
    MeanCost,
    RequestCost,
    read_token_headers,
    request_cost,
)
from damaskwind.decisions.load.token_sums import HeldTokens, TokenSums
from damaskwind.decisions.placement.affinity import Candidate, Choice
from damaskwind.decisions.placement.engine_memory import (
    EngineRoom,
    avoids_prefill,
    engine_room,
    free_tokens,
    is_plausible_use,
)
from damaskwind.model.traffic_configuration import EngineProfile
from damaskwind.router.forwarding.admission_gate import GateRefusal
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.tallies import Tallies

__all__ = ["EngineMemory"]


class EngineMemory:
    """One router's view of the memory of all engines; an admission gate.

    It applies to services whose configuration has an engine profile.
    """

    def __init__(self, view: FleetView, tallies: Tallies) -> None:
        self.tokens = EngineTokens()
        self._view = view
        self._tallies = tallies
        self._means: dict[str, MeanCost] = {}
        self._implausible: set[str] = set()
        self._had_sums = False
        view.count_tokens = self._report_to
        view.on_token_sums.append(self._observe_sums)
        view.on_gone.append(self.forget)
        view.on_restarted.append(lambda record: self.forget(record.target_id))

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone or has restarted."""
        self.tokens.forget(target_id)
        self._implausible.discard(target_id)

    def check(self, call: Call) -> GateRefusal | None:
        """Refuse a request that fits on no engine of its service, however empty."""
        profile = self._profile(call.service)
        if profile is None:
            return None
        need_tokens, capacity_tokens = self._cost(call).need_tokens, profile.capacity_tokens
        if need_tokens <= capacity_tokens:
            return None
        self._tallies.count("engine_memory", decision="never fits")
        logger.info(
            "request never fits",
            request=call.facts.request_id.decode("latin-1"),
            service=call.service,
            need_tokens=need_tokens,
            capacity_tokens=capacity_tokens,
        )
        text = b"The request needs %d tokens; an engine of its service holds %d.\n"
        return GateRefusal("never fits", text=text % (need_tokens, capacity_tokens))

    def add_rooms(self, call: Call, candidates: list[Candidate], now_s: float) -> list[Candidate]:
        """Add to each candidate its memory for a request."""
        profile = self._profile(call.service)
        if profile is None:
            return candidates
        self._log_sums(now_s)
        cost = self._cost(call)
        is_short = avoids_prefill(call.priority, cost)
        return [
            item._replace(room=self._room(item.target_id, cost, profile, is_short, now_s))
            for item in candidates
        ]

    def add_free_tokens(
        self, service: str, slots: list[TargetSlots], now_s: float
    ) -> list[TargetSlots]:
        """Add to the free slots of targets their free memory."""
        profile = self._profile(service)
        if profile is None:
            return slots
        return [
            item._replace(free_tokens=self._free_tokens(item.target_id, profile, now_s))
            for item in slots
        ]

    def record_choice(self, call: Call, candidates: Sequence[Candidate], choice: Choice) -> None:
        """Count and log a choice that memory or prefill work has changed."""
        room = choice.candidate.room
        if room is None:
            return
        rooms = {item.target_id: item.room for item in candidates}
        passed_over = rooms.get(choice.passed_over)
        decision = _decision(room, passed_over)
        self._tallies.count("engine_memory", decision=decision)
        if decision == "fits":
            return
        logger.info(
            "placed by engine memory",
            request=call.facts.request_id.decode("latin-1"),
            decision=decision,
            target=choice.candidate.target_id,
            passed_over=choice.passed_over,
            need_tokens=room.need_tokens,
            held_tokens=room.held_tokens,
            free_tokens=int(room.free_tokens),
            passed_over_held_tokens=passed_over.held_tokens if passed_over else None,
            passed_over_prefill_tokens=passed_over.prefill_ahead_tokens if passed_over else None,
            age_s=room.age_s,
        )

    def record_sent(self, call: Call, target_id: str, now_s: float) -> None:
        """Record that a request is being sent to a target."""
        if self._profile(call.service) is None:
            return
        cost = self._cost(call)
        if call.sends == 0 and call.facts.token_headers.usage is not None:
            mean = self._means.get(call.route.name, MeanCost())
            self._means[call.route.name] = mean.updated(cost)
        self.tokens.record_sent(call.number, target_id, cost, now_s)

    def record_started(self, call: Call, target_id: str) -> None:
        """Record that the answer to a request began."""
        self.tokens.record_started(call.number, target_id)

    def record_ended(self, call: Call, target_id: str) -> None:
        """Record that an attempt at a target has ended."""
        self.tokens.record_ended(call.number, target_id)

    def held_tokens(self) -> float:
        """Return the tokens held at all engines, as far as known here."""
        return float(sum(use.held_tokens for use, _ in self._uses()))

    def fullest_share(self) -> float:
        """Return the share of its memory that is held at the fullest engine."""
        shares = [use.held_tokens / profile.capacity_tokens for use, profile in self._uses()]
        return max(shares, default=0.0)

    def _uses(self) -> list[tuple[EngineUse, EngineProfile]]:
        """Return what each engine that serves holds, with its profile."""
        now_s = read_clock()
        found = []
        for record in self._view.targets.serving():
            profile = self._profile(record.service)
            if profile is not None:
                found.append((self._use(record.target_id, profile, now_s), profile))
        return found

    def _profile(self, service: str) -> EngineProfile | None:
        table = self._view.table
        return None if table is None else table.engine_profile(service)

    def _cost(self, call: Call) -> RequestCost:
        """Return the cost of a request, computed once."""
        if call.cost is None:
            mean = self._means.get(call.route.name, MeanCost())
            stated = read_token_headers(call.facts.token_headers)
            cost, profile = request_cost(stated, mean), self._profile(call.service)
            if stated.max_output_tokens is None and stated.length_hint_tokens is not None:
                # A hint is often far off, so that it is no reason to refuse a request for good.
                room = max(profile.capacity_tokens - cost.prompt_tokens, 0) if profile else 0
                cost = cost._replace(output_tokens=min(cost.output_tokens, room))
            call.cost = cost
        return call.cost

    def _use(self, target_id: str, profile: EngineProfile, now_s: float) -> EngineUse:
        """Return what an engine holds; a sum that can't be true is not used."""
        use = self.tokens.use(target_id, now_s)
        is_plausible = is_plausible_use(use, profile.capacity_tokens)
        if is_plausible == (target_id in self._implausible):
            self._note_plausibility(target_id, is_plausible, use)
        return use if is_plausible else self.tokens.own_use(target_id, now_s)

    def _note_plausibility(self, target_id: str, is_plausible: bool, use: EngineUse) -> None:
        """Log that the sum of a target can't be true, or can be again."""
        (self._implausible.discard if is_plausible else self._implausible.add)(target_id)
        logger.warning(
            "token sum plausible again" if is_plausible else "token sum implausible",
            target=target_id,
            held_tokens=use.held_tokens,
            age_s=use.age_s,
        )

    def _free_tokens(self, target_id: str, profile: EngineProfile, now_s: float) -> float:
        use = self._use(target_id, profile, now_s)
        return free_tokens(use, profile.capacity_tokens)

    def _room(
        self,
        target_id: str,
        cost: RequestCost,
        profile: EngineProfile,
        is_short: bool,
        now_s: float,
    ) -> EngineRoom:
        use = self._use(target_id, profile, now_s)
        return engine_room(use, cost, profile.capacity_tokens, is_short)

    def _report_to(self, host: str) -> tuple[HeldTokens, ...] | None:
        """Return what this router holds at engines, `None` where no service has a profile."""
        table = self._view.table
        return self.tokens.report_to(host) if table and table.has_engine_profiles else None

    def _observe_sums(self, host: str, sums: TokenSums) -> None:
        """Apply a replica's sums of the tokens that all routers hold."""
        self.tokens.observe_sums(host, sums, read_clock())

    def _log_sums(self, now_s: float) -> None:
        """Log when sums become available or too old to be used."""
        has_sums = self.tokens.has_sums(now_s)
        if has_sums != self._had_sums:
            self._had_sums = has_sums
            logger.info("token sums", available=has_sums)


def _decision(room: EngineRoom, passed_over: EngineRoom | None) -> str:
    """Return how memory affected a placement, as counted and logged."""
    if not room.fits:
        return "waits"
    if passed_over is None:
        return "fits"
    return "avoids prefill" if passed_over.fits else "avoids full"
