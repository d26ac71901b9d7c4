"""A simulated inference engine that serves chat completions.

`EngineStandin` implements the engine's side of `docs/PROTOCOLS.md` on loopback and
counts its work in `oracle`. It runs inside the caller's reactor:

    engine = EngineStandin(EngineSettings("engine-1"))
    await engine.start()
    engine.address
    await engine.stop()
"""

import json
import random
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from damaskwind.model.prefix import Message, ModelName, prefix_chain
from damaskwind.model.targets import (
    Address,
    LoadReport,
    ModelOffer,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.announcing import Announcer, announced_address
from damaskwind.standins.answers import answer_tokens, count_tokens
from damaskwind.standins.batching import Batch, Generation
from damaskwind.standins.cache_events import CacheEventLog
from damaskwind.standins.engine_management import answer_json, install_management
from damaskwind.standins.faults import Fault, FaultPlan
from damaskwind.standins.listening import Listener, abort_connection
from damaskwind.standins.oracle import Oracle
from damaskwind.standins.prefix_cache import CachedPrefix, PrefixCache
from damaskwind.standins.replies import ReplyOptions, stream_reply, whole_reply
from damaskwind.standins.settings import EngineSettings
from damaskwind.standins.standin_control import install_control

__all__ = ["EngineStandin", "canonical_messages"]

_EXPIRY_INTERVAL_S = 0.5
_ANSWER_FAULTS = (
    Fault.OTHERS_ID,
    Fault.OTHERS_TEXT,
    Fault.CUT_ANSWER,
    Fault.WRONG_LENGTH,
    Fault.NO_END_MARKER,
    Fault.LATE_EXTRA,
)


def canonical_messages(raw: list[dict[str, Any]]) -> list[Message]:
    """Return the messages of a body; content that is not a string becomes canonical JSON."""
    messages = []
    for message in raw:
        content = message.get("content", "")
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True, separators=(",", ":"))
        messages.append(Message(message["role"], content))
    return messages


def _header(request: Any, name: str) -> str:
    """Return a header of a request, or an empty string."""
    return request.getHeader(name) or ""


class EngineStandin:
    """One seeded engine on loopback; see the module for an example.

    While `requested_pause_s` is positive, chats are refused with that Retry-After. With
    `signals_leaving` every answer carries the header `x-leaving`.
    """

    def __init__(self, settings: EngineSettings, reactor: Any = None) -> None:
        if reactor is None:
            from twisted.internet import reactor
        self.settings = settings
        self.oracle = Oracle()
        self.reactor = reactor
        rng = random.Random(f"{settings.seed}/{settings.target_id}")
        self.faults = FaultPlan(rng)
        self.events = CacheEventLog(settings.event_delay_s, settings.event_loss_share, rng)
        self.cache = PrefixCache(settings.cache_tokens, self._record_event)
        self.batch = Batch(reactor, settings, self.cache)
        self._generations: dict[str, Generation] = {}
        self._expiry_loop = LoopingCall(self._expire_generations)
        self._expiry_loop.clock = reactor
        self.models: tuple[ModelOffer, ...] = settings.models
        self.role = "serving"
        self.highest_fencing_number = 0
        self._leaving_since_s = float("inf")
        self.requested_pause_s = 0.0
        self.signals_leaving = False
        app = Klein()
        self._install_routes(app)
        install_management(app, self)
        install_control(app, self)
        self._listener = Listener(reactor, app, settings.host, settings.port)
        self.announcer = Announcer(
            reactor, settings.announce, self._make_announcement(), self.batch.lagged_load
        )

    @property
    def address(self) -> Address:
        """Return the address of the engine, which stays the same while it is down."""
        return self._listener.address

    def _make_announcement(self) -> TargetAnnouncement:
        """Return the template of the announcements."""
        settings = self.settings
        return TargetAnnouncement(
            target_id=settings.target_id,
            incarnation=0,
            sequence=0,
            kind=TargetKind.ENGINE,
            service=settings.service,
            failure_domain=settings.failure_domain,
            address=Address(settings.host, settings.port),
            state=TargetState.SERVING,
            lease_s=settings.announce.lease_s,
            load=LoadReport(0, settings.capacity_tokens, 0, 0, 0.0),
            models=settings.models,
            fencing=settings.fencing,
        )

    async def start(self) -> None:
        """Start to listen and to announce."""
        self._listener.start()
        self._expiry_loop.start(_EXPIRY_INTERVAL_S, now=False)
        self.announcer.start(announced_address(self.settings, self.address))

    async def stop(self) -> None:
        """Stop at once, as in a crash: requests are cut off and no leave is announced."""
        self.announcer.stop()
        if self._expiry_loop.running:
            self._expiry_loop.stop()
        self.batch.stop()
        self._generations.clear()
        await self._listener.stop()

    async def start_next_incarnation(self, keep_cache: bool = True) -> None:
        """Start again on the same port as the next incarnation."""
        if not keep_cache:
            self.cache.clear()
        self._leaving_since_s = float("inf")
        self._listener.start()
        self._expiry_loop.start(_EXPIRY_INTERVAL_S, now=False)
        self.announcer.restart(announced_address(self.settings, self.address))

    def leave(self, quiet: bool = False) -> None:
        """Announce the leave; requests in progress continue.

        A quiet leave is recorded but not announced. Routers keep sending work,
        which simulates routers that ignore a leave.
        """
        if self._leaving_since_s == float("inf"):
            self._leaving_since_s = self.reactor.seconds()
        if quiet:
            return
        self.announcer.state = TargetState.LEAVING
        self.announcer.announce_now()

    @property
    def is_serving(self) -> bool:
        """Return whether the engine is up and not leaving."""
        return self._listener.is_open and self._leaving_since_s == float("inf")

    @property
    def leave_taken_after_s(self) -> float | None:
        """Return the time from the leave until a router accepted it, or `None` before that."""
        taken_s = self.announcer.leaving_accepted_s
        return None if taken_s is None else round(taken_s - self._leaving_since_s, 3)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is queued or running."""
        return self.batch.load().load_tokens == 0

    def _record_event(self, kind: str, prefix: CachedPrefix) -> None:
        """Record a cache event."""
        self.events.record(self.reactor.seconds(), kind, prefix)

    def _expire_generations(self) -> None:
        """Remove expired generations and cancel those that are unfinished."""
        now_s = self.reactor.seconds()
        for request_id, generation in list(self._generations.items()):
            if generation.expires_s <= now_s:
                del self._generations[request_id]
                if not generation.finished:
                    self.oracle.count_event("abandoned")
                    self.batch.cancel(generation)

    def _install_routes(self, app: Klein) -> None:
        """Add the routes for chats to the application."""
        app.route("/v1/chat/completions", methods=["POST"])(self._chat)
        app.route("/v1/requests/<request_id>/resume", methods=["POST"])(self._resume)
        app.route("/v1/requests/<request_id>", methods=["DELETE"])(self._cancel)

    def refuse(self, request: Any, status: int, message: str) -> bytes:
        """Refuse a request and report that it has not run."""
        self.oracle.count_event("refused")
        request.setResponseCode(status)
        request.setHeader("x-verdict", "not-run")
        return answer_json(request, {"error": {"message": message, "code": "refused"}})

    def _is_loaded(self, name: ModelName) -> bool:
        """Return whether a model, version and adapter are loaded."""
        return any(
            offer.model == name.model
            and offer.version == name.version
            and (not name.adapter or name.adapter in offer.adapters)
            for offer in self.models
        )

    def _chat(self, request: Any) -> Any:
        """Handle a chat request."""
        leaving_for_s = self.reactor.seconds() - self._leaving_since_s
        self.oracle.record_arrival(request.getHeader("x-request-id") or "", leaving_for_s)
        try:
            body = json.loads(request.content.read())
            messages = canonical_messages(body["messages"])
            name = ModelName(
                body["model"], _header(request, "x-model-version"), _header(request, "x-adapter")
            )
        except (ValueError, KeyError, TypeError):
            return self.refuse(request, 400, "malformed body")
        if self.role != "serving" or not self._is_loaded(name):
            return self.refuse(request, 404, "not loaded here")
        if self.faults.consume(Fault.REFUSE):
            self.oracle.faults[Fault.REFUSE] += 1
            return self.refuse(request, 503, "no room")
        if self.requested_pause_s:
            request.setHeader("retry-after", str(self.requested_pause_s))
            return self.refuse(request, 503, "wants no requests")
        generation = self._make_generation(request, body, name, messages)
        key = _header(request, "idempotency-key")
        self.oracle.record_run(generation.request_id, key, generation.chain[-1].digest)
        self._generations[generation.request_id] = generation
        return self._answer(request, body, generation)

    def _make_generation(
        self, request: Any, body: dict[str, Any], name: ModelName, messages: list[Message]
    ) -> Generation:
        """Return the generation that answers a chat."""
        requested_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        digests = prefix_chain(name, messages)
        size_tokens = int(requested_tokens or self.settings.default_answer_tokens)
        answer = answer_tokens(self.settings.seed, digests[-1], size_tokens)
        messages = [*messages, Message("assistant", "".join(answer))]
        digests = prefix_chain(name, messages)
        chain = [
            CachedPrefix(digest, count_tokens(message.content), parent)
            for digest, message, parent in zip(digests, messages, ["", *digests], strict=False)
        ]
        priority = int(_header(request, "x-priority") or 0)
        return Generation(
            _header(request, "x-request-id"), chain, answer, priority, str(body.get("user", ""))
        )

    def _consume_answer_faults(self) -> frozenset[Fault]:
        """Return the faults that hit the current answer, and count each as used."""
        hit = frozenset(fault for fault in _ANSWER_FAULTS if self.faults.consume(fault))
        self.oracle.faults.update(hit)
        return hit

    def _answer(self, request: Any, body: dict[str, Any], generation: Generation) -> Any:
        """Run a generation and send its answer, with the armed faults."""
        self.batch.submit(generation)
        for fault in (Fault.RESET_AFTER_READ, Fault.STALL):
            if self.faults.consume(fault):
                self.oracle.faults[fault] += 1
                if fault is Fault.RESET_AFTER_READ:
                    abort_connection(request)
                return self._track_end(request, generation, Deferred(), None)
        faults = self._consume_answer_faults()
        is_others = bool(faults & {Fault.OTHERS_ID, Fault.OTHERS_TEXT})
        size_tokens = len(generation.answer)
        limit_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        options = ReplyOptions(
            model=body["model"],
            reply_id="another" if Fault.OTHERS_ID in faults else generation.request_id,
            reply_tokens=(
                answer_tokens(self.settings.seed, "another", size_tokens)
                if is_others
                else generation.answer
            ),
            finish_reason="length" if limit_tokens else "stop",
            include_usage=bool((body.get("stream_options") or {}).get("include_usage")),
            timing_start_s=read_clock() if self.settings.show_timing else None,
            faults=faults,
        )
        self._set_headers(request, options.reply_id)
        reply = stream_reply if body.get("stream") else whole_reply
        done, detach = reply(self.reactor, request, generation, options)
        return self._track_end(request, generation, done, detach)

    def _set_headers(self, request: Any, reply_id: str) -> None:
        """Set the headers common to all answers."""
        load = self.batch.lagged_load()
        request.setHeader("x-request-id", reply_id)
        if self.signals_leaving:
            request.setHeader("x-leaving", "1")
        request.setHeader("x-load-tokens", str(load.load_tokens))
        request.setHeader("x-capacity-tokens", str(load.capacity_tokens))

    def _track_end(self, request: Any, generation: Generation, done: Deferred, detach: Any) -> Any:
        """Return `done`; the generation expires `resume_hold_s` after the answer is finished.

        If the caller disconnects first, it expires `resume_hold_s` after that.
        """

        def finished(result: Any) -> Any:
            generation.expires_s = self.reactor.seconds() + self.settings.resume_hold_s
            self.oracle.count_event("finished")
            return result

        def gone(failure: Any) -> None:
            generation.expires_s = self.reactor.seconds() + self.settings.resume_hold_s
            self.oracle.count_event("caller_gone")
            if detach is not None:
                detach()

        done.addCallback(finished)
        request.notifyFinish().addErrback(gone)
        return done

    def _resume(self, request: Any, request_id: str) -> Any:
        """Stream the rest of an answer whose generation has not expired."""
        generation = self._generations.get(request_id)
        from_token = int(request.args.get(b"from_token", [b"0"])[0])
        if generation is None or generation.cancelled or from_token > generation.produced_tokens:
            request.setResponseCode(404)
            return answer_json(request, {"error": {"message": "not held", "code": "not_held"}})
        self.oracle.count_event("resumed")
        generation.expires_s = float("inf")
        options = ReplyOptions(
            model=self.models[0].model if self.models else "",
            reply_id=request_id,
            reply_tokens=generation.answer,
            finish_reason="stop",
            include_usage=True,
            from_token=from_token,
            faults=self._consume_answer_faults(),
        )
        self._set_headers(request, request_id)
        done, detach = stream_reply(self.reactor, request, generation, options)
        return self._track_end(request, generation, done, detach)

    def _cancel(self, request: Any, request_id: str) -> None:
        """Cancel a generation; an unknown id is no error."""
        request.setResponseCode(204)
        generation = self._generations.pop(request_id, None)
        if generation is not None and not generation.finished:
            self.oracle.count_event("cancelled")
            self.batch.cancel(generation)
