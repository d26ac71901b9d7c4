from random import Random
from unittest import TestCase

from damaskwind.decisions.membership.digests import DigestTable
from damaskwind.decisions.membership.load_vector import (
    VectorLoad,
    VectorRenewal,
    build_layout,
    decode_vector,
    encode_vector,
)
from damaskwind.decisions.membership.outputs import SpillHeard
from damaskwind.decisions.membership.spill_gossip import SpillGossip, note_key
from damaskwind.decisions.membership.targets import LeasedTargetTable
from damaskwind.decisions.membership.tests.samples import Network, announcement, router
from damaskwind.decisions.membership.vector_exchange import VectorExchange
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import LoadReport

TARGETS = {note_key(name): name for name in ("t1", "t2")}


class LoadVectorTest(TestCase):
    def test_a_vector_round_trip_is_exact_within_the_quantization(self):
        random = Random(1)
        layout = build_layout([random.randrange(1 << 24) for _ in range(250)])
        keys = [key for group in layout.groups for key in group]
        loads = {key: VectorLoad(key, random.randrange(1 << 20), 1.03) for key in keys[::2]}
        renewals = {key: VectorRenewal(key, key % 16, 0.3) for key in keys[::5]}
        received, renewed, mismatched = decode_vector(
            layout, encode_vector(layout, loads, renewals)
        )
        self.assertEqual(mismatched, [])
        self.assertEqual({load.key for load in received}, set(loads))
        for load in received:
            sent = loads[load.key].load_tokens
            self.assertLess(abs(load.load_tokens - sent), 0.023 * sent + 64)
            self.assertEqual(load.age_s, 1.1)
        self.assertEqual({r.key: r.sequence for r in renewed}, {k: k % 16 for k in renewals})

    def test_a_join_invalidates_its_group_and_assigns_no_load_to_another_target(self):
        keys = [1000 + 7 * index for index in range(200)]
        sender, receiver = build_layout(keys), build_layout([*keys, 5])
        loads = {key: VectorLoad(key, key, 0.1) for key in keys}
        received, _, mismatched = decode_vector(receiver, encode_vector(sender, loads, {}))
        self.assertEqual(mismatched, [5])
        for load in received:
            self.assertLess(abs(load.load_tokens - load.key), 0.05 * load.key)
        self.assertEqual(len(received), 200 - len([k for k in keys if k % 8 == 5]))

    def test_truncated_vectors_yield_nothing_and_corrupt_ones_raise_no_error(self):
        layout = build_layout(range(100, 180))
        whole = encode_vector(layout, {k: VectorLoad(k, 9, 0.1) for k in range(100, 180)}, {})
        for size in range(len(whole)):
            self.assertEqual(decode_vector(layout, whole[:size]), ([], [], [0, 1, 2, 3]))
        random = Random(2)
        for _ in range(300):
            decode_vector(layout, random.randbytes(random.randrange(200)))
            damaged = bytearray(whole)
            damaged[random.randrange(len(damaged))] ^= random.randrange(1, 256)
            decode_vector(layout, bytes(damaged))


class VectorExchangeTest(TestCase):
    def setUp(self) -> None:
        self.tables = [LeasedTargetTable("a", DigestTable()) for _ in range(2)]
        self.vectors = [VectorExchange(table, frozenset("a")) for table in self.tables]
        for table in self.tables:
            table.announce(announcement(sequence=1), 0.0)

    def test_an_observed_load_is_propagated_and_renews_no_lease(self):
        self.tables[0].observe("target", LoadReport(7000, 9000, 0, 0, 0.0), 3.0)
        self.assertEqual(self.vectors[1].merge(self.vectors[0].pack(99, 3, 3.0), 3.0), ["target"])
        view = self.tables[1].view("target", 3.0)
        self.assertLess(abs(view.load_tokens - 7000), 0.023 * 7000)
        self.assertGreaterEqual(view.report_age_s, 0.0)
        self.assertEqual(self.tables[1].expires_s(self.tables[1].live["target"]), 6.0)
        back = self.vectors[0].merge(self.vectors[1].pack(99, 3, 3.0), 3.0)
        self.assertEqual(back, [])

    def test_a_renewal_is_sent_a_limited_number_of_times(self):
        self.tables[0].announce(announcement(sequence=2), 4.0)
        packed = [self.vectors[0].pack(99, 2, 4.0) for _ in range(3)]
        self.vectors[1].merge(packed[0], 4.0)
        # The age was rounded up, so the lease is shorter by at most one quantization step.
        self.assertAlmostEqual(self.tables[1].expires_s(self.tables[1].live["target"]), 9.9)
        self.assertEqual(
            [len(vector) for vector in packed[1:]], [len(packed[0]), len(packed[0]) - 1]
        )


class SpillNotesTest(TestCase):
    def test_a_chat_that_moves_back_is_recorded_at_its_current_target(self):
        sender, receiver = SpillGossip(), SpillGossip()
        received = []
        for now_s, target_id in ((1.0, "t1"), (6.0, "t2"), (11.0, "t1")):
            sender.publish([SpillNote("00000a1", target_id)], now_s)
            packed = sender.pack(60, 9, now_s)
            received += receiver.merge(packed, TARGETS, now_s)
            self.assertEqual(receiver.merge(packed, TARGETS, now_s), [])
        self.assertEqual([note.target_id for note in received], ["t1", "t2", "t1"])

    def test_an_old_copy_does_not_replace_a_later_note(self):
        sender, receiver = SpillGossip(), SpillGossip()
        sender.publish([SpillNote("00000a1", "t1")], 1.0)
        old = sender.pack(60, 9, 1.0)
        receiver.publish([SpillNote("00000a1", "t2")], 3.0)
        aged = old[:-1] + bytes([old[-1] & 0xC0 | 8])
        self.assertEqual(receiver.merge(aged, TARGETS, 5.0), [])

    def test_least_sent_notes_go_first_and_of_these_the_newest(self):
        sender, receiver = SpillGossip(), SpillGossip()
        for index in range(5):
            sender.publish([SpillNote(f"{index:07x}", "t1")], float(index))
        received = [
            note.chat_short_digest
            for _ in range(3)
            for note in receiver.merge(sender.pack(12, 1, 5.0), TARGETS, 5.0)
        ]
        self.assertEqual([int(chat, 16) for chat in received], [4, 3, 2, 1, 0])
        self.assertEqual(sender.pack(12, 1, 5.0), b"")

    def test_notes_reach_only_near_domains(self):
        network = Network([])
        near = {"a": ("b",), "b": ("a",), "c": ()}
        for index, domain in enumerate("aabbcc"):
            network.add(router(index, domain), near_domains=near[domain])
        self.assertTrue(network.run_until(lambda: network.all_have_routers(6), 60.0))
        network.announce(0, announcement(lease_s=60.0))
        self.assertTrue(network.run_until(lambda: network.all_have_targets(1), 20.0))
        network.core(0).publish_spills([SpillNote("00000a1", "target")], network.now_s)
        network.run(12.0)
        received = {name for _, name, event in network.events if isinstance(event, SpillHeard)}
        self.assertEqual(received, {"router-01", "router-02", "router-03"})
