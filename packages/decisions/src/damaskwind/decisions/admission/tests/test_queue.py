"""Tests of the admission queue."""

from collections import Counter
from unittest import TestCase

from damaskwind.decisions.admission.queue import AdmissionQueue, QueuedRequest
from damaskwind.model.configuration import PriorityClass
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict

CLASSES = {
    "urgent": PriorityClass("urgent", 0, 8, 5.0, 50),
    "normal": PriorityClass("normal", 1, 3, 5.0, 50),
    "batch": PriorityClass("batch", 2, 1, 30.0, 50),
}


def request(name, priority_class="normal", deadline_s=100.0):
    return QueuedRequest(name, "account", priority_class, deadline_s)


class AdmissionQueueTest(TestCase):
    def make(self, limit=100):
        return AdmissionQueue(CLASSES, limit)

    def fill(self, queue, priority_class, count):
        for number in range(count):
            offer = queue.offer(request(f"{priority_class}{number}", priority_class), 0.0)
            self.assertTrue(offer.queued)

    def test_classes_share_by_weight_and_none_starves(self):
        queue = self.make(150)
        for name in CLASSES:
            self.fill(queue, name, 40)
        served = Counter(queue.next_ready(0.0).priority_class for _ in range(36))
        self.assertEqual(served, {"urgent": 24, "normal": 9, "batch": 3})

    def test_idle_class_earns_no_credit(self):
        queue = self.make()
        self.fill(queue, "urgent", 50)
        for _ in range(40):
            queue.next_ready(0.0)
        self.fill(queue, "batch", 20)
        served = Counter(queue.next_ready(0.0).priority_class for _ in range(9))
        self.assertGreaterEqual(served["urgent"], 7)

    def test_full_queue_sheds_newest_of_lowest_class(self):
        queue = self.make(limit=4)
        self.fill(queue, "batch", 2)
        self.fill(queue, "normal", 2)
        offer = queue.offer(request("u", "urgent"), 0.0)
        self.assertTrue(offer.queued)
        self.assertEqual([item.request.request_id for item in offer.refused], ["batch1"])
        lowest = queue.offer(request("b", "batch"), 0.0)
        self.assertFalse(lowest.queued)
        refusal = lowest.refused[0].refusal
        self.assertEqual((refusal.reason, refusal.verdict), (Reason.OVERLOADED, Verdict.NOT_RUN))
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)
        self.assertEqual(len(queue), 4)

    def test_expires_by_class_time_and_before_the_deadline(self):
        queue = self.make()
        queue.offer(request("late", "batch", deadline_s=3.0), 0.0)
        queue.offer(request("class", "normal"), 0.0)
        queue.offer(request("stays", "batch"), 0.0)
        self.assertLess(queue.next_expiry_s(), 3.0)
        first = queue.expire(queue.next_expiry_s())
        self.assertEqual([item.request.request_id for item in first], ["late"])
        self.assertEqual([g.request.request_id for g in queue.expire(5.0)], ["class"])
        self.assertEqual(queue.next_ready(5.0).request_id, "stays")

    def test_request_that_would_expire_in_the_queue_is_refused_at_once(self):
        queue = self.make()
        self.fill(queue, "normal", 40)
        for number in range(10):
            queue.next_ready(number * 0.5)
        offer = queue.offer(request("new"), 5.0)
        self.assertFalse(offer.queued)
        self.assertAlmostEqual(offer.refused[0].refusal.retry_after_s, 15.0, delta=0.5)
        self.assertTrue(queue.offer(request("other", "urgent"), 5.0).queued)

    def test_request_that_can_not_run_does_not_block_those_behind(self):
        queue = self.make()
        self.fill(queue, "normal", 3)
        found = queue.next_ready(0.0, lambda item: item.request_id != "normal0")
        self.assertEqual(found.request_id, "normal1")
        self.assertTrue(queue.remove("normal0"))
        self.assertFalse(queue.remove("normal0"))
        self.assertEqual(queue.next_ready(0.0).request_id, "normal2")
        self.assertIsNone(queue.next_ready(0.0))
