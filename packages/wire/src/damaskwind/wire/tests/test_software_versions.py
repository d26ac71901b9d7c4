"""Tests that targets' software versions reach only processes that can decode them."""

import asyncio
from random import Random

import msgspec
from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.news import (
    News,
    NewsRequest,
    TableCopy,
    decode_news,
    decode_request,
    decode_table,
    encode,
)
from damaskwind.wire.news_link import NewsLink, NewsTiming
from damaskwind.wire.tests.test_held_tokens import NEWS, REQUEST, _Subscriber

# The fields of a record before software versions were introduced, and of the messages with it.
RECORD_FIELDS = 12
REQUEST_FIELDS = 20
RECORD = TargetRecord("i-1", "s", Address("10.0.0.9", 80), "d", TargetPhase.SERVING, 4, 8)
VERSIONED = RECORD._replace(version="v1.1")
MESSAGES = (
    (REQUEST._replace(records=(VERSIONED,)), decode_request),
    (NEWS._replace(records=(VERSIONED, RECORD)), decode_news),
    (TableCopy((VERSIONED, RECORD), ()), decode_table),
)
# Bytes that a version of four characters adds to a record.
MAX_VERSION_BYTES = 5


def decode_fields(data, message):
    """Return the encoded fields of a message and of its records."""
    fields = msgspec.msgpack.decode(data)
    return fields, fields[type(message)._fields.index("records")]


class SoftwareVersionsTest(TestCase):
    timeout = 10

    def test_versions_survive_the_wire_within_their_budget(self):
        for message, decode in MESSAGES:
            encoded = encode(message, with_versions=True)
            self.assertEqual(decode(encoded), message)
            self.assertLessEqual(len(encoded) - len(encode(message)), MAX_VERSION_BYTES)

    def test_process_of_an_earlier_version_gets_records_that_it_can_decode(self):
        """Guards against a table that is refused whole because of a field that is not known."""
        for message, decode in MESSAGES:
            fields, records = decode_fields(encode(message), message)
            self.assertEqual({len(item) for item in records}, {RECORD_FIELDS})
            self.assertEqual({item.version for item in decode(encode(message)).records}, {""})
            if isinstance(message, TableCopy):
                self.assertEqual(len(fields), 2)

    def test_record_without_version_has_the_bytes_of_the_earlier_version(self):
        for message, _ in MESSAGES:
            message = message._replace(records=(RECORD,))
            _, records = decode_fields(encode(message, with_versions=True), message)
            self.assertEqual([len(item) for item in records], [RECORD_FIELDS])

    @asyncio_test
    async def test_replica_of_an_earlier_version_gets_no_versions_until_it_has_restarted(self):
        """It refuses a longer request, and would otherwise be lost while versions are mixed."""
        asked = []

        async def answer(exchange):
            fields, records = decode_fields(exchange.request.body, REQUEST)
            asked.append((len(fields) > REQUEST_FIELDS, len(records[0])))
            is_upgraded = len(asked) > 3
            news = NEWS._replace(epoch="upgraded") if is_upgraded else NEWS
            is_known = is_upgraded or asked[-1] == (False, RECORD_FIELDS)
            exchange.respond(Answer(200, [], encode(news)) if is_known else Answer(400, []))

        server, subscriber = HttpServer(answer, ServerLimits()), _Subscriber()
        subscriber.new_records = lambda: (VERSIONED,)
        address = Address("127.0.0.1", server.listen("127.0.0.1", 0))
        timing = NewsTiming(initial_backoff_s=0.01)
        link = NewsLink("r", "router", address, subscriber, Random(1), timing)
        try:
            link.start()
            while len(asked) < 5:
                await asyncio.sleep(0.01)
        finally:
            await link.stop()
            await server.stop_listening()
            server.abort()
        earlier, present = (False, RECORD_FIELDS), (True, RECORD_FIELDS + 1)
        self.assertEqual(asked[:5], [present, earlier, earlier, earlier, present])

    @asyncio_test
    async def test_upgraded_replica_is_asked_for_the_records_that_it_sent_without_versions(self):
        """Guards against versions that never come, since the router seems to have the records.

        The first answer after the restart is to a request of a router that hid that it knows them.
        """
        asked = []

        async def answer(exchange):
            fields, _ = decode_fields(exchange.request.body, REQUEST)
            request = dict(zip(NewsRequest._fields, fields, strict=False))
            knows_versions = request.get("knows_versions", False)
            asked.append((knows_versions, request["epoch"], request["revision"]))
            if len(asked) == 1:
                exchange.respond(Answer(400, []))
                return
            epoch = "upgraded" if len(asked) > 2 else "earlier"
            news = NEWS._replace(epoch=epoch, revision=7, records=(VERSIONED,))
            exchange.respond(Answer(200, [], encode(news, with_versions=knows_versions)))

        server, subscriber = HttpServer(answer, ServerLimits()), _Subscriber()
        address = Address("127.0.0.1", server.listen("127.0.0.1", 0))
        timing = NewsTiming(initial_backoff_s=0.01)
        link = NewsLink("r", "router", address, subscriber, Random(1), timing)
        try:
            link.start()
            while len(asked) < 5:
                await asyncio.sleep(0.01)
        finally:
            await link.stop()
            await server.stop_listening()
            server.abort()
        self.assertEqual(asked[2], (False, "earlier", 7))
        self.assertEqual(asked[3:5], [(True, "upgraded", 0), (True, "upgraded", 7)])

    def test_fields_are_added_at_the_end(self):
        """Guards against a field among those that a process of an earlier version decodes."""
        self.assertEqual(TargetRecord._fields[RECORD_FIELDS:], ("version",))
        self.assertEqual(NewsRequest._fields[REQUEST_FIELDS:], ("knows_versions", "brittle"))
        self.assertEqual(TableCopy._fields[2:], ("has_versions",))
        self.assertEqual(News._fields[20:], ("brittle",))
