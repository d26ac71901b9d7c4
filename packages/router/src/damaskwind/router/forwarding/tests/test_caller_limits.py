"""Tests of the limits that a router applies to its callers and to other routers."""

from twisted.trial.unittest import TestCase

from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import CallerLimits, TrafficConfiguration
from damaskwind.router.forwarding.process import ForwardingRouter
from damaskwind.router.forwarding.settings import ForwardingSettings
from damaskwind.runtime.http1.limits import READ_AHEAD_BYTES


class CallerLimitsTest(TestCase):
    def setUp(self):
        address = Address("127.0.0.1", 1)
        settings = ForwardingSettings("r", "domain", address, address, (), 1)
        self.router = ForwardingRouter(settings, lambda body: None, HeaderNames())

    def test_limits_are_unknown_until_a_configuration_is(self):
        """Guards against 413 and 431 by a router that has no configuration yet."""
        callers = self.router._callers
        self.assertFalse(callers.are_limits_known)
        self.router._apply_limits(TrafficConfiguration(1, limits=CallerLimits(100, 200, 1.0, 2.0)))
        self.assertTrue(callers.are_limits_known)
        self.assertEqual(callers.limits, (100, 200, 1.0, 2.0, READ_AHEAD_BYTES))

    def test_requests_for_other_routers_may_have_a_longer_head(self):
        """Guards against requests that no router can send on, as these add fields to them."""
        self.router._apply_limits(TrafficConfiguration(1, limits=CallerLimits(100, 200, 1.0, 2.0)))
        relayed = self.router.view.relay._server.limits
        self.assertGreater(relayed.header_bytes, 100 + 1000)
        self.assertGreaterEqual(relayed.body_bytes, 200)
