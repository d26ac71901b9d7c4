"""Tests of choosing a target by the shared part of a prompt."""

import unittest
from random import Random

from damaskwind.decisions.placement.affinity import (
    AffinityPolicy,
    Candidate,
    choose_target,
    confine,
    exceeds_limit,
)

POLICY = AffinityPolicy()


def pool(count, load=1.0, **changes):
    return [Candidate(f"t{n}", "d", load, 8, False, **changes) for n in range(count)]


def choose(candidates, key=b"part"):
    return choose_target(candidates, key, "d", POLICY, Random(1))


def ranking(candidates):
    """Return the target ids in rank order for the part, by removing each chosen one."""
    order = []
    while candidates:
        order.append(choose(candidates).candidate.target_id)
        candidates = [item for item in candidates if item.target_id != order[-1]]
    return order


class AffinityTest(unittest.TestCase):
    def test_same_part_is_sent_to_the_same_target_by_every_router(self):
        first = choose(pool(6)).candidate.target_id
        shuffled = pool(6)
        Random(4).shuffle(shuffled)
        self.assertEqual(choose(shuffled).candidate.target_id, first)

    def test_target_that_joins_takes_only_its_own_keys(self):
        keys = [b"%d" % n for n in range(200)]
        before = {key: choose(pool(6), key).candidate.target_id for key in keys}
        after = {key: choose(pool(7), key).candidate.target_id for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertTrue(all(after[key] == "t6" for key in moved))
        self.assertLess(len(moved), 60)

    def test_donor_runs_the_software_version_of_the_chosen_target(self):
        """Guards against cached parts of another version, which may not fit."""
        order = ranking(pool(6))
        for rank in range(1, 6):
            mixed = [
                item._replace(version="v1" if order.index(item.target_id) in (0, rank) else "v2")
                for item in pool(6)
            ]
            self.assertEqual(choose(mixed).donor_id, order[rank])
        alone = [item._replace(version=item.target_id) for item in pool(6)]
        self.assertEqual(choose(alone).donor_id, "")

    def test_versions_do_not_change_where_requests_go(self):
        """Guards against placement that depends on versions although no stream requires one."""
        mixed = [
            item._replace(version=f"v{number % 2}", load=float(number))
            for number, item in enumerate(pool(6))
        ]
        plain = [item._replace(version="") for item in mixed]
        for key in [None, *(b"%d" % n for n in range(100))]:
            found = [choose(candidates, key).candidate.target_id for candidates in (mixed, plain)]
            self.assertEqual(found[0], found[1])

    def test_request_of_one_version_is_measured_by_the_load_of_all(self):
        """Guards against a last old target that is its own mean and never over the bound."""
        mixed = [item._replace(version="v2") for item in pool(6)]
        for key in (b"part", None):
            for load, is_over in ((4.0, False), (12.0, True)):
                old = mixed[0]._replace(version="v1", load=load)
                confined = confine([old, *mixed[1:]], "v1")
                choice = choose(confined, key)
                self.assertEqual(choice.candidate.target_id, "t0")
                self.assertEqual(exceeds_limit(confined, choice.candidate), is_over)
                guessed = choice.candidate._replace(has_known_load=False)
                self.assertFalse(exceeds_limit(confined, guessed))

    def test_loaded_home_is_skipped_and_becomes_the_donor(self):
        home = choose(pool(6)).candidate.target_id
        loaded = [item._replace(load=20.0 if item.target_id == home else 1.0) for item in pool(6)]
        choice = choose(loaded)
        self.assertNotEqual(choice.candidate.target_id, home)
        self.assertEqual((choice.rank, choice.donor_id), (1, home))

    def test_bound_counts_targets_held_back_by_an_operator_or_for_being_cold(self):
        # An operator drained a third of the targets while the request rate tripled. The others
        # then held 1.5 times the mean of all targets, but each was filled to 1.6 times the mean
        # of those that took work: in 5 s, 86 of 2060 requests were sent to servers that held
        # more than 2 times the mean plus three.
        random = Random(3)
        drained = [
            Candidate(f"e{n}", "e", 0.0, 16, False, takes_work=False, is_held_back=True)
            for n in range(10)
        ]
        loads = {f"t{n}": random.gauss(9.0, 3.0) for n in range(20)}
        for _ in range(400):
            working = [Candidate(name, "d", load, 16, False) for name, load in loads.items()]
            chosen = choose(working + drained, random.choice((b"hot", random.randbytes(4))))
            mean = sum(loads.values()) / 30
            self.assertLess(chosen.candidate.load, 2 * mean + 3)
            loads[chosen.candidate.target_id] += 1
            name = random.choice(list(loads))
            loads[name] = max(0.0, loads[name] - 1)

    def test_leaving_home_takes_no_work_but_is_the_donor(self):
        home = choose(pool(6)).candidate.target_id
        leaving = [item._replace(takes_work=item.target_id != home) for item in pool(6)]
        choice = choose(leaving)
        self.assertNotEqual(choice.candidate.target_id, home)
        self.assertEqual(choice.donor_id, home)

    def test_new_target_gets_its_keys_with_their_former_home_as_donor(self):
        candidates = pool(6)
        home = choose(candidates).candidate.target_id
        young = [
            item._replace(age_s=1.0) if item.target_id == home else item for item in candidates
        ]
        choice = choose(young)
        former = choose([item for item in candidates if item.target_id != home])
        self.assertEqual(choice.candidate.target_id, home)
        self.assertEqual(choice.donor_id, former.candidate.target_id)

    def test_donor_is_old_enough_to_have_read_the_part(self):
        order = ranking(pool(6))
        ages_s = {order[0]: 1.0, order[1]: 3.0}
        young = [item._replace(age_s=ages_s.get(item.target_id, 60.0)) for item in pool(6)]
        self.assertEqual(choose(young).donor_id, order[2])

    def test_donor_may_be_young_if_all_targets_are(self):
        young = [item._replace(age_s=1.0) for item in pool(6)]
        self.assertEqual(choose(young).donor_id, ranking(pool(6))[1])

    def test_donor_of_an_established_home_is_the_next_in_rank(self):
        """The next target in rank may have read the part while the home was overloaded."""
        self.assertEqual(choose(pool(6)).donor_id, ranking(pool(6))[1])
        self.assertEqual(choose(pool(1)).donor_id, "")

    def test_doubtful_targets_are_used_only_if_there_is_no_other(self):
        candidates = [item._replace(is_doubtful=item.target_id != "t3") for item in pool(6)]
        self.assertEqual(choose(candidates).candidate.target_id, "t3")
        self.assertIsNotNone(choose([item._replace(is_doubtful=True) for item in pool(2)]))

    def test_without_a_key_the_least_loaded_near_target_is_chosen(self):
        far = Candidate("far", "other", 0.0, 8, False)
        near = Candidate("near", "d", 0.5, 8, False)
        self.assertEqual(choose([far, near], None).candidate.target_id, "near")
        loaded = near._replace(load=2.0)
        self.assertEqual(choose([far, loaded], None).candidate.target_id, "far")

    def test_no_target_takes_work(self):
        self.assertIsNone(choose([]))
        self.assertIsNone(choose(pool(3, takes_work=False)))

    def test_without_expected_starts_the_first_in_rank_below_the_bound_is_chosen(self):
        """Guards against a change of any decision where targets do not report their speed."""
        random = Random(3)
        for number in range(300):
            key = b"part%d" % number
            order = [choose(pool(8), key).candidate.target_id]
            candidates = [item._replace(load=random.uniform(0.0, 9.0)) for item in pool(8)]
            bound = 1.6 * sum(item.load for item in candidates) / 8 + 2.5
            while len(order) < 8:
                rest = [item for item in pool(8) if item.target_id not in order]
                order.append(choose(rest, key).candidate.target_id)
            loads = {item.target_id: item.load for item in candidates}
            first = next(name for name in order if loads[name] < bound)
            choice = choose_target(candidates, key, "d", POLICY._replace(read_s=0.1), Random(1))
            self.assertEqual((choice.candidate.target_id, choice.bound), (first, bound))

    def test_home_is_kept_while_reading_elsewhere_takes_longer_than_the_gain(self):
        """Guards against sending every request to the target that starts first."""
        order = ranking(pool(6))
        starts_s = {order[0]: 0.3, order[1]: 0.2, order[2]: 0.1, order[5]: 0.0}
        uneven = [item._replace(start_s=starts_s.get(item.target_id, 0.4)) for item in pool(6)]
        cases = {0.0: order[2], 0.06: order[1], 0.11: order[0]}
        for read_s, expected in cases.items():
            policy = POLICY._replace(read_s=read_s)
            choice = choose_target(uneven, b"part", "d", policy, Random(1))
            self.assertEqual(choice.candidate.target_id, expected, read_s)

    def test_target_above_the_bound_is_not_chosen_however_soon_it_starts(self):
        """Guards against loosening the bound on requests."""
        order = ranking(pool(6))
        uneven = [
            item._replace(
                load=30.0 if item.target_id == order[1] else 1.0,
                start_s=0.0 if item.target_id == order[1] else 0.4,
            )
            for item in pool(6)
        ]
        self.assertEqual(choose(uneven).candidate.target_id, order[0])

    def test_without_a_key_the_first_to_start_below_the_bound_is_chosen(self):
        """Guards against sending requests without shared parts to a slow target."""
        slow, full, fast = pool(3)
        slow = slow._replace(load=0.0, start_s=0.25)
        full = full._replace(load=30.0, start_s=0.05)
        fast = fast._replace(load=1.0, start_s=0.1)
        self.assertEqual(choose([slow, full, fast], None).candidate.target_id, "t2")
        unknown = fast._replace(start_s=None)
        self.assertEqual(choose([slow, full, unknown], None).candidate.target_id, "t0")
