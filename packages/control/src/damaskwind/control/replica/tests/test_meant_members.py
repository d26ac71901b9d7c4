"""Tests of requests that name the member that they are meant for.

They guard against a request for a leader that is kept or forwarded by another life of it,
so that the asker waits for itself.
"""

import shutil

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.control.replica.leader_calls import OTHER_LIFE, OTHER_REPLICA
from damaskwind.control.replica.tests.cluster import ClusterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import parse_address
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import (
    ChangeRequest,
    MeantMember,
    Proposal,
    ReadIndexRequest,
)

TIMEOUT_MS = 5000
AT_ONCE_S = 0.5


def requests_for(meant):
    """Return a request of each kind that names a member, with the method that takes it."""
    add = ChangeRequest(action="add", replica_id="x", identity="x1", address="127.0.0.1:1")
    requests = [("Propose", Proposal()), ("Change", add), ("ReadIndex", ReadIndexRequest())]
    for _, request in requests:
        request.timeout_ms = TIMEOUT_MS
        if meant is not None:
            request.meant.CopyFrom(MeantMember(replica_id=meant[0], identity=meant[1]))
    return requests


class MeantMemberTest(ClusterTestCase):
    async def call(self, cluster, name, method, request):
        """Call a replica; return its reply or error, and how long it took."""
        channel = Channel(*parse_address(cluster.addresses[name]))
        stub = getattr(ReplicationStub(channel), method)
        started_s = read_clock()
        try:
            reply = await call_unary(stub, request, CallSigner("kl", "key", "x"), 10.0)
        except GRPCError as error:
            reply = error
        finally:
            channel.close()
        return reply, read_clock() - started_s

    @asyncio_test
    async def test_request_for_another_member_is_refused_at_once(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            name = await cluster.leader()
            for meant, message in (((name, "former"), OTHER_LIFE), (("x", "x1"), OTHER_REPLICA)):
                for method, request in requests_for(meant):
                    error, took_s = await self.call(cluster, name, method, request)
                    self.assertIsInstance(error, GRPCError, method)
                    expected = (Status.FAILED_PRECONDITION, message)
                    self.assertEqual((error.status, error.message), expected)
                    self.assertLess(took_s, AT_ONCE_S)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_change_that_was_forwarded_once_is_not_forwarded_again(self):
        cluster = self.make()
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            name = next(name for name in "abc" if name != leader)
            member = cluster.running[name].replica.member
            _, (method, request), _ = requests_for(member)
            reply, took_s = await self.call(cluster, name, method, request)
            self.assertEqual((reply.state, reply.detail), ("refused", "not-leader"))
            self.assertLess(took_s, AT_ONCE_S)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_replica_without_a_log_keeps_no_request_to_add_another(self):
        cluster = self.make()
        await cluster.start("a")
        try:
            _, (method, request), _ = requests_for(None)
            reply, took_s = await self.call(cluster, "a", method, request)
            self.assertEqual((reply.state, reply.detail), ("refused", "not-leader"))
            self.assertLess(took_s, AT_ONCE_S)
        finally:
            await cluster.stop_all()

    @asyncio_test
    async def test_follower_does_not_wait_for_a_leader_whose_replica_answers_as_another(self):
        lines = []
        sink = logger.add(lambda message: lines.append(message.record), level="INFO")
        self.addCleanup(logger.remove, sink)
        cluster = self.make()
        await cluster.start_all()
        try:
            leader = await cluster.leader()
            former = cluster.running[leader].replica.member
            follower = next(item for name, item in cluster.running.items() if name != leader)
            await cluster.stop(leader)
            shutil.rmtree(cluster.path / leader)
            await cluster.start(leader)
            outcome = await follower.access.propose(b"x", 5.0)
        finally:
            await cluster.stop_all()
        self.assertEqual(outcome.verdict.value, "committed")
        ended = [line["extra"] for line in lines if line["message"] == "leader found ended"]
        self.assertEqual({line["identity"] for line in ended}, {former.identity})
