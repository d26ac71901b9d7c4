"""Test that the cost of a placement grows linearly with the number of targets.

Looking up the pool's health for each target, which visits all serving targets, made it
quadratic: on a VM of 8 cores a placement took 1.55 ms among 64 targets, 28 ms among 302 and
258 ms among 1,000. With 1,000 targets routers then spent 24 to 43 % of their processors on one
or two requests a second each, and a fraction of 0.246 of all requests was served; with 3,000
targets none was.
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
# Ten times the targets may take ten times as long, plus half of that for sorting.
MOST_TIMES = 15.0


def states_of(targets):
    """Return the states of the given number of targets of one pool, as a router keeps them."""
    random = Random(1)
    view = FleetView("router", (), 1, lambda body: None, random)
    for number in range(targets):
        address = Address("10.0.0.1", number)
        name = f"i-{random.getrandbits(40):010x}"
        record = TargetRecord(name, "pool", address, "domain", TargetPhase.SERVING, 5, 16)
        view.targets.merge(record, read_clock())
    return TargetStates(view, TargetConnections(), 1.2, random)


def placement_s(targets):
    """Return the processor time of a placement, the minimum of `PLACEMENTS` runs."""
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
    def test_placement_cost_is_linear_in_the_number_of_targets(self):
        few_s, many_s = placement_s(FEW), placement_s(MANY)
        print(f"{FEW}: {few_s * 1000:.2f} ms, {MANY}: {many_s * 1000:.2f} ms a placement")
        self.assertLess(many_s / few_s, MOST_TIMES)
