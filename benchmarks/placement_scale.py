"""Measure placement policies over many routers and engines, without any I/O.

A seeded event loop drives the real placers. An engine is modelled as a queue of prompt
tokens, a fixed decode rate per running answer and an LRU cache of chat prefixes. Chats
continue after a pause at a random router; reports reach each router late or never; two
accounts surge, one of them with parallel requests of a single chat key; engines leave,
return with an empty cache, or flap on the lists of some routers only.

    .venv/bin/python -m benchmarks.placement_scale --policies bounded_rendezvous,rendezvous
"""

import argparse
import heapq
import time
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from random import Random
from statistics import fmean
from typing import Any

from benchmarks.placement_engines import (
    DECODE_TOKENS_PER_S,
    DOMAIN,
    POOL,
    Chat,
    Engine,
    engine_report,
    engine_view,
)
from benchmarks.placement_figures import LOAD_FACTOR, Sample, Setting, figures
from damaskwind.decisions.placement.messages import PlacementQuery
from damaskwind.decisions.placement.placer import Placer
from damaskwind.decisions.placement.policies import PLACEMENT_POLICIES
from damaskwind.model.targets import LoadReport, TargetState, TargetView

ORACLE = "all_knowing"
PREFILL_TOKENS_PER_S = 8000.0
SYSTEM_TOKENS = 400
TURN_TOKENS = 60
MEAN_ANSWER_TOKENS = 285
LARGE_REQUEST_TOKENS = TURN_TOKENS + int(4.6 * MEAN_ANSWER_TOKENS)
MEAN_TURNS = 6
MEAN_PAUSE_S = 40.0
PUBLISH_EVERY_S = 0.5
GOSSIP_EVERY_S = 0.5
DELAY_CLASSES = 5
ACCOUNTS = 100
SURGE_FACTOR = 10


class Fleet:
    """The event loop: chats, routers and engines of one failure domain."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.random = Random(setting.seed)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.now_s = 0.0
        self.engines = {f"engine-{i:04}": Engine(f"engine-{i:04}") for i in range(setting.engines)}
        self.true_mean = (0.0, -1.0)
        self.placers = [self._placer(i) for i in range(setting.routers)]
        self.accounts = [1.0 / (1 + i) ** 0.5 for i in range(ACCOUNTS)]
        self.counts: Counter[str] = Counter()
        self.samples: list[Sample] = []
        self.errors: list[tuple[float, float]] = []
        self.place_s: deque[float] = deque(maxlen=100_000)

    def _placer(self, number: int) -> Placer:
        """Create the placer of one router with every engine in its list."""
        policy = "rendezvous" if self.setting.policy == ORACLE else self.setting.policy
        domains = [f"d{i}" for i in range(self.setting.domains)]
        near = domains if self.setting.near else ()
        own = domains[number % len(domains)]
        placer = Placer(policy, f"r{number}", own, LOAD_FACTOR, Random(number), near)
        placer.set_router_count(self.setting.routers)
        for name in self.engines:
            placer.update_target(self.view(name), 0.0)
        return placer

    def view(self, name: str) -> TargetView:
        """Return a router's view of a serving engine."""
        domain = f"d{int(name[-4:]) % self.setting.domains}"
        return engine_view(name, TargetState.SERVING)._replace(failure_domain=domain)

    def at(self, when_s: float, action: Callable[..., None], *arguments: Any) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self.events, (when_s, next(self.order), action, arguments))

    def run(self) -> None:
        """Run to the end of the setting."""
        self._schedule_initial_events()
        while self.events and self.events[0][0] <= self.setting.seconds:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def _schedule_initial_events(self) -> None:
        """Schedule the first arrivals, reports, gossip, samples, churn and surge."""
        rate = self.setting.requests_per_s_per_engine * self.setting.engines / MEAN_TURNS
        self.at(0.0, self.new_chat, rate, None)
        for engine in self.engines.values():
            self.at(self.random.random() * PUBLISH_EVERY_S, self.report, engine)
        self.at(GOSSIP_EVERY_S, self.gossip)
        self.at(self.setting.warm_up_s, self.sample)
        measured_s = self.setting.seconds - self.setting.warm_up_s
        if self.setting.surge:
            start_s = self.setting.warm_up_s + measured_s / 3
            share = sum(self.accounts[10:12]) / sum(self.accounts)
            self.at(
                start_s, self.new_chat, rate * share * (SURGE_FACTOR - 1), start_s + measured_s / 3
            )
            self.at(start_s, self.burst, start_s + measured_s / 3, rate * share)
        if self.setting.churn:
            self.at(self.setting.warm_up_s / 2, self.churn)

    def new_chat(self, rate: float, until_s: float | None) -> None:
        """Start a chat now and schedule the next one after an exponential gap."""
        if until_s is not None and self.now_s > until_s:
            return
        self.at(self.now_s + self.random.expovariate(rate), self.new_chat, rate, until_s)
        if until_s is None:
            account = self.random.choices(range(ACCOUNTS), self.accounts)[0]
        else:
            account = self.random.choice((10, 11))
        turns = 1 + int(self.random.expovariate(1 / (MEAN_TURNS - 0.5)))
        self.send_turn(Chat(account, f"chat-{next(self.order)}", turns))

    def burst(self, until_s: float, rate: float) -> None:
        """Send single requests that all share one chat key."""
        if self.now_s > until_s:
            return
        self.at(self.now_s + self.random.expovariate(rate), self.burst, until_s, rate)
        self.send_turn(Chat(11, "batch-key", 1), next(self.order))

    def send_turn(self, chat: Chat, tail: int = 0, excluded: frozenset[str] = frozenset()) -> None:
        """Send the next request of a chat through a random router."""
        router = self.random.randrange(self.setting.routers)
        prompt_tokens = (chat.history_tokens or SYSTEM_TOKENS) + TURN_TOKENS
        new_tokens = TURN_TOKENS if chat.turns_done else prompt_tokens
        need_tokens = new_tokens + MEAN_ANSWER_TOKENS
        target_id = self._choose(chat, router, need_tokens, tail, excluded)
        if target_id is None:
            self.counts["queued"] += 1
            self.at(self.now_s + 0.2, self.send_turn, chat, tail)
            return
        engine = self.engines[target_id]
        if not engine.alive:
            self.counts["retried"] += 1
            self.send_turn(chat, tail, excluded | {target_id})
            return
        self._serve(chat, engine, router, prompt_tokens, need_tokens)

    def _choose(
        self, chat: Chat, router: int, need_tokens: int, tail: int, excluded: frozenset[str]
    ) -> str | None:
        """Place a request by the router's placer or by the oracle."""
        if self.setting.policy == ORACLE:
            return self._choose_all_knowing(chat)
        query = PlacementQuery(
            chat.digest, (f"{chat.key}-{tail}",), str(chat.account), need_tokens, DOMAIN, POOL
        )
        query = query._replace(excluded=excluded, is_new=chat.turns_done == 0)
        started_s = time.perf_counter()
        choice = self.placers[router].place(query, self.now_s)
        self.place_s.append(time.perf_counter() - started_s)
        if self.now_s > self.setting.warm_up_s:
            self.counts[f"reason {choice.reason}"] += 1
        return choice.target_id

    def _choose_all_knowing(self, chat: Chat) -> str:
        """Choose the longest cached prefix under the true load bound, else the least loaded."""
        alive = [engine for engine in self.engines.values() if engine.alive]
        if self.now_s - self.true_mean[1] > 0.1:
            mean = fmean(engine.load_at(self.now_s) for engine in alive)
            self.true_mean = (mean, self.now_s)
        bound = LOAD_FACTOR * self.true_mean[0]
        holders = [engine for engine in alive if chat.digest in engine.cache]
        under = [engine for engine in holders if engine.load_at(self.now_s) <= bound]
        if under:
            return max(under, key=lambda engine: engine.cached_prefix_tokens(chat)).name
        return min(alive, key=lambda engine: engine.load_at(self.now_s)).name

    def _serve(self, chat: Chat, engine: Engine, router: int, prompt: int, need: int) -> None:
        """Start a request at an engine and schedule its first token."""
        request_id = str(next(self.order))
        self.placers[router].record_started(request_id, engine.name, chat.digest, need, self.now_s)
        reused = min(engine.cached_prefix_tokens(chat), prompt)
        if self.now_s > self.setting.warm_up_s:
            self.counts["reused"] += reused
            self.counts["prompt"] += prompt
            self.counts["requests"] += 1
        answer = min(2000, max(16, int(self.random.expovariate(1 / MEAN_ANSWER_TOKENS))))
        engine.load_at(self.now_s)
        engine.load_tokens += prompt - reused + answer
        engine.store(f"account-{chat.account}", SYSTEM_TOKENS)
        engine.store(chat.digest, prompt)
        begin_s = max(self.now_s, engine.prefill_free_s)
        engine.prefill_free_s = begin_s + (prompt - reused) / PREFILL_TOKENS_PER_S
        arguments = (chat, engine, engine.epoch, router, request_id, prompt - reused, answer)
        self.at(engine.prefill_free_s, self.first_token, *arguments)

    def first_token(self, *arguments: Any) -> None:
        """End the prefill, start the answer, report the published load and schedule the end."""
        _, engine, epoch, router, _, uncached, answer = arguments
        if epoch == engine.epoch:
            engine.load_at(self.now_s)
            engine.load_tokens -= uncached
            engine.running += 1
            self.answered(router, engine)
        self.at(self.now_s + answer / DECODE_TOKENS_PER_S, self.end, *arguments)

    def answered(self, router: int, engine: Engine) -> None:
        """Report the load carried by an answer to its router."""
        self.placers[router].observe_report(engine.name, engine_report(engine, 0.0), self.now_s)

    def end(self, *arguments: Any) -> None:
        """End an answer; the chat continues after a pause."""
        chat, engine, epoch, router, request_id, _, answer = arguments
        self.placers[router].record_finished(request_id, epoch == engine.epoch, self.now_s)
        if epoch == engine.epoch:
            engine.load_at(self.now_s)
            engine.running -= 1
            chat.history_tokens = (chat.history_tokens or SYSTEM_TOKENS) + TURN_TOKENS + answer
            engine.store(chat.digest, chat.history_tokens)
        chat.turns_done += 1
        chat.turns_left -= 1
        if chat.turns_left > 0:
            self.at(self.now_s + self.random.expovariate(1 / MEAN_PAUSE_S), self.send_turn, chat)

    def report(self, engine: Engine) -> None:
        """Publish an engine's load; the report reaches the routers late or never."""
        self.at(self.now_s + PUBLISH_EVERY_S, self.report, engine)
        if not engine.alive:
            return
        engine.published = (engine.load_at(self.now_s), self.now_s)
        if self.now_s - engine.reported_s < self.setting.report_every_s - PUBLISH_EVERY_S / 2:
            return
        engine.reported_s = self.now_s
        report = engine_report(engine, 0.0)
        for number in range(DELAY_CLASSES):
            delay_s = self.random.uniform(0.05, 1.0)
            if self.random.random() > 0.05:
                self.at(
                    self.now_s + delay_s, self.deliver_report, engine.name, report, delay_s, number
                )

    def deliver_report(self, name: str, report: LoadReport, delay_s: float, number: int) -> None:
        """Deliver a report to one class of routers."""
        aged = report._replace(age_s=delay_s)
        for placer in self.placers[number::DELAY_CLASSES]:
            placer.observe_report(name, aged, self.now_s)

    def gossip(self) -> None:
        """Send every router's spill notes to all others with a delay of half a second."""
        self.at(self.now_s + GOSSIP_EVERY_S, self.gossip)
        for number, placer in enumerate(self.placers):
            notes = placer.pop_spill_notes(self.now_s)
            if self.now_s > self.setting.warm_up_s:
                self.counts["notes"] += len(notes)
            if notes and self.setting.notes:
                self.at(self.now_s + GOSSIP_EVERY_S, self.deliver_notes, number, notes)

    def deliver_notes(self, sender: int, notes: Any) -> None:
        """Deliver spill notes to every router except their sender."""
        for number, placer in enumerate(self.placers):
            if number != sender:
                for note in notes:
                    placer.observe_spill_note(note, self.now_s)

    def churn(self) -> None:
        """Stop one engine for a while and flap another one on half of the routers' lists."""
        period_s = 2000.0 / self.setting.engines
        self.at(self.now_s + period_s, self.churn)
        leaver, flapper = self.random.sample(list(self.engines.values()), 2)
        if leaver.alive:
            leaver.alive = False
            leaver.restart(self.now_s)
            self.announce_state(leaver.name, TargetState.LAPSED)
            self.at(self.now_s + 15.0, self.rejoin, leaver)
        for placer in self.random.sample(self.placers, (len(self.placers) + 1) // 2):
            self.set_state(placer, flapper.name, TargetState.LAPSED)
            self.at(self.now_s + 5.0, self.set_state, placer, flapper.name, TargetState.SERVING)

    def rejoin(self, engine: Engine) -> None:
        """Restart an engine with an empty cache."""
        engine.alive = True
        engine.updated_s = self.now_s
        self.announce_state(engine.name, TargetState.SERVING)

    def announce_state(self, name: str, state: TargetState) -> None:
        """Deliver a target's state to each router after a random delay."""
        for placer in self.placers:
            self.at(self.now_s + self.random.uniform(0.0, 2.0), self.set_state, placer, name, state)

    def set_state(self, placer: Placer, name: str, state: TargetState) -> None:
        """Update one router's list; a target that is not serving is removed."""
        if state is TargetState.SERVING:
            placer.update_target(self.view(name), self.now_s)
        else:
            placer.remove_target(name)

    def sample(self) -> None:
        """Record the true skew and the estimation errors at one router."""
        self.at(self.now_s + 1.0, self.sample)
        alive = [engine for engine in self.engines.values() if engine.alive]
        loads = sorted(engine.load_at(self.now_s) for engine in alive)
        mean = fmean(loads)
        over = sum(load > LOAD_FACTOR * mean + LARGE_REQUEST_TOKENS for load in loads) / len(loads)
        p99 = loads[int(0.99 * (len(loads) - 1))]
        self.samples.append(
            Sample(mean, loads[-1] / mean, p99 / mean, over, LARGE_REQUEST_TOKENS / mean)
        )
        placer = self.placers[0]
        for engine in alive[:: max(1, len(alive) // 50)]:
            load = placer.load_table.load(engine.name)
            error = placer.estimate_tokens(engine.name, self.now_s) - engine.load_tokens
            self.errors.append((error / mean, load.error_sd_tokens(self.now_s) / mean))


def run(setting: Setting) -> Fleet:
    """Run one setting and print its figures."""
    started_s = time.perf_counter()
    fleet = Fleet(setting)
    fleet.run()
    print(" ".join(f"{name}={value}" for name, value in setting._asdict().items()))
    found = figures(setting, fleet.counts, fleet.samples, fleet.errors, fleet.place_s)
    found["wall s"] = f"{time.perf_counter() - started_s:.0f}"
    print("    " + "; ".join(f"{name} {value}" for name, value in found.items()))
    reasons = {key: value for key, value in fleet.counts.items() if key.startswith("reason")}
    total = max(1, sum(reasons.values()))
    shares = (f"{key} {value / total:.4f}" for key, value in sorted(reasons.items()))
    print("    " + "; ".join(shares), flush=True)
    return fleet


def main() -> None:
    """Parse the command line and run each policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", default=f"{ORACLE},{','.join(sorted(PLACEMENT_POLICIES))}")
    parser.add_argument("--routers", default="50")
    parser.add_argument("--engines", type=int, default=250)
    parser.add_argument("--seconds", type=int, default=150)
    parser.add_argument("--warm-up", type=int, default=70)
    parser.add_argument("--rate", type=float, default=7.7, help="requests per second per engine")
    parser.add_argument("--steady", action="store_true", help="no churn, no surge")
    parser.add_argument("--no-surge", action="store_true")
    parser.add_argument("--no-notes", action="store_true")
    parser.add_argument("--report-every", type=float, default=2.0, help="seconds, 0.5 to 2")
    parser.add_argument("--domains", type=int, default=1, help="failure domains")
    parser.add_argument("--own-domain-first", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for routers in arguments.routers.split(","):
        for policy in arguments.policies.split(","):
            run(
                Setting(
                    policy,
                    int(routers),
                    arguments.engines,
                    arguments.seconds,
                    arguments.warm_up,
                    arguments.rate,
                    not arguments.steady,
                    not (arguments.steady or arguments.no_surge),
                    not arguments.no_notes,
                    arguments.report_every,
                    arguments.domains,
                    not arguments.own_domain_first,
                    arguments.seed,
                )
            )


if __name__ == "__main__":
    main()
