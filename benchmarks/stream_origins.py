"""Replay streams that callers take up in a release over three versions, with three strategies.

`written`: a router writes each stream down at replicas before its first event; variants send it
to all holders at once, or to the first one at once and to the others a little later, or to two at
once, both of which have to confirm it. `asked`: the
routers are asked which of them served an attempt. `hashed`: the version is chosen by a hash of
the attempt's id among those that serve, and worked out again from what serves then.

Routers and replicas are killed and come back without their memory, and routers hear of changes
late. A replica is one queue: a call costs `CALL_S`, an entry `ENTRY_S`.

    python -m benchmarks.stream_origins [--routers N] [--replicas N] [--rate STREAMS_A_ROUTER]
"""

import argparse
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count, islice
from random import Random
from statistics import quantiles
from typing import NamedTuple

from damaskwind.control.fleet.origins_site import SETTLED_S
from damaskwind.decisions.limits.slices import rendezvous_order
from damaskwind.decisions.streams.holders import choose_holders
from damaskwind.decisions.streams.origin_table import OriginEntry, OriginTable, attempt_key
from damaskwind.router.forwarding.origin_link import LAZY_BATCH, LAZY_S, SLOW_S
from damaskwind.router.forwarding.origin_relay import (
    ASK_S,
    CONFIRM_S,
    HEDGE_BURST,
    HEDGE_S,
    HEDGE_SHARE,
)
from damaskwind.router.forwarding.stream_origins import MARGIN_S
from damaskwind.wire.stream_origins import OriginAnswer, OriginCall, encode_message

__all__ = ["STRATEGIES", "OriginFigures", "OriginLoad", "simulate"]

STRATEGIES = ("written", "written to two", "written to all", "asked", "hashed")
# Replicas that have to confirm a stream before its first event.
CONFIRMATIONS = {"written to two": 2}
# Processor time of a replica for one call and for each entry, on a quarter of a core.
CALL_S = 4 * 190e-6
ENTRY_S = 4 * 9e-6
HOP_S = 0.0005
# Bytes of HTTP and packet headers of a call and its answer.
OVERHEAD_BYTES = 300
# How long the news of a version that came or went takes to a router.
NEWS_S = (0.01, 0.5)
SECONDS = 60.0
# Versions that serve from a time on, with their numbers of targets.
RELEASE = (
    (0.0, {"v1": 6}),
    (8.0, {"v1": 4, "v2": 2}),
    (20.0, {"v1": 2, "v2": 4}),
    (30.0, {"v1": 2, "v2": 2, "v3": 2}),
    (45.0, {"v2": 1, "v3": 5}),
)


class OriginLoad(NamedTuple):
    """The size of the fleet, its streams and its faults.

    `kill_share` of the routers are killed every `kill_period_s`, a replica as often.
    """

    routers: int
    replicas: int = 3
    streams_per_router_s: float = 5.0
    stream_s: float = 5.0
    break_share: float = 0.05
    kill_share: float = 0.1
    kill_period_s: float = 6.0
    away_s: float = 1.0


class OriginFigures(NamedTuple):
    """Shares of the streams taken up, waits before a first event, and the price at replicas.

    A stream counts as taken up while a target of its version serves. `busiest_replica` is the
    share of its quarter of a core that the busiest replica spends. `provable` is the share of the
    streams taken up when so many replicas would answer, with all that they ever held, that none
    of those confirmed could be missed: what goes on without the id of an attempt.
    """

    streams: int
    taken_up: int
    found: float
    provable: float
    joined: int
    refused: float
    wait_ms: tuple[float, float, float]
    take_up_ms: float
    messages_per_stream: float
    bytes_per_stream: float
    calls_per_replica_s: float
    bytes_per_replica_s: float
    busiest_replica: float


class _Stream:
    __slots__ = (
        "begun_s",
        "confirmed_s",
        "confirmations",
        "ends_s",
        "entry",
        "key",
        "life",
        "router",
        "version",
    )


class _Replica:
    def __init__(self) -> None:
        self.table = OriginTable(131_072)
        self.life = 0
        self.is_up = True
        self.settled_s = 0.0
        self.free_s = 0.0
        self.busy_s = 0.0
        self.calls = 0


class _Link:
    def __init__(self) -> None:
        self.urgent: dict[int, _Stream] = {}
        self.lazy: dict[int, _Stream] = {}
        self.is_calling = False
        self.called_s = float("inf")
        self.has_timer = False


class _Simulation:
    def __init__(self, strategy: str, load: OriginLoad, seed: int) -> None:
        self.strategy, self.load, self.random = strategy, load, Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._numbers = count(1)
        self.replicas = [_Replica() for _ in range(load.replicas)]
        self.hosts = {str(number): replica for number, replica in enumerate(self.replicas)}
        self.router_lives = [0] * load.routers
        self.up_routers = [True] * load.routers
        # Per router the versions known: by when each change of the release was heard.
        self.heard_s = [
            [at_s + self.random.uniform(*NEWS_S) for at_s, _ in RELEASE]
            for _ in range(load.routers)
        ]
        self.streams_of: list[dict[bytes, _Stream]] = [{} for _ in range(load.routers)]
        self.links = [{host: _Link() for host in self.hosts} for _ in range(load.routers)]
        self.hedges = [HEDGE_BURST] * load.routers
        self.has_hedge_budget = strategy != "written to all"
        self.waits_s: list[float] = []
        self.take_up_s: list[float] = []
        self.bytes = self.messages = self.streams = 0
        self.needed = CONFIRMATIONS.get(strategy, 1)
        self.provable = 0
        self.outcomes = {"found": 0, "joined": 0, "refused": 0}

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (at_s, next(self._order), action))

    # What serves

    def phase(self, router: int) -> int:
        """Return the last change of the release that a router has heard of."""
        heard = (n for n, at_s in enumerate(self.heard_s[router]) if at_s <= self.now_s)
        return max(heard, default=0)

    def has_several(self, router: int) -> bool:
        return self.phase(router) > 0

    def choose_version(self, router: int, stream_key: bytes) -> str:
        targets = RELEASE[self.phase(router)][1]
        if self.strategy != "hashed":
            return self.random.choices(list(targets), list(targets.values()))[0]
        names = [f"{version}/{number}" for version, n in targets.items() for number in range(n)]
        return rendezvous_order(stream_key.hex(), names)[0].partition("/")[0]

    # Streams

    def start_arrivals(self) -> None:
        for router in range(self.load.routers):
            self.at(self.random.expovariate(self.load.streams_per_router_s), self.arrive(router))

    def arrive(self, router: int) -> Callable[[], None]:
        def action() -> None:
            if self.up_routers[router]:
                self.begin(router)
            wait_s = self.random.expovariate(self.load.streams_per_router_s)
            self.at(self.now_s + wait_s, self.arrive(router))

        return action

    def begin(self, router: int) -> None:
        self.streams += 1
        stream = _Stream()
        number = next(self._numbers)
        stream.key = attempt_key("s", b"%016x" % self.random.getrandbits(64))
        stream.router, stream.life = router, self.router_lives[router]
        stream.version = self.choose_version(router, stream.key)
        stream.begun_s, stream.confirmed_s, stream.confirmations = self.now_s, float("inf"), 0
        stream.ends_s = self.now_s + self.random.uniform(0.2, 2 * self.load.stream_s)
        lasts_ms = int((15.0 + MARGIN_S) * 1000)
        content = stream.key[::-1]
        stream.entry = OriginEntry((stream.key, content), stream.version, number, 1, lasts_ms)
        self.streams_of[router][stream.key] = stream
        if self.random.random() < self.load.break_share:
            stream.ends_s = self.now_s + self.random.uniform(0.1, stream.ends_s - self.now_s)
            self.at(stream.ends_s, lambda: self.break_off(stream))
        if not self.strategy.startswith("written"):
            self.waits_s.append(0.0)
            return
        self.write_down(router, stream)

    def write_down(self, router: int, stream: _Stream) -> None:
        is_all = self.strategy == "written to all"
        down = [
            host
            for host, replica in self.hosts.items()
            if not replica.is_up or self.now_s - self.links[router][host].called_s > SLOW_S
        ]
        first, *others = choose_holders(stream.key, self.hosts, down)
        self.put(router, first, stream, True)
        for number, host in enumerate(others, 1):
            self.put(router, host, stream, is_all or number < self.needed)

        def hedge() -> None:
            if stream.confirmed_s > self.now_s and self.take_hedge(router):
                for host in others:
                    self.put(router, host, stream, True)

        self.hedges[router] = min(self.hedges[router] + HEDGE_SHARE, HEDGE_BURST)
        self.at(self.now_s + HEDGE_S, hedge)
        self.at(self.now_s + CONFIRM_S, lambda: self.note_wait(stream))

    def take_hedge(self, router: int) -> bool:
        if not self.has_hedge_budget:
            return True
        if self.hedges[router] < 1.0:
            return False
        self.hedges[router] -= 1.0
        return True

    def note_wait(self, stream: _Stream) -> None:
        self.waits_s.append(min(stream.confirmed_s - stream.begun_s, CONFIRM_S))

    def put(self, router: int, host: str, stream: _Stream, is_urgent: bool) -> None:
        link = self.links[router][host]
        writer = stream.entry.writer
        if is_urgent:
            link.lazy.pop(writer, None)
            link.urgent[writer] = stream
            self.send(router, host)
        elif writer not in link.urgent:
            link.lazy[writer] = stream
            self.set_timer(router, host)

    def set_timer(self, router: int, host: str) -> None:
        link = self.links[router][host]
        if link.has_timer:
            return
        link.has_timer = True

        def fire() -> None:
            link.has_timer = False
            self.send(router, host)

        self.at(self.now_s + LAZY_S, fire)

    def send(self, router: int, host: str) -> None:
        link, replica = self.links[router][host], self.hosts[host]
        if link.is_calling or not (link.urgent or link.lazy) or not replica.is_up:
            return
        batch = [*link.urgent.values(), *islice(link.lazy.values(), LAZY_BATCH)]
        link.urgent.clear()
        for stream in batch:
            link.lazy.pop(stream.entry.writer, None)
        link.is_calling, link.called_s = True, self.now_s
        call = OriginCall(tuple(stream.entry for stream in batch))
        done_s = self.serve(replica, len(batch), len(encode_message(call)))
        life, router_life = replica.life, self.router_lives[router]

        def end() -> None:
            link.is_calling, link.called_s = False, float("inf")
            if replica.life == life:
                for stream in batch:
                    stream.confirmations += 1
                    if stream.confirmations >= self.needed:
                        stream.confirmed_s = min(stream.confirmed_s, self.now_s)
                    replica.table.merge(stream.entry, self.now_s)
            elif self.router_lives[router] == router_life:
                link.lazy.update({stream.entry.writer: stream for stream in batch})
            if link.urgent:
                self.send(router, host)
            elif link.lazy:
                self.set_timer(router, host)

        self.at(done_s, end)

    def serve(self, replica: _Replica, entries: int, size_bytes: int) -> float:
        """Let a replica run a call; return when its answer is there."""
        work_s = CALL_S + entries * ENTRY_S
        replica.free_s = max(replica.free_s, self.now_s + HOP_S) + work_s
        replica.busy_s += work_s
        replica.calls += 1
        self.messages += 1
        self.bytes += size_bytes + OVERHEAD_BYTES
        return replica.free_s + HOP_S

    # Take-ups

    def break_off(self, stream: _Stream) -> None:
        if self.router_lives[stream.router] == stream.life:
            self.at(self.now_s + self.random.uniform(0.02, 0.2), lambda: self.take_up(stream))

    def take_up(self, stream: _Stream) -> None:
        routers = [number for number, is_up in enumerate(self.up_routers) if is_up]
        router = self.random.choice(routers)
        targets = RELEASE[self.phase(router)][1]
        if stream.version not in RELEASE[self.true_phase()][1]:
            return
        answering = sum(one.is_up and one.settled_s <= self.now_s for one in self.replicas)
        self.provable += answering > len(self.replicas) - self.needed
        version, took_s = self.resolve(router, stream)
        if version is None:
            self.outcomes["refused"] += 1
        else:
            is_right = version == stream.version
            is_served = is_right and version in targets
            outcome = "found" if is_served else "refused" if is_right else "joined"
            self.outcomes[outcome] += 1
            self.take_up_s.append(took_s)

    def true_phase(self) -> int:
        return max(number for number, (at_s, _) in enumerate(RELEASE) if at_s <= self.now_s)

    def resolve(self, router: int, stream: _Stream) -> tuple[str | None, float]:
        """Return the version that a router finds, `None` for a refusal, and what it took."""
        if self.strategy == "hashed":
            return self.choose_version(router, stream.key), 0.0
        if stream.key in self.streams_of[router]:
            return stream.version, 0.0
        if self.strategy == "asked":
            found, took_s = self.ask_routers(router, stream)
        else:
            found, took_s = self.ask_replicas(stream)
        if found is not None:
            return found, took_s
        if self.has_several(router):
            return None, took_s
        return next(iter(RELEASE[0][1])), took_s

    def ask_routers(self, router: int, stream: _Stream) -> tuple[str | None, float]:
        others = [n for n, is_up in enumerate(self.up_routers) if is_up and n != router]
        self.messages += len(others)
        self.bytes += len(others) * (OVERHEAD_BYTES + 12)
        is_found = any(stream.key in self.streams_of[number] for number in others)
        return (stream.version, 2 * HOP_S) if is_found else (None, ASK_S)

    def ask_replicas(self, stream: _Stream) -> tuple[str | None, float]:
        """Ask the first holder, then the others; all at once if streams are written to all."""
        down = [host for host, replica in self.hosts.items() if not replica.is_up]
        first, *others = choose_holders(stream.key, self.hosts, down)
        groups = [[first, *others]] if self.strategy == "written to all" else [[first], others]
        took_s = 0.0
        for group in groups:
            found, last_s = set(), took_s
            for host in group:
                if host in down:
                    continue
                versions, answered_s = self.ask(self.hosts[host], stream, took_s)
                found |= versions
                last_s = max(last_s, answered_s)
            if len(found) == 1 and last_s < ASK_S:
                return found.pop(), last_s
            took_s = min(last_s, HEDGE_S if group == [first] else ASK_S)
        return None, took_s

    def ask(
        self, replica: _Replica, stream: _Stream, after_s: float
    ) -> tuple[frozenset[str], float]:
        """Return what a replica answers and when, if it is asked after some time."""
        size_bytes = len(encode_message(OriginCall((), (stream.key,), ("s",))))
        hosts = tuple(f"10.0.0.{number}" for number in range(len(self.replicas)))
        answer = OriginAnswer((("v1",),), (("v1", "v2"),), hosts, True)
        size_bytes += len(encode_message(answer))
        done_s = self.serve(replica, 1, size_bytes)
        return replica.table.versions(stream.key, self.now_s), done_s - self.now_s + after_s

    # Faults and the release

    def schedule_faults(self) -> None:
        load = self.load
        at_s = 3.0
        while at_s < SECONDS:
            self.at(at_s, self.kill_routers)
            self.at(at_s + self.random.uniform(0.0, load.kill_period_s), self.kill_replica)
            at_s += load.kill_period_s

    def kill_routers(self) -> None:
        number = max(round(self.load.kill_share * self.load.routers), 2)
        for router in self.random.sample(range(self.load.routers), number):
            self.kill_router(router)

    def kill_router(self, router: int) -> None:
        if not self.up_routers[router]:
            return
        self.up_routers[router] = False
        self.router_lives[router] += 1
        streams = list(self.streams_of[router].values())
        self.streams_of[router].clear()
        for link in self.links[router].values():
            link.urgent.clear()
            link.lazy.clear()
        for stream in streams:
            if stream.ends_s > self.now_s:
                wait_s = self.random.uniform(0.02, 0.2)
                self.at(self.now_s + wait_s, lambda stream=stream: self.take_up(stream))

        def start() -> None:
            self.up_routers[router] = True

        self.at(self.now_s + self.load.away_s, start)

    def kill_replica(self) -> None:
        replica = self.random.choice(self.replicas)
        if not all(one.is_up for one in self.replicas):
            return
        replica.is_up = False
        replica.life += 1
        replica.table = OriginTable(131_072)

        def start() -> None:
            replica.is_up, replica.free_s = True, self.now_s
            replica.settled_s = self.now_s + SETTLED_S
            host = next(name for name, one in self.hosts.items() if one is replica)
            for router in range(self.load.routers):
                # Each router hears the replica within a second.
                wait_s = self.random.uniform(0.05, 1.0)
                self.at(self.now_s + wait_s, lambda router=router: self.write_again(router, host))

        self.at(self.now_s + self.load.away_s, start)

    def write_again(self, router: int, host: str) -> None:
        if self.strategy.startswith("written"):
            for stream in self.valid(router):
                self.put(router, host, stream, False)
        self.send(router, host)

    def valid(self, router: int) -> list[_Stream]:
        streams = self.streams_of[router].values()
        return [stream for stream in streams if self.now_s - stream.begun_s < 15.0 + MARGIN_S]

    def forget(self) -> None:
        for router, streams in enumerate(self.streams_of):
            kept = self.valid(router)
            streams.clear()
            streams.update({stream.key: stream for stream in kept})
        self.at(self.now_s + 1.0, self.forget)

    def run(self) -> OriginFigures:
        self.start_arrivals()
        self.schedule_faults()
        self.at(1.0, self.forget)
        while self._events and self._events[0][0] < SECONDS:
            self.now_s, _, action = heappop(self._events)
            action()
        taken_up = sum(self.outcomes.values())
        cuts = quantiles(self.waits_s, n=100)
        replicas = len(self.replicas)
        is_written = self.strategy.startswith("written")
        return OriginFigures(
            self.streams,
            taken_up,
            self.outcomes["found"] / taken_up,
            self.provable / taken_up,
            self.outcomes["joined"],
            self.outcomes["refused"] / taken_up,
            tuple(round(1000 * value, 2) for value in (cuts[49], cuts[98], max(self.waits_s))),
            1000 * quantiles(self.take_up_s, n=100)[98],
            self.messages / self.streams,
            self.bytes / self.streams,
            sum(one.calls for one in self.replicas) / replicas / SECONDS,
            self.bytes / replicas / SECONDS if is_written else 0.0,
            max(one.busy_s for one in self.replicas) / SECONDS,
        )


def simulate(strategy: str, load: OriginLoad, seed: int) -> OriginFigures:
    """Replay one release with its faults."""
    return _Simulation(strategy, load, seed).run()


def main() -> None:
    """Print the figures of each strategy at each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", type=int, nargs="*", default=[8, 57, 138, 300])
    parser.add_argument("--rate", type=float, default=OriginLoad(8).streams_per_router_s)
    parser.add_argument("--replicas", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for routers in arguments.routers:
        load = OriginLoad(routers, arguments.replicas, arguments.rate)
        for strategy in STRATEGIES:
            figures = simulate(strategy, load, arguments.seed)
            cells = [
                f"{name}={value:.4g}" if isinstance(value, float) else f"{name}={value}"
                for name, value in figures._asdict().items()
            ]
            print(routers, strategy, *cells)


if __name__ == "__main__":
    main()
