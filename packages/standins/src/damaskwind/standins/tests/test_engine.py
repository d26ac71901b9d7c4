"""Tests of the engine stand-in over HTTP: answers, cache, resume, cancel, orders, faults."""

import json
from typing import Any

import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss

from damaskwind.model.prefix import Message, ModelName, prefix_chain
from damaskwind.model.targets import FencingMode, TargetState
from damaskwind.runtime.bridge import asyncio_test, to_deferred, to_future
from damaskwind.standins.answers import expected_answer
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.faults import Fault
from damaskwind.standins.listening import Listener
from damaskwind.standins.settings import EngineSettings

_SETTINGS = EngineSettings("engine-1", token_interval_s=0.002, load_lag_s=0.0, event_delay_s=0.0)
_NAME = ModelName("damask", "1")


def _stream_text(body: bytes) -> str:
    """Return the text in a stream of events."""
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    choices = [choice for event in events for choice in json.loads(event)["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


class EngineTest(TestCase):
    """Call one engine by its protocol."""

    async def _start(self, settings: EngineSettings = _SETTINGS) -> EngineStandin:
        engine = EngineStandin(settings)
        await engine.start()
        self.addCleanup(lambda: _stop(engine))
        return engine

    async def _call(
        self, engine: EngineStandin, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[Any, bytes]:
        sent = {"x-model-version": "1"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        data = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        response = await to_future(
            treq.request(
                method,
                f"http://{engine.address}{path}",
                data=data,
                headers=sent,
                persistent=False,
            )
        )
        return response, await to_future(response.content())

    async def _chat(
        self, engine: EngineStandin, messages: list[Message], **extra: Any
    ) -> tuple[Any, bytes]:
        body = {"model": "damask", "messages": [m._asdict() for m in messages], "max_tokens": 5}
        return await self._call(
            engine, "POST", "/v1/chat/completions", body | extra, x_request_id="r1"
        )

    @asyncio_test
    async def test_answers_follow_from_the_request(self) -> None:
        engine = await self._start()
        messages = [Message("user", "which tag?")]
        expected = expected_answer(1, _NAME, messages, 5)
        response, whole = await self._chat(engine, messages)
        self.assertEqual(response.headers.getRawHeaders("x-request-id"), ["r1"])
        self.assertEqual(response.headers.getRawHeaders("x-capacity-tokens"), ["100000"])
        self.assertEqual(json.loads(whole)["choices"][0]["message"]["content"], expected)
        _, stream = await self._chat(engine, messages, stream=True)
        self.assertEqual(_stream_text(stream), expected)
        self.assertTrue(stream.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(stream.count(b'"content"'), 5)
        self.assertEqual(engine.oracle.runs_by_id["r1"], 2)

    @asyncio_test
    async def test_next_turn_finds_its_prompt_and_answer_cached(self) -> None:
        engine = await self._start()
        messages = [Message("system", "s" * 400), Message("user", "a" * 100)]
        _, first = await self._chat(engine, messages)
        usage = json.loads(first)["usage"]
        self.assertEqual(usage["prompt_tokens_details"]["cached_tokens"], 0)
        answer = json.loads(first)["choices"][0]["message"]["content"]
        turn = [*messages, Message("assistant", answer), Message("user", "more")]
        _, second = await self._chat(engine, turn)
        details = json.loads(second)["usage"]["prompt_tokens_details"]
        self.assertEqual(details["cached_tokens"], usage["total_tokens"] + 1)
        _, events = await self._call(engine, "GET", "/cache-events?after=0")
        digest = prefix_chain(_NAME, messages)[-1]
        self.assertIn(digest, [event["digest"] for event in json.loads(events)["events"]])

    @asyncio_test
    async def test_cache_moves_to_another_engine(self) -> None:
        source, target = await self._start(), await self._start()
        messages = [Message("user", "a" * 100)]
        await self._chat(source, messages)
        path = f"/kv/{prefix_chain(_NAME, messages)[-1]}"
        _, cache = await self._call(source, "GET", path)
        response, _ = await self._call(target, "PUT", path, cache)
        self.assertEqual(response.code, 204)
        _, answer = await self._chat(target, messages)
        usage = json.loads(answer)["usage"]
        self.assertEqual(usage["prompt_tokens_details"]["cached_tokens"], 26)

    @asyncio_test
    async def test_resume_streams_the_rest_and_unknown_id_is_404(self) -> None:
        engine = await self._start()
        messages = [Message("user", "resume")]
        await self._chat(engine, messages, stream=True)
        _, rest = await self._call(engine, "POST", "/v1/requests/r1/resume?from_token=3")
        expected = expected_answer(1, _NAME, messages, 5)
        self.assertEqual(_stream_text(rest), expected[12:])
        response, _ = await self._call(engine, "POST", "/v1/requests/none/resume?from_token=0")
        self.assertEqual(response.code, 404)

    @asyncio_test
    async def test_cancel_frees_the_load(self) -> None:
        engine = await self._start(_SETTINGS._replace(token_interval_s=0.05))
        messages = [Message("user", "long")]
        chat = self._chat(engine, messages, stream=True, max_tokens=1000)
        pending = start_call(chat)
        await until(lambda: engine.batch.load().load_tokens > 0)
        response, _ = await self._call(engine, "DELETE", "/v1/requests/r1")
        self.assertEqual(response.code, 204)
        self.assertEqual(engine.batch.load().load_tokens, 0)
        self.assertEqual(engine.oracle.events["cancelled"], 1)
        await engine.stop()
        with self.assertRaises((ResponseFailed, PotentialDataLoss)):
            await pending

    @asyncio_test
    async def test_old_fencing_number_is_refused_only_where_checked(self) -> None:
        wanted = {"models": [{"model": "damask", "version": "2"}], "role": "serving"}
        for mode, status in ((FencingMode.CHECKED, 409), (FencingMode.IGNORED, 200)):
            engine = await self._start(_SETTINGS._replace(fencing=mode))
            for number, expected in ((7, 200), (6, status)):
                order = {"fencing_number": number, "wanted": wanted}
                response, _ = await self._call(engine, "POST", "/orders", order)
                self.assertEqual(response.code, expected)
            self.assertEqual(engine.models[0].version, "2")

    @asyncio_test
    async def test_faults_hit_once_each(self) -> None:
        engine = await self._start()
        messages = [Message("user", "faults")]
        engine.faults.arm(Fault.REFUSE)
        response, _ = await self._chat(engine, messages)
        self.assertEqual(response.headers.getRawHeaders("x-verdict"), ["not-run"])
        self.assertEqual(engine.oracle.events["run"], 0)
        engine.faults.arm(Fault.OTHERS_ID)
        response, body = await self._chat(engine, messages)
        self.assertEqual(response.headers.getRawHeaders("x-request-id"), ["another"])
        engine.faults.arm(Fault.NO_END_MARKER)
        _, body = await self._chat(engine, messages, stream=True)
        self.assertNotIn(b"[DONE]", body)
        for fault in (Fault.RESET_AFTER_READ, Fault.CUT_ANSWER, Fault.WRONG_LENGTH):
            engine.faults.arm(fault)
            with self.assertRaises(ResponseFailed, msg=fault):
                await self._chat(engine, messages)
        self.assertEqual(engine.oracle.events["run"], 5)
        _, body = await self._chat(engine, messages, stream=True)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    @asyncio_test
    async def test_next_incarnation_uses_the_same_port(self) -> None:
        engine = await self._start()
        address, incarnation = engine.address, engine.announcer.incarnation
        await engine.stop()
        await engine.start_next_incarnation()
        self.assertEqual((engine.address, engine.announcer.incarnation), (address, incarnation + 1))
        response, _ = await self._chat(engine, [Message("user", "again")])
        self.assertEqual(response.code, 200)
        engine.leave()
        self.assertEqual(engine.announcer.next_announcement().state, TargetState.LEAVING)

    @asyncio_test
    async def test_reports_time_until_router_accepted_leave(self) -> None:
        engine = await self._start()
        engine.leave()
        self.assertIsNone(engine.leave_taken_after_s)
        app = Klein()
        app.route("/targets/v1/announcements", methods=["POST"])(
            lambda request: b'{"next_announcement_s": 2.0}'
        )
        router = Listener(reactor, app, "127.0.0.1", 0)
        router.start()
        self.addCleanup(lambda: to_deferred(router.stop()))
        engine.announcer.routers = [str(router.address)]
        engine.announcer.announce_now()
        await until(lambda: engine.leave_taken_after_s is not None)
        self.assertGreaterEqual(engine.leave_taken_after_s, 0.0)


def _stop(engine: EngineStandin) -> Any:
    """Stop an engine as a trial cleanup."""
    return to_deferred(engine.stop())


def start_call(coroutine: Any) -> Any:
    """Start a call as a task."""
    import asyncio

    return asyncio.ensure_future(coroutine)


async def until(condition: Any, deadline_s: float = 10.0) -> None:
    """Wait until a condition holds; fail after `deadline_s`."""
    end_s = reactor.seconds() + deadline_s
    while not condition():
        if reactor.seconds() > end_s:
            raise AssertionError("condition not met in time")
        await to_future(deferLater(reactor, 0.005, lambda: None))
