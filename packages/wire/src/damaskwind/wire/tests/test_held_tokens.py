"""Tests that tokens travel in few bytes, and that processes of earlier versions still decode."""

import asyncio
from random import Random

import msgspec
from twisted.trial.unittest import TestCase

from damaskwind.decisions.load.request_cost import PromptPart
from damaskwind.decisions.load.token_sums import HeldTokens, TokenSum, TokenSums
from damaskwind.decisions.routing.peers import NO_PEER
from damaskwind.model.targets import Address
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.wire.news import News, NewsRequest, decode_news, decode_request, encode
from damaskwind.wire.news_link import NewsLink, NewsTiming

REQUEST = NewsRequest("router-17", "router", "0a1b2c3d", 812, 41, 1.0)
NEWS = News("0a1b2c3d", 812, 41, True, ("10.0.0.1",), 87, (), ())
HELD = tuple(
    HeldTokens(4_000_000_000 + number, 1_680, 1_300, (PromptPart(60_000, 10_512),))
    for number in range(5)
)
SUMS = TokenSums(
    tuple(TokenSum(4_000_000_000 + n, 84_000, 300_000, 9_000, bytes(20)) for n in range(30)),
    87,
    0.51,
)
# Encoded bytes of one target: in a report with one shared part, and in a sum with ten.
MAX_REPORT_BYTES, MAX_SUM_BYTES = 22, 42


def size_of(message):
    return len(encode(message))


class _Subscriber:
    """A subscriber that holds tokens at five engines and records what it receives."""

    def __init__(self):
        self.news = []

    def __getattr__(self, name):
        answers = {
            "table_digest": 0,
            "is_first": True,
            "peer_endpoint": NO_PEER,
            "known_peers_digest": 0,
            "is_cut_off": False,
        }
        return lambda *arguments: answers.get(name, ())

    def held_tokens(self, host):
        return HELD

    def handle_news(self, host, news):
        self.news.append(news)


class HeldTokensTest(TestCase):
    timeout = 10

    def test_messages_without_tokens_have_the_bytes_of_the_earlier_version(self):
        for message, known in ((REQUEST, 15), (NEWS, 17)):
            earlier = msgspec.msgpack.encode(tuple(message)[:known])
            self.assertEqual(encode(message), earlier)

    def test_tokens_survive_the_wire_within_their_budget(self):
        request, news = REQUEST._replace(held_tokens=HELD), NEWS._replace(held_tokens=SUMS)
        self.assertEqual(decode_request(encode(request)), request)
        self.assertEqual(decode_news(encode(news)), news)
        self.assertLessEqual(size_of(request) - size_of(REQUEST), MAX_REPORT_BYTES * len(HELD))
        self.assertLessEqual(size_of(news) - size_of(NEWS), MAX_SUM_BYTES * len(SUMS.targets))

    @asyncio_test
    async def test_replica_of_an_earlier_version_gets_no_tokens_until_it_has_restarted(self):
        """It refuses a longer request, and would otherwise be lost while versions are mixed.

        Once upgraded, it would never decide on shedding without the counts of all routers.
        """
        sizes = []

        async def answer(exchange):
            fields = msgspec.msgpack.decode(exchange.request.body)
            sizes.append(len(fields))
            is_upgraded = len(sizes) > 3
            news = NEWS._replace(epoch="upgraded") if is_upgraded else NEWS
            is_known = is_upgraded or len(fields) <= 15
            exchange.respond(Answer(200, [], encode(news)) if is_known else Answer(400, []))

        server, subscriber = HttpServer(answer, ServerLimits()), _Subscriber()
        address = Address("127.0.0.1", server.listen("127.0.0.1", 0))
        timing = NewsTiming(initial_backoff_s=0.01)
        link = NewsLink("r", "router", address, subscriber, Random(1), timing)
        try:
            link.start()
            while len(sizes) < 5:
                await asyncio.sleep(0.01)
        finally:
            await link.stop()
            await server.stop_listening()
            server.abort()
        full = len(NewsRequest._fields)
        self.assertEqual(sizes[:5], [full, 15, 15, 15, full])
