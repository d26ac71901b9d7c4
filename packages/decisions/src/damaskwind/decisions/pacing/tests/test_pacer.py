from unittest import TestCase

from damaskwind.decisions.pacing.pacer import (
    BURST_S,
    FILL_SHARE,
    OVERDRAFT_S,
    SEND_SHARE,
    UDP_HEADER_BYTES,
    ControlPacer,
)
from damaskwind.decisions.pacing.urgency import MAX_WAIT_S, Urgency

BUDGET = 4096


class ControlPacerTest(TestCase):
    def setUp(self) -> None:
        self.pacer = ControlPacer(BUDGET, 0.0)

    def offer(self, name: str, size: int, urgency: Urgency, now_s: float = 0.0) -> None:
        self.pacer.offer(name, size, urgency, name, now_s)

    def test_most_urgent_goes_first_and_equally_urgent_in_order(self):
        for name, urgency in (("r", Urgency.ROUTINE), ("j1", Urgency.JOIN), ("l", Urgency.LEAVE)):
            self.offer(name, 50, urgency)
        self.offer("j2", 50, Urgency.JOIN)
        self.assertEqual(self.pacer.pop_ready(0.0), ["l", "j1", "j2", "r"])

    def test_sends_of_any_second_stay_within_their_share(self):
        for step in range(200):
            now_s = step * 0.05
            for urgency in Urgency:
                self.offer(urgency.name, 300, urgency, now_s)
            self.pacer.pop_ready(now_s)
            self.assertLessEqual(self.pacer._sends.total_bytes, BUDGET * SEND_SHARE)
        self.assertGreater(self.pacer.counters(10.0).deferred_sends, 0)

    def test_bucket_bounds_any_interval_under_a_flood_in_both_directions(self):
        moved = []
        for step in range(600):
            now_s = step * 0.05
            if step % 2 == 0:
                self.pacer.received(150, "flood", now_s)
                moved.append((now_s, 150 + UDP_HEADER_BYTES))
            for urgency in Urgency:
                self.pacer.offer(400, 400, urgency, "flood", now_s)
            moved += [(now_s, size + UDP_HEADER_BYTES) for size in self.pacer.pop_ready(now_s)]
        for start in range(0, 30, 5):
            total = sum(size for when_s, size in moved if start <= when_s < start + 5)
            self.assertLessEqual(total, BUDGET * (5 * FILL_SHARE + BURST_S + OVERDRAFT_S))
        bound = BUDGET * (30 * FILL_SHARE + BURST_S + OVERDRAFT_S)
        self.assertLessEqual(sum(size for _, size in moved), bound)

    def test_received_bytes_delay_sends(self):
        self.pacer.received(BUDGET, "flood", 0.0)
        self.offer("news", 200, Urgency.JOIN)
        self.offer("leave", 200, Urgency.LEAVE)
        self.assertEqual(self.pacer.pop_ready(0.0), ["leave"])
        self.assertEqual(self.pacer.pop_ready(0.1), [])
        self.assertEqual(self.pacer.pop_ready(1.0), ["news"])
        self.pacer.received(3 * BUDGET, "flood", 1.0)
        self.offer("leave", 200, Urgency.LEAVE, 1.0)
        self.assertEqual(self.pacer.pop_ready(1.0), [])

    def test_updates_leave_the_reserve_for_probes(self):
        for _ in range(20):
            self.offer("news", 300, Urgency.JOIN)
        self.pacer.pop_ready(0.0)
        self.offer("probe", 400, Urgency.PROBE)
        self.offer("ack", 300, Urgency.PROBE)
        self.assertEqual(self.pacer.pop_ready(0.0), ["probe", "ack"])

    def test_expired_send_is_dropped_and_reported(self):
        self.pacer.received(4 * BUDGET, "flood", 0.0)
        self.offer("probe", 100, Urgency.PROBE)
        self.assertEqual(self.pacer.pop_ready(0.1), [])
        late_s = MAX_WAIT_S[Urgency.PROBE] + 0.1
        self.assertEqual(self.pacer.pop_ready(late_s), [])
        self.assertEqual(self.pacer.pop_dropped(), ["probe"])
        self.assertEqual(self.pacer.counters(late_s).dropped_sends, 1)

    def test_full_queue_drops_the_least_urgent(self):
        self.pacer.received(9 * BUDGET, "flood", 0.0)
        for _ in range(600):
            self.offer("news", 100, Urgency.ROUTINE)
        self.offer("leave", 100, Urgency.LEAVE)
        self.assertEqual(set(self.pacer.pop_dropped()), {"news"})

    def test_both_directions_count_with_headers(self):
        self.offer("probe", 100, Urgency.PROBE)
        self.pacer.pop_ready(0.0)
        self.pacer.received(50, "ack", 0.5)
        self.pacer.received(400, "announcement", 0.5, 300)
        counters = self.pacer.counters(2.0)
        self.assertEqual(counters.sent_bytes, {"probe": 128})
        self.assertEqual(counters.received_bytes, {"ack": 78, "announcement": 700})
        self.assertEqual(counters.highest_second_bytes, 906)
        self.assertEqual(counters.mean_bytes_per_s, 453)

    def test_stream_bytes_delay_sends(self):
        self.pacer.sent_on_stream(2 * BUDGET, "follow", 0.0)
        self.offer("news", 200, Urgency.JOIN)
        self.assertEqual(self.pacer.pop_ready(0.5), [])
        self.assertEqual(self.pacer.counters(0.5).sent_bytes, {"follow": 2 * BUDGET})

    def test_large_stream_transfer_delays_updates_but_no_probe(self):
        whole_bytes = 30 * BUDGET
        self.pacer.received_on_stream(whole_bytes, "follow", 0.0)
        self.offer("news", 100, Urgency.JOIN)
        self.offer("probe", 100, Urgency.PROBE)
        self.assertEqual(self.pacer.pop_ready(0.0), ["probe"])
        self.assertEqual(self.pacer.pop_ready(0.5), [])
        self.assertEqual(self.pacer.pop_ready(1.0), ["news"])
        self.assertEqual(self.pacer.counters(1.0).highest_second_bytes, whole_bytes + 128)

    def test_stream_bytes_do_not_reduce_the_debt_of_datagrams(self):
        self.pacer.received(3 * BUDGET, "flood", 0.0)
        self.pacer.sent_on_stream(100, "follow", 0.0)
        self.offer("leave", 100, Urgency.LEAVE)
        self.assertEqual(self.pacer.pop_ready(1.0), [])
        self.assertEqual(self.pacer.pop_ready(2.0), ["leave"])

    def test_clock_that_steps_back_adds_no_budget(self):
        self.pacer.received(3 * BUDGET, "flood", 10.0)
        self.offer("leave", 200, Urgency.LEAVE, 5.0)
        self.assertEqual(self.pacer.pop_ready(5.0), [])
        self.assertEqual(self.pacer.pop_ready(-100.0), [])
        self.assertEqual(self.pacer.pop_ready(12.0), ["leave"])
