"""Random histories of requests through the dispatcher, checked against run counts at targets.

Targets join, leave and fail in every way that an attempt can. Callers send requests,
wait in the queue and disconnect, on a clock that the history advances. Each request must
get its own complete answer or a refusal with a correct verdict, run at most once unless
it is idempotent, and never go to a target that has left.
"""

from collections import Counter
from random import Random
from typing import NamedTuple

import xxhash
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from damaskwind.decisions.membership.messages import GoneReason
from damaskwind.decisions.membership.outputs import TargetChanged, TargetGone
from damaskwind.decisions.placement.messages import PlacementQuery, PoolName
from damaskwind.decisions.target_signals.answer_signals import NO_SIGNALS, AnswerSignals
from damaskwind.model.configuration import (
    ClientAccount,
    Configuration,
    Policy,
    PriorityClass,
    Service,
)
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.targets import Address, ModelOffer, TargetKind, TargetState, TargetView
from damaskwind.model.verdict import Verdict
from damaskwind.router.caller import Caller
from damaskwind.router.dispatcher import Dispatcher
from damaskwind.router.explain import RequestRecord
from damaskwind.router.placing import Placing
from damaskwind.router.request_queues import RequestQueues
from damaskwind.router.target_client import AttemptError
from damaskwind.router.target_directory import TargetDirectory
from damaskwind.router.target_health import TargetHealth
from damaskwind.router.target_signals import TargetSignalTracker
from damaskwind.router.work import WorkItem

__all__ = ["STEPS", "RequestsAgainstCounts"]

STEPS = 40
TARGETS = ("engine-0", "engine-1", "engine-2")
MAX_PER_TARGET = 2
DEADLINE_S = 5.0
PUMP_S = 0.05
POLICY = Policy(retry_share=0.5, ejection_base_s=0.5)
POOL = PoolName("pool", "damask", "1")
ACCOUNT = ClientAccount("library", (), "normal", 1000, 1e6)
CLASS = PriorityClass("normal", 0, 1, queue_timeout_s=DEADLINE_S)
SERVICE = Service("pool", "engine", max_concurrent_requests=MAX_PER_TARGET)
CONFIGURATION = Configuration(
    1, priority_classes={"normal": CLASS}, services={"pool": SERVICE}, policy=POLICY
)


class AttemptResult(NamedTuple):
    """How one attempt ends: whether the target ran it, the reported verdict, target signals."""

    runs: bool
    reported: Verdict | None
    signals: AnswerSignals = NO_SIGNALS


# An attempt that answers has no verdict yet, because its answer may still be cut.
ATTEMPT_RESULTS = {
    "connection refused": AttemptResult(False, Verdict.NOT_RUN),
    "target refuses": AttemptResult(False, Verdict.NOT_RUN),
    "lost before it came": AttemptResult(False, Verdict.MAY_HAVE_RUN),
    "reset after it ran": AttemptResult(True, Verdict.MAY_HAVE_RUN),
    "answers": AttemptResult(True, None),
    "asks for rest": AttemptResult(False, Verdict.NOT_RUN, AnswerSignals(rest_s=1.0)),
    "fails and asks for rest": AttemptResult(True, Verdict.MAY_HAVE_RUN, AnswerSignals(rest_s=0.3)),
    "answers and leaves": AttemptResult(True, None, AnswerSignals(is_leaving=True)),
}
LEAVING = Headers({b"x-leaving": [b"1"]})


class NoLimits:
    """Account limits that admit every request."""

    async def admit(self, work):
        """Admit the request."""

    def release(self, work, used_tokens):
        """Do nothing, since nothing was reserved."""


class FakeRequest:
    """A caller's request with the attributes that `Caller` uses."""

    channel = None

    def __init__(self):
        self.finished = Deferred()

    def notifyFinish(self):  # noqa: N802
        return self.finished


class Answer(NamedTuple):
    """The answer of a target: the request that it belongs to, the target, and its head."""

    request_id: str
    target_id: str
    headers: Headers
    code: int = 200


class Attempt(NamedTuple):
    """An attempt that is still in progress."""

    asked: "TrackedRequest"
    target_id: str
    incarnation: int
    waiting: Deferred


class TrackedRequest:
    """A request and the state that the oracle tracks for it."""

    def __init__(self, work, request):
        self.work = work
        self.request = request
        self.runs = 0
        self.attempts = 0
        self.answer = None
        self.refusal = None
        self.is_over = False


class RequestsAgainstCounts(RuleBasedStateMachine):
    """The dispatcher with all its components, and targets that count runs."""

    run_count = 0

    def __init__(self):
        super().__init__()
        RequestsAgainstCounts.run_count += 1
        self.clock = Clock()
        random = Random(7)
        self.directory = TargetDirectory("r", "d", ("d",), POLICY, self.clock, random)
        self.health = TargetHealth(self.clock, random)
        self.health.set_policy(POLICY)
        self.directory.on_members_changed = self.health.set_targets
        self.queues = RequestQueues(self.clock)
        self.queues.set_classes({"normal": CLASS})
        self.signals = TargetSignalTracker(self.directory.find, self.clock)
        self.placing = Placing(
            self.directory,
            self.health,
            self.signals,
            self.queues,
            lambda: CONFIGURATION,
            self.clock,
            random,
        )
        self.dispatcher = Dispatcher(
            self.placing, NoLimits(), self.health, self.signals, self.clock, random
        )
        self.dispatcher.set_policy(POLICY)
        self.live_targets = set()
        self.incarnations = Counter()
        self.paused_until_s = Counter()
        self.announced_leaving = set()
        self.attempts = []
        self.asked = []
        self.at_target = Counter()
        # Failures detected inside a Deferred, where an exception would be lost.
        self.faults = []
        for name in TARGETS[:2]:
            self.join(name)

    # Targets.

    @rule(name=st.sampled_from(TARGETS))
    def join(self, name):
        """Let a target announce itself."""
        if name not in self.live_targets:
            self.incarnations[name] += 1
        self.live_targets.add(name)
        view = TargetView(
            name,
            self.incarnations[name],
            TargetKind.ENGINE,
            "pool",
            "d",
            Address("127.0.0.1", 1),
            TargetState.SERVING,
            0,
            1000,
            -1.0,
            (ModelOffer("damask", "1"),),
        )
        self.directory.handle_event(TargetChanged(view))

    @rule(name=st.sampled_from(TARGETS), reason=st.sampled_from(list(GoneReason)))
    def leave(self, name, reason):
        """Let a target leave or its lease expire; its requests in progress continue."""
        self.live_targets.discard(name)
        self.directory.handle_event(TargetGone(name, reason))

    # Callers.

    @rule(idempotent=st.booleans(), chat=st.integers(0, 5))
    def ask(self, idempotent, chat):
        """Start a request."""
        request_id = f"r.{len(self.asked)}"
        digest = xxhash.xxh3_128_hexdigest(str(chat).encode())
        request = FakeRequest()
        now_s = self.clock.seconds()
        work = WorkItem(
            request_id,
            TargetKind.ENGINE,
            ACCOUNT,
            CLASS,
            PlacementQuery(digest, (digest,), ACCOUNT.name, 50.0, "d", POOL),
            idempotent,
            50.0,
            now_s + DEADLINE_S,
            RequestRecord(request_id, "/", now_s),
            Caller(request),
        )
        asked = TrackedRequest(work, request)
        self.asked.append(asked)
        running = ensureDeferred(self.dispatcher.run(work, lambda view: self.send(asked, view)))
        running.addCallbacks(
            lambda answer: self.answered(asked, answer), lambda why: self.refused(asked, why)
        )

    async def send(self, asked, view):
        """Check an attempt at a target, and leave it open until the history ends it."""
        asked.attempts += 1
        self.at_target[view.target_id] += 1
        if view.target_id not in self.live_targets:
            self.faults.append(f"new work for {view.target_id}, which has left")
        incarnation = (view.target_id, view.incarnation)
        if (
            incarnation in self.announced_leaving
            or self.paused_until_s[incarnation] > self.clock.seconds()
        ):
            self.faults.append(f"new work for {view.target_id}, which wants none")
        if asked.attempts > POLICY.max_attempts:
            self.faults.append(f"{asked.work.request_id}: {asked.attempts} attempts")
        if self.at_target[view.target_id] > MAX_PER_TARGET:
            self.faults.append(f"{view.target_id} was given too much at once")
        waiting = Deferred()
        self.attempts.append(Attempt(asked, *incarnation, waiting))
        return await waiting

    def answered(self, asked, answer):
        """Check that an answer belongs to the request."""
        if answer.response[:2] != (asked.work.request_id, answer.target.target_id):
            self.faults.append(f"{asked.work.request_id} was given {answer.response}")
        asked.answer = answer

    def refused(self, asked, why):
        """Record a refusal, or a fault if the request failed in another way."""
        asked.is_over = True
        if why.check(RefusedError):
            asked.refusal = why.value.refusal
        elif not asked.work.caller.gone:
            self.faults.append(f"{asked.work.request_id}: {why.getErrorMessage()}")

    def end(self, attempt, fate):
        """End an attempt with the given result."""
        self.attempts.remove(attempt)
        self.at_target[attempt.target_id] -= 1
        attempt.asked.runs += fate.runs
        if not attempt.asked.request.finished.called:
            self.record_signals(attempt, fate.signals)
        if fate.reported is None:
            headers = LEAVING if fate.signals.is_leaving else Headers()
            answer = Answer(attempt.asked.work.request_id, attempt.target_id, headers)
            attempt.waiting.callback(answer)
            return
        attempt.waiting.errback(
            AttemptError(
                fate.reported, Reason.TARGET_FAILED, "by the history", signals=fate.signals
            )
        )

    def record_signals(self, attempt, signals):
        """Record the signals of a target, which the router must respect."""
        incarnation = (attempt.target_id, attempt.incarnation)
        until_s = self.clock.seconds() + signals.rest_s
        self.paused_until_s[incarnation] = max(self.paused_until_s[incarnation], until_s)
        if signals.is_leaving:
            self.announced_leaving.add(incarnation)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), fate=st.sampled_from(sorted(ATTEMPT_RESULTS)))
    def end_attempt(self, data, fate):
        """End one of the attempts with any result."""
        self.end(data.draw(st.sampled_from(self.attempts)), ATTEMPT_RESULTS[fate])

    @rule(
        idempotent=st.booleans(),
        fates=st.lists(st.sampled_from(sorted(ATTEMPT_RESULTS)), min_size=2, max_size=3),
    )
    def ask_and_fail(self, idempotent, fates):
        """Start a request and end its attempts one after the other."""
        self.ask(idempotent, 0)
        for fate in fates:
            mine = [one for one in self.attempts if one.asked is self.asked[-1]]
            if mine:
                self.end(mine[0], ATTEMPT_RESULTS[fate])
                self.clock.pump([PUMP_S] * 4)

    def open_answers(self):
        """Return the requests whose answers are in progress."""
        return [asked for asked in self.asked if asked.answer and not asked.is_over]

    @precondition(lambda self: self.open_answers())
    @rule(data=st.data(), whole=st.booleans())
    def end_answer(self, data, whole):
        """Let an answer end complete or cut."""
        asked = data.draw(st.sampled_from(self.open_answers()))
        verdict = Verdict.RAN if whole else Verdict.MAY_HAVE_RUN
        self.dispatcher.finish(asked.work, asked.answer, verdict)
        asked.is_over = True

    @precondition(lambda self: any(not asked.is_over for asked in self.asked))
    @rule(data=st.data(), ran=st.booleans())
    def caller_leaves(self, data, ran):
        """Let a caller disconnect; its attempt in progress is cancelled, run or not."""
        asked = data.draw(st.sampled_from([one for one in self.asked if not one.is_over]))
        if not asked.request.finished.called:
            asked.request.finished.errback(ConnectionError("gone"))
        for attempt in [one for one in self.attempts if one.asked is asked]:
            self.end(attempt, AttemptResult(ran, Verdict.MAY_HAVE_RUN))

    @rule(pumps=st.integers(1, 40))
    def wait(self, pumps):
        """Let time pass."""
        self.clock.pump([PUMP_S] * pumps)

    # Invariants.

    @invariant()
    def nothing_went_wrong(self):
        assert not self.faults, self.faults

    @invariant()
    def nothing_runs_twice(self):
        for asked in self.asked:
            if not asked.work.idempotent:
                assert asked.runs <= 1, f"{asked.work.request_id} ran {asked.runs} times"

    @invariant()
    def refusals_are_true(self):
        for asked in self.asked:
            if asked.refusal is not None:
                assert asked.refusal.verdict is not Verdict.RAN
                not_run = asked.refusal.verdict is Verdict.NOT_RUN
                assert not (not_run and asked.runs), f"{asked.work.request_id} ran, told not-run"

    def teardown(self):
        """Fail every attempt and let all deadlines pass: each request must have ended."""
        for _ in range(POLICY.max_attempts + 1):
            for attempt in list(self.attempts):
                self.end(attempt, ATTEMPT_RESULTS["reset after it ran"])
            self.clock.pump([PUMP_S] * round(2 * DEADLINE_S / PUMP_S))
        for asked in self.open_answers():
            self.dispatcher.finish(asked.work, asked.answer, Verdict.RAN)
            asked.is_over = True
        self.nothing_went_wrong()
        self.nothing_runs_twice()
        self.refusals_are_true()
        assert all(asked.is_over for asked in self.asked), "a request without an end"
        assert not self.placing.in_flight, self.placing.in_flight
        assert not len(self.queues)
