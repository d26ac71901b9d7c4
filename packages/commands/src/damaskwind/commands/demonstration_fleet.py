"""Build the demonstration's fleet in one process: control replica, router and targets."""

import asyncio
import json
import shutil
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import treq

from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.control.process import ControlProcess, start_control
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
_ENGINE_COUNT = 3
_ANY_PORT = "127.0.0.1:0"
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_CONFIGURATION = Path(__file__).with_name("demonstration.toml")


def _node(name: str) -> dict[str, Any]:
    """Return the `[node]` table of one process."""
    return {
        "node_id": name,
        "cluster": "demo",
        "cluster_key": _CLUSTER_KEY,
        "region": "local",
        "failure_domain": _FAILURE_DOMAIN,
    }


def _control_settings(folder: Path) -> Settings:
    """Return the settings of the single control replica."""
    control = {
        "replica_address": _ANY_PORT,
        "operator_address": _ANY_PORT,
        "data_folder": str(folder / "control-1"),
        "bootstrap_replicas": [_replica("control-1", "127.0.0.1:0")],
        "bootstrap_operator_key_hash": hash_key(OPERATOR_KEY),
    }
    return check_settings({"node": _node("control-1"), "control": control})


def _router_settings(replica_address: str) -> Settings:
    """Return the router's settings."""
    router = {
        "http_address": _ANY_PORT,
        "datagram_address": _ANY_PORT,
        "peer_address": _ANY_PORT,
        "announce_key": _ANNOUNCE_KEY,
        "drain_delay_s": 0.0,
        "drain_limit_s": 5.0,
        "replicas": [_replica("control-1", replica_address)],
    }
    return check_settings({"node": _node("router-1"), "router": router})


def _replica(replica_id: str, address: str) -> dict[str, Any]:
    """Return the settings entry of a replica."""
    return {"replica_id": replica_id, "address": address, "failure_domain": _FAILURE_DOMAIN}


class DemonstrationFleet:
    """The processes of the demonstration, started and stopped together."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="damaskwind-demo-"))
        self._targets: list[EngineStandin | ServiceStandin] = []
        self.control: ControlProcess | None = None
        self.router: RouterProcess | None = None
        self.plan: dict[str, Any] = {}

    @property
    def url(self) -> str:
        """The base URL of the router, for callers and operators."""
        return f"http://{self.router.http_address}"

    async def start(self) -> None:
        """Start all processes, publish the configuration and wait until the router serves it."""
        self.control = await start_control(_control_settings(self._folder))
        self.router = await start_router(_router_settings(str(self.control.replica_address)))
        await self._wait_until("a leader", self._has_leader)
        await self._publish_configuration()
        await self._wait_until("the configuration in force", self._is_ready)
        await self._start_targets()
        await self._wait_until("all targets", self._has_all_targets)

    async def _publish_configuration(self) -> None:
        """Plan the configuration file and confirm the plan, as an operator would."""
        with _CONFIGURATION.open("rb") as file:
            intent = tomllib.load(file)
        planned = await self.request_control("POST", "/operator/v1/intents", intent)
        self.plan = planned["plan"]
        await self.request_control("POST", f"/operator/v1/plans/{self.plan['id']}/confirm")

    async def _start_targets(self) -> None:
        """Start the stand-ins, which announce themselves to the router."""
        announce = AnnounceSettings((str(self.router.http_address),), _ANNOUNCE_KEY)
        for number in range(1, _ENGINE_COUNT + 1):
            settings = EngineSettings(
                f"engine-{number}", failure_domain=_FAILURE_DOMAIN, announce=announce
            )
            self._targets.append(EngineStandin(settings))
        service = ServiceSettings("edge-1", failure_domain=_FAILURE_DOMAIN, announce=announce)
        self._targets.append(ServiceStandin(service))
        for target in self._targets:
            await target.start()

    async def _has_leader(self) -> bool:
        """Return whether the replica is a current leader."""
        return self.control.replica.is_current

    async def _is_ready(self) -> bool:
        """Return whether the router is ready for requests."""
        response = await to_future(treq.get(f"{self.url}/readyz"))
        await to_future(treq.content(response))
        return response.code == HTTPStatus.OK

    async def _has_all_targets(self) -> bool:
        """Return whether the router lists every target."""
        return len((await self.request_router("/operator/v1/targets"))["targets"]) == len(
            self._targets
        )

    async def _wait_until(self, what: str, holds: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds; raise `DamaskwindError` after `_READY_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _READY_TIMEOUT_S
        while not await holds():
            if loop.time() > deadline_s:
                raise DamaskwindError(f"timed out waiting for {what}")
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def request_router(self, path: str) -> dict[str, Any]:
        """Send a GET request to the router as an operator."""
        return await self._request("GET", f"{self.url}{path}", None)

    async def request_control(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Send a request to the control replica as an operator."""
        return await self._request(method, f"http://{self.control.operator_address}{path}", body)

    async def _request(self, method: str, url: str, body: Any) -> dict[str, Any]:
        """Send one request with the operator's key and return the JSON answer."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        call = treq.request(method, url, headers=headers, **({"json": body} if body else {}))
        response = await to_future(call)
        answer = await to_future(treq.content(response))
        if response.code >= HTTPStatus.BAD_REQUEST:
            raise DamaskwindError(f"{url}: {response.code} {answer.decode(errors='replace')}")
        return json.loads(answer)

    async def stop(self) -> None:
        """Stop all processes and remove the data folder."""
        if self.router is not None:
            await self.router.stop()
        for target in self._targets:
            await target.stop()
        if self.control is not None:
            await self.control.stop()
        shutil.rmtree(self._folder, ignore_errors=True)
