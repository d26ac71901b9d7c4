"""Tests of signed calls between versions of which one doesn't know all fields.

They guard against calls that are refused as not authentic while a log's replicas are upgraded
one after another.
"""

from unittest import TestCase

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallSigner, CallVerifier

METHOD = "/damaskwind.replication.Replication/Change"
SENDER = "10.0.0.1"
MEANT = replication_pb2.MeantMember(replica_id="a", identity="a1")
REQUESTS = (
    replication_pb2.Proposal(payload=b"x", timeout_ms=5000, meant=MEANT),
    replication_pb2.ReadIndexRequest(timeout_ms=900, meant=MEANT),
    replication_pb2.ChangeRequest(action="add", replica_id="b", timeout_ms=5000, meant=MEANT),
)


def earlier_class(name):
    """Return the class of a message as it was before requests named a member."""
    file = descriptor_pb2.FileDescriptorProto()
    replication_pb2.DESCRIPTOR.CopyToProto(file)
    for message in file.message_type:
        kept = [field for field in message.field if field.name != "meant"]
        del message.field[:]
        message.field.extend(kept)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    descriptor = pool.FindMessageTypeByName(f"{replication_pb2.DESCRIPTOR.package}.{name}")
    return message_factory.GetMessageClass(descriptor)


def taken_over(request):
    """Return a request as a process of an earlier version reads it."""
    return earlier_class(type(request).__name__).FromString(request.SerializeToString())


def serialized(request):
    """Return the bytes that are signed."""
    return request.SerializeToString(deterministic=True)


class UnknownFieldsTest(TestCase):
    def test_earlier_version_takes_a_call_that_names_a_member_for_authentic(self) -> None:
        for request in REQUESTS:
            metadata = CallSigner("kl", "key", SENDER).sign(METHOD, serialized(request))
            earlier = taken_over(request)
            verifier = CallVerifier("kl", "key")
            self.assertEqual(verifier.verify(METHOD, serialized(earlier), metadata), SENDER)

    def test_earlier_version_forwards_the_member_that_it_does_not_know(self) -> None:
        """Its own successor as the leader then refuses the request, and the outcome is unknown."""
        for request in REQUESTS:
            forwarded = type(request).FromString(serialized(taken_over(request)))
            self.assertEqual(forwarded, request)

    def test_request_of_an_earlier_version_names_no_member(self) -> None:
        for request in REQUESTS:
            earlier = earlier_class(type(request).__name__)(timeout_ms=request.timeout_ms)
            taken = type(request).FromString(serialized(earlier))
            self.assertFalse(taken.HasField("meant"))
