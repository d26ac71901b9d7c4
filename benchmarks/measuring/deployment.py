"""Start one of the deployments under `examples/` on loopback.

The settings files are those an operator would copy; only addresses, files and
keys are replaced. Router processes and one process of stand-ins are real.
"""

import asyncio
import hashlib
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import treq

from benchmarks.measuring.calendar_load import LoadPlan
from damaskwind.model.prefix import ModelName
from damaskwind.runtime.bridge import to_future
from damaskwind.standins.harness import DaemonProcess, Harness, wait_until
from damaskwind.standins.settings_text import to_toml

__all__ = ["DEPLOYMENTS", "Deployment", "DeploymentProfile", "ask"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
ANY_PORT = "127.0.0.1:0"
OPERATOR = "watch"
_READY_DEADLINE_S = 30.0


class DeploymentProfile(NamedTuple):
    """What the load of a deployment looks like; `paths` are of its plain service."""

    workshop: str
    large: tuple[str, ...]
    version: str
    adapter: str
    turns_per_s: float
    service: str
    paths: dict[str, str]


DEPLOYMENTS: dict[str, DeploymentProfile] = {
    "kenanga": DeploymentProfile(
        workshop="field-klang",
        large=("audit-central", "procurement", "stocktake"),
        version="3",
        adapter="",
        turns_per_s=12.0,
        service="inventory-api",
        paths={"status": "/status", "once": "/tags"},
    ),
    "may-tinh": DeploymentProfile(
        workshop="workshop-hanoi",
        large=("docs-assistant", "site-migration", "alt-text"),
        version="2",
        adapter="",
        turns_per_s=10.0,
        service="edge-api",
        paths={"status": "/deploys", "once": "/migrations"},
    ),
}


async def ask(method: str, url: str, body: Any = None, key: str = "") -> Any:
    """Make one HTTP call and return its JSON, or its text."""
    headers = {"authorization": f"Bearer {key}"} if key else {}
    call = treq.request(
        method, f"http://{url}", json=body, headers=headers, persistent=False, timeout=10
    )
    response = await to_future(call)
    if "json" in (response.headers.getRawHeaders("content-type") or [""])[0]:
        return await to_future(response.json())
    return await to_future(response.text())


def _read(path: Path) -> dict[str, Any]:
    """Read a TOML file."""
    return tomllib.loads(path.read_text(encoding="utf-8"))


def _hash(key: str) -> str:
    """Return the hash under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """The running processes of one deployment."""

    def __init__(self, name: str, placement: str, folder: Path) -> None:
        self.name = name
        self.profile = DEPLOYMENTS[name]
        self.placement = placement
        self.harness = Harness(folder)
        self.routers: list[DaemonProcess] = []
        self.fleet: DaemonProcess | None = None
        self._source = EXAMPLES / name
        self._configuration = _read(self._source / "configuration.toml")
        self._fleet_table = _read(self._source / "standins.toml")["fleet"]
        self.keys = {account: f"key-of-{account}" for account in self._configuration["accounts"]}
        self.operator_key = f"key-of-{OPERATOR}"
        model = next(iter(self._configuration["models"]))
        self.model = ModelName(model, self.profile.version, self.profile.adapter)

    @property
    def engines(self) -> list[str]:
        """Return the engines that are there from the start."""
        return [engine["target_id"] for engine in self._fleet_table["engines"]]

    @property
    def engine_table(self) -> dict[str, Any]:
        """Return the settings of the first engine, the model of one that joins."""
        return self._fleet_table["engines"][0]

    @property
    def load_factor(self) -> float:
        """Return the factor that the configuration sets."""
        return self._configuration["policy"]["load_factor"]

    @property
    def control_bytes_per_s(self) -> int:
        """Return the budget that the configuration sets."""
        return self._configuration["policy"]["control_bytes_per_s"]

    def load_plan(self) -> LoadPlan:
        """Return who asks for what."""
        profile = self.profile
        return LoadPlan(
            accounts=tuple(self.keys),
            large=profile.large,
            workshop=profile.workshop,
            model=self.model,
            turns_per_s=profile.turns_per_s,
            answer_seed=self.engine_table.get("seed", 1),
            routers=len(list(self._source.glob("router-*.toml"))),
        )

    def call_paths(self) -> dict[str, str]:
        """Return the paths through a router of the plain service's calls."""
        root = f"/services/{self.profile.service}"
        return {use: f"{root}{path}" for use, path in self.profile.paths.items()}

    def _write_configuration(self) -> Path:
        """Write the configuration with the keys and the policy of this run."""
        table = self._configuration
        table["policy"]["placement"] = self.placement
        for account, fields in table["accounts"].items():
            fields["key_hashes"] = [_hash(self.keys[account])]
        table["operators"][OPERATOR]["key_hash"] = _hash(self.operator_key)
        path = self.harness.folder / "configuration.toml"
        path.write_text(to_toml(table), encoding="utf-8")
        return path

    async def start(self) -> None:
        """Start the routers, then the stand-ins, and wait until each knows the other."""
        configuration = self._write_configuration()
        first, *others = sorted(self._source.glob("router-*.toml"))
        self.routers = [await self._start_router(first, configuration, [])]
        seed = self.routers[0].ready.get("datagram_address")
        seeds = [seed] if seed else []
        starting = [self._start_router(path, configuration, seeds) for path in others]
        self.routers += await asyncio.gather(*starting)
        fleet = dict(self._fleet_table)
        fleet["announce"] = {**fleet["announce"], "routers": self.addresses()}
        self.fleet = await self.harness.start_fleet("fleet", fleet)
        await wait_until(self._all_known, _READY_DEADLINE_S, "knowledge of all targets")

    async def _start_router(
        self, path: Path, configuration: Path, seeds: list[str]
    ) -> DaemonProcess:
        """Start one router."""
        table = _read(path)
        table["router"] |= {
            "http_address": ANY_PORT,
            "datagram_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "seeds": seeds,
            "replicas": [],
            "state_file": "",
            "configuration_file": str(configuration),
            "drain_delay_s": 0.1,
        }
        return await self.harness.start_router(path.stem, table)

    def addresses(self) -> list[str]:
        """Return the routers' addresses towards callers."""
        return [router.ready["http_address"] for router in self.routers]

    async def _all_known(self) -> bool:
        """Tell whether every router knows every target."""
        expected = len(self._fleet_table["engines"]) + len(self._fleet_table["services"])
        for address in self.addresses():
            shown = await ask("GET", f"{address}/operator/v1/targets", key=self.operator_key)
            if len(shown["targets"]) < expected:
                return False
        return True

    async def fleet_ask(self, method: str, path: str, body: Any = None) -> Any:
        """Make a call to the control address of the stand-ins."""
        return await ask(method, f"{self.fleet.ready['control_address']}{path}", body)

    async def order_life(self, target: str, order: dict[str, Any]) -> None:
        """Let a stand-in leave, flap, stop or come back."""
        await self.fleet_ask("POST", f"/targets/{target}/life", order)

    async def join(self, target: str) -> None:
        """Let one more engine join, in the last failure domain."""
        table = {**self._fleet_table["engines"][-1], "target_id": target}
        await self.fleet_ask("POST", "/engines", table)

    async def stop(self) -> None:
        """End every process of the deployment."""
        await self.harness.stop()
