"""Tests of the decisions on second sends."""

import unittest

from damaskwind.decisions.placement.affinity import Candidate
from damaskwind.decisions.placement.engine_memory import EngineRoom
from damaskwind.decisions.retries.hedging import (
    MAX_DELAY_SHARE,
    MAX_START_TIMES,
    MIN_DELAY_SHARE,
    HedgeBudget,
    HedgeRefusal,
    HedgeSituation,
    StartTimes,
    find_target_refusal,
    refuse_hedge,
)
from damaskwind.decisions.retries.shared_budget import BudgetTerms, SharedRetryBudget

FREE = Candidate("t", "d", 2.0, 8, False)


class HedgingTest(unittest.TestCase):
    def test_target_that_should_get_no_work_gets_no_second_send(self):
        """A second send to a cold, slow, leaving, paused or evacuated target does harm there."""
        self.assertIsNone(find_target_refusal(FREE))
        unknown = FREE._replace(load=40.0, has_known_load=False)
        self.assertIsNone(find_target_refusal(unknown))
        for change in ({"is_slow": True}, {"is_doubtful": True}, {"takes_work": False}):
            refusal = find_target_refusal(FREE._replace(**change))
            self.assertIs(refusal, HedgeRefusal.NO_TARGET, change)
        self.assertIs(find_target_refusal(FREE._replace(load=7.5)), HedgeRefusal.POOL_SHORT)

    def test_engine_without_memory_for_the_request_gets_no_second_send(self):
        """A request sent to a full engine preempts running ones, which are then read again."""
        room = EngineRoom(free_tokens=100.0, need_tokens=50)
        self.assertIsNone(find_target_refusal(FREE._replace(room=room)))
        full = FREE._replace(room=room._replace(need_tokens=200))
        self.assertIs(find_target_refusal(full), HedgeRefusal.NO_MEMORY)

    def test_no_second_send_while_the_pool_is_short(self):
        """Second sends during an overload would delay all other requests."""
        self.assertIsNone(refuse_hedge(HedgeSituation(1.0)))
        short = ({"queued": 1}, {"headroom": 0}, {"start_fraction": 0.7}, {"admitted_share": 0.5})
        for change in short:
            refusal = refuse_hedge(HedgeSituation(1.0)._replace(**change))
            self.assertIs(refusal, HedgeRefusal.POOL_SHORT, change)
        self.assertIs(refuse_hedge(HedgeSituation(0.01)), HedgeRefusal.DEADLINE)

    def test_delay_is_bounded_and_old_start_times_are_dropped(self):
        """An idle route must not send twice after some ms, nor a slow one after its objective."""
        for start_s, share in ((0.001, MIN_DELAY_SHARE), (9.0, MAX_DELAY_SHARE)):
            times = StartTimes()
            for _ in range(2 * MAX_START_TIMES):
                times.record("r", start_s, 0.0)
            self.assertEqual(times.overdue_delay("r", 1.0, 1.0), (share, MAX_START_TIMES))
            self.assertEqual(times.overdue_delay("r", 1.0, 1000.0).learned_from, 0)

    def test_second_sends_of_all_routers_stay_within_their_share_of_the_budget(self):
        routers, requests = 138, 3
        terms = BudgetTerms(0.2, 10.0, 340.0)
        taken = 0
        for _ in range(routers):
            retries = SharedRetryBudget(terms, lambda: routers)
            budget = HedgeBudget(retries)
            for number in range(requests):
                retries.count_request(0.1 * number)
            taken += sum(budget.take(1.0) for _ in range(20))
        self.assertLessEqual(taken, 0.5 * (0.2 * requests * routers + 340))
        self.assertGreater(taken, 0)
