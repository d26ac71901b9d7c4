"""Tests of calls over connections that are reset as soon as they are accepted."""

import asyncio
import socket
import struct
import threading
from collections import Counter

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from twisted.trial.unittest import TestCase

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.lost_connection import translate_lost_connections
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import HelloRequest

CALLS = 300


def reset_all(listening):
    """Reset every connection as soon as it is accepted."""
    linger = struct.pack("ii", 1, 0)
    while True:
        try:
            accepted, _address = listening.accept()
        except OSError:
            return
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        accepted.close()


class LostConnectionTest(TestCase):
    @asyncio_test
    async def test_calls_over_reset_connections_raise_only_connection_errors(self):
        listening = socket.create_server(("127.0.0.1", 0))
        address = listening.getsockname()
        resetting = threading.Thread(target=reset_all, args=(listening,))
        resetting.start()
        signer = CallSigner("kl", "key", "a")
        outcomes = Counter()
        for _ in range(CALLS):
            channel = Channel(*address)
            try:
                stub = ReplicationStub(channel)
                await call_unary(stub.Hello, HelloRequest(), signer, 5.0)
            except Exception as error:  # the test counts the types
                outcomes[type(error)] += 1
            finally:
                channel.close()
        listening.shutdown(socket.SHUT_RDWR)
        await asyncio.to_thread(resetting.join, 5.0)
        listening.close()
        self.assertEqual(outcomes.total(), CALLS)
        named = {StreamTerminatedError, ConnectionResetError, BrokenPipeError}
        self.assertLessEqual(set(outcomes), named, outcomes)

    def test_only_a_missing_transport_is_translated(self):
        class Closed:
            pass

        with self.assertRaises(StreamTerminatedError), translate_lost_connections():
            Closed()._transport  # noqa: B018
        with self.assertRaises(AttributeError), translate_lost_connections():
            Closed().misspelt  # noqa: B018
