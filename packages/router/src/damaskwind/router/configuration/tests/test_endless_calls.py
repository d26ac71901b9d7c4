"""Tests of callers that send one message without end in a call between processes."""

import asyncio

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from twisted.trial.unittest import TestCase

from damaskwind.router.configuration.tests.sources import Source, serve
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire.bounded_server import BoundedServer

MIB = 2**20
# More than any call has; the caller stops there if it is not refused before.
MAX_SENT_BYTES = 48 * MIB
PIECE_BYTES = 16_384
# A message that is not compressed, of 4 GiB less one byte (the length comes in four bytes).
PREFIX = b"\x00\xff\xff\xff\xff"
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/damaskwind.follow.Follow/Fetch"),
    (":authority", "replica"),
    ("te", "trailers"),
    ("content-type", "application/grpc+proto"),
]


async def flood(port):
    """Send one message as far as it is read; return how much was sent."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    link = H2Connection(H2Configuration(client_side=True))
    link.initiate_connection()
    link.send_headers(1, HEADERS)
    link.send_data(1, PREFIX)
    sent_bytes = 0
    try:
        async with asyncio.timeout(5.0):
            while sent_bytes < MAX_SENT_BYTES:
                writer.write(link.data_to_send())
                await writer.drain()
                data = await reader.read(65536)
                link.receive_data(data)
                while data and link.local_flow_control_window(1) >= PIECE_BYTES:
                    link.send_data(1, bytes(PIECE_BYTES))
                    sent_bytes += PIECE_BYTES
                if not data:
                    break
    except (OSError, ProtocolError):
        # The server has refused the call, or reads no more.
        pass
    finally:
        writer.transport.abort()
    return sent_bytes


class EndlessCallsTest(TestCase):
    timeout = 40

    @asyncio_test
    async def test_call_without_end_is_not_kept(self):
        """Guards against a process that keeps what anyone sends before it knows the caller."""
        source = Source(1)
        server = BoundedServer([source.service])
        address = await serve(server)
        sent_bytes = await flood(address.port)
        server.close()
        self.assertGreater(sent_bytes, 0)
        self.assertLess(sent_bytes, MAX_SENT_BYTES)
