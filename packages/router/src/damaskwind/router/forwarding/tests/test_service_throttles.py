"""Tests of a router that receives counts of a service whose targets are overloaded."""

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.service_throttle import ServiceStats
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test

CALLS = 80
# Of 200 requests 100 were answered, nearly all late: four fifths of these 100 are admitted.
OVERLOADED = ServiceStats(asked=200, answered=100, late=90, turned_away=60, busy_ms=30_000)
# Of 80 calls at an admitted share of 0.4: within three standard deviations of the mean.
ADMITTED = range(19, 46)


class ServiceThrottlesTest(ForwarderTestCase):
    def receive_counts(self, stats, routers=1):
        held = HeldSum((), routers, 0.5, (ServiceReport(target_digest("pool"), stats),))
        for callback in self.view.on_load_sum:
            callback("replica", held)

    async def make_calls(self):
        """Make calls; return how many were answered, and the longest Retry-After in seconds."""
        answers = [await self.call(request_id=b"r%d" % number) for number in range(CALLS)]
        refused = [answer for answer in answers if answer.status == 503]
        retries_s = [float(dict(answer.headers)[b"retry-after"]) for answer in refused]
        self.assertEqual(len(self.received()) + len(refused), CALLS)
        return CALLS - len(refused), max(retries_s, default=0.0)

    @asyncio_test
    async def test_overloaded_service_is_sent_a_share_and_the_rest_retries_soon(self):
        await self.call()
        self.receive_counts(OVERLOADED)
        for target in self.targets:
            target.received.clear()
        admitted, after_s = await self.make_calls()
        self.assertIn(admitted, ADMITTED)
        self.assertLessEqual(after_s, 0.1)

    @asyncio_test
    async def test_router_without_recent_counts_admits_all_again(self):
        # Guards against a router that, partitioned from the replicas, keeps rejecting the share
        # that it derived from the last counts.
        await self.call()
        self.receive_counts(OVERLOADED)
        throttle = self.forwarder.throttles._throttles["pool"]
        self.assertLess(self.forwarder.throttles.admitted_share("pool"), 0.5)
        throttle._updated_s -= 30.0
        self.assertEqual(self.forwarder.throttles.admitted_share("pool"), 1.0)

    @asyncio_test
    async def test_late_answers_while_slots_are_free_cause_no_rejections(self):
        # Slow links and hanging targets made a tenth of the answers late, and each second a
        # further share of the remaining requests was rejected, until 47 of 60 calls were refused
        # four seconds after all faults were over.
        await self.call()
        self.receive_counts(OVERLOADED._replace(turned_away=0, busy_ms=9_000))
        self.assertEqual(self.forwarder.throttles.admitted_share("pool"), 1.0)

    @asyncio_test
    async def test_sum_over_too_few_routers_is_ignored(self):
        await self.call()
        self.view.routers = 57
        self.receive_counts(OVERLOADED, routers=20)
        for target in self.targets:
            target.received.clear()
        self.assertEqual((await self.make_calls())[0], CALLS)

    @asyncio_test
    async def test_counts_of_a_router_are_reported(self):
        for number in range(3):
            await self.call(request_id=b"r%d" % number)
        ((digest, stats),) = self.view.service_counts()
        self.assertEqual(digest, target_digest("pool"))
        self.assertEqual((stats.asked, stats.answered, stats.turned_away), (3, 3, 0))
