"""Tests of bursts that are shorter than the refresh interval of the mean load."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.placement.messages import PlacementQuery, PoolName
from damaskwind.decisions.placement.placer import Placer
from damaskwind.model.targets import (
    Address,
    LoadReport,
    ModelOffer,
    TargetKind,
    TargetState,
    TargetView,
)

POOL = PoolName("pool", "damask", "1")


class BurstTest(TestCase):
    def test_burst_on_idle_targets_is_placed_at_once(self):
        for count in (1, 3, 20):
            placer = Placer("bounded_rendezvous", "router-1", "local", 1.25, Random(1))
            for number in range(count):
                view = TargetView(
                    f"engine-{number}",
                    1,
                    TargetKind.ENGINE,
                    "pool",
                    "local",
                    Address("127.0.0.1", 1),
                    TargetState.SERVING,
                    0,
                    100_000,
                    0.0,
                    (ModelOffer("damask", "1"),),
                )
                placer.update_target(view, 0.0)
                report = LoadReport(0, 100_000, 0, 0, 0.0)
                placer.observe_report(view.target_id, report, 0.0)
            for number in range(300):
                digest = f"{number:032x}"
                query = PlacementQuery(digest, (), "a", 116.0, "local", POOL, is_new=True)
                choice = placer.place(query, 0.0)
                self.assertIsNotNone(choice.target_id, f"{number} of {count} targets")
                placer.record_started(f"r{number}", choice.target_id, digest, 116.0, 0.0)
