"""Tests of answers without a length that end while their request is still being written."""

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.router.forwarding.tests.test_cut_heads_relayed import BehindRouterTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.early_target import EarlyEnd, EarlyTarget, answer_early
from damaskwind.standins.scripted_target import event

EVENTS = (b"content-type: text/event-stream",)
PART = b"x" * 2000
UPLOAD = b"y" * 1_000_000
AFTER_S = (0.0, 0.02, 0.3)
REPEATS = 2


class EarlyAnswersTestCase(ForwarderTestCase):
    """Callers that upload, and targets that answer before they have read the upload."""

    timeout = 60

    async def start(self):
        await super().start()
        for target in self.targets:
            await target.stop()
        self.targets = [EarlyTarget(NAMES) for _ in range(2)]
        for index, target in enumerate(self.targets):
            self.admit(f"t{index}", await target.start(), sequence=300)

    async def upload(self, body=UPLOAD):
        """Make one call; return the status, and whether the answer came to its end."""
        # So many failures would use up the budget of retries.
        self.forwarder._budgets.clear()
        connection = await self.connect()
        connection.send(self.request(body=body))
        head = await connection.read_head()
        try:
            while await connection.read_data() is not None:
                pass
        except AnswerBrokenError:
            return head.status, False
        return head.status, True

    def answer_when_read(self):
        """Have each target answer without a length once it has read the whole request."""
        for target in self.targets:
            target.script = [target.answer_when_read(PART)]

    async def ask_each(self, kind, body=PART, fields=(), **changes):
        """Return what callers get for each end of an early answer."""
        self.publish(route(kind, **changes))
        found = {}
        for end in EarlyEnd:
            for after_s in AFTER_S:
                for _ in range(REPEATS):
                    self.script(*[answer_early(body, end, after_s, fields)] * 9)
                    found.setdefault((end.value, after_s), []).append(await self.upload())
        return found

    def require_none_whole(self, found):
        whole = {name: answers for name, answers in found.items() if (200, True) in answers}
        self.assertEqual(whole, {})


class EarlyAnswersTest(EarlyAnswersTestCase):
    @asyncio_test
    async def test_answer_that_ends_during_its_upload_is_not_whole(self):
        """Guards against a part of an answer that gets a length."""
        for kind in (RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT):
            self.require_none_whole(await self.ask_each(kind))

    @asyncio_test
    async def test_stream_that_ends_during_its_upload_is_not_whole(self):
        found = await self.ask_each(RouteKind.STREAMING, event(1) + event(2), EVENTS)
        self.require_none_whole(found)

    @asyncio_test
    async def test_answer_to_an_upload_that_was_taken_is_whole(self):
        """Guards against a refusal of sound targets that answer without a length."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        for body in (b"{}", UPLOAD):
            for _ in range(REPEATS):
                self.answer_when_read()
                self.assertEqual(await self.upload(body), (200, True))

    @asyncio_test
    async def test_second_send_brings_no_part_of_an_answer(self):
        found = await self.ask_each(RouteKind.IDEMPOTENT, objective_s=0.01, max_attempts=3)
        self.require_none_whole(found)


class EarlyAnswersThroughAnotherRouterTest(EarlyAnswersTestCase, BehindRouterTestCase):
    @asyncio_test
    async def test_answer_that_ends_during_its_upload_is_not_whole(self):
        """Guards against another router that ends a part of an answer with a frame of its own."""
        for kind in (RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT):
            self.require_none_whole(await self.ask_each(kind))

    @asyncio_test
    async def test_stream_that_ends_during_its_upload_is_not_whole(self):
        found = await self.ask_each(RouteKind.STREAMING, event(1) + event(2), EVENTS)
        self.require_none_whole(found)

    @asyncio_test
    async def test_answer_to_an_upload_that_was_taken_is_whole(self):
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        for body in (b"{}", UPLOAD):
            self.answer_when_read()
            self.assertEqual(await self.upload(body), (200, True))
