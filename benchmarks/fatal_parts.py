"""Replay requests that share a fatal prompt part, with three ways of telling what is to blame.

`whole`: evidence against whole requests alone. `counts`: each end counts against all parts in
flight there, and a whole answer clears. `share`: each end counts by how rare a part was among the
last answers. `least`: as the routers do it (`decisions.fatal_requests.evidence`).

One service; a router sees its own answers, and all tables the news of the others after `NEWS_S`.
A target that crashes is back after `RESTART_S`. Prompts have an entry part of eight, a subject of
forty and an own part; a fatal one has the fatal part in place of its subject.

    python -m benchmarks.fatal_parts [--routers N] [--seeds N]
"""

import argparse
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from math import log
from random import Random
from statistics import mean
from typing import NamedTuple

from damaskwind.decisions.fatal_requests.evidence import SendEvidence, Suspect, together
from damaskwind.decisions.fatal_requests.identity import identify_part
from damaskwind.decisions.fatal_requests.suspicion import FATAL_ENDS, Standing, SuspicionTable
from damaskwind.decisions.fatal_requests.verdicts import VerdictMaker

__all__ = ["WAYS", "Figures", "Scenario", "simulate"]

SECONDS = 20.0
FATAL_FROM_S = 5.0
NEWS_S = 0.08
RESTART_S = 3.0
CRASH_S = (0.05, 0.4)
WORK_S = (0.1, 1.0)
SUSPICION_BYTES = 22
# A part is to blame by its share if chance explains its ends less often than this.
CHANCE = 1e-3
FATAL_PART = identify_part("s", b"m", b"fatal")


class Scenario(NamedTuple):
    """The fleet and its requests a second. Targets that are ill crash by themselves."""

    routers: int = 8
    targets: int = 12
    sound_per_s: float = 50.0
    fatal_per_s: float = 4.0
    ill_crashes_per_s: float = 0.0
    entries: int = 8


class Figures(NamedTuple):
    """Crashes in all, parts and requests held wrongly, bytes told to one router, sound served."""

    crashes: int
    late: int
    held_wrongly: int
    bytes_told: int
    served: float


class _Send(NamedTuple):
    router: int
    target: int
    life: int
    is_fatal: bool
    evidence: SendEvidence


class _Router:
    def __init__(self, table: SuspicionTable) -> None:
        self.verdicts = VerdictMaker(table)
        self.recent: deque[frozenset[bytes]] = deque(maxlen=64)


class _Replay:
    """One replay; `fresh` is what is known somewhere, `told` what all routers know by now."""

    def __init__(self, scenario: Scenario, way: str, seed: int) -> None:
        self.scenario, self.way, self.random = scenario, way, Random(seed)
        self.fresh, self.told = SuspicionTable(), SuspicionTable()
        self.routers = [_Router(self.told) for _ in range(scenario.routers)]
        self.lives = [0] * scenario.targets
        self.up_s = [0.0] * scenario.targets
        self.in_flight: list[list[_Send]] = [[] for _ in range(scenario.targets)]
        self.crashes_s: list[float] = []
        self.fatal_sent_s: list[float] = []
        self.served = self.refused = self.bytes_told = 0
        # Suspects that are no groups; a group holds only requests with the fatal part.
        self.single: set[bytes] = set()
        self.numbers, self.order = count(), count()
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []

    def run(self) -> Figures:
        self.at(0.0, self.arrive, False)
        self.at(FATAL_FROM_S, self.arrive, True)
        if self.scenario.ill_crashes_per_s:
            self.at(FATAL_FROM_S, self.fall)
        while self.events:
            self.now_s, _, act, arguments = heappop(self.events)
            if self.now_s > SECONDS:
                break
            act(*arguments)
        fatal = [
            digest
            for digest in self.fresh.digests()
            if self.fresh.standing(digest, self.now_s) is Standing.FATAL
        ]
        known_s = (self.crashes_s + [SECONDS] * 5)[4] + 3.0
        return Figures(
            len(self.crashes_s),
            sum(at_s > known_s for at_s in self.fatal_sent_s),
            sum(digest != FATAL_PART and digest in self.single for digest in fatal),
            self.bytes_told,
            self.served / max(self.served + self.refused, 1),
        )

    def at(self, at_s: float, act: Callable[..., None], *arguments: object) -> None:
        heappush(self.events, (at_s, next(self.order), act, arguments))

    def arrive(self, is_fatal: bool) -> None:
        rate = self.scenario.fatal_per_s if is_fatal else self.scenario.sound_per_s
        if rate:
            self.at(self.now_s + self.random.expovariate(rate), self.arrive, is_fatal)
            self.send(self.prompt(is_fatal), is_fatal, self.random.randrange(len(self.routers)))

    def prompt(self, is_fatal: bool) -> tuple[bytes, ...]:
        entry = b"entry %d" % (0 if is_fatal else self.random.randrange(self.scenario.entries))
        subject = b"subject %d" % self.random.randrange(40)
        number = next(self.numbers)
        parts = (entry, b"fatal" if is_fatal else subject, b"own %d" % number)
        digests = tuple(identify_part("s", b"m", part) for part in parts)
        self.single.update(digests)
        return (b"request %d" % number, *digests)

    def send(self, digests: Sequence[bytes], is_fatal: bool, router: int, attempt: int = 1) -> None:
        if self.way == "whole":
            digests = digests[:1]
        request, *parts = (Suspect(digest, self.told.level(digest)) for digest in digests)
        group = together((request, *parts), self.told.level) if self.way == "least" else None
        evidence = SendEvidence(request, tuple(parts), group)
        suspects = evidence.suspects if group is None else (*evidence.suspects, group)
        serving = [number for number, up_s in enumerate(self.up_s) if up_s <= self.now_s]
        if not serving or any(item.level.ends >= FATAL_ENDS for item in suspects):
            self.refused += not is_fatal
            return
        target = self.random.choice(serving)
        send = _Send(router, target, self.lives[target], is_fatal, evidence)
        self.in_flight[target].append(send)
        if is_fatal:
            self.fatal_sent_s.append(self.now_s)
            self.at(self.now_s + self.random.uniform(*CRASH_S), self.crash, target, send.life)
        else:
            self.at(self.now_s + self.random.uniform(*WORK_S), self.answer, send)

    def answer(self, send: _Send) -> None:
        if send.life != self.lives[send.target]:
            self.refused += 1
            return
        self.in_flight[send.target].remove(send)
        self.served += 1
        router, parts = self.routers[send.router], [item.digest for item in send.evidence.parts]
        router.recent.append(frozenset(parts))
        changed = [
            item.digest
            for item in send.evidence.suspects
            if self.told.level(item.digest).ends
            and self.fresh.record_completion(item.digest, self.now_s)
        ]
        if self.way == "least":
            due = router.verdicts.record_answer("s", parts, self.now_s)
            due += router.verdicts.narrow_groups()
            changed += [
                item.digest for item in due if self.fresh.record_target_end(*item, self.now_s)
            ]
        self.tell(changed)

    def fall(self) -> None:
        self.at(
            self.now_s + self.random.expovariate(self.scenario.ill_crashes_per_s),
            self.fall,
        )
        target = self.random.randrange(self.scenario.targets)
        self.crash(target, self.lives[target])

    def crash(self, target: int, life: int) -> None:
        if life != self.lives[target] or self.up_s[target] > self.now_s:
            return
        self.crashes_s.append(self.now_s)
        self.lives[target] += 1
        self.up_s[target] = self.now_s + RESTART_S
        sends, self.in_flight[target] = self.in_flight[target], []
        changed = []
        for number in {send.router for send in sends}:
            seen = [send.evidence for send in sends if send.router == number]
            for digest, level in self.blame(self.routers[number], seen):
                if self.fresh.record_target_end(digest, level, self.now_s):
                    changed.append(digest)
        self.tell(changed)

    def blame(self, router: _Router, sends: list[SendEvidence]) -> list[Suspect]:
        if self.way == "least":
            return router.verdicts.record_target_end("s", sends, self.now_s)
        all_suspects = {item for send in sends for item in send.suspects}
        if self.way != "share":
            return list(all_suspects)
        return [item for item in all_suspects if self.is_too_rare(router, item, len(sends))]

    def is_too_rare(self, router: _Router, item: Suspect, in_flight: int) -> bool:
        """Return whether an end counts: below `FATAL_ENDS - 1`, or if chance doesn't explain it."""
        if item.level.ends < FATAL_ENDS - 1:
            return True
        answers = router.recent
        share = (1 + sum(item.digest in parts for parts in answers)) / (len(answers) + 2)
        by_chance = 1 - (1 - share) ** in_flight
        return (item.level.ends + 1) * log(max(by_chance, 1e-9)) < log(CHANCE)

    def tell(self, digests: list[bytes]) -> None:
        if digests:
            self.bytes_told += SUSPICION_BYTES * len(set(digests))
            entries = self.fresh.entries(set(digests), self.now_s)
            self.at(self.now_s + NEWS_S, self.learn, entries)

    def learn(self, entries: tuple) -> None:
        self.told.merge(entries, self.now_s)
        if self.way == "least":
            remaining = [
                item for router in self.routers for item in router.verdicts.narrow_groups()
            ]
            self.tell(
                [
                    item.digest
                    for item in remaining
                    if self.fresh.record_target_end(*item, self.now_s)
                ]
            )


WAYS = ("whole", "counts", "share", "least")


def simulate(scenario: Scenario, way: str, seed: int) -> Figures:
    """Replay a scenario with one way of telling what is to blame."""
    return _Replay(scenario, way, seed).run()


def main() -> None:
    """Print a table: each way, with a fatal part, few sound requests, and targets that are ill."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    base = Scenario(options.routers, 12 * max(options.routers // 8, 1))
    scale = max(options.routers // 8, 1)
    scenarios = {
        "fatal part": base._replace(sound_per_s=50.0 * scale),
        "few sound ones": base._replace(sound_per_s=2.0 * scale),
        "one entry part": base._replace(sound_per_s=50.0 * scale, entries=1),
        "ill": base._replace(sound_per_s=50.0 * scale, fatal_per_s=0.0, ill_crashes_per_s=2.0),
        "very ill": base._replace(
            sound_per_s=50.0 * scale, fatal_per_s=0.0, ill_crashes_per_s=20.0
        ),
    }
    print(f"{options.routers} routers, {base.targets} targets, means of {options.seeds} seeds")
    for name, scenario in scenarios.items():
        for way in WAYS:
            runs = [simulate(scenario, way, seed) for seed in range(options.seeds)]
            crashes, late, held, told, served = map(mean, zip(*runs, strict=True))
            print(
                f"{name:15} {way:7} {crashes:5.1f} crashes, {late:5.1f} late, {held:5.2f} held"
                f" wrongly, {told / 1024:6.1f} KB told, {served:.3f} served"
            )


if __name__ == "__main__":
    main()
