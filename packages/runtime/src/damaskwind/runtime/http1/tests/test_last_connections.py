"""Tests of connections that are made, or carry a request, at the moment that a server closes."""

import asyncio
import socket

from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.tests.test_unanswered import HEAD, WAIT_S, ServerTestCase


class LastConnectionsTest(ServerTestCase):
    async def drain(self):
        """Do what a process does when it no longer takes connections."""
        self.server.close_after_answers()
        await self.server.stop_listening()
        self.server.close_idle()
        return await self.server.wait_until_idle(WAIT_S)

    def connect_at_once(self, data=b""):
        """Connect and send without a turn of the loop, so that the server can't accept before."""
        handle = socket.create_connection(("127.0.0.1", self.port), WAIT_S)
        self.addCleanup(handle.close)
        handle.sendall(data)
        handle.setblocking(False)
        return handle

    async def read_raw(self, handle):
        """Return all that comes until the connection ends, by a reset or in an orderly way."""
        reader, writer = await asyncio.open_connection(sock=handle)
        self.addCleanup(writer.close)
        return await self.read_all(reader)

    @asyncio_test
    async def test_connection_in_the_queue_of_the_kernel_is_served(self):
        """Guards against a request that is reset as its connection was not accepted yet."""
        handles = [self.connect_at_once(HEAD % b"/whole") for _ in range(40)]
        await self.drain()
        answers = [await self.read_raw(handle) for handle in handles]
        self.assertEqual([answer for answer in answers if b" 200 " not in answer], [])

    @asyncio_test
    async def test_new_connection_may_still_send_its_first_request(self):
        """Guards against a connection that is closed before its caller's request has come."""
        reader, writer = await self.open()
        await self.until(lambda: self.server.connections)
        draining = asyncio.ensure_future(self.drain())
        await asyncio.sleep(0.02)
        writer.write(HEAD % b"/whole")
        self.assertIn(b" 200 ", await self.read_all(reader))
        self.assertTrue(await draining)

    @asyncio_test
    async def test_request_that_has_come_on_a_kept_connection_is_answered(self):
        """Guards against a request that is reset unread, though it came before the close."""
        handle = self.connect_at_once(HEAD % b"/whole")
        await self.until(lambda: any(one.requests for one in self.server.connections))
        await asyncio.sleep(0.05)
        self.assertIn(b" 200 ", handle.recv(65536))
        handle.sendall(HEAD % b"/whole")
        self.server.close_after_answers()
        self.server.close_idle()
        self.assertIn(b" 200 ", await self.read_raw(handle))

    @asyncio_test
    async def test_new_connection_that_sends_nothing_does_not_hold_up_a_drain(self):
        """Guards against a drain that waits for a caller with nothing to ask."""
        reader, _ = await self.open()
        await self.until(lambda: self.server.connections)
        async with asyncio.timeout(1.0):
            self.assertTrue(await self.drain())
        self.assertEqual(await self.read_all(reader), b"")
