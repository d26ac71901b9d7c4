"""A fleet of engines and plain services with one control address."""

import json
from typing import Any

from klein import Klein
from twisted.internet.task import LoopingCall

from damaskwind.model.checking import check_table
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.files import write_ready_file
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.engine_management import answer_json
from damaskwind.standins.fleet import FleetSettings
from damaskwind.standins.listening import Listener
from damaskwind.standins.service import ServiceStandin
from damaskwind.standins.settings import EngineSettings, ServiceSettings
from damaskwind.standins.standin_control import apply_fault, apply_lifecycle

__all__ = ["Fleet"]


class Fleet:
    """The targets of one process and their control address."""

    def __init__(self, settings: FleetSettings, reactor: Any) -> None:
        self.settings = settings
        self._reactor = reactor
        self.targets: dict[str, Any] = {}
        self.samples: list[dict[str, Any]] = []
        for engine in settings.engines:
            self._add_engine(engine)
        for service in settings.services:
            self._add_service(service)
        app = Klein()
        self._install_routes(app)
        host, port = parse_address(settings.control_address)
        self._listener = Listener(reactor, app, host, port)
        self._sampler = LoopingCall(self._record_sample)
        self._sampler.clock = reactor

    def _add_engine(self, settings: EngineSettings) -> Any:
        """Add an engine without starting it."""
        settings = settings._replace(announce=self.settings.announce)
        engine = EngineStandin(settings, self._reactor)
        self.targets[settings.target_id] = engine
        return engine

    def _add_service(self, settings: ServiceSettings) -> Any:
        """Add a plain service without starting it."""
        settings = settings._replace(announce=self.settings.announce)
        service = ServiceStandin(settings, self._reactor)
        self.targets[settings.target_id] = service
        return service

    async def start(self) -> None:
        """Start every target and the control address, then write the ready file."""
        for target in self.targets.values():
            await target.start()
        self._listener.start()
        self._sampler.start(self.settings.sample_interval_s)
        write_ready_file(self.settings.ready_file, self.addresses())

    async def stop(self) -> None:
        """Stop the targets and the control address at once."""
        if self._sampler.running:
            self._sampler.stop()
        for target in self.targets.values():
            await target.stop()
        await self._listener.stop()

    def addresses(self) -> dict[str, Any]:
        """Return the bound addresses by name."""
        targets = {name: str(target.address) for name, target in self.targets.items()}
        return {"control_address": str(self._listener.address), "targets": targets}

    def _record_sample(self) -> None:
        """Record the load of every engine, with the time of the clock shared by all processes."""
        engines = {
            name: target for name, target in self.targets.items() if hasattr(target, "batch")
        }
        loads = {name: engine.batch.load() for name, engine in engines.items()}
        by_user: dict[str, dict[str, int]] = {}
        for name, engine in engines.items():
            for user, load_tokens in engine.batch.load_by_user().items():
                by_user.setdefault(user, {})[name] = load_tokens
        self.samples.append(
            {
                "time_s": read_clock(),
                "load_tokens": {name: load.load_tokens for name, load in loads.items()},
                "requests": {
                    name: load.running_requests + load.waiting_requests
                    for name, load in loads.items()
                },
                "largest_request_tokens": max(
                    (engine.batch.max_initial_work_tokens() for engine in engines.values()),
                    default=0,
                ),
                "down": [name for name, engine in engines.items() if not engine.is_serving],
                "load_by_user": by_user,
            }
        )

    def _install_routes(self, app: Any) -> None:
        """Add the control routes."""
        app.route("/oracle", methods=["GET"])(self._list_oracles)
        app.route("/samples", methods=["GET"])(self._list_samples)
        app.route("/leave", methods=["POST"])(self._leave_all)
        app.route("/routers", methods=["POST"])(self._set_routers)
        app.route("/engines", methods=["POST"])(self._start_engine)
        app.route("/targets/<target_id>/faults", methods=["POST"])(self._arm_fault)
        app.route("/targets/<target_id>/life", methods=["POST"])(self._change_lifecycle)

    def _list_oracles(self, request: Any) -> bytes:
        """Return the oracle counts of every target."""
        snapshots = {name: target.oracle.snapshot() for name, target in self.targets.items()}
        for name, target in self.targets.items():
            snapshots[name]["leave_taken_after_s"] = getattr(target, "leave_taken_after_s", None)
        return answer_json(request, snapshots)

    def _list_samples(self, request: Any) -> bytes:
        """Return the load samples, starting at index `from`."""
        first = int(request.args.get(b"from", [b"0"])[0])
        return answer_json(request, self.samples[first:])

    def _leave_all(self, request: Any) -> Any:
        """Make every serving target leave; answer once a router has accepted each leave."""

        async def leave() -> bytes:
            up = [target for target in self.targets.values() if target.is_serving]
            for target in up:
                target.leave()
            for target in up:
                await target.announcer.wait_until_leaving_accepted()
            return answer_json(request, {})

        return to_deferred(leave())

    def _set_routers(self, request: Any) -> bytes:
        """Set the routers to which all targets announce themselves."""
        routers = json.loads(request.content.read())["routers"]
        for target in self.targets.values():
            target.announcer.routers = list(routers)
            target.announcer.announce_now()
        return answer_json(request, {})

    def _start_engine(self, request: Any) -> Any:
        """Start another engine and return its address."""
        checked = check_table(json.loads(request.content.read()), EngineSettings, "engine")
        if checked.mistakes:
            request.setResponseCode(400)
            return answer_json(request, {"mistakes": checked.mistakes})
        engine = self._add_engine(checked.value)
        routers = next(iter(self.targets.values())).announcer.routers
        engine.announcer.routers = list(routers)

        async def start() -> bytes:
            await engine.start()
            return answer_json(request, {"address": str(engine.address)})

        return to_deferred(start())

    def _arm_fault(self, request: Any, target_id: str) -> bytes:
        """Arm a fault at one target."""
        apply_fault(self.targets[target_id], json.loads(request.content.read()))
        return answer_json(request, {})

    def _change_lifecycle(self, request: Any, target_id: str) -> Any:
        """Make one target leave, flap, stop or come back; answer without waiting for it."""
        command = json.loads(request.content.read())
        to_deferred(apply_lifecycle(self.targets[target_id], command))
        return answer_json(request, {})
