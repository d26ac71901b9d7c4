"""Replay targets of uneven speed at 138 routers, which hear of a target only every some seconds."""

from damaskwind.decisions.load.tests.speed_replay import SpeedFleet
from damaskwind.decisions.load.tests.test_work_speed import UnevenSpeedCheck


class ManyRoutersTest(UnevenSpeedCheck):
    def test_138_routers(self):
        self.check(SpeedFleet(138, 70, 0.8), (1, 2), 0.5)
