"""Tests of the log writer: order, bound, and a reader that doesn't keep up."""

import os

from twisted.trial.unittest import TestCase

from damaskwind.runtime.bounded_log import BoundedWriter
from damaskwind.runtime.bridge import asyncio_test


class BoundedWriterTest(TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self):
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                return data

    @asyncio_test
    async def test_flush_writes_lines_in_order(self):
        log = BoundedWriter(self.writer)
        log.write(b"one\n")
        log.write(b"two\n")
        log.flush()
        self.assertEqual(self.read(), b"one\ntwo\n")

    @asyncio_test
    async def test_stalled_reader_causes_dropped_lines_but_no_blocking(self):
        log = BoundedWriter(self.writer, limit_bytes=100_000)
        for _ in range(4000):
            log.write(b"x" * 99 + b"\n")
        log.flush()
        dropped = log.dropped_lines
        self.assertGreater(dropped, 0)
        received = self.read()
        log.flush()
        received += self.read()
        log.write(b"after\n")
        log.flush()
        received += self.read()
        self.assertIn(b'"count":%d' % dropped, received)
        self.assertTrue(received.endswith(b"after\n"))

    def test_without_a_loop_lines_are_written_at_once(self):
        log = BoundedWriter(self.writer)
        log.write(b"early\n")
        log.flush()
        self.assertEqual(self.read(), b"early\n")
