"""Decide at one router which requests crash targets, by what they hold, and hold them back.

The suspects of a request are itself and the parts of its prompt; `decisions/fatal_requests` decides
what the end of a target counts against. What is known is shared by `SuspicionRelay`.
"""

from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.fatal_requests.completions import RecentCompletions
from damaskwind.decisions.fatal_requests.evidence import (
    CLOSE_ENDS,
    SendEvidence,
    Suspect,
    together,
)
from damaskwind.decisions.fatal_requests.suspicion import FATAL_ENDS, Standing
from damaskwind.decisions.fatal_requests.verdicts import VerdictMaker
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.call import Call, shown_parts
from damaskwind.router.forwarding.suspicion_relay import SuspicionRelay
from damaskwind.runtime.clock import read_clock

__all__ = ["HeldSuspect", "RequestSuspicions"]

# A part that many requests share has just been answered elsewhere whenever a target ends. What was
# answered longer ago may crash targets by now.
PART_RECENT_S = 1.0


class HeldSuspect(NamedTuple):
    """The suspect for which a request is held back, and why as the log states it."""

    digest: bytes
    why: str


class RequestSuspicions:
    """What one router believes of requests and the parts of their prompts."""

    def __init__(self, relay: SuspicionRelay) -> None:
        self.on_held = relay.on_held
        self._relay = relay
        self._table = relay.table
        self._answered_parts = RecentCompletions(PART_RECENT_S)
        self._verdicts = VerdictMaker(relay.table)
        relay.on_merged.append(self._narrow_groups)
        # When this router last tried what is held fatal.
        self._tried_s: dict[bytes, float] = {}

    def evidence(self, call: Call) -> SendEvidence:
        """Return the suspects of a request with what is known of them now."""
        request, *parts = (
            Suspect(digest, self._table.level(digest))
            for digest in (call.digest, *call.part_digests)
        )
        group = together((request, *parts), self._table.level)
        return SendEvidence(request, tuple(parts), group)

    def is_suspected(self, call: Call) -> bool:
        """Return whether targets ended under a request, or under one that shares a part."""
        return self._most_ends(call) > 0

    def may_retry(self, call: Call) -> bool:
        """Return whether a request may be repeated after a target ended under it.

        A single end may have had another cause.
        """
        return self._most_ends(call) <= 1

    def find_held(self, call: Call) -> HeldSuspect | None:
        """Return the suspect for which a request must not be sent now, if there is one."""
        for suspect in self._fatal_suspects(call):
            if self._is_held(suspect.digest):
                return HeldSuspect(suspect.digest, self._reason(call, suspect))
        return None

    def may_send(self, call: Call) -> bool:
        """Return whether a request may be sent, right before it is; one that is fatal is tried."""
        suspects = self._fatal_suspects(call)
        if any(self._is_held(suspect.digest) for suspect in suspects):
            return False
        for suspect in suspects:
            self._tried_s[suspect.digest] = read_clock()
            logger.warning(
                "fatal request tried",
                request=call.facts.request_id.decode("latin-1"),
                suspect=suspect.digest.hex(),
                why=self._reason(call, suspect),
            )
        return True

    def is_any_held(self, digests: Sequence[bytes]) -> bool:
        """Return whether any of these suspects is held back."""
        return bool(len(self._table)) and any(map(self._is_held, digests))

    def record_completion(
        self, call: Call, evidence: SendEvidence, target_id: str, why: str, is_answered: bool
    ) -> None:
        """Record that a target ran a request to its end.

        Only one that `is_answered` clears the parts of its prompt: a failure may not have read
        them.
        """
        request_id = call.facts.request_id
        self._relay.record_completion(call.digest, request_id, target_id, why)
        if not is_answered:
            return
        now_s = read_clock()
        for digest in call.part_digests:
            self._answered_parts.record(digest, now_s)
            self._relay.clear(digest, request_id, target_id, why)
        if evidence.group is not None:
            self._relay.clear(evidence.group.digest, request_id, target_id, why)
        self._relay.record_target_end(
            self._verdicts.record_answer(call.service, call.part_digests, now_s)
        )
        self._narrow_groups()

    def record_target_end(self, target: TargetRecord, sends: Sequence[SendEvidence]) -> None:
        """Count the end of a target against what was in flight there."""
        now_s = read_clock()
        blamed = self._verdicts.record_target_end(target.service, sends, now_s)
        counted = [item for item in blamed if not self._answered_parts.has(item.digest, now_s)]
        logger.warning(
            "target end counted",
            target=target.target_id,
            service=target.service,
            sends=len(sends),
            suspects=len({item.digest for send in sends for item in send.suspects}),
            blamed=len(set(blamed)),
            answered_lately=len(set(blamed)) - len(set(counted)),
            pending=self._verdicts.pending(),
            close=[item.digest.hex() for item in counted if item.level.ends >= CLOSE_ENDS][:8],
        )
        self._relay.record_target_end(counted)

    def _narrow_groups(self) -> None:
        """Hold what remains of suspects that were held together, where the rest is cleared."""
        self._relay.record_target_end(self._verdicts.narrow_groups())

    def _most_ends(self, call: Call) -> int:
        """Return the largest number of targets that ended under one of a request's suspects."""
        if not len(self._table):
            return 0
        level = self._table.level
        return max(level(digest).ends for digest in (call.digest, *call.part_digests))

    def _fatal_suspects(self, call: Call) -> list[Suspect]:
        """Return the suspects of a request under which so many targets ended that it is fatal."""
        if self._most_ends(call) < CLOSE_ENDS:
            return []
        evidence = self.evidence(call)
        groups = () if evidence.group is None else (evidence.group,)
        return [item for item in (*evidence.suspects, *groups) if item.level.ends >= FATAL_ENDS]

    def _is_held(self, digest: bytes) -> bool:
        """Return whether a suspect is fatal and not due for a trial by this router."""
        if self._relay.standing(digest) is Standing.FATAL:
            return True
        if self._table.level(digest).ends < FATAL_ENDS:
            return False
        # The next trial needs the result of this one, or as much time again.
        tried_s = self._tried_s.get(digest, float("-inf"))
        return read_clock() - tried_s < self._relay.trial_interval_s(digest)

    def _reason(self, call: Call, suspect: Suspect) -> str:
        """Return which suspect of a request is held, as the log states it."""
        what = "parts of its prompt together"
        if suspect.digest == call.digest:
            what = "it"
        elif suspect.digest in call.part_digests:
            index = call.part_digests.index(suspect.digest)
            what = f"part {shown_parts(call.facts.part_ids[index:])[0]} of its prompt"
        return f"{suspect.level.ends} targets ended under {what}"
