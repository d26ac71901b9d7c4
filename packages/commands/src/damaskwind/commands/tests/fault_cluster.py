"""Control replicas and routers as real processes, joined by links that fail.

Each process reaches each replica over a link of its own, so that one may be cut
off from all others without a word. Operators ask the replicas directly; what
they were told is the oracle for what must be there afterwards.
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
    FIRST,
    OPERATORS,
    Told,
    descents,
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
RESEND_S = 0.2
ANSWER_TIMEOUT_S = 15.0
POLL_S = 0.1
DOMAINS = ("bangsar-hall", "cyberjaya-a", "shah-alam-b")
REPLICAS = tuple(f"control-{index}" for index in range(3))
BOOTSTRAP_KEY = "dw-bootstrap-secret"
BLACK = LinkImpairment(Impairment(blackhole=True), Impairment(blackhole=True))
NO_ANSWER = (ConnectError, ConnectingCancelledError, ConnectionClosed, CancelledError)
NO_ANSWER += (RequestNotSent, RequestTransmissionFailed, ResponseFailed, TimeoutError)
ANY_PORT = "127.0.0.1:0"
APPLIED = "configuration applied"


class FaultCluster:
    """The processes, the links between them, and the operators' oracle."""

    def __init__(self, folder: Path, snapshot_every_entries: int = 1000) -> None:
        self.folder = folder
        # A freed port may be another test's by now: nobody else must know this name.
        self.cluster = f"test-{folder.name}"
        self.harness = Harness(folder)
        self.network = FaultyNetwork(reactor)
        self.confirmed: list[Told] = []
        self.seen: dict[str, list[int]] = {}
        self._snapshot_every_entries = snapshot_every_entries
        self._watching: asyncio.Future | None = None

    # Processes.

    async def start_replicas(self) -> None:
        """Start three replicas, wait until all vote, and let the operators in."""
        await asyncio.gather(*(self._start_replica(index) for index in range(3)))
        await wait_until(lambda: self.all_vote(REPLICAS), DEADLINE_S, "three voters")
        roles = ["viewer", "planner", "confirmer"]
        operators = {
            name: {"key_hash": hash_key(f"dw-{name}"), "roles": roles} for name in OPERATORS
        }
        plan = await self.plan("control-0", {"operators": operators}, BOOTSTRAP_KEY)
        await self.confirm("control-0", plan, FIRST, BOOTSTRAP_KEY)

    async def _start_replica(self, index: int) -> None:
        """Start a replica for the first time and point its links at it."""
        name = REPLICAS[index]
        control = {
            "replica_address": ANY_PORT,
            "operator_address": ANY_PORT,
            "data_folder": str(self.folder / name),
            "bootstrap_replicas": self._rows(name),
            "bootstrap_operator_key_hash": hash_key(BOOTSTRAP_KEY),
            "snapshot_every_entries": self._snapshot_every_entries,
            "fixed_addresses": True,
        }
        table = {"node": self._node(name, DOMAINS[index]), "control": control}
        await self.harness.start_control(name, table)
        self._point_links(name)

    async def start_routers(self, count: int) -> list[str]:
        """Start routers, one after the other in the domains, that all gossip."""
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
        """Start one router and keep what it enforces in view."""
        router = {
            "http_address": ANY_PORT,
            "datagram_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "announce_key": f"announce-{self.folder.name}",
            "seeds": seeds or [],
            "replicas": self._rows(name),
            "state_file": str(self.folder / f"{name}.state"),
        }
        self.seen[name] = []
        if self._watching is None:
            self._watching = asyncio.ensure_future(self._watch_routers())
        table = {"node": self._node(name, domain), "router": router}
        await self.harness.start_router(name, table)

    async def kill(self, *names: str) -> None:
        """Kill processes as lost VMs would go, all at the same time."""
        await asyncio.gather(*(self.harness.processes[name].kill() for name in names))

    async def restart(self, *names: str) -> None:
        """Start processes again that were killed, wherever they listen now."""
        await asyncio.gather(*(self.harness.restart(name) for name in names))
        for name in names:
            self._point_links(name)

    def lose_disk(self, name: str) -> None:
        """Delete a replica's data folder."""
        shutil.rmtree(self.folder / name)

    async def stop(self) -> None:
        """End everything."""
        if self._watching is not None:
            self._watching.cancel()
        await self.harness.stop()
        await self.network.stop()

    def _node(self, name: str, domain: str) -> dict[str, Any]:
        """Return the table `node` of a process."""
        node = {"node_id": name, "cluster": self.cluster, "cluster_key": "key"}
        node |= {"log_format": "json"}
        return node | {"region": "kl-central", "failure_domain": domain}

    def _rows(self, caller: str) -> list[dict[str, Any]]:
        """Open the links of one process and return the replicas as it reaches them."""
        rows = []
        for replica_id, domain in zip(REPLICAS, DOMAINS, strict=True):
            address = str(self._link(f"{caller}>{replica_id}").address)
            rows.append({"replica_id": replica_id, "address": address, "failure_domain": domain})
            self._point_links(replica_id)
        return rows

    def _link(self, name: str) -> Any:
        """Return a link, opened when it is first named."""
        if name not in self.network.links:
            self.network.add_link(name, "tcp")
        return self.network.links[name]

    def prepare_links(self, caller: str) -> None:
        """Open the links of a process that is yet to be started, so that they can be cut."""
        self._rows(caller)

    def _point_links(self, name: str) -> None:
        """Let all links to a replica end where it listens, if it does yet."""
        process = self.harness.processes.get(name)
        if process is not None and "replica_address" in process.ready:
            address = parse_address(process.ready["replica_address"])
            for link_name, link in self.network.links.items():
                if link_name.endswith(f">{name}"):
                    link.target = address

    # Faults.

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Silence the links of these pairs: nothing passes and nothing is reset."""
        for name, link in self.network.links.items():
            caller, callee = name.split(">")
            if (caller, callee) in pairs or (callee, caller) in pairs:
                link.impair(BLACK)

    def isolate(self, name: str, but_for: tuple[str, ...] = ()) -> None:
        """Silence all links of a replica except those to some processes."""
        ends = {end for link in self.network.links for end in link.split(">")}
        self.cut(*((name, end) for end in ends if end != name and end not in but_for))

    def refuse(self, caller: str, replica: str, is_refused: bool = True) -> None:
        """Reset the connections of one process to a replica, until it is accepted again."""
        link = self._link(f"{caller}>{replica}")
        link.accepting = not is_refused
        if is_refused:
            link.cut()

    def heal(self) -> None:
        """Let everything pass again."""
        self.network.heal()

    # Operators.

    async def ask(
        self, at: str, method: str, path: str, body: Any = None, key: str = "dw-mei"
    ) -> tuple[int, dict[str, Any]]:
        """Ask a process, or an address; status 0 when there was no answer."""
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
        except (*NO_ANSWER, ValueError):
            return 0, {}

    async def plan(self, at: str, intent: dict[str, Any], key: str = "dw-mei") -> str:
        """Plan an intent and return the plan's id; raise when it was refused."""
        status, body = await self.ask(at, "POST", "/intents", intent, key)
        if status != 200:
            raise HarnessError(f"no plan: {status} {body}")
        return body["plan"]["id"]

    async def confirm(self, at: str, plan_id: str, name: str, key: str = "dw-mei") -> Told:
        """Confirm a plan that must come into force and note what the operator saw."""
        status, body = await self.ask(at, "POST", f"/plans/{plan_id}/confirm", {}, key)
        if status != 200:
            raise HarnessError(f"{self._log_tails()}\nnot confirmed: {status} {body}")
        return self.note(body, name)

    def _log_tails(self) -> str:
        """Return the end of each replica's log: who led, and what it knew of the others."""
        tails = (f"{name}:\n{self.harness.processes[name].log_tail()}" for name in REPLICAS)
        return "\n".join(tails)

    def note(self, answer: dict[str, Any], name: str) -> Told:
        """Put a confirmed outcome on the list."""
        told = Told(answer["outcome"]["revision"], answer["outcome"]["plan_id"], name)
        if told not in self.confirmed:
            self.confirmed.append(told)
        return told

    async def change(self, at: str, name: str) -> Told:
        """Add a viewer of this name."""
        return await self.confirm(at, await self.plan(at, viewer_intent(name)), name)

    async def change_resent(self, at: str, name: str) -> Told:
        """Add a viewer, and send again what ends with an unknown outcome, which is safe."""
        planned = await self._known_outcome(at, "/intents", viewer_intent(name))
        path = f"/plans/{planned['plan']['id']}/confirm"
        return self.note(await self._known_outcome(at, path, {}), name)

    async def _known_outcome(self, at: str, path: str, body: Any) -> dict[str, Any]:
        """Ask one replica until its answer is known; raise when it is a refusal."""
        until_s = read_clock() + DEADLINE_S
        while True:
            status, answer = await self.ask(at, "POST", path, body)
            if status == 200:
                return answer
            if status != OUTCOME_UNKNOWN or read_clock() > until_s:
                raise HarnessError(f"{self._log_tails()}\nnot confirmed: {status} {answer}")
            await asyncio.sleep(RESEND_S)

    async def change_somewhere(self, ats: tuple[str, ...], name: str) -> Told:
        """Add a viewer as an operator would who asks again and elsewhere until it is told."""
        plan_id = await wait_until(lambda: self._try_plan(ats, name), DEADLINE_S, "a plan")
        return await wait_until(
            lambda: self._try_confirm(ats, plan_id, name), DEADLINE_S, "a confirmation"
        )

    async def _try_plan(self, ats: tuple[str, ...], name: str) -> str | None:
        """Plan at the first replica that does."""
        for at in ats:
            status, body = await self.ask(at, "POST", "/intents", viewer_intent(name))
            if status == 200:
                return body["plan"]["id"]
        return None

    async def _try_confirm(self, ats: tuple[str, ...], plan_id: str, name: str) -> Told | None:
        """Confirm at the first replica that does."""
        for at in ats:
            status, body = await self.ask(at, "POST", f"/plans/{plan_id}/confirm", {})
            if status == 200:
                return self.note(body, name)
        return None

    # What is to be seen.

    async def replica_status(self, at: str) -> dict[str, Any]:
        """Return a replica's own words, with the revision that it holds."""
        status, body = await self.ask(at, "GET", "/status")
        if status == 401:
            status, body = await self.ask(at, "GET", "/status", key=BOOTSTRAP_KEY)
        if status != 200:
            return {}
        return {**body["replica"], "revision": body["revision"], "routers": body["routers"]}

    async def all_vote(self, ats: tuple[str, ...]) -> bool:
        """Tell whether these replicas say that there are three voters and one leader."""
        told = [await self.replica_status(at) for at in ats]
        leaders = {each.get("leader") for each in told}
        return all(len(each.get("voters", ())) == 3 and not each["learners"] for each in told) and (
            len(leaders) == 1 and leaders != {""}
        )

    async def leader(self, ats: tuple[str, ...] = REPLICAS) -> str:
        """Return the leader on which these replicas agree."""
        await wait_until(lambda: self.all_vote(ats), DEADLINE_S, "a leader")
        return (await self.replica_status(ats[0]))["leader"]

    async def leader_among(self, ats: tuple[str, ...]) -> bool:
        """Tell whether one of these replicas leads and all of them know it."""
        named = {(await self.replica_status(at)).get("leader") for at in ats}
        return len(named) == 1 and named <= set(ats)

    async def router_state(self, name: str) -> dict[str, Any]:
        """Return a router's own words; empty while it lets no operator in."""
        status, body = await self.ask(name, "GET", "/router")
        return body if status == 200 else {}

    async def in_force(self, names: list[str], revision: int) -> bool:
        """Tell whether these routers enforce at least a revision."""
        states = await asyncio.gather(*(self.router_state(name) for name in names))
        return all(state.get("revision_in_force", 0) >= revision for state in states)

    async def time_in_force(self, names: list[str], revision: int) -> float:
        """Wait until these routers enforce a revision; return how long it took."""
        started_s = read_clock()
        what = f"revision {revision} in force"
        await wait_until(lambda: self.in_force(names, revision), DEADLINE_S, what)
        return read_clock() - started_s

    async def _watch_routers(self) -> None:
        """Note over and over what each router enforces."""
        while True:
            for name, seen in list(self.seen.items()):
                process = self.harness.processes.get(name)
                if process is None or process.exit_code is not None or not process.ready:
                    continue
                state = await self.router_state(name)
                if state and seen[-1:] != [state["revision_in_force"]]:
                    seen.append(state["revision_in_force"])
            await asyncio.sleep(POLL_S)

    def applied_by(self, name: str) -> list[int]:
        """Return every revision that a router ever put in force, from its log."""
        lines = self.harness.processes[name].log_path.read_text(encoding="utf-8").splitlines()
        events = [json.loads(line) for line in lines if APPLIED in line]
        return [event["revision"] for event in events if event["event"] == APPLIED]

    async def trail(self, at: str) -> list[AuditEntry]:
        """Return a replica's whole audit trail."""
        entries: list[AuditEntry] = []
        while True:
            after = entries[-1].sequence if entries else 0
            status, body = await self.ask(at, "GET", f"/audit?after={after}")
            if status != 200:
                raise HarnessError(f"no audit trail: {status} {body}")
            if not body["entries"]:
                return entries
            entries += [decode_entry(raw) for raw in body["entries"]]

    async def faults_at(self, at: str) -> list[str]:
        """Compare what a replica shows with all that the operators were told."""
        _status, body = await self.ask(at, "GET", "/configuration?kind=operators")
        entries = await self.trail(at)
        return [f"{at}: {fault}" for fault in outcome_faults(self.confirmed, body, entries)]

    async def faults(self, ats: tuple[str, ...] = REPLICAS) -> list[str]:
        """Name all that replicas and routers show amiss, once the replicas have caught up."""
        last = self.confirmed[-1].revision

        async def caught_up() -> bool:
            told = [await self.replica_status(at) for at in ats]
            return all(each.get("revision", 0) >= last for each in told)

        try:
            await wait_until(caught_up, DEADLINE_S, f"replicas at revision {last}")
        except HarnessError:
            return [f"{at}: not at {last}: {await self.replica_status(at)}" for at in ats]
        faults = [fault for at in ats for fault in await self.faults_at(at)]
        if self._watching is not None and self._watching.done():
            faults.append(f"routers were not watched: {self._watching.exception()!r}")
        for name, seen in self.seen.items():
            applied = self.applied_by(name)
            faults += [f"{name}: seen to go back: {pair}" for pair in descents(seen)]
            faults += [f"{name}: went back: {pair}" for pair in descents(applied)]
        return faults


class FaultTestCase(TestCase):
    """A test with a cluster of its own, which is ended with the test."""

    timeout = 150
    snapshot_every_entries = 1000

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = FaultCluster(Path(folder.name), self.snapshot_every_entries)
        self.addCleanup(lambda: to_deferred(self.cluster.stop()))
