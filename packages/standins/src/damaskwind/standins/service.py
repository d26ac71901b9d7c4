"""A simulated plain service that counts how often each call ran.

A call is any method on any path. The answer is a function of the seed and the
call. The query may set the `size_bytes` of a filling and a `delay_s`.

    service = ServiceStandin(ServiceSettings("edge-1"))
    await service.start()
    service.oracle.runs_by_key
    await service.stop()
"""

import json
import random
from typing import Any

import xxhash
from klein import Klein
from twisted.internet.defer import Deferred

from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.standins.announcing import Announcer, announced_address
from damaskwind.standins.batching import LaggedLoad
from damaskwind.standins.faults import Fault, FaultPlan
from damaskwind.standins.listening import Listener, abort_connection
from damaskwind.standins.oracle import Oracle
from damaskwind.standins.replies import send_whole
from damaskwind.standins.settings import ServiceSettings
from damaskwind.standins.standin_control import install_control

__all__ = ["ServiceStandin", "expected_service_answer"]

_CAPACITY_REQUESTS = 64
_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
_ANSWER_FAULTS = (Fault.OTHERS_ID, Fault.CUT_ANSWER, Fault.WRONG_LENGTH, Fault.LATE_EXTRA)


def expected_service_answer(
    seed: int, method: str, path: str, body: bytes, size_bytes: int = 0
) -> dict[str, Any]:
    """Return the answer of a service with `seed` to a call, as a table.

    >>> expected_service_answer(1, "GET", "/purge", b"")["path"]
    '/purge'
    """
    digest = xxhash.xxh3_128_hexdigest(f"{seed}/{method}/{path}/".encode() + body)
    filling = (digest * (size_bytes // len(digest) + 1))[:size_bytes]
    return {"method": method, "path": path, "digest": digest, "filling": filling}


class ServiceStandin:
    """One target of a plain service on loopback; see the module for an example.

    While `requested_pause_s` is positive, calls are refused with that Retry-After. With
    `signals_leaving` every answer carries the header `x-leaving`.
    """

    def __init__(self, settings: ServiceSettings, reactor: Any = None) -> None:
        if reactor is None:
            from twisted.internet import reactor
        self.settings = settings
        self.oracle = Oracle()
        self._reactor = reactor
        self.faults = FaultPlan(random.Random(f"{settings.seed}/{settings.target_id}"))
        self._active_calls = 0
        self._lagged = LaggedLoad(settings.load_lag_s, self._load())
        self._leaving_since_s = float("inf")
        self.requested_pause_s = 0.0
        self.signals_leaving = False
        app = Klein()
        install_control(app, self)
        app.route("/", methods=_METHODS)(self._call)
        app.route("/<path:path>", methods=_METHODS)(self._call)
        self._listener = Listener(reactor, app, settings.host, settings.port)
        self.announcer = Announcer(
            reactor, settings.announce, self._make_announcement(), self._lagged_load
        )

    @property
    def address(self) -> Address:
        """Return the address of the service, which stays the same while it is down."""
        return self._listener.address

    def _load(self) -> LoadReport:
        """Return the current load, in active calls."""
        return LoadReport(self._active_calls, _CAPACITY_REQUESTS, self._active_calls, 0, 0.0)

    def _lagged_load(self) -> LoadReport:
        """Return the load as it was `load_lag_s` ago."""
        return self._lagged.read(self._reactor.seconds())

    def _make_announcement(self) -> TargetAnnouncement:
        """Return the template of the announcements."""
        settings = self.settings
        return TargetAnnouncement(
            target_id=settings.target_id,
            incarnation=0,
            sequence=0,
            kind=TargetKind.SERVICE,
            service=settings.service,
            failure_domain=settings.failure_domain,
            address=Address(settings.host, settings.port),
            state=TargetState.SERVING,
            lease_s=settings.announce.lease_s,
            load=self._load(),
        )

    async def start(self) -> None:
        """Start to listen and to announce."""
        self._listener.start()
        self.announcer.start(announced_address(self.settings, self.address))

    async def stop(self) -> None:
        """Stop at once, as in a crash: calls are cut off and no leave is announced."""
        self.announcer.stop()
        await self._listener.stop()

    async def start_next_incarnation(self, keep_cache: bool = True) -> None:
        """Start again on the same port as the next incarnation."""
        self._leaving_since_s = float("inf")
        self._listener.start()
        self.announcer.restart(announced_address(self.settings, self.address))

    @property
    def is_serving(self) -> bool:
        """Return whether the service is up and not leaving."""
        return self._listener.is_open and self._leaving_since_s == float("inf")

    def leave(self, quiet: bool = False) -> None:
        """Record the leave and announce it unless `quiet`; calls in progress continue."""
        if self._leaving_since_s == float("inf"):
            self._leaving_since_s = self._reactor.seconds()
        if quiet:
            return
        self.announcer.state = TargetState.LEAVING
        self.announcer.announce_now()

    @property
    def is_idle(self) -> bool:
        """Return whether no call is active."""
        return self._active_calls == 0

    def _call(self, request: Any, path: str = "") -> Any:
        """Handle a call: count it and answer after its duration."""
        leaving_for_s = self._reactor.seconds() - self._leaving_since_s
        self.oracle.record_arrival(request.getHeader("x-request-id") or "", leaving_for_s)
        if self.faults.consume(Fault.REFUSE):
            self.oracle.faults[Fault.REFUSE] += 1
            return self._refuse(request)
        if self.requested_pause_s:
            request.setHeader("retry-after", str(self.requested_pause_s))
            return self._refuse(request)
        body = request.content.read()
        self.oracle.record_run(
            request.getHeader("x-request-id") or "",
            request.getHeader("idempotency-key") or "",
            xxhash.xxh3_128_hexdigest(body),
        )
        for fault in (Fault.RESET_AFTER_READ, Fault.STALL):
            if self.faults.consume(fault):
                self.oracle.faults[fault] += 1
                if fault is Fault.RESET_AFTER_READ:
                    abort_connection(request)
                return Deferred()
        return self._answer_later(request, body)

    def _refuse(self, request: Any) -> bytes:
        """Refuse a call and report that it has not run."""
        self.oracle.count_event("refused")
        request.setResponseCode(503)
        request.setHeader("x-verdict", "not-run")
        return b""

    def _answer_later(self, request: Any, body: bytes) -> Deferred:
        """Answer a call after its duration; cancel the answer if the caller leaves."""
        delay_s = float(request.args.get(b"delay_s", [self.settings.call_duration_s])[0])
        done: Deferred = Deferred()
        self._change_active_calls(1)
        timer = self._reactor.callLater(delay_s, self._answer, request, body, done)

        def gone(failure: Any) -> None:
            self.oracle.count_event("caller_gone")
            if timer.active():
                timer.cancel()
                self._change_active_calls(-1)

        request.notifyFinish().addErrback(gone)
        return done

    def _change_active_calls(self, difference: int) -> None:
        """Adjust the number of active calls and record the load."""
        self._active_calls += difference
        self._lagged.record(self._reactor.seconds(), self._load())

    def _answer(self, request: Any, body: bytes, done: Deferred) -> None:
        """Send the answer, with the armed faults."""
        self._change_active_calls(-1)
        self.oracle.count_event("finished")
        faults = frozenset(fault for fault in _ANSWER_FAULTS if self.faults.consume(fault))
        self.oracle.faults.update(faults)
        request_id = request.getHeader("x-request-id") or ""
        size_bytes = int(request.args.get(b"size_bytes", [b"0"])[0])
        path = "/another" if Fault.OTHERS_ID in faults else request.path.decode()
        answer = expected_service_answer(
            self.settings.seed, request.method.decode(), path, body, size_bytes
        )
        request.setHeader("content-type", "application/json")
        request.setHeader("x-request-id", "another" if Fault.OTHERS_ID in faults else request_id)
        request.setHeader("x-target", self.settings.target_id)
        if self.signals_leaving:
            request.setHeader("x-leaving", "1")
        if send_whole(self._reactor, request, json.dumps(answer).encode(), faults):
            done.callback(None)
