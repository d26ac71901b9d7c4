"""Tests of a replica's start: updates are served before the log is loaded."""

import tempfile
import time
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet import process
from damaskwind.control.fleet.process import FleetControl
from damaskwind.control.fleet.settings import FleetControlSettings
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import connect, fetch
from damaskwind.runtime.http1.messages import Request
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import free_addresses
from damaskwind.wire.news import NEWS_PATH, NewsRequest, SubscriberKind, decode_news, encode

# Import time of each module of the log on a VM with a quarter of a core.
IMPORT_S = 0.3
LIMIT_BYTES = 1 << 20


def slow_import(name, load=process.import_module):
    """Import a module, blocking the event loop as long as a small VM would."""
    time.sleep(IMPORT_S)
    return load(name)


class StartTest(TestCase):
    timeout = 30

    @asyncio_test
    async def test_updates_are_served_before_the_log_is_loaded(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        addresses = [parse_address(text) for text in free_addresses(3)]
        host, ports = addresses[0].host, [address.port for address in addresses]
        settings = FleetControlSettings("c", host, *ports, "d", "r", folder.name, (host,), True)
        replica = FleetControl(settings, lambda body: None, lambda calls, exchange: None)
        with patch.object(process, "import_module", slow_import):
            starting = process.asyncio.ensure_future(replica.start())
            await process.asyncio.sleep(0)
            asked_s = read_clock()
            connection = await connect(Address(host, settings.news_port), 1.0)
            body = encode(NewsRequest("r", SubscriberKind.ROUTER, "", 0, 0, 0.0))
            request = Request(b"POST", NEWS_PATH, [(b"host", b"c")], body)
            answer = await fetch(connection, request, LIMIT_BYTES)
            took_s = read_clock() - asked_s
            connection.abort()
            await starting
        await replica.stop()
        self.assertEqual(decode_news(answer.body).version, 0)
        self.assertLess(took_s, IMPORT_S)
