"""Control replicas and routers as real processes, connected by faulty links.

Each process reaches each replica over a separate link, so that any process can be partitioned
silently. Operators call the replicas directly; the confirmations they received are the oracle for
the state afterwards.
"""

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from typing import Any

import treq
from twisted.internet import reactor
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError, ConnectingCancelledError, ConnectionClosed
from twisted.trial.unittest import TestCase
from twisted.web.client import RequestNotSent, RequestTransmissionFailed, ResponseFailed

from damaskwind.commands.tests.fault_oracle import (
    FIRST_CHANGE,
    OPERATORS,
    Confirmation,
    find_decreases,
    outcome_faults,
    viewer_intent,
)
from damaskwind.control.audit.entry import AuditEntry, decode_entry
from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.runtime.bridge import to_deferred, to_future
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.faulty_network import FaultyNetwork
from damaskwind.standins.harness import Harness, HarnessError, wait_until
from damaskwind.standins.impairment import Impairment, LinkImpairment

__all__ = ["DEADLINE_S", "DOMAINS", "REPLICAS", "FaultCluster", "FaultTestCase", "viewer_intent"]

DEADLINE_S = 45.0
OUTCOME_UNKNOWN = 504
RESEND_INTERVAL_S = 0.2
ANSWER_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
DOMAINS = ("bangsar-hall", "cyberjaya-a", "shah-alam-b")
REPLICAS = tuple(f"control-{index}" for index in range(3))
BOOTSTRAP_KEY = "dw-bootstrap-secret"
BLACKHOLE = LinkImpairment(Impairment(blackhole=True), Impairment(blackhole=True))
NO_ANSWER_ERRORS = (ConnectError, ConnectingCancelledError, ConnectionClosed, CancelledError)
NO_ANSWER_ERRORS += (RequestNotSent, RequestTransmissionFailed, ResponseFailed, TimeoutError)
ANY_PORT = "127.0.0.1:0"
APPLIED = "configuration applied"


class FaultCluster:
    """The processes, the links between them, and the confirmations as oracle."""

    def __init__(self, folder: Path, snapshot_every_entries: int = 1000) -> None:
        self.folder = folder
        # Unique per test, since a freed port may be reused by another test's process.
        self.cluster = f"test-{folder.name}"
        self.harness = Harness(folder)
        self.network = FaultyNetwork(reactor)
        self.confirmed: list[Confirmation] = []
        self.observed_revisions: dict[str, list[int]] = {}
        self._snapshot_every_entries = snapshot_every_entries
        self._watch_task: asyncio.Future | None = None

    # Processes.

    async def start_replicas(self) -> None:
        """Start three replicas, wait until all vote, and create the operators."""
        await asyncio.gather(*(self._start_replica(index) for index in range(3)))
        await wait_until(lambda: self.all_vote(REPLICAS), DEADLINE_S, "three voters")
        roles = ["viewer", "planner", "confirmer"]
        operators = {
            name: {"key_hash": hash_key(f"dw-{name}"), "roles": roles} for name in OPERATORS
        }
        plan = await self.plan("control-0", {"operators": operators}, BOOTSTRAP_KEY)
        await self.confirm("control-0", plan, FIRST_CHANGE, BOOTSTRAP_KEY)

    async def _start_replica(self, index: int) -> None:
        """Start a replica for the first time and connect its links."""
        name = REPLICAS[index]
        control = {
            "replica_address": ANY_PORT,
            "operator_address": ANY_PORT,
            "data_folder": str(self.folder / name),
            "bootstrap_replicas": self._replica_entries(name),
            "bootstrap_operator_key_hash": hash_key(BOOTSTRAP_KEY),
            "snapshot_every_entries": self._snapshot_every_entries,
            "fixed_addresses": True,
        }
        table = {"node": self._node(name, DOMAINS[index]), "control": control}
        await self.harness.start_control(name, table)
        self._connect_links(name)

    async def start_routers(self, count: int) -> list[str]:
        """Start routers that gossip with each other, spread over the failure domains."""
        names = [f"router-{number}" for number in range(count)]
        await self.start_router(names[0], DOMAINS[0])
        seeds = [self.harness.processes[names[0]].ready["datagram_address"]]
        await asyncio.gather(
            *(
                self.start_router(name, DOMAINS[number % 3], seeds)
                for number, name in enumerate(names)
                if number
            )
        )
        return names

    async def start_router(self, name: str, domain: str, seeds: list[str] | None = None) -> None:
        """Start one router and record the revisions that it enforces."""
        router = {
            "http_address": ANY_PORT,
            "datagram_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "announce_key": f"announce-{self.folder.name}",
            "seeds": seeds or [],
            "replicas": self._replica_entries(name),
            "state_file": str(self.folder / f"{name}.state"),
        }
        self.observed_revisions[name] = []
        if self._watch_task is None:
            self._watch_task = asyncio.ensure_future(self._watch_routers())
        table = {"node": self._node(name, domain), "router": router}
        await self.harness.start_router(name, table)

    async def kill(self, *names: str) -> None:
        """Kill processes at the same time, as in a loss of their VMs."""
        await asyncio.gather(*(self.harness.processes[name].kill() for name in names))

    async def restart(self, *names: str) -> None:
        """Restart killed processes and connect their links to the new addresses."""
        await asyncio.gather(*(self.harness.restart(name) for name in names))
        for name in names:
            self._connect_links(name)

    def lose_disk(self, name: str) -> None:
        """Delete a replica's data folder."""
        shutil.rmtree(self.folder / name)

    async def stop(self) -> None:
        """Stop everything."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self.harness.stop()
        await self.network.stop()

    def _node(self, name: str, domain: str) -> dict[str, Any]:
        """Return the table `node` of a process."""
        node = {"node_id": name, "cluster": self.cluster, "cluster_key": "key"}
        node |= {"log_format": "json"}
        return node | {"region": "kl-central", "failure_domain": domain}

    def _replica_entries(self, caller: str) -> list[dict[str, Any]]:
        """Open the links of a process; return the replicas' settings entries for it."""
        rows = []
        for replica_id, domain in zip(REPLICAS, DOMAINS, strict=True):
            address = str(self._link(f"{caller}>{replica_id}").address)
            rows.append({"replica_id": replica_id, "address": address, "failure_domain": domain})
            self._connect_links(replica_id)
        return rows

    def _link(self, name: str) -> Any:
        """Return a link, opening it on first use."""
        if name not in self.network.links:
            self.network.add_link(name, "tcp")
        return self.network.links[name]

    def open_links(self, caller: str) -> None:
        """Open the links of a process before it starts, so that they can be cut."""
        self._replica_entries(caller)

    def _connect_links(self, name: str) -> None:
        """Connect all links to a replica to its current address, if it is listening."""
        process = self.harness.processes.get(name)
        if process is not None and "replica_address" in process.ready:
            address = parse_address(process.ready["replica_address"])
            for link_name, link in self.network.links.items():
                if link_name.endswith(f">{name}"):
                    link.target = address

    # Faults.

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Partition these pairs silently: their links drop everything without a reset."""
        for name, link in self.network.links.items():
            caller, callee = name.split(">")
            if (caller, callee) in pairs or (callee, caller) in pairs:
                link.impair(BLACKHOLE)

    def isolate(self, name: str, except_to: tuple[str, ...] = ()) -> None:
        """Partition a replica silently from all processes but some."""
        ends = {end for link in self.network.links for end in link.split(">")}
        self.cut(*((name, end) for end in ends if end != name and end not in except_to))

    def refuse(self, caller: str, replica: str, is_refused: bool = True) -> None:
        """Reset and refuse the connections of a process to a replica, or accept them again."""
        link = self._link(f"{caller}>{replica}")
        link.accepting = not is_refused
        if is_refused:
            link.cut()

    def heal(self) -> None:
        """Remove all link faults."""
        self.network.heal()

    # Operators.

    async def request(
        self, at: str, method: str, path: str, body: Any = None, key: str = "dw-mei"
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to a process or an address; the status is 0 if there is no answer."""
        process = self.harness.processes.get(at)
        named = process.ready if process is not None else {}
        address = named.get("operator_address") or named.get("http_address") or at
        url = f"http://{address}/operator/v1{path}"
        headers = {"Authorization": f"Bearer {key}"}
        try:
            call = treq.request(
                method, url, headers=headers, json=body, persistent=False, timeout=ANSWER_TIMEOUT_S
            )
            response = await asyncio.wait_for(to_future(call), ANSWER_TIMEOUT_S + 1)
            return response.code, json.loads(await to_future(treq.content(response)))
        except (*NO_ANSWER_ERRORS, ValueError):
            return 0, {}

    async def plan(self, at: str, intent: dict[str, Any], key: str = "dw-mei") -> str:
        """Plan an intent and return the plan's id; raise `HarnessError` if it is refused."""
        status, body = await self.request(at, "POST", "/intents", intent, key)
        if status != 200:
            raise HarnessError(f"no plan: {status} {body}")
        return body["plan"]["id"]

    async def confirm(self, at: str, plan_id: str, name: str, key: str = "dw-mei") -> Confirmation:
        """Confirm a plan, which must succeed, and record the confirmation."""
        status, body = await self.request(at, "POST", f"/plans/{plan_id}/confirm", {}, key)
        if status != 200:
            raise HarnessError(f"{self._log_tails()}\nnot confirmed: {status} {body}")
        return self.record_confirmation(body, name)

    def _log_tails(self) -> str:
        """Return the end of each replica's log, which shows leader changes and lost peers."""
        tails = (f"{name}:\n{self.harness.processes[name].log_tail()}" for name in REPLICAS)
        return "\n".join(tails)

    def record_confirmation(self, answer: dict[str, Any], name: str) -> Confirmation:
        """Record a confirmed outcome, unless it is recorded already."""
        confirmation = Confirmation(
            answer["outcome"]["revision"], answer["outcome"]["plan_id"], name
        )
        if confirmation not in self.confirmed:
            self.confirmed.append(confirmation)
        return confirmation

    async def add_viewer(self, at: str, name: str) -> Confirmation:
        """Add a viewer with this name."""
        return await self.confirm(at, await self.plan(at, viewer_intent(name)), name)

    async def add_viewer_with_resends(self, at: str, name: str) -> Confirmation:
        """Add a viewer; requests with an unknown outcome are resent, which is safe."""
        planned = await self._request_until_known(at, "/intents", viewer_intent(name))
        path = f"/plans/{planned['plan']['id']}/confirm"
        return self.record_confirmation(await self._request_until_known(at, path, {}), name)

    async def _request_until_known(self, at: str, path: str, body: Any) -> dict[str, Any]:
        """Send a request to a replica until the outcome is known; raise if it is refused."""
        until_s = read_clock() + DEADLINE_S
        while True:
            status, answer = await self.request(at, "POST", path, body)
            if status == 200:
                return answer
            if status != OUTCOME_UNKNOWN or read_clock() > until_s:
                raise HarnessError(f"{self._log_tails()}\nnot confirmed: {status} {answer}")
            await asyncio.sleep(RESEND_INTERVAL_S)

    async def add_viewer_anywhere(self, ats: tuple[str, ...], name: str) -> Confirmation:
        """Add a viewer, retrying at these replicas in turn until it is confirmed."""
        plan_id = await wait_until(lambda: self._try_plan(ats, name), DEADLINE_S, "a plan")
        return await wait_until(
            lambda: self._try_confirm(ats, plan_id, name), DEADLINE_S, "a confirmation"
        )

    async def _try_plan(self, ats: tuple[str, ...], name: str) -> str | None:
        """Plan at the first replica that succeeds; `None` if none does."""
        for at in ats:
            status, body = await self.request(at, "POST", "/intents", viewer_intent(name))
            if status == 200:
                return body["plan"]["id"]
        return None

    async def _try_confirm(
        self, ats: tuple[str, ...], plan_id: str, name: str
    ) -> Confirmation | None:
        """Confirm at the first replica that succeeds; `None` if none does."""
        for at in ats:
            status, body = await self.request(at, "POST", f"/plans/{plan_id}/confirm", {})
            if status == 200:
                return self.record_confirmation(body, name)
        return None

    # Observed state.

    async def replica_status(self, at: str) -> dict[str, Any]:
        """Return a replica's reported status and revision; empty if it does not answer."""
        status, body = await self.request(at, "GET", "/status")
        if status == 401:
            status, body = await self.request(at, "GET", "/status", key=BOOTSTRAP_KEY)
        if status != 200:
            return {}
        return {**body["replica"], "revision": body["revision"], "routers": body["routers"]}

    async def all_vote(self, ats: tuple[str, ...]) -> bool:
        """Return whether these replicas report three voters and the same leader."""
        statuses = [await self.replica_status(at) for at in ats]
        leaders = {each.get("leader") for each in statuses}
        return all(
            len(each.get("voters", ())) == 3 and not each["learners"] for each in statuses
        ) and (len(leaders) == 1 and leaders != {""})

    async def leader(self, ats: tuple[str, ...] = REPLICAS) -> str:
        """Wait until these replicas agree on a leader; return it."""
        await wait_until(lambda: self.all_vote(ats), DEADLINE_S, "a leader")
        return (await self.replica_status(ats[0]))["leader"]

    async def have_leader_among(self, ats: tuple[str, ...]) -> bool:
        """Return whether these replicas agree on a leader that is one of them."""
        named = {(await self.replica_status(at)).get("leader") for at in ats}
        return len(named) == 1 and named <= set(ats)

    async def router_state(self, name: str) -> dict[str, Any]:
        """Return a router's reported state; empty while it accepts no operators."""
        status, body = await self.request(name, "GET", "/router")
        return body if status == 200 else {}

    async def is_in_force(self, names: list[str], revision: int) -> bool:
        """Return whether these routers enforce at least this revision."""
        states = await asyncio.gather(*(self.router_state(name) for name in names))
        return all(state.get("revision_in_force", 0) >= revision for state in states)

    async def wait_in_force(self, names: list[str], revision: int) -> float:
        """Wait until these routers enforce a revision; return the seconds it took."""
        started_s = read_clock()
        what = f"revision {revision} in force"
        await wait_until(lambda: self.is_in_force(names, revision), DEADLINE_S, what)
        return read_clock() - started_s

    async def _watch_routers(self) -> None:
        """Record the revisions that each router enforces, by polling."""
        while True:
            for name, seen in list(self.observed_revisions.items()):
                process = self.harness.processes.get(name)
                if process is None or process.exit_code is not None or not process.ready:
                    continue
                state = await self.router_state(name)
                if state and seen[-1:] != [state["revision_in_force"]]:
                    seen.append(state["revision_in_force"])
            await asyncio.sleep(POLL_INTERVAL_S)

    def applied_revisions(self, name: str) -> list[int]:
        """Return every revision that a router has applied, from its log."""
        lines = self.harness.processes[name].log_path.read_text(encoding="utf-8").splitlines()
        events = [json.loads(line) for line in lines if APPLIED in line]
        return [event["revision"] for event in events if event["event"] == APPLIED]

    async def trail(self, at: str) -> list[AuditEntry]:
        """Return a replica's complete audit trail."""
        entries: list[AuditEntry] = []
        while True:
            after = entries[-1].sequence if entries else 0
            status, body = await self.request(at, "GET", f"/audit?after={after}")
            if status != 200:
                raise HarnessError(f"no audit trail: {status} {body}")
            if not body["entries"]:
                return entries
            entries += [decode_entry(raw) for raw in body["entries"]]

    async def find_faults_at(self, at: str) -> list[str]:
        """Compare a replica's state with all confirmations; return the differences."""
        _status, body = await self.request(at, "GET", "/configuration?kind=operators")
        entries = await self.trail(at)
        return [f"{at}: {fault}" for fault in outcome_faults(self.confirmed, body, entries)]

    async def find_faults(self, ats: tuple[str, ...] = REPLICAS) -> list[str]:
        """Wait for the replicas to catch up; return all faults of replicas and routers."""
        last = self.confirmed[-1].revision

        async def caught_up() -> bool:
            statuses = [await self.replica_status(at) for at in ats]
            return all(each.get("revision", 0) >= last for each in statuses)

        try:
            await wait_until(caught_up, DEADLINE_S, f"replicas at revision {last}")
        except HarnessError:
            return [f"{at}: not at {last}: {await self.replica_status(at)}" for at in ats]
        faults = [fault for at in ats for fault in await self.find_faults_at(at)]
        if self._watch_task is not None and self._watch_task.done():
            faults.append(f"routers were not watched: {self._watch_task.exception()!r}")
        for name, seen in self.observed_revisions.items():
            applied = self.applied_revisions(name)
            faults += [f"{name}: seen to go back: {pair}" for pair in find_decreases(seen)]
            faults += [f"{name}: went back: {pair}" for pair in find_decreases(applied)]
        return faults


class FaultTestCase(TestCase):
    """A test case with its own cluster, which is stopped after the test."""

    timeout = 150
    snapshot_every_entries = 1000

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = FaultCluster(Path(folder.name), self.snapshot_every_entries)
        self.addCleanup(lambda: to_deferred(self.cluster.stop()))
