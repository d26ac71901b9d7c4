"""Tests of the target that sends without end."""

import asyncio

from twisted.trial.unittest import TestCase

from damaskwind.model.header_names import HeaderNames
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.endless_target import EndlessPart, EndlessTarget

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nx-request-id: r1\r\n\r\n"
ENOUGH_BYTES = 4 * 2**20


class EndlessTargetTest(TestCase):
    timeout = 20

    async def ask(self, **options):
        """Start a target, send it a request, and return both."""
        target = EndlessTarget(HeaderNames(), **options)
        address = await target.start()
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(REQUEST)
        return target, reader, writer

    @asyncio_test
    async def test_each_part_has_no_end_until_its_caller_closes(self):
        """Guards against a stand-in that ends by itself or outlives its caller."""
        for part in EndlessPart:
            target, reader, writer = await self.ask(parts=(part,), every=1)
            received = 0
            while received < ENOUGH_BYTES:
                data = await reader.read(65_536)
                self.assertTrue(data, part)
                received += len(data)
            writer.transport.abort()
            while target.in_progress():
                await asyncio.sleep(0.01)
            self.assertGreaterEqual(target.sent_bytes, ENOUGH_BYTES - 65_536)
            await target.stop()

    @asyncio_test
    async def test_rate_is_kept(self):
        """Guards against a stand-in that floods where a slow one is asked for."""
        target, reader, writer = await self.ask(
            parts=(EndlessPart.EVENT,), every=1, bytes_per_s=100_000
        )
        begun_s, received = read_clock(), 0
        while received < 50_000:
            received += len(await reader.read(65_536))
        self.assertGreater(read_clock() - begun_s, 0.4)
        writer.transport.abort()
        await target.stop()

    @asyncio_test
    async def test_other_requests_are_answered(self):
        """Guards against a stand-in whose sound requests fail too."""
        target, reader, writer = await self.ask(every=2)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        self.assertEqual(await reader.readexactly(5), b"whole")
        self.assertEqual(target.endless, 0)
        writer.write(REQUEST)
        await reader.readexactly(100_000)
        self.assertEqual(target.endless, 1)
        writer.transport.abort()
        await target.stop()
