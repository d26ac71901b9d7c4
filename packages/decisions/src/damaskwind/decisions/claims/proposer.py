"""Propose a claim on a key to its holders: replies in, messages out.

A round consists of an order to every holder and then a write to the majority that
promised first. It proposes the value with the highest ballot among the promises, so a
decision is never changed. Only a value whose request was recorded as `not-run`, and
so will never run, may be replaced. A claim that ends without a majority is abandoned
in the same way: its request never runs.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from damaskwind.decisions.claims.holder import majority_of
from damaskwind.decisions.claims.messages import (
    Accepted,
    Ballot,
    ClaimKind,
    ClaimOutcome,
    ClaimValue,
    Order,
    OrderReply,
    Outcome,
    Promise,
    Rejection,
    StoredAnswer,
    Write,
    WriteReply,
)
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["ClaimProposer", "Phase", "Step", "no_quorum"]

IN_USE_RETRY_AFTER_S = 5.0
NO_QUORUM_RETRY_AFTER_S = 2.0


class Phase(StrEnum):
    """The phase of a round."""

    ORDERING = "ordering"
    WRITING = "writing"
    FAILED = "failed"
    DECIDED = "decided"


class Step(NamedTuple):
    """The messages to send, each with its holder, and the outcome once there is one."""

    messages: tuple[tuple[str, Order | Write], ...] = ()
    outcome: ClaimOutcome | None = None


def no_quorum(detail: str) -> ClaimOutcome:
    """Return the outcome of a claim without replies of a majority of holders."""
    refusal = Refusal(Reason.NO_QUORUM, Verdict.NOT_RUN, detail, NO_QUORUM_RETRY_AFTER_S)
    return ClaimOutcome(ClaimKind.NO_QUORUM, refusal=refusal)


class _Promised(NamedTuple):
    """A promise received from a holder, with the value and outcome that it reported."""

    promise: Promise
    accepted: Accepted | None
    outcome: Outcome | None


class ClaimProposer:
    """Runs the rounds of a claim until it is decided or abandoned.

    Start a round with `start_round` and pass each reply to `handle_reply` (`None` for
    a holder that did not reply). If `phase` is `FAILED`, start another round after a
    pause.
    """

    def __init__(self, key: str, value: ClaimValue, holder_ids: Sequence[str]) -> None:
        self.key = key
        self.value = value
        self.holder_ids = tuple(holder_ids)
        self.phase = Phase.FAILED
        self.was_full = False
        self._majority = majority_of(len(self.holder_ids))
        self._counter = 0
        self._reset_replies()

    def _reset_replies(self) -> None:
        """Clear the replies counted so far."""
        self._promised: dict[str, _Promised] = {}
        self._incarnations: dict[str, int] = {}
        self._acceptors: set[str] = set()
        self._failed: set[str] = set()
        self._proposal: Accepted | None = None

    def start_round(self) -> Step:
        """Start a round with a ballot higher than any known one."""
        self._counter += 1
        self.ballot = Ballot(self._counter, self.value.request_id)
        self._reset_replies()
        self.phase = Phase.ORDERING
        order = Order(self.key, self.ballot)
        return Step(tuple((holder_id, order) for holder_id in self.holder_ids))

    def handle_reply(
        self, holder_id: str, ballot: Ballot, reply: OrderReply | WriteReply | None
    ) -> Step:
        """Process the reply to a message sent with `ballot`; return the next step."""
        if ballot != self.ballot or self.phase in (Phase.FAILED, Phase.DECIDED):
            return Step()
        if reply is None or reply.rejection != Rejection.NONE:
            return self._count_failure(holder_id, reply)
        if isinstance(reply, OrderReply):
            return self._count_promise(holder_id, reply)
        return self._count_acceptance(holder_id, reply)

    def _count_failure(self, holder_id: str, reply: OrderReply | WriteReply | None) -> Step:
        """Count a failed holder; the round fails once a majority is out of reach.

        During the write phase, late failures of holders that got no write are ignored.
        """
        if self.phase == Phase.WRITING and holder_id not in self._promised:
            return Step()
        self._failed.add(holder_id)
        if reply is not None and reply.promised is not None:
            self._counter = max(self._counter, reply.promised.counter)
        self.was_full = self.was_full or (reply is not None and reply.rejection == Rejection.FULL)
        asked = len(self.holder_ids) if self.phase == Phase.ORDERING else len(self._promised)
        if asked - len(self._failed) < self._majority:
            self.phase = Phase.FAILED
        return Step()

    def _count_promise(self, holder_id: str, reply: OrderReply) -> Step:
        """Count a promise; once there is a majority, choose the value and write it."""
        if self.phase != Phase.ORDERING:
            return Step()
        promise = Promise(holder_id, reply.incarnation)
        self._promised[holder_id] = _Promised(promise, reply.accepted, reply.outcome)
        for seen in (promise, *reply.incarnations):
            newest = max(seen.incarnation, self._incarnations.get(seen.holder_id, 0))
            self._incarnations[seen.holder_id] = newest
        self._drop_stale_promises()
        if len(self._promised) < self._majority:
            return Step()
        return self._choose_value()

    def _drop_stale_promises(self) -> None:
        """Drop promises of incarnations that another holder reported as outdated."""
        for holder_id, item in list(self._promised.items()):
            if item.promise.incarnation < self._incarnations[holder_id]:
                del self._promised[holder_id]
                self._count_failure(holder_id, None)

    def _choose_value(self) -> Step:
        """Choose the value with the highest ballot, or our own if none was accepted."""
        found = [item for item in self._promised.values() if item.accepted is not None]
        highest = max(found, key=lambda item: item.accepted.ballot, default=None)
        value = self.value
        if highest is not None:
            value = highest.accepted.value
            recorded_outcome = self._outcome_of(value)
            if recorded_outcome is not None and recorded_outcome.verdict == Verdict.NOT_RUN:
                value = self.value
            elif recorded_outcome is not None:
                return self._decide(highest.accepted, recorded_outcome)
        return self._write(value)

    def _outcome_of(self, value: ClaimValue) -> Outcome | None:
        """Return the outcome of a value, recorded by any of the holders, or None."""
        for item in self._promised.values():
            if item.accepted is not None and item.accepted.value == value and item.outcome:
                return item.outcome
        return None

    def _write(self, value: ClaimValue) -> Step:
        """Ask the holders that promised to accept a value."""
        self.phase = Phase.WRITING
        self._proposal = Accepted(self.ballot, value)
        self._failed.clear()
        promises = tuple(item.promise for item in self._promised.values())
        message = Write(self.key, self.ballot, value, promises)
        return Step(tuple((holder_id, message) for holder_id in self._promised))

    def _count_acceptance(self, holder_id: str, reply: WriteReply) -> Step:
        """Count an acceptance; a majority of acceptances decides the value."""
        promised = self._promised.get(holder_id)
        if promised is None or promised.promise.incarnation != reply.incarnation:
            return self._count_failure(holder_id, None)
        self._acceptors.add(holder_id)
        if len(self._acceptors) < self._majority:
            return Step()
        return self._decide(self._proposal, None)

    def _decide(self, accepted: Accepted, recorded_outcome: Outcome | None) -> Step:
        """Return the outcome of our request, given the decided value."""
        self.phase = Phase.DECIDED
        if accepted.value.request_id == self.value.request_id:
            return Step(outcome=ClaimOutcome(ClaimKind.GRANTED, accepted))
        if accepted.value.request_digest != self.value.request_digest:
            return Step(outcome=_mismatch(accepted))
        if (
            recorded_outcome is not None
            and recorded_outcome.answer is not None
            and recorded_outcome.answer.complete
        ):
            return Step(outcome=ClaimOutcome(ClaimKind.DONE, accepted, recorded_outcome.answer))
        return Step(outcome=_in_use(accepted, recorded_outcome))


def _mismatch(accepted: Accepted) -> ClaimOutcome:
    """Refuse a key that was used with another request body."""
    detail = "the key was used with another request body"
    refusal = Refusal(Reason.KEY_MISMATCH, Verdict.NOT_RUN, detail)
    return ClaimOutcome(ClaimKind.MISMATCH, accepted, refusal=refusal)


def _in_use(accepted: Accepted, recorded_outcome: Outcome | None) -> ClaimOutcome:
    """Refuse a key whose first request is still running or has no stored answer."""
    verdict = recorded_outcome.verdict if recorded_outcome else Verdict.MAY_HAVE_RUN
    detail = f"the key belongs to request {accepted.value.request_id}"
    answer: StoredAnswer | None = recorded_outcome.answer if recorded_outcome else None
    retry_after_s = None if recorded_outcome else IN_USE_RETRY_AFTER_S
    refusal = Refusal(Reason.KEY_IN_USE, verdict, detail, retry_after_s)
    return ClaimOutcome(ClaimKind.IN_USE, accepted, answer, refusal)
