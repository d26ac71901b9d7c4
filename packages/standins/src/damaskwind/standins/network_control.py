"""HTTP control interface of a faulty network that runs as a process of its own."""

import json
import random
from typing import Any

from klein import Klein

from damaskwind.runtime.files import write_ready_file
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.engine_management import answer_json
from damaskwind.standins.fault_schedule import seeded_schedule
from damaskwind.standins.faulty_network import FaultyNetwork
from damaskwind.standins.impairment import Impairment, LinkImpairment
from damaskwind.standins.listening import Listener

__all__ = ["NetworkProcess"]


class NetworkProcess:
    """A faulty network and its control address."""

    def __init__(self, reactor: Any, ready_file: str, seed: int) -> None:
        self.network = FaultyNetwork(reactor, seed)
        self._seed = seed
        self._ready_file = ready_file
        app = Klein()
        app.route("/links", methods=["POST"])(self._add_link)
        app.route("/links/<name>/target", methods=["POST"])(self._set_target)
        app.route("/links/<name>/impair", methods=["POST"])(self._impair_link)
        app.route("/links/<name>/<action>", methods=["POST"])(self._run_action)
        app.route("/heal", methods=["POST"])(self._heal_network)
        app.route("/schedule", methods=["POST"])(self._run_schedule)
        self._listener = Listener(reactor, app, "127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on the control address and write the ready file."""
        self._listener.start()
        write_ready_file(self._ready_file, {"control_address": str(self._listener.address)})

    async def stop(self) -> None:
        """Close the links and the control address."""
        await self.network.stop()
        await self._listener.stop()

    def _add_link(self, request: Any) -> bytes:
        """Open a link and return its address."""
        command = json.loads(request.content.read())
        target = parse_address(command["target"]) if command.get("target") else None
        link = self.network.add_link(command["name"], command["kind"], target)
        return answer_json(request, {"address": str(link.address)})

    def _set_target(self, request: Any, name: str) -> bytes:
        """Point a link at another target."""
        command = json.loads(request.content.read())
        self.network.links[name].target = parse_address(command["target"])
        return answer_json(request, {})

    def _impair_link(self, request: Any, name: str) -> bytes:
        """Impair a link; on UDP links optionally for one `sender` only."""
        command = json.loads(request.content.read())
        link_impairment = LinkImpairment(
            Impairment(**command.get("to_target", {})), Impairment(**command.get("to_caller", {}))
        )
        if command.get("sender"):
            self.network.links[name].impair(link_impairment, command["sender"])
        else:
            self.network.links[name].impair(link_impairment)
        return answer_json(request, {})

    def _run_action(self, request: Any, name: str, action: str) -> bytes:
        """Cut a TCP link, make it half-open, or refuse or accept new connections."""
        link = self.network.links[name]
        actions = {
            "cut": link.cut,
            "half_open": link.half_open,
            "refuse": lambda: setattr(link, "accepting", False),
            "accept": lambda: setattr(link, "accepting", True),
        }
        actions[action]()
        return answer_json(request, {})

    def _heal_network(self, request: Any) -> bytes:
        """Remove the impairments of every link."""
        self.network.heal()
        return answer_json(request, {})

    def _run_schedule(self, request: Any) -> bytes:
        """Draw a fault schedule, start it and return it."""
        command = json.loads(request.content.read())
        schedule = seeded_schedule(
            random.Random(command.get("seed", self._seed)), **command["draw"]
        )
        self.network.run_schedule(schedule)
        return answer_json(request, schedule)
