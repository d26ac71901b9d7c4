"""Tests of what callers are told about the length and the end of an answer."""

import asyncio
import gzip

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.router.forwarding.tests.test_held_bytes import HeldBytesTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import cut_stream, event, plain, raw, stream, unframed

EVENTS = event(1) + event(2)


def bare(status, *fields, body=b""):
    """Return a step that writes a head with these fields, and then the body."""
    head = [b"HTTP/1.1 %d x" % status, NAMES.request_id + b": r1", *fields, b"", b""]
    return raw(b"\r\n".join(head) + body)


class AnswersWithoutBodyTest(ForwarderTestCase):
    """RFC 9110, section 8.6: such a length is that of the body which a GET would get."""

    async def length(self, method, step):
        """Return the content length that a caller is told."""
        self.share(step)
        connection = await self.connect()
        request = self.request(body=b"")
        connection.send(request._replace(method=method))
        head = await connection.read_head()
        self.assertEqual(await connection.read_body(100), b"")
        # The caller's connection must not wait for a body that never comes.
        self.assertTrue(connection.release())
        return header(head.headers, b"content-length")

    @asyncio_test
    async def test_answer_to_head_states_the_length_that_its_target_stated(self):
        """Guards against a length of 0 for what isn't empty."""
        self.assertEqual(await self.length(b"HEAD", bare(200, b"content-length: 1234")), b"1234")

    @asyncio_test
    async def test_answer_to_head_states_no_length_where_its_target_stated_none(self):
        for step in (bare(200), bare(200, b"transfer-encoding: chunked"), bare(404)):
            self.assertIsNone(await self.length(b"HEAD", step))

    @asyncio_test
    async def test_failure_that_is_passed_on_to_head_states_the_length_of_its_target(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.assertEqual(await self.length(b"HEAD", bare(500, b"content-length: 99")), b"99")

    @asyncio_test
    async def test_answers_without_content_state_no_length_of_their_own(self):
        """Guards against a length in a 204, which has none, and a wrong one in a 304."""
        self.assertIsNone(await self.length(b"GET", bare(204)))
        self.assertIsNone(await self.length(b"GET", bare(304)))
        self.assertEqual(await self.length(b"GET", bare(304, b"content-length: 55")), b"55")

    @asyncio_test
    async def test_answers_to_head_on_a_route_that_streams_state_no_wrong_length(self):
        self.publish(route(RouteKind.STREAMING))
        for step in (bare(200), bare(200, b"content-length: 1234")):
            self.assertIn(await self.length(b"HEAD", step), (None, b"1234"))
        self.assertIsNone(await self.length(b"GET", bare(204)))


class HeldAnswersWithoutBodyTest(HeldBytesTestCase, AnswersWithoutBodyTest):
    """The same where held bytes are accounted for."""


class StatedLengthTest(ForwarderTestCase):
    @asyncio_test
    async def test_bytes_after_the_stated_length_belong_to_no_answer(self):
        for body in (b"whole, and more", b"wholeHTTP/1.1 200 x\r\ncontent-length: 5\r\n\r\nother"):
            self.script(bare(200, b"content-length: 5", body=body))
            for number in range(4):
                answer = await self.call(request_id=b"r1" if number == 0 else b"s%d" % number)
                self.assertEqual((answer.status, answer.body), (200, b"whole"))

    @asyncio_test
    async def test_body_that_is_shorter_than_stated_comes_from_another_target(self):
        short = bare(200, b"content-length: 9", body=b"who")

        async def end_early(writer, request):
            await short(writer, request)
            raise ConnectionError("scripted end")

        self.share(end_early, plain())
        self.assertEqual((await self.call()).body, b"whole")
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        self.share(end_early)
        self.assertEqual((await self.call()).status, 502)


class EncodedStreamTest(ForwarderTestCase):
    @asyncio_test
    async def test_compressed_stream_is_not_searched_for_events(self):
        """Guards against a whole stream that is reset, since its bytes show no end of an event."""
        self.publish(route(RouteKind.STREAMING))
        body = gzip.compress(EVENTS, mtime=0)
        fields = (b"content-type: text/event-stream", b"content-encoding: gzip")
        for step in (plain(body=body, fields=fields), unframed(body, fields)):
            self.share(step)
            self.assertEqual((await self.call()).body, body)


class OldCallersTest(ForwarderTestCase):
    """Callers with HTTP/1.0, who take the orderly end of a connection for a whole answer."""

    async def read(self, *steps, is_resumable=False):
        """Return what a caller gets, and whether its connection ended in an orderly way."""
        kind = route(RouteKind.STREAMING, is_resumable=is_resumable)
        self.publish(kind)
        self.share(*steps)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        fields = b"host: host\r\nx-request-id: r1\r\nauthorization: Bearer key\r\n"
        writer.write(b"GET /a/x HTTP/1.0\r\n" + fields + b"\r\n")
        received, is_orderly = b"", True
        try:
            while data := await asyncio.wait_for(reader.read(65536), 3.0):
                received += data
        except ConnectionResetError:
            is_orderly = False
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head.lower())
        return body, is_orderly

    @asyncio_test
    async def test_whole_stream_ends_in_an_orderly_way(self):
        for step in (stream(1, 2), unframed(EVENTS)):
            self.assertEqual(await self.read(step), (EVENTS, True))

    @asyncio_test
    async def test_stream_that_is_broken_off_ends_with_a_reset(self):
        """Guards against an orderly end, which is the only sign of a whole answer here."""
        cuts = (cut_stream(1, 2), cut_stream(1, 2, b"id:"), unframed(EVENTS + b"id:"))
        for step in cuts:
            self.assertFalse((await self.read(step, step, is_resumable=False))[1])
            self.assertFalse((await self.read(step, step, is_resumable=True))[1])

    @asyncio_test
    async def test_stream_of_a_target_that_is_gone_ends_with_a_reset(self):
        async def exit_at_the_end(writer, request):
            try:
                await unframed(EVENTS)(writer, request)
            finally:
                for target in self.targets:
                    target.exit()

        self.assertFalse((await self.read(exit_at_the_end))[1])

    @asyncio_test
    async def test_stream_past_its_deadline_ends_with_a_reset(self):
        begun_s = read_clock()
        body, is_orderly = await self.read(stream(1, 9, 0.5))
        self.assertTrue(body.startswith(event(1)))
        self.assertFalse(is_orderly)
        self.assertLess(read_clock() - begun_s, 4.0)
