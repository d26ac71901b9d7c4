"""Choose the target of a request among those that one router knows."""

from collections.abc import Mapping, Set
from random import Random

from damaskwind.decisions.admission.retry_after import draw_retry_after_pause_s
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.placement.affinity import (
    AffinityPolicy,
    Candidate,
    choose_target,
    confine,
    exceeds_limit,
    policy_for,
)
from damaskwind.decisions.routing.regions import is_allowed
from damaskwind.router.forwarding.attempt_outcome import Placement
from damaskwind.router.forwarding.call import Call
from damaskwind.router.forwarding.engine_memory import EngineMemory
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock

__all__ = ["TargetChooser"]

# Prompt tokens that an engine reads per second; engines differ by a factor of about 1.6.
READ_TOKENS_PER_S = 60_000.0


class TargetChooser:
    """The choice of targets by one router in `failure_domain`.

    `region_of` maps each failure domain to its region.
    """

    def __init__(
        self,
        target_states: TargetStates,
        admissions: PoolAdmissions,
        failure_domain: str,
        region_of: Mapping[str, str],
        random: Random,
        memory: EngineMemory | None = None,
    ) -> None:
        self._target_states = target_states
        self._admissions = admissions
        self._failure_domain = failure_domain
        self._region_of = region_of
        self._random = random
        self._memory = memory

    def choose(self, call: Call, permitted: Set[str] | None = None) -> Placement | None:
        """Choose the next target for a request, `None` if there is none to try.

        Where targets are brittle, only those that are `permitted` may be sent to.
        """
        now_s = read_clock()
        records = self._pool(call)
        for target_id in call.tried:
            records.pop(target_id, None)
        allowed = {name: item for name, item in records.items() if call.may_go_on_at(item)}
        target_states = self._target_states
        if target_states.are_all_unreachable(allowed, bool(call.unreached), now_s):
            return None
        is_engine = call.key is not None
        candidates = target_states.candidates(records.values(), now_s, is_engine)
        candidates = self._doubt_partitioned(call, candidates)
        self._admissions.record_expected_starts(call.service, candidates)
        candidates = self._admissions.add_queued_load(call.service, candidates)
        if permitted is not None:
            candidates = [item for item in candidates if item.target_id in permitted]
        if self._memory is not None:
            candidates = self._memory.add_rooms(call, candidates, now_s)
        is_confined = len(allowed) < len(records)
        if is_confined:
            candidates = confine(candidates, call.required_version)
        choice = choose_target(
            candidates,
            call.key,
            self._failure_domain,
            self._policy(call, now_s),
            self._random,
        )
        if choice is None or (is_confined and exceeds_limit(candidates, choice.candidate)):
            return None
        if self._memory is not None:
            self._memory.record_choice(call, candidates, choice)
        donor = records.get(choice.donor_id)
        target = records[choice.candidate.target_id]
        return Placement(target, choice, donor.address if donor else None, is_confined)

    def confine_to_begun(self, call: Call) -> bool:
        """Confine a stream to the version that began it; return whether it may go on at all.

        If a target that began the stream is back with other software, it is not certain which of
        the two its events came from.
        """
        if call.began_at is None:
            return True
        if not self._target_states.runs_version(call.began_at):
            return False
        call.required_version = self._target_states.present_version(call.began_at)
        return True

    def _policy(self, call: Call, now_s: float) -> AffinityPolicy:
        """Return the policy for a request, with the time to read its shared parts elsewhere."""
        target_states = self._target_states
        policy = policy_for(target_states.view.routers, target_states.loads.has_sums(now_s))
        return policy._replace(read_s=call.facts.shared_tokens / READ_TOKENS_PER_S)

    def has_untried(self, call: Call) -> bool:
        """Tell whether a target serves to which the request was not sent yet."""
        return any(target_id not in call.tried for target_id in self._allowed_targets(call))

    def has_required_version(self, call: Call) -> bool:
        """Tell whether a target serves at which a stream may go on, now or later."""
        return any(
            record.phase is TargetPhase.SERVING
            and not self._target_states.has_announced_leaving(record)
            for record in self._allowed_targets(call).values()
        )

    def pause_retry_after_s(self, call: Call) -> float | None:
        """Return when to retry if all targets asked for a pause: as the first pause ends."""
        records = self._allowed_targets(call).values()
        pause_left_s = self._target_states.pause_left_s(records, read_clock())
        if pause_left_s is None:
            return None
        return draw_retry_after_pause_s(pause_left_s, call.route.objective_s, self._random)

    def _doubt_partitioned(self, call: Call, candidates: list[Candidate]) -> list[Candidate]:
        """Mark the targets of other failure domains in which one was silent for this request.

        A partition that hides one target of a failure domain hides the rest as well.
        """
        partitioned_domains = call.silent_domains - {self._failure_domain}
        if not partitioned_domains:
            return candidates
        return [
            item._replace(
                is_doubtful=item.is_doubtful or item.failure_domain in partitioned_domains
            )
            for item in candidates
        ]

    def _allowed_targets(self, call: Call) -> dict[str, TargetRecord]:
        """Return, by id, the targets of the pool at which a request may go on."""
        pool = self._pool(call)
        return {name: record for name, record in pool.items() if call.may_go_on_at(record)}

    def _pool(self, call: Call) -> dict[str, TargetRecord]:
        """Return, by id, the targets that a request may be sent to or copy prompt parts from.

        Those that run another software version than its stream requires count for the mean load.
        """
        return {
            target_id: record
            for target_id, record in self._target_states.serving_or_draining(call.service).items()
            if is_allowed(record.failure_domain, call.regions, self._region_of)
        }
