"""What one placement costs a router that knows many targets.

For each target of a pool the router looked up the pool's health, and for that all targets that
serve: on a VM of 8 cores a placement took 1.55 ms among 64 targets, 28 ms among 302, 258 ms among
1,000. On a day with 1,000 targets routers spent 24 to 43 % of their processors on one or two
requests a second each, and 0.246 of all requests were served; with 3,000 none was.
"""

import time
import unittest
from random import Random

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.placement.affinity import choose_target, policy_for
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock

FEW, MANY = 100, 1000
PLACEMENTS = 3
# Ten times the targets may cost ten times the time, and half as much again for sorting.
MOST_TIMES = 15.0


def states_of(targets):
    """Return the beliefs of a router that knows so many targets of one pool."""
    random = Random(1)
    view = FleetView("router", (), 1, lambda body: None, random)
    for number in range(targets):
        address = Address("10.0.0.1", number)
        name = f"i-{random.getrandbits(40):010x}"
        record = TargetRecord(name, "pool", address, "domain", TargetPhase.SERVING, 5, 16)
        view.targets.take(record, read_clock())
    return TargetStates(view, TargetConnections(), 1.2, random)


def placement_s(targets):
    """Return the processor time of a placement among so many targets, the least of some."""
    target_states = states_of(targets)
    times_s = []
    for number in range(PLACEMENTS):
        begun_s = time.process_time()
        records = target_states.serving_or_draining("pool").values()
        candidates = target_states.candidates(records, read_clock(), True)
        choose_target(candidates, b"part-%d" % number, "domain", policy_for(100), Random(1))
        times_s.append(time.process_time() - begun_s)
    return min(times_s)


class ManyTargetsTest(unittest.TestCase):
    def test_a_placement_costs_in_line_with_the_targets(self):
        few_s, many_s = placement_s(FEW), placement_s(MANY)
        print(f"{FEW}: {few_s * 1000:.2f} ms, {MANY}: {many_s * 1000:.2f} ms a placement")
        self.assertLess(many_s / few_s, MOST_TIMES)
