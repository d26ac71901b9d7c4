"""Start one of the deployments under `examples/` on loopback.

The settings files are those that an operator would copy; only addresses, files and
keys are replaced. Replicas and routers are real processes; one process runs the
stand-ins for engines and services.
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
from damaskwind.standins.harness import (
    DaemonProcess,
    Harness,
    HarnessError,
    free_addresses,
    wait_until,
)

__all__ = ["DEPLOYMENTS", "Deployment", "DeploymentProfile", "call_http"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
ANY_PORT = "127.0.0.1:0"
OPERATOR = "lead"
BOOTSTRAP_KEY = "key-of-the-first-operator"
_READY_DEADLINE_S = 30.0
_RUN_SEPARATOR = "."
_TRANSIENT_ERRORS = ("no_quorum", "outcome_unknown")


class DeploymentProfile(NamedTuple):
    """The load profile of a deployment; `paths` belong to its plain service."""

    workshop_account: str
    large_accounts: tuple[str, ...]
    version: str
    adapter: str
    turns_per_s: float
    service: str
    paths: dict[str, str]


DEPLOYMENTS: dict[str, DeploymentProfile] = {
    "kenanga": DeploymentProfile(
        workshop_account="field-klang",
        large_accounts=("audit-central", "procurement", "stocktake"),
        version="3",
        adapter="",
        turns_per_s=12.0,
        service="inventory-api",
        paths={"status": "/status", "once": "/tags"},
    ),
    "may-tinh": DeploymentProfile(
        workshop_account="workshop-hanoi",
        large_accounts=("docs-assistant", "site-migration", "alt-text"),
        version="2",
        adapter="",
        turns_per_s=10.0,
        service="edge-api",
        paths={"status": "/deploys", "once": "/migrations"},
    ),
}


async def call_http(method: str, url: str, body: Any = None, key: str = "") -> Any:
    """Make one HTTP call and return the decoded JSON body, or the text of another one."""
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
    """Return the hash that is stored for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """The running processes of one deployment."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.profile = DEPLOYMENTS[name]
        self.harness = Harness(folder)
        self.replicas: list[DaemonProcess] = []
        self.routers: list[DaemonProcess] = []
        self.fleet: DaemonProcess | None = None
        self._revision = 0
        self._runs = 0
        self._examples = EXAMPLES / name
        self._configuration = _read(self._examples / "configuration.toml")
        self._fleet_table = _read(self._examples / "standins.toml")["fleet"]
        self.keys = {account: f"key-of-{account}" for account in self._configuration["accounts"]}
        self.operator_key = f"key-of-{OPERATOR}"
        model = next(iter(self._configuration["models"]))
        self.model = ModelName(model, self.profile.version, self.profile.adapter)

    @property
    def engines(self) -> list[str]:
        """Return the ids of the initial engines."""
        return [engine["target_id"] for engine in self._fleet_table["engines"]]

    @property
    def joiner(self) -> str:
        """Return the id of the engine that joins later."""
        return f"joined{_RUN_SEPARATOR}{self._runs}"

    @property
    def engine_table(self) -> dict[str, Any]:
        """Return the settings of the first engine."""
        return self._fleet_table["engines"][0]

    @property
    def load_factor(self) -> float:
        """Return the configured load factor."""
        return self._configuration["policy"]["load_factor"]

    @property
    def control_bytes_per_s(self) -> int:
        """Return the configured control traffic budget."""
        return self._configuration["policy"]["control_bytes_per_s"]

    def load_plan(self) -> LoadPlan:
        """Return the load plan of this deployment."""
        profile = self.profile
        return LoadPlan(
            accounts=tuple(self.keys),
            large_accounts=profile.large_accounts,
            workshop_account=profile.workshop_account,
            model=self.model,
            turns_per_s=profile.turns_per_s,
            answer_seed=self.engine_table.get("seed", 1),
            routers=len(list(self._examples.glob("router-*.toml"))),
        )

    def call_paths(self) -> dict[str, str]:
        """Return the paths of the plain service behind a router."""
        root = f"/services/{self.profile.service}"
        return {use: f"{root}{path}" for use, path in self.profile.paths.items()}

    def _run_configuration(self) -> dict[str, Any]:
        """Return the configuration with the keys of this run."""
        table = {kind: value for kind, value in self._configuration.items() if kind != "revision"}
        for account, fields in table["accounts"].items():
            fields["key_hashes"] = [_hash(self.keys[account])]
        table["operators"][OPERATOR]["key_hash"] = _hash(self.operator_key)
        return table

    async def start(self) -> None:
        """Start replicas and routers and put the configuration in force."""
        replicas = await self._start_replicas()
        await self._apply_objects(self._run_configuration(), BOOTSTRAP_KEY)
        first, *others = sorted(self._examples.glob("router-*.toml"))
        self.routers = [await self._start_router(first, replicas, [])]
        seeds = [self.routers[0].ready["datagram_address"]]
        starting = [self._start_router(path, replicas, seeds) for path in others]
        self.routers += await asyncio.gather(*starting)
        await wait_until(self._all_ready, _READY_DEADLINE_S, "readiness of all routers")

    async def _start_replicas(self) -> list[dict[str, str]]:
        """Start the control replicas and return their bootstrap table for the routers."""
        tables = {path.stem: _read(path) for path in sorted(self._examples.glob("control-*.toml"))}
        replicas = next(iter(tables.values()))["control"]["bootstrap_replicas"]
        for replica, address in zip(replicas, free_addresses(len(replicas)), strict=True):
            replica["address"] = address
        replica_addresses = {replica["replica_id"]: replica["address"] for replica in replicas}
        for name, table in tables.items():
            folder = self.harness.folder / f"{name}.data"
            folder.mkdir()
            table["control"] |= {
                "replica_address": replica_addresses[name],
                "operator_address": ANY_PORT,
                "data_folder": str(folder),
                "bootstrap_replicas": replicas,
                "bootstrap_operator_key_hash": _hash(BOOTSTRAP_KEY),
            }
        starting = [self.harness.start_control(name, table) for name, table in tables.items()]
        self.replicas = list(await asyncio.gather(*starting))
        return replicas

    async def _apply_objects(self, objects: dict[str, Any], key: str) -> None:
        """Plan and confirm an intent as an operator would; wait until it is in force."""
        root = f"{self.replicas[0].ready['operator_address']}/operator/v1"

        async def create_plan() -> dict[str, Any] | None:
            answer = await call_http("POST", f"{root}/intents", objects, key)
            if answer.get("already_in_force"):
                return answer
            refusal = answer.get("error", {"code": "no_quorum"})
            if "plan" not in answer and refusal["code"] not in _TRANSIENT_ERRORS:
                raise HarnessError(f"the intent was refused: {refusal}")
            return answer.get("plan")

        plan = await wait_until(create_plan, _READY_DEADLINE_S, "a leader among the replicas")
        if "already_in_force" in plan:
            return
        outcome = await call_http("POST", f"{root}/plans/{plan['id']}/confirm", {}, key)
        if "outcome" not in outcome:
            raise HarnessError(f"the plan was not confirmed: {outcome}")
        self._revision = outcome["outcome"]["revision"]
        await wait_until(
            self._revision_in_force, _READY_DEADLINE_S, "the confirmed revision everywhere"
        )

    async def _revision_in_force(self) -> bool:
        """Return whether every router enforces the last confirmed revision."""
        for address in self.addresses():
            state = await call_http("GET", f"{address}/operator/v1/router", key=self.operator_key)
            if state.get("revision_in_force", 0) < self._revision:
                return False
        return True

    async def apply_policy(self, placement: str) -> None:
        """Put a placement policy in force and start stand-ins with new target ids.

        New ids are needed since routers hold back a target that flapped in the
        previous run.
        """
        policy = {**self._configuration["policy"], "placement": placement}
        await self._apply_objects({"policy": policy}, self.operator_key)
        await self._restart_fleet()
        await wait_until(self._all_targets_known, _READY_DEADLINE_S, "knowledge of all targets")

    async def _start_router(
        self, path: Path, replicas: list[dict[str, str]], seeds: list[str]
    ) -> DaemonProcess:
        """Start one router."""
        table = _read(path)
        table["router"] |= {
            "http_address": ANY_PORT,
            "datagram_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "seeds": seeds,
            "replicas": replicas,
            "state_file": "",
            "drain_delay_s": 0.1,
        }
        return await self.harness.start_router(path.stem, table)

    async def _restart_fleet(self) -> None:
        """Stop the stand-ins of the previous run after a leave and start new ones."""
        if self.fleet is not None:
            await self.call_fleet("POST", "/leave", {})
            await self.fleet.terminate()
        self._runs += 1
        table = self._fleet_table
        table["announce"]["routers"] = self.addresses()
        for target in table["engines"] + table["services"]:
            base, _, _ = target["target_id"].partition(_RUN_SEPARATOR)
            target["target_id"] = f"{base}{_RUN_SEPARATOR}{self._runs}"
        self.fleet = await self.harness.start_fleet(f"fleet-{self._runs}", table)

    async def _all_ready(self) -> bool:
        """Return whether every router is ready."""
        for address in self.addresses():
            response = await to_future(treq.get(f"http://{address}/readyz", persistent=False))
            await to_future(response.content())
            if response.code != 200:
                return False
        return True

    def addresses(self) -> list[str]:
        """Return the routers' HTTP addresses for callers."""
        return [router.ready["http_address"] for router in self.routers]

    async def _all_targets_known(self) -> bool:
        """Return whether every router sees exactly the initial targets as serving."""
        expected = {
            target["target_id"]
            for target in self._fleet_table["engines"] + self._fleet_table["services"]
        }
        for address in self.addresses():
            listed = await call_http("GET", f"{address}/operator/v1/targets", key=self.operator_key)
            serving = {
                target["target_id"] for target in listed["targets"] if target["state"] == "serving"
            }
            if serving != expected:
                return False
        return True

    async def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return the record of a request from the router that its id names."""
        path = f"/operator/v1/requests/{request_id}"
        answer = await call_http("GET", f"{self.addresses()[0]}{path}", key=self.operator_key)
        return answer if "choices" in answer else None

    async def call_fleet(self, method: str, path: str, body: Any = None) -> Any:
        """Make a call to the control address of the stand-ins."""
        return await call_http(method, f"{self.fleet.ready['control_address']}{path}", body)

    async def send_life_order(self, target: str, order: dict[str, Any]) -> None:
        """Order a stand-in to leave, flap, stop or return."""
        await self.call_fleet("POST", f"/targets/{target}/life", order)

    async def join(self) -> None:
        """Add one engine in the last failure domain."""
        table = {**self._fleet_table["engines"][-1], "target_id": self.joiner}
        await self.call_fleet("POST", "/engines", table)

    async def stop(self) -> None:
        """End every process of the deployment."""
        await self.harness.stop()
