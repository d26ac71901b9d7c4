"""Tests of a router that is told that a service is pressed beyond what its targets bear."""

from damaskwind.decisions.admission.service_pace import ServiceSeen
from damaskwind.decisions.admission.service_tally import ServiceCount
from damaskwind.decisions.load.held_requests import target_digest
from damaskwind.decisions.load.held_sums import HeldSum
from damaskwind.router.forwarding.tests.bench import ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test

CALLS = 80
# Of 200 asked, 100 were answered, nearly all late: four fifths of these are admitted.
PRESSED = ServiceSeen(asked=200, answered=100, late=90, turned_away=60, busy_ms=30_000)
# By chance, of 80 calls at a part of 0.4: three standard deviations around it.
ADMITTED = range(19, 46)


class ServiceThrottlesTest(ForwarderTestCase):
    def tell(self, seen, routers=1):
        held = HeldSum((), routers, 0.5, (ServiceCount(target_digest("pool"), seen),))
        for callback in self.view.on_load_sum:
            callback("replica", held)

    async def press(self):
        """Make calls; return how many were answered, and the longest time to come back."""
        answers = [await self.call(request_id=b"r%d" % number) for number in range(CALLS)]
        refused = [answer for answer in answers if answer.status == 503]
        after = [float(dict(answer.headers)[b"retry-after"]) for answer in refused]
        self.assertEqual(len(self.received()) + len(refused), CALLS)
        return CALLS - len(refused), max(after, default=0.0)

    @asyncio_test
    async def test_pressed_service_is_sent_a_part_and_the_rest_comes_back_soon(self):
        await self.call()
        self.tell(PRESSED)
        for target in self.targets:
            target.received.clear()
        admitted, after_s = await self.press()
        self.assertIn(admitted, ADMITTED)
        self.assertLessEqual(after_s, 0.1)

    @asyncio_test
    async def test_router_that_hears_of_nobody_any_more_admits_all_again(self):
        # Cut off from the replicas, a router went on to turn away the part that it was last told.
        await self.call()
        self.tell(PRESSED)
        pace = self.forwarder.throttles._throttles["pool"]
        self.assertLess(self.forwarder.throttles.admitted_share("pool"), 0.5)
        pace._taken_s -= 30.0
        self.assertEqual(self.forwarder.throttles.admitted_share("pool"), 1.0)

    @asyncio_test
    async def test_answers_that_are_late_while_places_are_free_turn_nobody_away(self):
        # Links that were slow, and targets that hung, made a tenth of the answers late; each
        # second a part of what was left was turned away, until 47 of 60 calls were refused
        # four seconds after all faults were over.
        await self.call()
        self.tell(PRESSED._replace(turned_away=0, busy_ms=9_000))
        self.assertEqual(self.forwarder.throttles.admitted_share("pool"), 1.0)

    @asyncio_test
    async def test_sum_of_few_routers_counts_for_nothing(self):
        await self.call()
        self.view.routers = 57
        self.tell(PRESSED, routers=20)
        for target in self.targets:
            target.received.clear()
        self.assertEqual((await self.press())[0], CALLS)

    @asyncio_test
    async def test_what_a_router_saw_is_told(self):
        for number in range(3):
            await self.call(request_id=b"r%d" % number)
        ((digest, seen),) = self.view.service_counts()
        self.assertEqual(digest, target_digest("pool"))
        self.assertEqual((seen.asked, seen.answered, seen.turned_away), (3, 3, 0))
