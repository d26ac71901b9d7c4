"""Tests of requests that their heads alone decide: their bodies are not read first."""

import asyncio

from damaskwind.router.forwarding.tests.bench import ForwarderTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.server import HttpServer, ServerLimits

BODY_BYTES = 1_000_000


class RefusedHeadsTest(ForwarderTestCase):
    async def answer_to_head(self, path, is_refused_by_head=None):
        """Send a head alone that states a large body; return the answer's head."""
        check = is_refused_by_head or self.forwarder.is_refused_by_head
        server = HttpServer(self.forwarder.handle, ServerLimits(), is_refused_by_head=check)
        port = server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = "POST %s HTTP/1.1\r\nhost: host\r\nx-request-id: r1\r\nx-deadline-ms: 5000\r\n"
            head += "authorization: Bearer key\r\ncontent-length: %d\r\n\r\n"
            writer.write((head % (path, BODY_BYTES)).encode())
            return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        finally:
            writer.transport.abort()
            await server.stop_listening()
            server.abort()
            await asyncio.sleep(0.05)

    @asyncio_test
    async def test_body_without_a_route_is_read_before_its_refusal(self):
        head = await self.answer_to_head("/none/x")
        self.assertTrue(head.startswith(b"HTTP/1.1 404 "))
        self.assertIn(b"connection: close", head.lower())

    @asyncio_test
    async def test_request_runs_without_its_body_if_a_newer_table_allows_it(self):
        head = await self.answer_to_head("/a/x", lambda request: True)
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"retry-after", head.lower())
        self.assertEqual(self.received(), [])

    @asyncio_test
    async def test_body_with_a_route_is_refused_unread(self):
        with self.assertRaises(TimeoutError):
            await self.answer_to_head("/a/x")
