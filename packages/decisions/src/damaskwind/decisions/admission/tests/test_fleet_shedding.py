"""Tests of the counts, cut-offs and their followers in failures."""

from unittest import TestCase

from damaskwind.decisions.admission.fleet_shedding import FleetShedder, PoolOccupancy
from damaskwind.decisions.admission.shed_aggregator import ShedAggregator, ShedNews
from damaskwind.decisions.admission.shed_counts import (
    MAX_COUNT,
    GroupCounts,
    GroupKey,
    ShedReport,
    is_plausible,
)
from damaskwind.decisions.admission.shed_cutoff import Cutoff, Share, admits_hash
from damaskwind.decisions.admission.shed_follower import ShedFollower

SHORT = (
    GroupCounts(1, 0, 40, 40, 30, 10, 0, 40, 4000),
    GroupCounts(2, 2, 90, 90, 30, 10, 50, 40, 4000),
)
FULL_POOL = PoolOccupancy(slots=10, held=12, waiting=30)
CLOSED = Cutoff(7, (Share(2, 400),), floor_permille=100)


class ShedderTest(TestCase):
    def test_decision_stands_for_a_second_and_reopens_gradually(self):
        shedder = FleetShedder(7)
        shedder.update(SHORT, FULL_POOL, 0.0)
        first = shedder.cutoff
        shedder.update(SHORT[:1], PoolOccupancy(10, 7, 0), 0.5)
        self.assertIs(shedder.cutoff, first)
        budgets = []
        calm = [item._replace(late=0, refused=0) for item in SHORT]
        for second in (1.0, 2.0, 3.0):
            shedder.update(calm, PoolOccupancy(10, 7, 0), second)
            budgets.append(shedder.budget)
        self.assertEqual(budgets, sorted(budgets))
        self.assertLess(budgets[1] / budgets[0], 1.2)

    def test_service_with_free_slots_and_nothing_waiting_is_not_cut(self):
        # Late answers while slots are free have another cause, such as a slow link.
        shedder = FleetShedder(7)
        shedder.update(SHORT, PoolOccupancy(100, 12, 0), 0.0)
        self.assertTrue(shedder.cutoff.is_open)

    def test_budget_without_capacity_or_in_another_unit_is_dropped(self):
        # Guards against a budget of 0, or of requests taken as milliseconds: it would refuse
        # nearly all for many seconds.
        for started, ended, held in ((0, 0, 12), (50, 0, 12), (0, 10, 0)):
            with self.subTest(started=started, ended=ended):
                shedder = FleetShedder(7)
                hung = [GroupCounts(1, 0, 90, 90, started, 0, 40, ended, ended * 400)]
                shedder.update(hung, FULL_POOL._replace(held=held), 0.0)
                calm = [GroupCounts(1, 0, 90, 90, in_time=90, ended=90, work=90 * 400)]
                shedder.update(calm, PoolOccupancy(100, 60, 0), 1.5)
                self.assertTrue(shedder.cutoff.is_open)

    def test_all_accounts_rising_together_are_cut_by_priority_only(self):
        shedder = FleetShedder(7)
        calm = [GroupCounts(account, 0, 10, 10, 10, 0, 0, 10, 900) for account in range(1, 9)]
        for second in range(10):
            shedder.update(calm, PoolOccupancy(10, 5, 0), float(second))
        risen = [item._replace(asked=40, admitted=40, refused=30) for item in calm]
        for second in range(10, 14):
            shedder.update(risen, FULL_POOL, float(second))
        self.assertFalse(shedder.cutoff.is_open)
        self.assertEqual(shedder.cutoff.accounts, ())


class AggregatorTest(TestCase):
    def decide(self, sums, routers, second):
        for name in ("r1", "r2"):
            sums.report(name, (ShedReport(7, 30, 6, SHORT),), second)
        return sums.decide({7: 10}, routers, second + 0.1)

    def test_replica_decides_after_warm_up_and_only_for_nearly_all_routers(self):
        sums = ShedAggregator(1000)
        self.assertEqual(self.decide(sums, 2, 0.0).cutoffs, ())
        for second in (1.0, 2.0, 3.0):
            news = self.decide(sums, 2, second)
        self.assertFalse(news.cutoffs[0].is_open)
        self.assertEqual(self.decide(sums, 87, 4.0), ShedNews(1000, 2))

    def test_nonsense_and_unknown_services_are_not_summed(self):
        sums = ShedAggregator(1000)
        bad = (
            ShedReport(7, 0, 0, (GroupCounts(1, 0, -1),)),
            ShedReport(8, 10**9),
            ShedReport(9, 0, 0, (), (1,) * 9),
        )
        self.assertEqual(sums.report("r1", bad, 0.0), (7, 8, 9))
        sums.report("r1", (ShedReport(66, 30, 6, SHORT),), 0.0)
        self.assertEqual(sums.decide({7: 10}, 1, 5.0), None)
        sums.report("r1", (ShedReport(66, 30, 6, SHORT),), 6.0)
        self.assertEqual(sums.decide({7: 10}, 1, 6.1).cutoffs, ())
        self.assertEqual(sums.unknown_services({7: 10}), {66})

    def test_counts_are_bounded_in_sum_and_any_configured_priority_is_accepted(self):
        # Guards against a router that counts as 500, and against one that never counts.
        huge = tuple(GroupCounts(number, 0, MAX_COUNT // 100) for number in range(101))
        self.assertFalse(is_plausible(ShedReport(7, 0, 0, huge)))
        self.assertTrue(is_plausible(ShedReport(7, 0, 0, huge[1:])))
        self.assertTrue(is_plausible(ShedReport(7, 0, 0, (GroupCounts(1, -1, 5, 5),))))

    def test_no_counts_give_no_news(self):
        sums = ShedAggregator(1000)
        self.assertEqual(sums.report("r1", (), 0.0), ())
        self.assertIsNone(sums.decide({7: 10}, 1, 0.1))


class FollowerTest(TestCase):
    def test_cut_off_of_an_earlier_life_is_dropped(self):
        follower = ShedFollower()
        follower.observe("a", ShedNews(1000, 8, (CLOSED,)), 0.0)
        follower.observe("a", ShedNews(1100, 1), 0.5)
        self.assertIsNone(follower.followed(7, 0.6))
        follower.observe("a", ShedNews(1100, 8, (Cutoff(7),)), 4.0)
        self.assertFalse(follower.observe("a", ShedNews(1000, 8, (CLOSED,)), 4.1))
        self.assertFalse(follower.followed(7, 4.2).is_shedding)

    def test_partitioned_replica_is_not_followed_while_another_covers_more(self):
        follower = ShedFollower()
        follower.observe("old", ShedNews(900, 20, (CLOSED,)), 0.0)
        follower.observe("young", ShedNews(1000, 87, (Cutoff(7),)), 0.1)
        self.assertEqual(follower.followed(7, 0.2).host, "young")

    def test_share_grows_to_one_within_seconds_without_news(self):
        follower = ShedFollower()
        follower.observe("a", ShedNews(900, 8, (CLOSED,)), 0.0)
        shares = [follower.followed(7, at_s).share(GroupKey(1, 2)) for at_s in (1.0, 3.0, 5.0)]
        self.assertEqual(shares[0], 0.4)
        self.assertEqual(shares, sorted(shares))
        self.assertIsNone(follower.followed(7, 5.6))

    def test_new_salt_admits_others(self):
        # Guards against a caller that is refused for ever, however often it returns as told.
        ids = [b"%d" % number for number in range(200)]
        verdicts = [{item for item in ids if admits_hash(0.3, salt, 1, item)} for salt in (1, 2)]
        self.assertGreater(len(verdicts[1] - verdicts[0]), 20)
