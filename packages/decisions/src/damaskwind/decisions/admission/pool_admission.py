"""Decide for each request to a pool: send it now, let it wait, or turn it away at once.

Pure: the caller of these methods owns the clock, the timers and the sockets. A
request is sent while its target has room by its window and by its own word.
Otherwise it waits if it can be expected to be sent while it is still worth sending,
and is turned away if not; a more urgent one that comes meanwhile may push it beyond
that, and then it is turned away at that moment, never at the end of its time.

A second bound holds for all targets of the pool together. A router with a sliver of
the traffic may always have one request begin at each target: 195 routers then have 195
at each, which bounds nothing. In a surge of twice the capacity 65 routers before 12
engines served 399 requests a second in time without it and 539 with it, 195 before 39
engines 1,147 and 1,569; of their refusals 96 and 99.7 in 100 came later than an eighth of
the objective, and 41 and 36 with it.
"""

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from math import ceil
from random import Random
from statistics import median
from typing import NamedTuple

from damaskwind.decisions.admission.drain_rate import DrainRate
from damaskwind.decisions.admission.return_time import return_after_s
from damaskwind.decisions.admission.start_window import (
    DEFAULT_POLICY,
    Beginnings,
    StartWindow,
    WindowPolicy,
)
from damaskwind.decisions.admission.waiting_line import Ticket, WaitingLine

__all__ = ["Admitted", "PoolAdmission", "Step", "TargetPlaces", "TurnedAway"]

# A request may be expected to wait for this part of its objective: the rest is for
# the answer's beginning, which the window holds at some half of it.
WAIT_PART = 0.4
# One that came back is late already and asks no third time: it may wait for this part
# of its time, but no longer than half of what callers of silent streams bear (2 s).
CAME_BACK_LEFT_PART = 0.3
CAME_BACK_MOST_S = 1.0
# Without a departure seen, one takes about so long.
FIRST_GAP_S = 0.05
# So long after a request that came for the first time was turned away, more of them
# are on their way, and those that came back keep to their share of the places.
SURGE_S = 0.3
# After so long without turning anybody away, the next time is another surge.
SURGE_GAP_S = 2.0


class TargetPlaces(NamedTuple):
    """A target that takes work, and how many of its places are free by its own word."""

    target_id: str
    free: float


class Step(StrEnum):
    """What becomes of a request now."""

    START = "start"
    WAIT = "wait"
    TURN_AWAY = "turn away"


class TurnedAway(NamedTuple):
    """A request that is given up on, not run, and when its caller should come back."""

    number: int
    return_s: float
    why: str


class Admitted(NamedTuple):
    """What was decided, what was expected, and who had to give way.

    `expected_s` is the wait that was predicted, `until_s` the time at which a
    request that waits is to be given up on, `room` how many more the targets could
    take, and `begun_part` the part of the objective that answers took lately to begin.
    """

    step: Step
    expected_s: float
    until_s: float
    room: int
    begun_part: float
    turned_away: tuple[TurnedAway, ...] = ()


class PoolAdmission:
    """One router's entry to one pool.

    >>> entry = PoolAdmission(Random(1), WindowPolicy(first=1.0))
    >>> first, second = (Ticket(n, 0, "a", 0.0, 4.0, 1.0) for n in (1, 2))
    >>> places = [TargetPlaces("t", 8.0)]
    >>> entry.offer(first, places, 0.0).step.value, entry.offer(second, places, 0.0).step.value
    ('start', 'wait')
    >>> entry.sent(1, "t", 1.0, 0.0); entry.begun(1, 0.05); entry.look(places, 0.05)
    (2,)
    """

    def __init__(self, random: Random, policy: WindowPolicy = DEFAULT_POLICY) -> None:
        self.line = WaitingLine()
        self._policy = policy
        self._random = random
        self._beginnings = Beginnings(policy.memory_s)
        self._windows: dict[str, StartWindow] = {}
        of_pool = policy._replace(first=policy.first_of_pool, counts_overdue=False)
        self._whole = StartWindow(of_pool, self._beginnings)
        self._whole_rate = DrainRate()
        self._started: set[int] = set()
        self._at: dict[int, str] = {}
        self._rates: dict[str, DrainRate] = {}
        self._refusing_since_s: float | None = None
        self._refused_s = float("-inf")
        self._first_refused_s = float("-inf")

    def offer(self, ticket: Ticket, places: Sequence[TargetPlaces], now_s: float) -> Admitted:
        """Decide on a request that has just come."""
        room = self._room(ticket.target_id, places, now_s)
        begun_part = self._begun_part(now_s)
        waits_its_turn = ticket.came_back and self._is_surge(now_s)
        if room > 0 and not waits_its_turn and not self.line.waiting_for(ticket.target_id):
            self._start(ticket, now_s)
            return Admitted(Step.START, 0.0, now_s, room, begun_part)
        self.line.add(ticket)
        expected_s = self._expected_s(ticket, now_s)
        turned_away = self._turn_away_hopeless(now_s)
        is_out = any(item.number == ticket.number for item in turned_away)
        step = Step.TURN_AWAY if is_out else Step.WAIT
        until_s = self._until_s(ticket)
        return Admitted(step, expected_s, until_s, room, begun_part, turned_away)

    def waiting_for(self, target_id: str) -> int:
        """Return how many requests wait here for a target."""
        return self.line.waiting_for(target_id)

    def sent(self, number: int, target_id: str, objective_s: float, now_s: float) -> None:
        """Note where a request is sent, for the first time or once more."""
        self._started.discard(number)
        if self._at.get(number) == target_id:
            return
        self.ended(number)
        self._at[number] = target_id
        self._window(target_id).sent(number, now_s, objective_s)
        self._whole.sent(number, now_s, objective_s)

    def begun(self, number: int, now_s: float) -> None:
        """Note that an answer began."""
        target_id = self._at.get(number)
        if target_id is not None:
            self._window(target_id).begun(number, now_s)
            self._whole.begun(number, now_s)

    def ended(self, number: int) -> None:
        """Note that no answer of the last send will begin any more."""
        self._started.discard(number)
        target_id = self._at.pop(number, None)
        if target_id is not None:
            self._window(target_id).ended(number)
            self._whole.ended(number)

    def look(self, places: Sequence[TargetPlaces], now_s: float) -> tuple[int, ...]:
        """Return who may be sent now."""
        started: list[int] = []

        def can_run(target_id: str) -> bool:
            return self._room(target_id, places, now_s) > 0

        is_surge = self._is_surge(now_s)
        while (ticket := self.line.take_next(now_s, can_run, is_surge)) is not None:
            is_backlog = bool(self.line.waiting_for(ticket.target_id))
            self._rate(ticket.target_id).count(now_s, backlog=is_backlog)
            self._whole_rate.count(now_s, backlog=bool(len(self.line)))
            self._start(ticket, now_s)
            started.append(ticket.number)
        return tuple(started)

    def turned_away_by_target(self, target_id: str, now_s: float) -> None:
        """Note that a target had no place for a request."""
        self._window(target_id).turned_away(now_s)

    def forget(self, target_id: str) -> None:
        """Drop what was learned of a target that is gone."""
        self._windows.pop(target_id, None)
        self._rates.pop(target_id, None)

    def withdraw(self, number: int) -> None:
        """Take out a request that waits and whose caller left."""
        self.line.remove(number)

    def release(self) -> tuple[int, ...]:
        """Take out all who wait, for nothing that they could wait for is left."""
        return tuple(ticket.number for ticket in self.line.clear())

    def give_up(self, number: int, now_s: float) -> TurnedAway | None:
        """Turn away a request that has waited until its `until_s`."""
        ticket = self.line.remove(number)
        return None if ticket is None else self._turn_away(ticket, "waited in vain", now_s)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self.line.note_served(ticket.account, now_s)
        if ticket.target_id:
            self.sent(ticket.number, ticket.target_id, ticket.objective_s, now_s)
        else:
            self._started.add(ticket.number)

    def _rate(self, target_id: str) -> DrainRate:
        """Return how fast those who wait for a target go on."""
        return self._rates.setdefault(target_id, DrainRate())

    def _window(self, target_id: str) -> StartWindow:
        """Return a target's window, made when it is first asked for."""
        window = self._windows.get(target_id)
        if window is None:
            window = self._windows[target_id] = StartWindow(self._policy, self._beginnings)
        return window

    def _room_at(self, places: TargetPlaces, now_s: float) -> int:
        """Return how many more a target may be sent."""
        return min(self._window(places.target_id).room(now_s), ceil(places.free))

    def _room(self, target_id: str, places: Sequence[TargetPlaces], now_s: float) -> int:
        """Return how many more may be sent to a target, or to any, less those on their way."""
        if not target_id:
            room = sum(max(0, self._room_at(item, now_s)) for item in places)
            return min(room, self._whole.room(now_s)) - len(self._started)
        home = next((item for item in places if item.target_id == target_id), None)
        # A home that is gone meanwhile holds nobody up: the request is placed anew.
        room = 1 if home is None else self._room_at(home, now_s)
        return min(room, self._whole.room(now_s))

    def _begun_part(self, now_s: float) -> float:
        """Return the median part of the objective that the pool's answers took to begin."""
        parts = self._beginnings.recent(now_s)
        return median(parts) if parts else 0.0

    def _until_s(self, ticket: Ticket) -> float:
        """Return until when it makes sense that a request waits."""
        wait_s = WAIT_PART * ticket.objective_s
        if ticket.came_back:
            left_s = ticket.deadline_s - ticket.arrived_s
            wait_s = max(wait_s, min(CAME_BACK_LEFT_PART * left_s, CAME_BACK_MOST_S))
        return min(ticket.arrived_s + wait_s, ticket.deadline_s)

    def _gap_s(self, target_id: str) -> float:
        """Return the time between two departures to a target."""
        per_s = self._rate(target_id).per_s()
        return FIRST_GAP_S if per_s is None else 1.0 / per_s

    def _is_surge(self, now_s: float) -> bool:
        """Tell whether requests that came for the first time are being turned away."""
        return now_s - self._first_refused_s < SURGE_S

    def _expected_s(self, ticket: Ticket, now_s: float) -> float:
        """Return how long a request will probably wait."""
        same = [item for item in self.line.ordered(now_s) if item.target_id == ticket.target_id]
        return (same.index(ticket) + 0.5) * self._gap_s(ticket.target_id)

    def _turn_away_hopeless(self, now_s: float) -> tuple[TurnedAway, ...]:
        """Turn away whoever can't be sent in time at the present pace."""
        turned_away: list[TurnedAway] = []
        ahead: Counter[str] = Counter()
        whole_per_s = self._whole_rate.per_s()
        for place, ticket in enumerate(self.line.ordered(now_s)):
            expected_s = (ahead[ticket.target_id] + 0.5) * self._gap_s(ticket.target_id)
            if whole_per_s is not None:
                expected_s = max(expected_s, (place - len(turned_away) + 0.5) / whole_per_s)
            if now_s + expected_s > self._until_s(ticket):
                turned_away.append(self._turn_away(ticket, "no place in time", now_s))
            else:
                ahead[ticket.target_id] += 1
        return tuple(turned_away)

    def return_s(self, objective_s: float, left_s: float, now_s: float) -> float:
        """Return when a caller that is turned away now should come back."""
        if now_s - self._refused_s > SURGE_GAP_S:
            self._refusing_since_s = now_s
        self._refused_s = now_s
        since_s = now_s if self._refusing_since_s is None else self._refusing_since_s
        return return_after_s(objective_s, left_s, now_s - since_s, self._random)

    def _turn_away(self, ticket: Ticket, why: str, now_s: float) -> TurnedAway:
        """Give up on a request that waits."""
        self.line.remove(ticket.number)
        if not ticket.came_back:
            self._first_refused_s = now_s
        return_s = self.return_s(ticket.objective_s, ticket.deadline_s - now_s, now_s)
        return TurnedAway(ticket.number, return_s, why)
