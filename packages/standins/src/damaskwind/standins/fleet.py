"""Run many engines and plain services in one process.

    python -m damaskwind.standins.fleet SETTINGS.toml

The settings hold a `[fleet]` table, `[[fleet.engines]]` and
`[[fleet.services]]`. A control address serves the counts of all targets, the
load of every engine over time, and orders to single targets.
"""

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from damaskwind.model.checking import check_table
from damaskwind.model.exception import SettingsError
from damaskwind.standins.settings import AnnounceSettings, EngineSettings, ServiceSettings

__all__ = ["Fleet", "FleetSettings", "main", "read_fleet_settings"]


class FleetSettings(NamedTuple):
    """The stand-ins of one process; `announce` holds for all of them."""

    engines: tuple[EngineSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    announce: AnnounceSettings = AnnounceSettings()
    control_address: str = "127.0.0.1:0"
    sample_interval_s: float = 0.2
    ready_file: str = ""


def read_fleet_settings(path: Path) -> FleetSettings:
    """Read and check a settings file; raise `SettingsError` with every mistake."""
    raw = tomllib.loads(path.read_text(encoding="utf-8"))
    checked = check_table(raw.get("fleet"), FleetSettings, "fleet")
    if checked.mistakes:
        raise SettingsError(checked.mistakes)
    return checked.value


class Fleet:
    """A number of targets and the control address over them."""

    def __init__(self, settings: FleetSettings, reactor: Any) -> None:
        from klein import Klein
        from twisted.internet.task import LoopingCall

        from damaskwind.runtime.settings import parse_address
        from damaskwind.standins.listening import Listener

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
        self._sampler = LoopingCall(self._sample)
        self._sampler.clock = reactor

    def _add_engine(self, settings: EngineSettings) -> Any:
        """Add an engine without starting it."""
        from damaskwind.standins.engine import EngineStandin

        settings = settings._replace(announce=self.settings.announce)
        engine = EngineStandin(settings, self._reactor)
        self.targets[settings.target_id] = engine
        return engine

    def _add_service(self, settings: ServiceSettings) -> Any:
        """Add a plain service without starting it."""
        from damaskwind.standins.service import ServiceStandin

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
        if self.settings.ready_file:
            path = Path(self.settings.ready_file)
            partial = path.with_suffix(".partial")
            partial.write_text(json.dumps(self.addresses()), encoding="utf-8")
            partial.replace(path)

    async def stop(self) -> None:
        """Stop everything at once."""
        if self._sampler.running:
            self._sampler.stop()
        for target in self.targets.values():
            await target.stop()
        await self._listener.stop()

    def addresses(self) -> dict[str, Any]:
        """Return the bound addresses by name."""
        targets = {name: str(target.address) for name, target in self.targets.items()}
        return {"control_address": str(self._listener.address), "targets": targets}

    def _sample(self) -> None:
        """Note the load of every engine now."""
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
                "time_s": self._reactor.seconds(),
                "load_tokens": {name: load.load_tokens for name, load in loads.items()},
                "requests": {
                    name: load.running_requests + load.waiting_requests
                    for name, load in loads.items()
                },
                "largest_request_tokens": max(
                    (engine.batch.largest_tokens() for engine in engines.values()), default=0
                ),
                "down": [name for name, engine in engines.items() if not engine.is_serving],
                "load_by_user": by_user,
            }
        )

    def _install_routes(self, app: Any) -> None:
        """Add the control routes."""
        app.route("/oracle", methods=["GET"])(self._oracles)
        app.route("/samples", methods=["GET"])(self._shown_samples)
        app.route("/routers", methods=["POST"])(self._set_routers)
        app.route("/engines", methods=["POST"])(self._join)
        app.route("/targets/<target_id>/faults", methods=["POST"])(self._fault)
        app.route("/targets/<target_id>/life", methods=["POST"])(self._life)

    def _oracles(self, request: Any) -> bytes:
        """Return the counts of every target."""
        snapshots = {name: target.oracle.snapshot() for name, target in self.targets.items()}
        return json.dumps(snapshots).encode()

    def _shown_samples(self, request: Any) -> bytes:
        """Return the loads over time; `from` skips the first ones."""
        first = int(request.args.get(b"from", [b"0"])[0])
        return json.dumps(self.samples[first:]).encode()

    def _set_routers(self, request: Any) -> bytes:
        """Tell every target which routers the balancer now gives."""
        routers = json.loads(request.content.read())["routers"]
        for target in self.targets.values():
            target.announcer.routers = list(routers)
            target.announcer.announce_now()
        return b"{}"

    def _join(self, request: Any) -> Any:
        """Start one more engine and return its address."""
        from damaskwind.runtime.bridge import to_deferred

        checked = check_table(json.loads(request.content.read()), EngineSettings, "engine")
        if checked.mistakes:
            request.setResponseCode(400)
            return json.dumps({"mistakes": checked.mistakes}).encode()
        engine = self._add_engine(checked.value)
        routers = next(iter(self.targets.values())).announcer.routers
        engine.announcer.routers = list(routers)

        async def start() -> bytes:
            await engine.start()
            return json.dumps({"address": str(engine.address)}).encode()

        return to_deferred(start())

    def _fault(self, request: Any, target_id: str) -> bytes:
        """Arm a fault at one target."""
        from damaskwind.standins.standin_control import apply_fault

        apply_fault(self.targets[target_id], json.loads(request.content.read()))
        return b"{}"

    def _life(self, request: Any, target_id: str) -> Any:
        """Let one target leave, flap, stop or come back; answer at once."""
        from damaskwind.runtime.bridge import to_deferred
        from damaskwind.standins.standin_control import apply_life

        order = json.loads(request.content.read())
        to_deferred(apply_life(self.targets[target_id], order))
        return b"{}"


def main(arguments: list[str]) -> int:
    """Run the fleet of a settings file until SIGTERM."""
    from damaskwind.standins.serving import serve_until_signal

    settings = read_fleet_settings(Path(arguments[0]))
    return serve_until_signal(lambda reactor: Fleet(settings, reactor))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
