"""Tests of the bound on the connections of a site of Twisted."""

import asyncio

from twisted.internet import reactor
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.http1.connection_limit import ConnectionLimit
from damaskwind.runtime.limited_site import LimitedSite, listen_with_small_buffers

MAX_CONNECTIONS = 2
WAIT_S = 5.0
REQUEST = b"GET /%s HTTP/1.1\r\nhost: h\r\n\r\n"


class _Answers(Resource):
    """Answers at once, or never at `/held`."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request):  # noqa: N802
        return NOT_DONE_YET if request.path == b"/held" else b"ok"


class LimitedSiteTest(TestCase):
    timeout = 20

    def setUp(self):
        self.site = LimitedSite(_Answers(), ConnectionLimit("callers", MAX_CONNECTIONS))
        self.listening = listen_with_small_buffers(reactor, 0, self.site, interface="127.0.0.1")
        self.addCleanup(lambda: to_deferred(self.finish()))

    async def finish(self):
        await self.listening.stopListening().asFuture(asyncio.get_running_loop())
        await asyncio.sleep(0.05)

    async def open(self, data=b""):
        port = self.listening.getHost().port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def is_served(self):
        try:
            reader, _ = await self.open(REQUEST % b"now")
            return b" 200 " in await asyncio.wait_for(reader.readuntil(b"\r\n"), WAIT_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            return False

    async def fill(self, data=b""):
        opened = [await self.open(data) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(0.1)
        return opened

    @asyncio_test
    async def test_caller_is_kept_out_by_idle_connections(self):
        opened = await self.fill()
        self.assertTrue(await self.is_served())
        self.assertLessEqual(self.site.limit.open, MAX_CONNECTIONS)
        self.assertEqual(len(opened), MAX_CONNECTIONS)

    @asyncio_test
    async def test_request_in_hand_is_cut_for_another_connection(self):
        opened = await self.fill(REQUEST % b"held")
        self.assertFalse(await self.is_served())
        for reader, writer in opened:
            self.assertFalse(reader.at_eof())
            writer.close()
        await asyncio.sleep(0.1)
        self.assertTrue(await self.is_served())
