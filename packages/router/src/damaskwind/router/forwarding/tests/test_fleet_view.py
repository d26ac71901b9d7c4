"""Tests of a router's beliefs: which configuration it begins with."""

from random import Random
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.following.document_sources import UNSURE_AFTER_S
from damaskwind.router.forwarding import fleet_view
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.wire.news import News


def news(version, is_current=False):
    """Return a replica's news of a configuration."""
    return News("epoch", 1, version, is_current, (), 1, (), ())


class FirstConfigurationTest(TestCase):
    """A router that has just started follows three replicas, and no socket is opened."""

    def setUp(self):
        patcher = patch.object(fleet_view.NewsLink, "start")
        patcher.start()
        self.addCleanup(patcher.stop)
        clock = patch.object(fleet_view.time, "monotonic", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.now_s = 100.0
        self.view = FleetView("r", ("a", "b", "c"), 1, lambda body: None, Random(1))
        self.view.follow(("a", "b", "c"))

    def hear(self, host, version, is_current=False):
        """Take news from a replica; tell whether its document is fetched now."""
        self.view.take_news(host, news(version, is_current))
        return self.view.sources.choose(self.view.known_version(), 3, self.now_s) == host

    def test_current_replica_is_believed_at_once(self):
        self.assertFalse(self.hear("a", 7))
        self.assertTrue(self.hear("b", 5, is_current=True))

    def test_newest_is_taken_as_soon_as_all_were_heard(self):
        self.assertFalse(self.hear("a", 7))
        self.assertFalse(self.hear("b", 9))
        self.assertFalse(self.hear("c", 7))
        self.assertTrue(self.hear("b", 9))

    def test_version_of_a_replica_that_is_lost_again_is_not_waited_for(self):
        self.assertFalse(self.hear("a", 9))
        self.view.lost("a")
        self.now_s += UNSURE_AFTER_S + 0.01
        self.assertTrue(self.hear("b", 7))

    def test_newest_heard_is_taken_after_a_while_when_one_is_silent(self):
        self.assertFalse(self.hear("a", 7))
        self.assertFalse(self.hear("b", 9))
        self.now_s += UNSURE_AFTER_S + 0.01
        self.assertFalse(self.hear("a", 7))
        self.assertTrue(self.hear("b", 9))
