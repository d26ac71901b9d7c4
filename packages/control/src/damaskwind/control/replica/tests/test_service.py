from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from twisted.trial.unittest import TestCase

from damaskwind.control.replica.codec import decode_envelope, encode_envelope
from damaskwind.control.replica.tests.cluster import ReplicaCluster
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    EntryKind,
    Envelope,
    LogEntry,
    Member,
    VoteRequest,
)
from damaskwind.model.exception import MessageError
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.settings import parse_address
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import CoreMessages

STRANGER = Member("x", "1")


def batch(member, **changes):
    """Return a batch from a stranger, who asks for a vote in a high term."""
    body = encode_envelope(Envelope(STRANGER, member, VoteRequest(99, 10_000, 99)))
    fields = {
        "sender_id": "x",
        "recipient_id": member.replica_id,
        "bodies": [body],
        "sender_address": "127.0.0.1:1",
    }
    return CoreMessages(**(fields | changes))


class ServiceTest(TestCase):
    timeout = 40

    def test_messages_come_back_as_they_went(self):
        entry = LogEntry(3, 2, EntryKind.COMMAND, b"\x00\xff")
        message = AppendRequest(2, 5, 2, 1, (entry,), 2)
        envelope = Envelope(STRANGER, Member("a", "2"), message)
        self.assertEqual(decode_envelope(encode_envelope(envelope)), envelope)

    def test_malformed_messages_are_refused(self):
        sound = encode_envelope(Envelope(STRANGER, STRANGER, VoteRequest(1, 1, 1)))
        for body in (b"", b"junk", sound[:-1], sound.replace(b"VoteRequest", b"NoteRequest")):
            with self.assertRaises(MessageError):
                decode_envelope(body)

    @asyncio_test
    async def test_bad_calls_have_a_named_outcome_and_change_nothing(self):
        cluster = ReplicaCluster(self, names="a")
        await cluster.start_all()
        running = cluster.running["a"]
        member = running.replica.member
        channel = Channel(*parse_address(cluster.addresses["a"]))
        deliver = ReplicationStub(channel).Deliver
        sound = CallSigner("kl", "key", "x")
        try:
            await cluster.leader()
            term = running.replica.core.term
            for signer, request, status, message in (
                (CallSigner("hcm", "key", "x"), batch(member), "UNAUTHENTICATED", "wrong_cluster"),
                (CallSigner("kl", "no", "x"), batch(member), "UNAUTHENTICATED", "wrong_mac"),
                (sound, batch(member, recipient_id="b"), "FAILED_PRECONDITION", "other_replica"),
                (sound, batch(member, sender_id="y"), "INVALID_ARGUMENT", "other_sender"),
                (sound, batch(member, bodies=[b"junk"]), "INVALID_ARGUMENT", "malformed"),
                (sound, batch(member, sender_address="?"), "INVALID_ARGUMENT", "malformed"),
            ):
                with self.assertRaises(GRPCError) as caught:
                    await call_unary(deliver, request, signer, 5.0)
                error = caught.exception
                self.assertEqual((error.status, error.message), (Status[status], message))
            self.assertEqual(running.replica.core.term, term)
        finally:
            channel.close()
            await cluster.stop_all()

    @asyncio_test
    async def test_a_replayed_call_is_refused(self):
        cluster = ReplicaCluster(self, names="a")
        await cluster.start_all()
        channel = Channel(*parse_address(cluster.addresses["a"]))
        deliver = ReplicationStub(channel).Deliver
        request = batch(Member("a", "another life"))
        metadata = CallSigner("kl", "key", "x").sign(
            deliver.name, request.SerializeToString(deterministic=True)
        )
        try:
            await deliver(request, metadata=metadata, timeout=5.0)
            with self.assertRaises(GRPCError) as caught:
                await deliver(request, metadata=metadata, timeout=5.0)
            self.assertEqual(caught.exception.message, "replayed")
        finally:
            channel.close()
            await cluster.stop_all()
