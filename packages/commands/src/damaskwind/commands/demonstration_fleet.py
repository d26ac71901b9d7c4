"""Build the demonstration's fleet in one process: router, engines, a plain service."""

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from typing import Any

import treq

from damaskwind.model.exception import DamaskwindError
from damaskwind.router.process import RouterProcess, start_router
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.settings import Settings, check_settings
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.service import ServiceStandin
from damaskwind.standins.settings import AnnounceSettings, EngineSettings, ServiceSettings

__all__ = ["CALLER_KEY", "OPERATOR_KEY", "DemonstrationFleet"]

CALLER_KEY = "demo-key"
OPERATOR_KEY = "demo-operator-key"
_ANNOUNCE_KEY = "demo-announce-key"
_CLUSTER_KEY = "demo-cluster-key"
_FAILURE_DOMAIN = "loopback"
_ENGINES = 3
_ANY_PORT = "127.0.0.1:0"
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05
_CONFIGURATION = Path(__file__).with_name("demonstration.toml")


def _node(name: str) -> dict[str, Any]:
    """Return the `[node]` table of one process of the fleet."""
    return {
        "node_id": name,
        "cluster": "demo",
        "cluster_key": _CLUSTER_KEY,
        "region": "local",
        "failure_domain": _FAILURE_DOMAIN,
    }


def _router_settings(folder: Path) -> Settings:
    """Return the router's settings."""
    router = {
        "http_address": _ANY_PORT,
        "datagram_address": _ANY_PORT,
        "peer_address": _ANY_PORT,
        "announce_key": _ANNOUNCE_KEY,
        "drain_delay_s": 0.0,
        "drain_limit_s": 5.0,
        "configuration_file": str(_CONFIGURATION),
    }
    return check_settings({"node": _node("router-1"), "router": router})


class DemonstrationFleet:
    """The parts of the demonstration, started and stopped together."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="damaskwind-demo-"))
        self._targets: list[EngineStandin | ServiceStandin] = []
        self.router: RouterProcess | None = None

    @property
    def url(self) -> str:
        """Return where callers and operators reach the router."""
        return f"http://{self.router.http_address}"

    async def start(self) -> None:
        """Start every part and wait until the router knows its targets."""
        self.router = await start_router(_router_settings(self._folder))
        await self._start_targets()
        await self._wait_for_targets()

    async def _start_targets(self) -> None:
        """Start the stand-ins; they announce themselves to the router."""
        announce = AnnounceSettings((str(self.router.http_address),), _ANNOUNCE_KEY)
        for number in range(1, _ENGINES + 1):
            settings = EngineSettings(
                f"engine-{number}", failure_domain=_FAILURE_DOMAIN, announce=announce
            )
            self._targets.append(EngineStandin(settings))
        service = ServiceSettings("edge-1", failure_domain=_FAILURE_DOMAIN, announce=announce)
        self._targets.append(ServiceStandin(service))
        for target in self._targets:
            await target.start()

    async def _wait_for_targets(self) -> None:
        """Wait until the router lists every target, or fail after a while."""
        deadline_s = asyncio.get_running_loop().time() + _READY_TIMEOUT_S
        while len((await self.ask("/operator/v1/targets"))["targets"]) < len(self._targets):
            if asyncio.get_running_loop().time() > deadline_s:
                raise DamaskwindError("the targets did not show up at the router in time")
            await asyncio.sleep(_POLL_S)

    async def ask(self, path: str) -> dict[str, Any]:
        """Ask the router something as an operator."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        response = await to_future(treq.get(f"{self.url}{path}", headers=headers))
        body = await to_future(treq.content(response))
        if response.code != 200:
            raise DamaskwindError(f"{path}: {response.code} {body.decode(errors='replace')}")
        return json.loads(body)

    async def stop(self) -> None:
        """Stop every part and remove the folder."""
        if self.router is not None:
            await self.router.stop()
        for target in self._targets:
            await target.stop()
        shutil.rmtree(self._folder, ignore_errors=True)
