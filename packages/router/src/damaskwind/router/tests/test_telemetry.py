import re
import unittest
from random import Random

from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.targets import Address
from damaskwind.router.membership.service import MembershipService, MembershipSettings
from damaskwind.router.telemetry import Telemetry


class _Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


class _Reactor:
    """A reactor whose socket discards all datagrams."""

    def listenUDP(self, *arguments, **options):  # noqa: N802 - Twisted's name
        return self

    def getHost(self):  # noqa: N802
        return Address("127.0.0.1", 9)

    def callLater(self, *arguments):  # noqa: N802
        return self

    def seconds(self):
        return 0.0

    def write(self, payload, address):
        """Drop a datagram."""


class ControlMetricsTest(unittest.TestCase):
    def setUp(self):
        self.clock = _Clock()
        settings = MembershipSettings(
            "r1", "kl", "key", "d1", Address("127.0.0.1", 9), Address("127.0.0.1", 9)
        )
        self.service = MembershipService(settings, _Reactor(), Random(1), self.clock)
        self.service.start()
        self.telemetry = Telemetry("r1")
        self.telemetry.watch_control(self.service.counters)
        self.addCleanup(self.telemetry.metrics.shutdown)

    def page(self):
        text = self.telemetry.metrics.render().decode()
        lines = re.findall(r"^damaskwind_(\w+)(?:\{(.*)\})? (\S+)$", text, re.MULTILINE)
        samples = {}
        for name, labels, value in lines:
            kept = re.sub(r',?otel_scope_\w+="[^"]*"', "", labels).strip(",")
            samples[name + (f"{{{kept}}}" if kept else "")] = float(value)
        return samples

    def test_bytes_are_counters_by_direction_and_kind(self):
        self.service.count_control("follow", 400, 1000)
        self.service.count_control("follow", 0, 11)
        page = self.page()
        self.assertEqual(page['control_bytes_total{direction="sent",kind="follow"}'], 400)
        self.assertEqual(page['control_bytes_total{direction="received",kind="follow"}'], 1011)

    def test_values_that_may_decrease_are_gauges(self):
        self.service.count_control("follow", 0, 5000)
        self.clock.now_s += 10
        first = self.page()
        self.clock.now_s += 10
        second = self.page()
        self.assertEqual(first["control_mean_bytes_per_second"], 500)
        self.assertEqual(second["control_mean_bytes_per_second"], 250)
        self.assertEqual(second["control_highest_second_bytes"], 5000)
        self.assertEqual(second["control_highest_ten_seconds_bytes_per_second"], 500)
        self.assertEqual((second["routers"], second["targets_held"]), (1, 0))
        text = self.telemetry.metrics.render().decode()
        for name in ("control_mean_bytes_per_second", "control_highest_second_bytes", "routers"):
            self.assertIn(f"# TYPE damaskwind_{name} gauge", text)
        for name in ("control_bytes_total", "control_sends_total", "suspicions_total"):
            self.assertIn(f"# TYPE damaskwind_{name} counter", text)

    def test_sends_that_wait_too_long_are_counted(self):
        pacer = self.service.node.pacer
        pacer.received(20_000, "flood", self.clock.now_s)
        pacer.offer("news", 300, Urgency.ROUTINE, "news", self.clock.now_s)
        pacer.pop_ready(self.clock.now_s)
        self.clock.now_s += 3.0
        pacer.pop_ready(self.clock.now_s)
        page = self.page()
        self.assertEqual(page['control_sends_total{outcome="deferred"}'], 1)
        self.assertEqual(page['control_sends_total{outcome="dropped"}'], 1)
        self.assertEqual(page['control_sends_total{outcome="oversized"}'], 0)


if __name__ == "__main__":
    unittest.main()
