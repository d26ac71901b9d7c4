"""Tests of answers through another router that are cut at each byte, on either part of the way."""

from collections import Counter
from random import Random

from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.attempt_relay import AttemptRelay
from damaskwind.router.forwarding.forwarder import Forwarder
from damaskwind.router.forwarding.peer_links import PeerLinks
from damaskwind.router.forwarding.tests.bench import NAMES, route
from damaskwind.router.forwarding.tests.cut_heads import (
    ANSWERS,
    BODY,
    BROKEN,
    ID_FIELD,
    MAY_HAVE_RUN,
    CutHeadsTestCase,
)
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.tallies import Tallies
from damaskwind.standins.cut_answers import CutEnd, cut_after, framed_answers, in_packets
from damaskwind.standins.scripted_target import ScriptedTarget, plain

KEY = "key"
HOST = "127.0.0.1"
OTHER = PeerEndpoint(HOST, KEY, "domain")


class CutOnTheWayTestCase(CutHeadsTestCase):
    """A router that sends all requests through another one, at `peer_port`."""

    async def start(self):
        await super().start()
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.view.peers = (OTHER,)
        links = PeerLinks(self.view, await self.start_peer(), "domain", {}, Random(1))
        self.addCleanup(lambda: to_deferred(links.close()))
        reach = self.forwarder.target_states.reach
        reach.attach(links)
        self.patch(reach, "is_relayed", lambda target: True)
        self.patch(links, "choose", lambda *arguments: OTHER)
        # The other router runs on and says that the targets do, so that each cut is tried.
        self.patch(self.connections, "watch", lambda target_id, address: None)
        self.patch(links, "check", lambda peer: None)
        self.patch(links, "confirm", self.confirm)

    async def confirm(self, target):
        return True


class BehindRouterTestCase(CutOnTheWayTestCase):
    """The other router reaches the targets itself."""

    async def start_peer(self):
        """Start the other router, which reaches the same targets itself."""
        self.view.own_peer = OTHER
        other = Forwarder(
            self.view,
            self.connections,
            NAMES,
            "domain",
            self.forwarder._budget_terms,
            1.2,
            Random(1),
        )
        self.relay = AttemptRelay(other.target_states, other.sender, NAMES, "r2", Tallies())
        self.internal = HttpServer(self.relay.forward, ServerLimits())
        self.addCleanup(self.internal.abort)
        return self.internal.listen(HOST, 0)


class CutTargetBehindRouterTest(BehindRouterTestCase):
    """The target's answer is cut, which the other router sees."""

    @asyncio_test
    async def test_answer_of_a_target_that_is_cut_at_any_byte_is_not_whole(self):
        """Guards against another router that ends half an answer with a frame of its own."""
        for answer in ANSWERS:
            self.assertEqual(await self.ask(in_packets(answer.data)), (200, BODY), answer.name)
        statuses = await self.ask_cut(ANSWERS[:3:2])
        self.assertEqual({(status, sends) for status, _, sends in statuses}, {(502, 1)}, statuses)

    @asyncio_test
    async def test_stream_of_a_target_that_is_cut_at_any_byte_is_not_whole(self):
        self.publish(route(RouteKind.STREAMING))
        statuses = await self.ask_cut(ANSWERS[2:3])
        self.assertLessEqual({status for status, *_ in statuses}, MAY_HAVE_RUN)

    @asyncio_test
    async def test_refusal_of_a_target_that_is_cut_is_no_promise(self):
        fields = b"\r\n".join((ID_FIELD, NAMES.not_run + b": 1", b"retry-after: 9"))
        refusals = [
            answer
            for status in (b"503 x", b"421 x")
            for answer in framed_answers(fields, b"refused", status)[:1]
        ]
        statuses = Counter()
        for answer in refusals:
            for size in range(answer.head_bytes):
                status, _ = await self.ask(cut_after(answer.data[:size], CutEnd.CLOSE), plain())
                statuses[status, len(self.received())] += 1
        self.assertEqual(set(statuses), {(502, 1)}, statuses)


class CutRouterTest(CutOnTheWayTestCase):
    """The other router's own answer is cut; a stand-in speaks for it."""

    async def start_peer(self):
        self.router = ScriptedTarget(NAMES)
        self.addCleanup(lambda: to_deferred(self.router.stop()))
        self.router.health_path = b"-"
        return (await self.router.start()).port

    async def send(self, *steps):
        """Return the status of a call, and how often the other router got it."""
        self.router.script = list(steps)
        self.router.received.clear()
        status, _ = await self.ask()
        return status, len(self.router.received)

    async def cut_each(self, answers, end_of=lambda answer: len(answer.data)):
        statuses = Counter()
        for answer in answers:
            for size in range(end_of(answer)):
                for end in CutEnd:
                    statuses[await self.send(cut_after(answer.data[:size], end))] += 1
        return statuses

    @asyncio_test
    async def test_answer_of_a_router_that_is_cut_at_any_byte_is_not_whole(self):
        for status_field in (b"proxy-status: r2", b"proxy-status: r2; unframed"):
            answers = framed_answers(status_field + b"\r\n" + ID_FIELD, BODY)[:3]
            for answer in answers:
                self.assertEqual(await self.send(in_packets(answer.data)), (200, 1))
            statuses = await self.cut_each(answers[:1])
            self.assertEqual(set(statuses), {(502, 1)}, statuses)

    @asyncio_test
    async def test_failure_that_a_router_states_is_no_promise_if_it_is_cut(self):
        """Guards against a request that is sent again since half an answer says it did not run."""
        for status, error in (
            (b"503 x", b"connection_refused"),
            (b"407 x", b"http_request_denied"),
        ):
            field = b"proxy-status: r2; error=" + error
            answers = framed_answers(field, b"text", status)[:3:2]
            statuses = await self.cut_each(answers)
            self.assertEqual(set(statuses), {(502, 1)}, statuses)

    @asyncio_test
    async def test_answer_of_a_router_without_a_frame_is_not_whole(self):
        """Guards against a stream that ended early; a router frames all that it passes on."""
        for fields in (b"", b"content-type: text/event-stream\r\n"):
            head = b"HTTP/1.1 200 x\r\nproxy-status: r2\r\n%s\r\n%s\r\n\r\n" % (fields, ID_FIELD)
            for data in (head, head + BODY):
                status, sends = await self.send(cut_after(data, CutEnd.CLOSE))
                self.assertIn(status, (502, BROKEN))
                self.assertEqual(sends, 1)

    @asyncio_test
    async def test_answer_of_a_router_that_is_cut_after_a_pause_is_not_whole(self):
        answer = framed_answers(b"proxy-status: r2\r\n" + ID_FIELD, BODY)[0]
        for pause_s in (0.1, 0.5, 1.0):
            for end in CutEnd:
                for size in (17, 60):
                    status, sends = await self.send(cut_after(answer.data[:size], end, pause_s))
                    self.assertIn(status, MAY_HAVE_RUN)
                    self.assertEqual(sends, 1)
