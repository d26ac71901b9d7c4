"""Routers and stand-ins as real processes, for fault tests of the data path.

The targets' own counts of their work are the oracle. An `Answer` is what a caller received for
one request: complete, truncated or nothing.
"""

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import treq
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseFailed,
)

from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.model.prefix import Message, ModelName, prefix_chain
from damaskwind.runtime.bridge import to_future
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.answers import expected_answer
from damaskwind.standins.faulty_network import FaultyNetwork
from damaskwind.standins.harness import Harness, HarnessError, wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment

__all__ = ["ACCOUNT_KEY", "DOMAINS", "LEASE_S", "LOST_ANSWER", "Answer"]
__all__ += ["DataPathFleet", "expected_chat", "stream_text"]

ACCOUNT_KEY = "key-of-library"
OPERATOR_KEY = "key-of-operator"
DOMAINS = ("bangsar-hall", "cyberjaya-a", "shah-alam-b")
DEADLINE_S = 40.0
ANSWER_TIMEOUT_S = 20.0
LEASE_S = 3.0
ANY_PORT = "127.0.0.1:0"
NO_ANSWER_ERRORS = (ConnectError, ConnectionClosed, ResponseFailed, RequestTransmissionFailed)
NO_ANSWER_ERRORS += (CancelledError, TimeoutError)


class Answer(NamedTuple):
    """A caller's answer; status 0 if there was none, `is_complete` if the body ended regularly."""

    status: int = 0
    verdict: str = ""
    request_id: str = ""
    body: bytes = b""
    is_complete: bool = False


LOST_ANSWER = Answer()
BLACKHOLE = LinkImpairment(Impairment(blackhole=True), Impairment(blackhole=True))


def make_configuration(**policy: Any) -> dict[str, Any]:
    """Return a configuration whose limits are far above the load of the tests."""
    account = {
        "key_hashes": [hash_key(ACCOUNT_KEY)],
        "priority_class": "normal",
        "max_concurrent_requests": 1_000_000,
        "max_tokens_per_s": 1e8,
        "models": [{"model": "damask", "version": "1"}],
        "services": ["edge-api"],
    }
    roles = ["viewer", "planner", "confirmer"]
    routes = [
        {"path_prefix": "/status", "methods": ["GET"], "idempotent": True, "timeout_s": 5.0},
        {"path_prefix": "/tags", "methods": ["POST"], "idempotent": False, "timeout_s": 4.0},
    ]
    return {
        "revision": 1,
        "accounts": {"library": account},
        "priority_classes": {"normal": {"rank": 0, "weight": 1, "queue_timeout_s": 10.0}},
        "models": {
            "damask": {
                "service": "damask-pool",
                "default_version": "1",
                "versions": [{"version": "1"}],
            }
        },
        "services": {
            "damask-pool": {"kind": "engine", "max_concurrent_requests": 500},
            "edge-api": {"kind": "service", "routes": routes, "max_concurrent_requests": 500},
        },
        "operators": {"ops": {"key_hash": hash_key(OPERATOR_KEY), "roles": roles}},
        "policy": policy,
    }


def expected_chat(text: str, size_tokens: int) -> str:
    """Return the expected complete answer to a chat of one message."""
    return expected_answer(1, ModelName("damask", "1"), [Message("user", text)], size_tokens)


def stream_text(body: bytes) -> str:
    """Return the text of a stream, complete or not."""
    events = [line[6:] for line in body.decode().splitlines() if line.startswith("data: {")]
    choices = [json.loads(event).get("choices") or [{}] for event in events]
    return "".join(choice[0].get("delta", {}).get("content") or "" for choice in choices)


class DataPathFleet:
    """The processes of one test, and its callers' requests."""

    def __init__(self, reactor: Any, folder: Path) -> None:
        self.harness = Harness(folder)
        self.network = FaultyNetwork(reactor)
        self.folder = folder
        # Unique per test, since a freed port may be reused by another test's process.
        self.cluster = f"test-{folder.name}"
        self.announce_key = f"announce-{folder.name}"
        self.routers: dict[str, str] = {}
        self.replicas: list[dict[str, Any]] = []
        self.target_count = 0
        self._control_addresses: dict[str, str] = {}
        self._agent = Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False))

    # Processes.

    async def start_replicas(self) -> None:
        """Start three control replicas, which store the claims, one in each failure domain."""
        addresses = [f"{name}-{number}" for number, name in enumerate(DOMAINS)]
        links = [self.network.add_link(name, "tcp") for name in addresses]
        self.replicas = [
            {"replica_id": f"control-{n}", "address": str(link.address), "failure_domain": domain}
            for n, (link, domain) in enumerate(zip(links, DOMAINS, strict=True))
        ]
        await asyncio.gather(*(self._start_replica(number) for number in range(3)))

    async def _start_replica(self, number: int) -> None:
        """Start one replica behind its link."""
        name = f"control-{number}"
        control = {
            "replica_address": ANY_PORT,
            "operator_address": ANY_PORT,
            "data_folder": str(self.folder / name),
            "bootstrap_replicas": self.replicas,
            "bootstrap_operator_key_hash": hash_key("bootstrap"),
            "fixed_addresses": True,
        }
        table = {"node": self._node(name, DOMAINS[number]), "control": control}
        process = await self.harness.start_control(name, table)
        address = parse_address(process.ready["replica_address"])
        self.network.links[f"{DOMAINS[number]}-{number}"].target = address

    def add_unreachable_replicas(self) -> None:
        """Configure three replicas that are unreachable: their links drop everything."""
        self.replicas = []
        for number, domain in enumerate(DOMAINS):
            link = self.network.add_link(f"absent-{number}", "tcp")
            link.impair(BLACKHOLE)
            row = {"replica_id": f"control-{number}", "address": str(link.address)}
            self.replicas.append({**row, "failure_domain": domain})

    async def start_routers(self, count: int, policy: dict | None = None, **router: Any) -> None:
        """Start routers that gossip with each other, spread over the failure domains."""
        configuration = make_configuration(**(policy or {}))
        path = self.harness.write_settings("configuration", configuration)
        fields = {
            "http_address": ANY_PORT,
            "datagram_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "announce_key": self.announce_key,
            "configuration_file": str(path),
            "replicas": self.replicas,
            "control_bytes_per_s": 65_536,
            "drain_delay_s": 0.5,
            **router,
        }
        first = await self._start_router(0, fields)
        seeds = [first.ready["datagram_address"]]
        others = range(1, count)
        fields = {**fields, "seeds": seeds}
        await asyncio.gather(*(self._start_router(number, fields) for number in others))

    async def _start_router(self, number: int, fields: dict[str, Any]) -> Any:
        """Start one router."""
        name = f"router-{number}"
        table = {"node": self._node(name, DOMAINS[number % 3]), "router": fields}
        process = await self.harness.start_router(name, table)
        self.routers[name] = process.ready["http_address"]
        return process

    async def start_targets(
        self,
        name: str,
        engines: list[dict[str, Any]],
        services: list[dict[str, Any]],
        behind_links: bool = False,
        **announce: Any,
    ) -> None:
        """Start stand-ins in one separate process, optionally each behind a link."""
        for one in [*engines, *services] if behind_links else ():
            link = self.network.add_link(one["target_id"], "tcp")
            one["announced_address"] = str(link.address)
        announcing = {"routers": list(self.routers.values()), "key": self.announce_key}
        announcing |= {"interval_s": 0.3, "lease_s": LEASE_S, **announce}
        table = {"announce": announcing, "engines": engines, "services": services}
        process = await self.harness.start_fleet(name, table)
        for target, address in process.ready["targets"].items():
            self._control_addresses[target] = process.ready["control_address"]
            if behind_links:
                self.network.links[target].target = parse_address(address)
        self.target_count += len(engines) + len(services)

    async def wait_until_ready(self, names: list[str] | None = None) -> None:
        """Wait until the routers are ready and know all targets and each other."""
        try:
            await wait_until(lambda: self._all_ready(names), DEADLINE_S, "readiness of the routers")
        except HarnessError as error:
            # The states distinguish a slow start from updates that don't arrive.
            states = {name: await self.state(name) for name in names or self.routers}
            raise HarnessError(f"{error}; {self.target_count} targets; {states}") from error

    async def _all_ready(self, names: list[str] | None) -> bool:
        """Return whether the routers are ready and know all targets and routers."""
        states = [await self.state(name) for name in names or self.routers]
        return all(
            state
            and state["ready"]
            and state["targets"] == self.target_count
            and len(state["routers"]) >= len(self.routers)
            for state in states
        )

    async def stop(self) -> None:
        """Stop everything."""
        await self.harness.stop()
        await self.network.stop()

    def _node(self, name: str, domain: str) -> dict[str, Any]:
        """Return the table `node` of a process."""
        node = {"node_id": name, "cluster": self.cluster, "cluster_key": "key"}
        node |= {"log_format": "json"}
        return node | {"region": "kl-central", "failure_domain": domain}

    # State as reported by routers and targets.

    async def _json(self, method: str, url: str, body: Any = None) -> Any:
        """Request JSON; return `None` unless the status is 200."""
        answer = await self.request(method, url, OPERATOR_KEY, json.dumps(body).encode())
        return json.loads(answer.body) if answer.status == 200 else None

    async def state(self, router: str) -> dict[str, Any]:
        """Return a router's reported state; empty if it does not answer."""
        return await self._json("GET", f"{self.routers[router]}/operator/v1/router") or {}

    async def explain(self, router: str, request_id: str) -> dict[str, Any]:
        """Return a router's record of a request."""
        path = f"{self.routers[router]}/operator/v1/requests/{request_id}"
        return await self._json("GET", path)

    async def oracles(self) -> dict[str, dict[str, Any]]:
        """Return the counts of every target."""
        counts: dict[str, dict[str, Any]] = {}
        for address in set(self._control_addresses.values()):
            counts |= await self._json("GET", f"{address}/oracle") or {}
        return counts

    async def oracle(self, target: str) -> dict[str, Any]:
        """Return the counts of one target, requested only from its process."""
        return (await self._json("GET", f"{self._control_addresses[target]}/oracle"))[target]

    def remove_targets(self, *names: str) -> None:
        """Forget targets whose process was killed."""
        for name in names:
            del self._control_addresses[name]
        self.target_count -= len(names)

    async def set_routers(self, target: str, routers: list[str]) -> None:
        """Set the routers to which all targets of this one's process announce themselves."""
        await self._json("POST", f"{self._control_addresses[target]}/routers", {"routers": routers})

    def digest_of(self, text: str) -> str:
        """Return the key under which engines count a one-message chat in `runs_by_body`."""
        return prefix_chain(ModelName("damask", "1"), [Message("user", text)])[-1]

    async def total_counts(self, what: str) -> Counter[str]:
        """Return the sum of one count, such as `runs_by_id`, over all targets."""
        total: Counter[str] = Counter()
        for oracle in (await self.oracles()).values():
            total.update(oracle[what])
        return total

    async def arm_fault(self, target: str, fault: str, count: int = 1, share: float = 1.0) -> None:
        """Arm a fault at a target; an empty name disarms all faults."""
        order = {"fault": fault, "count": count, "share": share}
        await self._json(
            "POST", f"{self._control_addresses[target]}/targets/{target}/faults", order
        )

    async def control_target(self, target: str, action: str, **order: Any) -> None:
        """Make a target leave, flap, stop or restart."""
        path = f"{self._control_addresses[target]}/targets/{target}/life"
        await self._json("POST", path, {"action": action, **order})

    # Callers.

    async def request(
        self, method: str, url: str, key: str, body: bytes, headers: dict | None = None
    ) -> Answer:
        """Send one request on a new connection and return the answer."""
        headers = {"authorization": f"Bearer {key}", **(headers or {})}
        client = treq.client.HTTPClient(self._agent)
        pieces: list[bytes] = []
        try:
            call = client.request(
                method, f"http://{url}", headers=headers, data=body, timeout=ANSWER_TIMEOUT_S
            )
            response = await to_future(call)
        except NO_ANSWER_ERRORS:
            return LOST_ANSWER
        one = response.headers.getRawHeaders
        verdict, name = one("x-verdict", [""])[0], one("x-request-id", [""])[0]
        is_complete = True
        try:
            reading = to_future(treq.collect(response, pieces.append))
            await asyncio.wait_for(reading, ANSWER_TIMEOUT_S)
        except NO_ANSWER_ERRORS:
            is_complete = False
        return Answer(response.code, verdict, name, b"".join(pieces), is_complete)

    async def call(
        self, address: str, body: bytes, key: str = "", query: str = "", path: str = "/tags"
    ) -> Answer:
        """Call the plain service through a router."""
        headers = {"idempotency-key": key} if key else {}
        url = f"{address}/services/edge-api{path}{query}"
        return await self.request("POST", url, ACCOUNT_KEY, body, headers)

    async def chat(self, address: str, text: str, size_tokens: int, stream: bool = True) -> Answer:
        """Send a chat of one message through a router."""
        messages = [{"role": "user", "content": text}]
        body = {"model": "damask", "messages": messages, "max_tokens": size_tokens}
        body["stream"] = stream
        url = f"{address}/v1/chat/completions"
        headers = {"content-type": "application/json"}
        return await self.request("POST", url, ACCOUNT_KEY, json.dumps(body).encode(), headers)
