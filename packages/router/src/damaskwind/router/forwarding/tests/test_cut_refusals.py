"""Tests of refusals that are cut at each byte, on a router's own path."""

from damaskwind.model.traffic_configuration import RouteKind
from damaskwind.router.forwarding.tests.bench import NAMES, route
from damaskwind.router.forwarding.tests.cut_heads import ID_FIELD, CutHeadsTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.cut_answers import CutEnd, cut_after, framed_answers
from damaskwind.standins.scripted_target import plain


class RefusalsTest(CutHeadsTestCase):
    """Answers by which a target promises that it did not run a request."""

    def refusals(self):
        """Return a 503 and a 421 with a promise, and with fields that bind the target."""
        fields = (
            ID_FIELD,
            NAMES.not_run + b": 1",
            b"retry-after: 30",
            NAMES.leaving + b": 1",
            NAMES.target_load + b": 8,90,8",
        )
        return [
            answer
            for status in (b"503 x", b"421 x")
            for answer in framed_answers(b"\r\n".join(fields), b"refused", status)[:3:2]
        ]

    @asyncio_test
    async def test_refusal_that_is_cut_is_no_promise(self):
        """Guards against a request that runs twice on the strength of half an answer."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        for answer in self.refusals():
            for size in range(answer.head_bytes):
                for end in CutEnd:
                    cut = cut_after(answer.data[:size], end)
                    status, _ = await self.ask(cut, plain())
                    self.assertEqual((status, len(self.received())), (502, 1), answer.data[:size])

    @asyncio_test
    async def test_refusal_whose_body_is_cut_is_no_promise(self):
        for answer in self.refusals():
            for size in range(answer.head_bytes, len(answer.data)):
                for end in CutEnd:
                    await self.renew()
                    self.publish(route(RouteKind.NON_IDEMPOTENT))
                    cut = cut_after(answer.data[:size], end)
                    status, _ = await self.ask(cut, plain())
                    self.assertEqual((status, len(self.received())), (502, 1), answer.data[:size])

    @asyncio_test
    async def test_fields_of_a_head_that_never_ended_are_not_believed(self):
        """Guards against a target that is left alone for a pause that it did not ask for."""
        self.publish(route(RouteKind.NON_IDEMPOTENT))
        signals, loads = [], []
        states = self.forwarder.target_states
        self.patch(states, "record_signals", lambda target, found: signals.append(found))
        self.patch(states.loads, "observe_report", lambda *report: loads.append(report))
        for answer in self.refusals():
            for size in range(answer.head_bytes):
                await self.ask(cut_after(answer.data[:size], CutEnd.CLOSE))
        self.assertEqual((signals, loads), ([], []))
