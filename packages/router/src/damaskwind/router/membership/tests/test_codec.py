import zlib
from hashlib import blake2b
from random import Random
from unittest import TestCase

import msgspec

from damaskwind.decisions.membership.messages import (
    Ack,
    Custom,
    GoneReason,
    LeasedTargetRecord,
    News,
    Probe,
    RouterRecord,
    RouterState,
    Sketch,
    Summary,
    Tombstone,
)
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address, ModelOffer, TargetKind
from damaskwind.router.membership.codec import Codec, DatagramFault
from damaskwind.router.membership.replay import WINDOW

HERE = Address("127.0.0.1", 1)
ROUTER = RouterRecord("a", 1, RouterState.ALIVE, "domain", HERE, HERE)


def target(index: int) -> LeasedTargetRecord:
    offers = (ModelOffer("m", "1", ("x", "y")),)
    kind = TargetKind.ENGINE
    return LeasedTargetRecord(
        f"t-{index}", 1, 2, 3, kind, "p", "d", HERE, 6.0, 0.5, 0.1, 9, 99, offers
    )


class CodecTest(TestCase):
    def setUp(self) -> None:
        self.sender = Codec("a", "cluster", "key")
        self.receiver = Codec("b", "cluster", "key")

    def datagram(self) -> bytes:
        return self.sender.encode(Ack(1, 2), 7)

    def test_every_kind_round_trips(self):
        updates = News(
            (ROUTER,),
            tuple(target(index) for index in range(12)),
            (Tombstone("t", 1, 2, GoneReason.LEAVING, "d", 0.5),),
            b"keys",
        )
        summary = Summary("d", 0.0, b"1234")
        messages = [
            updates,
            Probe(1, 2, ROUTER, b"loads", b"", (summary,), updates),
            Ack(1, 2),
            Sketch("d", b"12", b"12345678"),
            Custom("limits", b"payload"),
        ]
        for message in messages:
            received = self.receiver.decode(self.sender.encode(message, 7))
            self.assertEqual(received.message, message)
            self.assertEqual((received.sender_id, received.incarnation), ("a", 7))

    def test_each_fault_is_detected(self):
        valid = self.datagram()
        other_cluster = Codec("a", "elsewhere", "key").encode(Ack(1, 2), 7)
        wrong_key = Codec("a", "cluster", "other key").encode(Ack(1, 2), 7)
        flipped = valid[:-1] + bytes([valid[-1] ^ 1])
        faults = {
            b"": DatagramFault.TRUNCATED,
            valid[:16]: DatagramFault.TRUNCATED,
            valid[:-1]: DatagramFault.WRONG_KEY,
            flipped: DatagramFault.WRONG_KEY,
            wrong_key: DatagramFault.WRONG_KEY,
            other_cluster: DatagramFault.OTHER_CLUSTER,
            bytes(1201): DatagramFault.OVERSIZED,
            self.receiver.encode(Ack(1, 2), 7): DatagramFault.ECHOED,
        }
        for datagram, fault in faults.items():
            self.assertEqual(self.receiver.decode(datagram), fault)

    def signed(self, payload: bytes) -> bytes:
        cluster = blake2b(b"cluster", digest_size=4).digest()
        return cluster + self.sender._tag(payload) + payload

    def test_signed_garbage_is_malformed(self):
        encode = msgspec.msgpack.encode
        bomb = encode(zlib.compress(bytes(1 << 20)))
        cases = {
            self.signed(b"\xc1"): DatagramFault.MALFORMED,
            self.signed(encode(["a", 7, 1])): DatagramFault.MALFORMED,
            self.signed(encode(["a", 7, 1, "ac", ["x"]])): DatagramFault.MALFORMED,
            self.signed(encode(["a", 7, 1, "zz", []])): DatagramFault.UNKNOWN_KIND,
            self.signed(encode(["a", 7, 1, "acz", b"not packed"])): DatagramFault.MALFORMED,
            self.signed(encode(["a", 7, 1, "nez", msgspec.Raw(bomb)])): DatagramFault.MALFORMED,
        }
        for datagram, fault in cases.items():
            self.assertEqual(self.receiver.decode(datagram), fault)

    def test_random_bytes_never_raise(self):
        random = Random(3)
        for _ in range(500):
            payload = random.randbytes(random.randrange(60))
            self.assertIsInstance(self.receiver.decode(self.signed(payload)), DatagramFault)

    def test_a_replay_is_refused_and_reordering_within_the_window_is_not(self):
        datagrams = [self.datagram() for _ in range(WINDOW + 10)]
        self.assertEqual(self.receiver.decode(datagrams[5]).sender_id, "a")
        self.assertEqual(self.receiver.decode(datagrams[3]).sender_id, "a")
        self.assertEqual(self.receiver.decode(datagrams[3]), DatagramFault.REPLAYED)
        self.receiver.decode(datagrams[-1])
        self.assertEqual(self.receiver.decode(datagrams[4]), DatagramFault.REPLAYED)

    def test_a_restarted_sender_is_accepted_and_its_old_incarnation_is_not(self):
        old = [self.datagram() for _ in range(3)]
        self.receiver.decode(old[0])
        restarted = Codec("a", "cluster", "key").encode(Ack(1, 2), 8)
        self.assertEqual(self.receiver.decode(restarted).incarnation, 8)
        self.assertEqual(self.receiver.decode(old[1]), DatagramFault.OLD_INCARNATION)

    def test_a_message_too_large_is_not_encoded(self):
        with self.assertRaises(MessageError):
            self.sender.encode(Custom("x", Random(1).randbytes(1300)), 7)
