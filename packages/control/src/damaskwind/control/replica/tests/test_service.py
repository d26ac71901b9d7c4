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

NON_MEMBER = Member("x", "1")


def batch(member, **changes):
    """Return a batch from a non-member that requests a vote in a high term."""
    body = encode_envelope(Envelope(NON_MEMBER, member, VoteRequest(99, 10_000, 99)))
    fields = {
        "sender_id": "x",
        "recipient_id": member.replica_id,
        "bodies": [body],
        "sender_address": "127.0.0.1:1",
    }
    return CoreMessages(**(fields | changes))


class ServiceTest(TestCase):
    timeout = 40

    def test_decoding_reverses_encoding(self):
        entry = LogEntry(3, 2, EntryKind.COMMAND, b"\x00\xff")
        message = AppendRequest(2, 5, 2, 1, (entry,), 2)
        envelope = Envelope(NON_MEMBER, Member("a", "2"), message)
        self.assertEqual(decode_envelope(encode_envelope(envelope)), envelope)

    def test_malformed_messages_are_refused(self):
        valid = encode_envelope(Envelope(NON_MEMBER, NON_MEMBER, VoteRequest(1, 1, 1)))
        for body in (b"", b"junk", valid[:-1], valid.replace(b"VoteRequest", b"NoteRequest")):
            with self.assertRaises(MessageError):
                decode_envelope(body)

    @asyncio_test
    async def test_invalid_calls_are_refused_with_a_reason_and_change_nothing(self):
        cluster = ReplicaCluster(self, names="a")
        await cluster.start_all()
        running = cluster.running["a"]
        member = running.replica.member
        channel = Channel(*parse_address(cluster.addresses["a"]))
        deliver = ReplicationStub(channel).Deliver
        valid_signer = CallSigner("kl", "key", "x")
        try:
            await cluster.leader()
            term = running.replica.core.term
            for signer, request, status, message in (
                (CallSigner("hcm", "key", "x"), batch(member), "UNAUTHENTICATED", "wrong_cluster"),
                (CallSigner("kl", "no", "x"), batch(member), "UNAUTHENTICATED", "wrong_mac"),
                (
                    valid_signer,
                    batch(member, recipient_id="b"),
                    "FAILED_PRECONDITION",
                    "other_replica",
                ),
                (valid_signer, batch(member, sender_id="y"), "INVALID_ARGUMENT", "other_sender"),
                (valid_signer, batch(member, bodies=[b"junk"]), "INVALID_ARGUMENT", "malformed"),
                (valid_signer, batch(member, sender_address="?"), "INVALID_ARGUMENT", "malformed"),
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
        request = batch(Member("a", "another identity"))
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
