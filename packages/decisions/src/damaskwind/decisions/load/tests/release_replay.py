"""Replay a release: engines are replaced one after the other while routers send.

A new engine is idle, is first in rank for its share of the keys as soon as a router
learns of it, and is slow while its caches are cold. One second later an old engine
announces that it is leaving; it gets no new requests and finishes those that it holds.
Each router learns of both after a random delay, as updates reach it.
"""

from damaskwind.decisions.load.tests.partial_view_replay import Engine, PartialViewReplay
from damaskwind.decisions.placement.affinity import Candidate, choose_target, policy_for

__all__ = ["ReleaseReplay"]

FIRST_S = 2.0
PAUSE_S = 2.5
LEAVE_DELAY_S = 1.0
MAX_UPDATE_DELAY_S = 1.0
COLD_S = 3.0
COLD_SLOWDOWN = 2.5
SLOTS = 128


class ReleaseReplay(PartialViewReplay):
    """One run; without `is_summed` routers get no sums from replicas, for comparison.

    `joined_sent` and `joined_above` count sends to engines younger than five seconds.
    """

    def __init__(self, fleet, seed, is_summed=True):
        super().__init__(fleet, seed)
        self.is_summed = is_summed
        self.joined_s, self.left = {}, set()
        self.joined_sent = self.joined_above = 0
        self.known = [set(self.engines) for _ in self.routers]
        self._index = {id(loads): number for number, loads in enumerate(self.routers)}

    def play(self):
        """Run to the end; return the replay."""
        self.after(0.0, FIRST_S, self.replace, 0)
        return super().play()

    def replace(self, now_s, number):
        name = f"n{number}"
        self.engines[name] = Engine(name, COLD_SLOWDOWN)
        self.joined_s[name] = now_s
        self.after(now_s, COLD_S, self.warm_up, name)
        self.after(now_s, LEAVE_DELAY_S, self.leave, f"t{number}")
        self.after(now_s, PAUSE_S, self.replace, number + 1)
        for known in self.known:
            self.after(now_s, self.random.random() * MAX_UPDATE_DELAY_S, self.learn_of, known, name)

    def learn_of(self, now_s, known, name):
        known.add(name)

    def warm_up(self, now_s, name):
        self.engines[name].slowdown = 1.0

    def leave(self, now_s, name):
        self.left.add(name)
        for loads, known in zip(self.routers, self.known, strict=True):
            self.after(
                now_s,
                self.random.random() * MAX_UPDATE_DELAY_S,
                self.forget_engine,
                loads,
                known,
                name,
            )

    def forget_engine(self, now_s, loads, known, name):
        known.discard(name)
        loads.forget(name)

    def place(self, loads, key, now_s):
        """Choose among the engines that this router knows, and record the choice."""
        names = sorted(self.known[self._index[id(loads)]])
        loads_by_name = loads.estimates(names, len(self.routers), now_s)
        candidates = [Candidate(name, "d", loads_by_name[name], SLOTS, False) for name in names]
        policy = policy_for(len(self.routers), loads.has_sums(now_s))
        choice = choose_target(candidates, key, "d", policy, self.random)
        engine = self.engines[choice.candidate.target_id]
        self.record_send(engine, choice.rank, now_s)
        self.errors.append(choice.candidate.load - engine.held)
        return engine

    def record_send(self, engine, rank, now_s):
        """Count a send; the mean leaves out engines that have left and hold no requests."""
        held = [
            other.held
            for other in self.engines.values()
            if other.held or other.name not in self.left
        ]
        is_above = engine.held > 2 * sum(held) / len(held) + 3
        second = int(now_s)
        self.sent[second] += 1
        self.away[second] += rank > 0
        self.above[second] += is_above
        if now_s - self.joined_s.get(engine.name, -COLD_S * 2) < 5.0:
            self.joined_sent += 1
            self.joined_above += is_above

    def answer(self, now_s, number, loads, replica):
        if self.is_summed:
            super().answer(now_s, number, loads, replica)
        else:
            self.call(now_s, number, loads, replica)
