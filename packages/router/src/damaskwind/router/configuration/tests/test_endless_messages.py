"""Tests of processes that send one message without end in answer to a call for a configuration."""

import asyncio

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import StreamEnded
from h2.exceptions import ProtocolError
from twisted.trial.unittest import TestCase

from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.router.configuration.upstream import Upstream
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire.authentication import CallSigner

MIB = 2**20
# More than any configuration has; the sender stops there if it is not left before.
MAX_SENT_BYTES = 48 * MIB
PIECE_BYTES = 16_384
# A message that is not compressed, of 4 GiB less one byte (the length comes in four bytes).
PREFIX = b"\x00\xff\xff\xff\xff"
HEADERS = [(":status", "200"), ("content-type", "application/grpc+proto")]


class EndlessSender:
    """Answers each call with one message that does not end, as far as it is read."""

    def __init__(self):
        self.sent_bytes = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        link = H2Connection(H2Configuration(client_side=False))
        link.initiate_connection()
        stream_id = 0
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(link.data_to_send())
                await writer.drain()
                for event in link.receive_data(await reader.read(65536)):
                    if isinstance(event, StreamEnded):
                        stream_id = event.stream_id
                        link.send_headers(stream_id, HEADERS)
                        link.send_data(stream_id, PREFIX)
                while stream_id and link.local_flow_control_window(stream_id) >= PIECE_BYTES:
                    link.send_data(stream_id, bytes(PIECE_BYTES))
                    self.sent_bytes += PIECE_BYTES
        except (OSError, ProtocolError):
            # The caller has left.
            pass
        finally:
            writer.close()


class EndlessMessagesTest(TestCase):
    timeout = 40

    @asyncio_test
    async def test_message_without_end_is_not_kept(self):
        """Guards against a router that keeps what is sent at an address that is used again."""
        sender = EndlessSender()
        address = await sender.start()
        upstream = Upstream("router", "domain", CallSigner("kl", "key", "router"))
        with self.assertRaises(MessageError):
            await upstream.fetch(address, 0)
        sender.stop()
        self.assertGreater(sender.sent_bytes, 0)
        self.assertLess(sender.sent_bytes, MAX_SENT_BYTES)
