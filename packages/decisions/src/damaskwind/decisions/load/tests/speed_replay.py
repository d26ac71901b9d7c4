"""Replay requests at engines whose speed changes, each router observing a part of the traffic.

Fifteen in a hundred engines take 2.5 times as long, redrawn every 600 ms. An engine reads
prompts one after the other, unless it has the shared part cached, and runs up to 12 requests.
Plain targets run up to 6 requests and report nothing. Each router calls every replica once a
second; admission, placement, estimates and the slow-target detector are those of the product.
"""

import heapq
from collections import Counter, OrderedDict, deque
from itertools import count
from random import Random
from typing import NamedTuple

from damaskwind.decisions.admission.fair_queue import PoolRequest
from damaskwind.decisions.admission.pool_admission import (
    AdmissionStep,
    PoolAdmission,
    TargetSlots,
)
from damaskwind.decisions.admission.start_window import WindowPolicy
from damaskwind.decisions.health.slow_targets import SlowTargetDetector
from damaskwind.decisions.load.held_requests import LoadEstimator, TargetLoad
from damaskwind.decisions.load.held_sums import HeldAggregator
from damaskwind.decisions.load.probe_budget import PROBES_PER_CHOICE, ProbeBudget
from damaskwind.decisions.load.work_speed import PoolTimes, WorkSpeeds
from damaskwind.decisions.placement.affinity import Candidate, choose_target, policy_for

__all__ = ["PREVIOUS", "PROBES", "REPORTS", "SpeedFleet", "SpeedReplay", "Way"]

SECONDS, WARM_S = 18.0, 3.0
PERIOD_S, SLOW_SHARE, SLOW = 0.6, 0.15, 2.5
SLOTS, PLAIN_SLOTS, PLAIN_TARGETS, REPLICAS = 12, 6, 4, 8
CALL_S, HOP_S, POLL_S = 1.0, 0.0014, 0.05
READ_TOKENS_PER_S, CACHE_TOKENS = 61_800.0, 200_000
PLAIN_S, PLAIN_OBJECTIVE_S = 0.045, 0.225
LIFE = (1, 0)


class Kind(NamedTuple):
    """A kind of request: its tokens, the duration of its output, its objective and its rate."""

    shared_tokens: int
    own_tokens: int
    output_s: float
    objective_s: float
    weight: float


KINDS = (
    Kind(10_512, 1_300, 1.17, 0.865, 75.4),
    Kind(699, 130, 0.9, 0.427, 101.0),
    Kind(2_041, 360, 0.06, 0.432, 147.0),
)
KEYS_PER_KIND = 120


class SpeedFleet(NamedTuple):
    """The numbers of routers and engines; `load` is a share of the capacity."""

    routers: int
    engines: int
    load: float

    @property
    def per_s(self):
        """Return the requests per second that make up the load."""
        weights = sum(kind.weight for kind in KINDS)
        hold_s = sum(kind.weight * (kind.output_s + 0.03) for kind in KINDS) / weights
        slowness = 1.0 + SLOW_SHARE * (SLOW - 1.0)
        return self.load * self.engines * SLOTS / (hold_s * slowness)


class Way(NamedTuple):
    """What a router makes of the reports, which the alternatives differ in.

    `has_reports` is not set where reports with four figures are discarded. With `has_speeds`
    placement uses the expected start, with `has_figures` also the fourth figure. With `shares`,
    figures are shared with the sums; with `probes`, targets are probed for some requests.
    `is_told` gives every router the true speeds.
    """

    name: str
    has_reports: bool = True
    has_speeds: bool = True
    has_figures: bool = True
    shares: bool = False
    probes: bool = False
    is_told: bool = False


PREVIOUS = Way("previous code", has_reports=False, has_speeds=False)
REPORTS = Way("own reports")
PROBES = Way("own reports and probes", probes=True)


class Target:
    """An engine, or a plain target if it reads nothing; its speed depends on the time alone."""

    def __init__(self, name, slots, seed):
        self.name, self.slots, self.seed = name, slots, seed
        self.running, self.waiting = 0, deque()
        self.read_until_s = 0.0
        self.cache = OrderedDict()
        self._slow = {}

    @property
    def held(self):
        return self.running + len(self.waiting)

    def work_time(self, now_s):
        period = int(now_s / PERIOD_S)
        if period not in self._slow:
            draw = Random(f"{self.seed} {self.name} {period}").random()
            self._slow[period] = SLOW if draw < SLOW_SHARE else 1.0
        return self._slow[period]

    def done_s(self, now_s, work_s):
        """Return when work that begins now is done, over all changes of the speed."""
        while True:
            work_time = self.work_time(now_s)
            left_s = (int(now_s / PERIOD_S) + 1) * PERIOD_S - now_s
            if work_s * work_time <= left_s:
                return now_s + work_s * work_time
            work_s -= left_s / work_time
            now_s += left_s + 1e-9

    def read_s(self, key, kind):
        """Return the time to read a prompt, and keep its shared part in the cache."""
        cached = key in self.cache
        self.cache[key] = kind.shared_tokens
        self.cache.move_to_end(key)
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        tokens = kind.own_tokens + (0 if cached else kind.shared_tokens)
        return tokens / READ_TOKENS_PER_S

    def report(self, now_s):
        return TargetLoad(
            self.running, len(self.waiting), self.slots, int(100 * self.work_time(now_s))
        )


class Router:
    """What one router knows."""

    def __init__(self, number, fleet, random):
        self.number = number
        self.loads, self.speeds, self.times = LoadEstimator(), WorkSpeeds(), PoolTimes()
        share = 32 / fleet.routers
        policy = WindowPolicy(
            initial_limit=max(2.0, share), initial_pool_limit=max(2.0, share * fleet.engines)
        )
        self.pool = PoolAdmission(random, policy)
        self.detector = SlowTargetDetector()
        self.waiting = {}
        self.budget = ProbeBudget()
        self.plain_random = Random(number)


class Job(NamedTuple):
    """One request: its number, kind, key, router and arrival."""

    number: int
    kind: Kind
    key: bytes
    router: Router
    at_s: float


class SpeedReplay:
    """One run: `late` counts late and refused requests by kind, `asked` all of them.

    `above` counts sends above the bound on requests, `away` those that left their first rank;
    `placements` lists all choices, `known_ages_s` the ages of the figures behind them.
    """

    def __init__(self, fleet, seed, way):
        self.fleet, self.way = fleet, way
        self.random, self.arrivals = Random(seed), Random(seed + 1)
        self.engines = {f"t{n}": Target(f"t{n}", SLOTS, seed) for n in range(fleet.engines)}
        self.plain = {f"p{n}": Target(f"p{n}", PLAIN_SLOTS, seed) for n in range(PLAIN_TARGETS)}
        self.routers = [Router(n, fleet, self.random) for n in range(fleet.routers)]
        self.replicas = [HeldAggregator() for _ in range(REPLICAS)]
        self.told = [{} for _ in range(REPLICAS)]
        self.asked, self.late, self.refused = Counter(), Counter(), Counter()
        self.sends = self.above = self.away = self.probes = 0
        self.placements, self.known_ages_s = [], []
        self._events, self._numbers = [], count()

    def play(self):
        """Run to the end; return the replay."""
        self.after(0.0, 0.0, self.arrive)
        self.after(0.0, 0.0, self.arrive_plain)
        for router in self.routers:
            for replica in range(REPLICAS):
                self.after(0.0, self.random.random() * CALL_S, self.call, router, replica)
        while self._events and self._events[0][0] < SECONDS:
            at_s, _, event, arguments = heapq.heappop(self._events)
            event(at_s, *arguments)
        return self

    def after(self, now_s, delay_s, event, *arguments):
        heapq.heappush(self._events, (now_s + delay_s, next(self._numbers), event, arguments))

    def arrive(self, now_s):
        draw = self.arrivals
        self.after(now_s, draw.expovariate(self.fleet.per_s), self.arrive)
        kind = draw.choices(KINDS, [kind.weight for kind in KINDS])[0]
        key = b"%d %d" % (KINDS.index(kind), int(KEYS_PER_KIND * draw.random() ** 1.5))
        job = Job(next(self._numbers), kind, key, draw.choice(self.routers), now_s)
        self.asked[kind] += now_s >= WARM_S
        choice = self.place(job, now_s)
        if self.may_probe(job, choice, now_s):
            self.after(now_s, 2 * HOP_S + 0.001, self.probed, job, choice)
        else:
            self.admit(now_s, job, choice)

    def probed(self, now_s, job, choice):
        for name in (choice.candidate.target_id, choice.rival_id):
            self.observe(job.router, self.engines[name], now_s)
        self.admit(now_s, job, self.place(job, now_s))

    def may_probe(self, job, choice, now_s):
        """Tell whether to probe the chosen target and its rival, and account for it."""
        if not self.way.probes:
            return False
        start_share = choice.candidate.start_s / job.kind.objective_s
        if not choice.rival_id or not job.router.budget.take(start_share):
            return False
        self.probes += PROBES_PER_CHOICE
        return True

    def admit(self, now_s, job, choice):
        router, home = job.router, choice.candidate
        request = PoolRequest(
            job.number,
            0,
            "a",
            job.at_s,
            job.at_s + 10.0,
            job.kind.objective_s,
            False,
            home.target_id,
        )
        slots = [TargetSlots(home.target_id, home.slots - home.load)]
        decision = router.pool.offer(request, slots, now_s)
        for rejection in decision.turned_away:
            waiting = router.waiting.pop(rejection.number, job)
            self.refuse(waiting)
        if decision.step is AdmissionStep.START:
            self.send(now_s, job, choice)
        elif decision.step is AdmissionStep.WAIT:
            router.waiting[job.number] = job
            self.after(now_s, decision.wait_until_s - now_s, self.expire, job)
            self.after(now_s, POLL_S, self.poll, router)

    def refuse(self, job):
        if job.at_s >= WARM_S:
            self.refused[job.kind] += 1
            self.late[job.kind] += 1

    def expire(self, now_s, job):
        if job.router.waiting.pop(job.number, None):
            job.router.pool.expire(job.number, now_s)
            self.refuse(job)

    def poll(self, now_s, router):
        if not router.waiting:
            return
        slots = [
            TargetSlots(item.target_id, item.slots - item.load)
            for item in self.candidates(router, now_s)
        ]
        for number in router.pool.admit_waiting(slots, now_s):
            job = router.waiting.pop(number)
            self.send(now_s, job, self.place(job, now_s))
        if router.waiting:
            self.after(now_s, POLL_S, self.poll, router)

    def work_time(self, router, name, now_s):
        if self.way.is_told:
            return self.engines[name].work_time(now_s)
        return router.speeds.work_time(name, LIFE, now_s) if self.way.has_figures else 1.0

    def candidates(self, router, now_s):
        loads = router.loads.estimates(self.engines, self.fleet.routers, now_s)
        found = []
        for name in self.engines:
            load, start_s = loads[name], None
            if self.way.has_speeds:
                work_time = self.work_time(router, name, now_s)
                start_s = router.times.expected_start_s(load, SLOTS, work_time)
            is_slow = router.detector.is_slow(name, now_s)
            found.append(Candidate(name, "d", load, SLOTS, False, is_slow=is_slow, start_s=start_s))
        return found

    def place(self, job, now_s):
        router = job.router
        candidates = [
            item._replace(load=item.load + router.pool.waiting_for(item.target_id))
            for item in self.candidates(router, now_s)
        ]
        policy = policy_for(self.fleet.routers, router.loads.has_sums(now_s))
        policy = policy._replace(read_s=job.kind.shared_tokens / READ_TOKENS_PER_S)
        return choose_target(candidates, job.key, "d", policy, self.random)

    def send(self, now_s, job, choice):
        target = self.engines[choice.candidate.target_id]
        held = [other.held for other in self.engines.values()]
        if now_s >= WARM_S:
            self.sends += 1
            self.away += choice.rank > 0
            self.above += target.held > 2 * sum(held) / len(held) + 3
        self.placements.append((job.number, target.name))
        job.router.budget.count_send()
        job.router.loads.record_sent(target.name)
        job.router.pool.record_sent(job.number, target.name, job.kind.objective_s, now_s)
        self.after(now_s, HOP_S, self.receive, target, job, now_s)

    def receive(self, now_s, target, job, sent_s):
        target.waiting.append((job, sent_s))
        self.run_next(now_s, target)

    def run_next(self, now_s, target):
        while target.waiting and target.running < target.slots:
            job, sent_s = target.waiting.popleft()
            target.running += 1
            begun_s = max(now_s, target.read_until_s)
            target.read_until_s = target.done_s(begun_s, target.read_s(job.key, job.kind))
            first_s = target.done_s(target.read_until_s, 0.02)
            self.after(now_s, first_s + HOP_S - now_s, self.begin, target, job, sent_s)
            ends_s = target.done_s(first_s, job.kind.output_s)
            self.after(now_s, ends_s - now_s, self.end, target, job, sent_s)

    def begin(self, now_s, target, job, sent_s):
        router = job.router
        self.late[job.kind] += job.at_s >= WARM_S and now_s - job.at_s > job.kind.objective_s
        work_time = self.observe(router, target, now_s)
        share = (now_s - sent_s) / job.kind.objective_s
        router.detector.observe(target.name, share / max(work_time, 1.0), now_s)
        router.times.record_start(now_s - sent_s, work_time)
        router.pool.record_answer_started(job.number, now_s, work_time)

    def observe(self, router, target, now_s):
        """Process a report of an engine; return the work time to go by."""
        report = target.report(now_s)
        if self.way.has_reports:
            router.loads.observe_report(target.name, report, now_s)
        if not (self.way.has_speeds and self.way.has_figures):
            return 1.0
        router.speeds.observe(target.name, LIFE, report.work_time_percent, now_s)
        return report.work_time_percent / 100

    def end(self, now_s, target, job, sent_s):
        router = job.router
        router.loads.record_ended(target.name)
        router.pool.record_ended(job.number)
        router.times.record_end(now_s - sent_s, self.work_time(router, target.name, now_s))
        target.running -= 1
        self.run_next(now_s, target)

    def call(self, now_s, router, replica):
        self.replicas[replica].report(f"r{router.number}", router.loads.report_to(replica), now_s)
        if self.way.shares:
            told = self.told[replica]
            for name, figure in router.speeds._figures.items():
                if now_s - figure.at_s < CALL_S and figure.at_s > told.get(name, (0, 0.0))[1]:
                    told[name] = (int(figure.work_time * 100), figure.at_s)
        self.after(now_s, CALL_S, self.answer, router, replica)

    def answer(self, now_s, router, replica):
        router.loads.observe_sum(replica, self.replicas[replica].total(now_s), now_s)
        for name, (percent, at_s) in self.told[replica].items():
            known = router.speeds.figure(name, LIFE)
            if known is None or known.at_s < at_s:
                router.speeds.observe(name, LIFE, percent, at_s)
        self.call(now_s, router, replica)

    def arrive_plain(self, now_s):
        draw = self.arrivals
        per_s = self.fleet.load * PLAIN_TARGETS * PLAIN_SLOTS / (PLAIN_S * 1.225)
        self.after(now_s, draw.expovariate(per_s), self.arrive_plain)
        router = draw.choice(self.routers)
        loads = router.loads.estimates(self.plain, self.fleet.routers, now_s)
        candidates = [Candidate(name, "d", loads[name], PLAIN_SLOTS, False) for name in self.plain]
        policy = policy_for(self.fleet.routers, router.loads.has_sums(now_s))
        name = choose_target(candidates, None, "d", policy, router.plain_random).candidate.target_id
        target = self.plain[name]
        router.loads.record_sent(name, False)
        self.asked["plain"] += now_s >= WARM_S
        target.waiting.append((router, now_s))
        self.run_plain(now_s, target)

    def run_plain(self, now_s, target):
        while target.waiting and target.running < target.slots:
            router, at_s = target.waiting.popleft()
            target.running += 1
            done_s = target.done_s(now_s, PLAIN_S) + 2 * HOP_S
            self.after(now_s, done_s - now_s, self.end_plain, target, router, at_s)

    def end_plain(self, now_s, target, router, at_s):
        target.running -= 1
        router.loads.record_ended(target.name, False)
        self.late["plain"] += at_s >= WARM_S and now_s - at_s > PLAIN_OBJECTIVE_S
        self.run_plain(now_s, target)

    def late_share(self):
        """Return the share of requests at engines that were late or refused."""
        kinds = [kind for kind in self.asked if kind != "plain"]
        return sum(self.late[kind] for kind in kinds) / sum(self.asked[kind] for kind in kinds)

    def above_share(self):
        return self.above / self.sends
