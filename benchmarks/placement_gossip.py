"""Measure placement on real gossip, with its report ages, losses and spill notes.

The engines and chats of `placement_scale` and the gossip nodes of `control_bytes` run
on one seeded clock. Targets announce their published loads to random routers, and
every answer reports the load to its router. Loads, spill notes, leaves and returns
reach the other routers only by gossip within its budget. Engines announce a leave and
return as a new incarnation; flapping is still simulated by `placement_scale`.

    .venv/bin/python -m benchmarks.placement_gossip --routers 50 --engines 250
"""

import argparse
import time
from typing import Any

from benchmarks import control_bytes
from benchmarks.control_bytes import Conditions, summarize
from benchmarks.placement_engines import Engine, engine_report
from benchmarks.placement_figures import Setting, figures
from benchmarks.placement_scale import Fleet
from damaskwind.decisions.membership.outputs import (
    LoadHeard,
    SpillHeard,
    TargetChanged,
    TargetGone,
)
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.model.targets import TargetAnnouncement, TargetState

SETTLE_S = 130.0
STEP_S = 0.05
NOTE_DEADLINE_S = 5.0


class EngineNetwork(control_bytes.Fleet):
    """The gossip fleet, whose targets announce the loads of the engines."""

    def __init__(self, *arguments: Any) -> None:
        self.engines: dict[str, Engine] = {}
        self.incarnations: dict[str, int] = {}
        super().__init__(*arguments)

    def announcement(self, name: str, index: int, state: TargetState) -> TargetAnnouncement:
        """Return the next announcement with the last published load of the engine."""
        plain = super().announcement(name, index, state)
        plain = plain._replace(incarnation=plain.incarnation + self.incarnations.get(name, 0))
        engine = self.engines.get(name)
        if engine is None:
            # The engines are idle until the gossip has settled.
            return plain._replace(load=plain.load._replace(load_tokens=0))
        age_s = self.now_s - SETTLE_S - engine.published[1]
        return plain._replace(load=engine_report(engine, age_s))

    def return_target(self, name: str) -> None:
        """Return a target that left as a new incarnation."""
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.silent_targets.discard(name)
        self._announce(name, self.target_names.index(name))


class GossipFleet(Fleet):
    """The placement fleet with real gossip in place of assumed delays."""

    def __init__(self, setting: Setting, loss: float, bytes_per_s: int) -> None:
        super().__init__(setting)
        parameters = MembershipParameters(control_bytes_per_s=bytes_per_s)
        self.network = EngineNetwork(
            setting.routers,
            setting.engines,
            setting.domains,
            setting.seed,
            Conditions(loss=loss),
            parameters,
            setting.near,
        )
        self.network.run(SETTLE_S)
        name_pairs = zip(self.network.target_names, self.engines.values(), strict=True)
        self.engine_of = {name: engine.name for name, engine in name_pairs}
        self.name_of = {engine: name for name, engine in self.engine_of.items()}
        self.network.engines = {
            name: self.engines[engine] for name, engine in self.engine_of.items()
        }
        self.published: dict[tuple[str, str], float] = {}
        self.note_delays_s: list[float] = []
        self.ages_s: list[float] = []
        self.nodes = list(self.network.nodes.values())
        for number, node in enumerate(self.nodes):
            node.handler = lambda event, number=number: self.handle_event(number, event)
        self.at(0.0, self.step)
        self.at(setting.warm_up_s, self.network.reset_counters)

    def step(self) -> None:
        """Advance the gossip to the time of the placement."""
        self.at(self.now_s + STEP_S, self.step)
        self.network.run(SETTLE_S + self.now_s)

    def handle_event(self, number: int, event: Any) -> None:
        """Apply a gossip event to the placer of one router."""
        placer = self.placers[number]
        if isinstance(event, LoadHeard):
            placer.observe_report(self.engine_of[event.target_id], event.report, self.now_s)
        elif isinstance(event, SpillHeard):
            self.handle_spill_notes(number, event)
        elif isinstance(event, TargetGone):
            placer.remove_target(self.engine_of[event.target_id])
        elif isinstance(event, TargetChanged):
            placer.update_target(self.view(self.engine_of[event.target.target_id]), self.now_s)

    def handle_spill_notes(self, number: int, event: SpillHeard) -> None:
        """Apply received spill notes at one router and record their delays."""
        for note in event.notes:
            named = note._replace(target_id=self.engine_of[note.target_id])
            self.placers[number].observe_spill_note(named, self.now_s)
            published_s = self.published.get((note.chat_short_digest, note.target_id))
            if published_s is not None:
                self.note_delays_s.append(self.now_s - published_s)

    def report(self, engine: Engine) -> None:
        """Publish an engine's load for the next announcements and answers."""
        self.at(self.now_s + 0.5, self.report, engine)
        if engine.alive:
            engine.published = (engine.load_at(self.now_s), self.now_s)

    def answered(self, router: int, engine: Engine) -> None:
        """Report the load on an answer, with its true age, to the router's placer and gossip."""
        report = engine_report(engine, self.now_s - engine.published[1])
        self.placers[router].observe_report(engine.name, report, self.now_s)
        target_id = self.name_of[engine.name]
        self.nodes[router].observe_load(target_id, report, SETTLE_S + self.now_s)

    def gossip(self) -> None:
        """Publish every router's spill notes in its gossip."""
        self.at(self.now_s + 0.5, self.gossip)
        for placer, node in zip(self.placers, self.nodes, strict=True):
            notes = placer.pop_spill_notes(self.now_s)
            named = [note._replace(target_id=self.name_of[note.target_id]) for note in notes]
            node.publish_spills(named, SETTLE_S + self.now_s)
            if self.setting.warm_up_s < self.now_s < self.setting.seconds - NOTE_DEADLINE_S:
                self.counts["followed notes"] += len(notes)
                for note in named:
                    self.published[note] = self.now_s
            if self.now_s > self.setting.warm_up_s:
                self.counts["notes"] += len(notes)

    def announce_state(self, name: str, state: TargetState) -> None:
        """Announce that an engine is leaving or has returned."""
        if state is TargetState.SERVING:
            self.engines[name].published = (0.0, self.now_s)
            self.network.return_target(self.name_of[name])
        else:
            self.network.leave_target(self.name_of[name])

    def sample(self) -> None:
        """Also record the ages of the loads that the placers use."""
        super().sample()
        alive = [engine.name for engine in self.engines.values() if engine.alive]
        for placer in self.placers[::10]:
            ages = [placer.load_table.load(name).age_s(self.now_s) for name in alive]
            self.ages_s += [age for age in ages if age is not None]

    def format_gossip(self) -> str:
        """Format the load ages and the share of notes that arrive in time."""
        possible = max(1, self.counts["followed notes"] * (self.setting.routers - 1))
        in_time = sum(after_s <= NOTE_DEADLINE_S for after_s in self.note_delays_s)
        return (
            f"load age {summarize(self.ages_s)} s; notes heard within {NOTE_DEADLINE_S:.0f} s"
            f" {in_time / possible:.3f}, ever {len(self.note_delays_s) / possible:.3f},"
            f" after {summarize(self.note_delays_s)} s"
        )


def run(setting: Setting, loss: float, bytes_per_s: int) -> None:
    """Run one setting and print its figures."""
    started_s = time.perf_counter()
    fleet = GossipFleet(setting, loss, bytes_per_s)
    fleet.run()
    print(" ".join(f"{name}={value}" for name, value in setting._asdict().items()))
    print(f"  loss {loss}, budget {bytes_per_s} B/s")
    found = figures(setting, fleet.counts, fleet.samples, fleet.errors, fleet.place_s)
    found["wall s"] = f"{time.perf_counter() - started_s:.0f}"
    print("  " + "; ".join(f"{name} {value}" for name, value in found.items()))
    print("  " + fleet.format_gossip())
    print("  " + fleet.network.format_bytes())
    print("  " + fleet.network.format_kinds(), flush=True)


def main() -> None:
    """Parse the command line and run each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", default="bounded_rendezvous")
    parser.add_argument("--routers", type=int, default=50)
    parser.add_argument("--engines", type=int, default=250)
    parser.add_argument("--seconds", type=int, default=100)
    parser.add_argument("--warm-up", type=int, default=60)
    parser.add_argument("--rate", type=float, default=7.7, help="requests per second per engine")
    parser.add_argument("--steady", action="store_true", help="no churn, no surge")
    parser.add_argument("--domains", type=int, default=1, help="failure domains")
    parser.add_argument("--loss", type=float, default=0.0, help="share of datagrams lost")
    parser.add_argument("--bytes-per-s", type=int, default=4096)
    parser.add_argument("--seeds", default="1")
    a = parser.parse_args()
    for seed in map(int, a.seeds.split(",")):
        busy = not a.steady
        size = (a.policy, a.routers, a.engines, a.seconds, a.warm_up, a.rate)
        run(Setting(*size, busy, busy, True, 2.0, a.domains, True, seed), a.loss, a.bytes_per_s)


if __name__ == "__main__":
    main()
