"""Sample records, and a simulated network that delivers messages between cores."""

from collections.abc import Callable
from random import Random

from damaskwind.decisions.membership.core import MembershipCore
from damaskwind.decisions.membership.messages import RouterRecord, RouterState
from damaskwind.decisions.membership.outputs import Event, Output
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)

TICK_S = 0.1


def announcement(
    target_id: str = "target",
    incarnation: int = 1,
    sequence: int = 1,
    state: TargetState = TargetState.SERVING,
    domain: str = "a",
    lease_s: float = 6.0,
    load_tokens: int = 100,
) -> TargetAnnouncement:
    return TargetAnnouncement(
        target_id,
        incarnation,
        sequence,
        TargetKind.ENGINE,
        "pool",
        domain,
        Address("127.0.0.1", 9),
        state,
        lease_s,
        LoadReport(load_tokens, 1000, 1, 0, 0.0),
    )


def router(index: int, domain: str = "a", incarnation: int = 1) -> RouterRecord:
    return RouterRecord(
        f"router-{index:02d}",
        incarnation,
        RouterState.ALIVE,
        domain,
        Address("127.0.0.1", 1000 + index),
        Address("127.0.0.1", 2000 + index),
    )


class Network:
    """Cores connected by links that deliver messages in the next step, or drop them.

    `delivers` decides by sender and recipient, `copies` is how often each message arrives.
    """

    def __init__(self, domains: list[str], seed: int = 1) -> None:
        self.now_s = 0.0
        self.random = Random(seed)
        self.cores: dict[Address, MembershipCore] = {}
        self.events: list[tuple[float, str, Event]] = []
        self.delivers: Callable[[str, str], bool] = lambda source, target: True
        self.copies = 1
        self._in_flight: list[tuple] = []
        for index, domain in enumerate(domains):
            self.add(router(index, domain))

    def add(
        self,
        own_record: RouterRecord,
        parameters: MembershipParameters | None = None,
        near_domains: tuple[str, ...] = (),
    ) -> MembershipCore:
        seeds = (router(0).address,)
        parameters = parameters or MembershipParameters(warm_up_s=0.0)
        random = Random(self.random.random())
        core = MembershipCore(own_record, seeds, random, self.now_s, parameters, near_domains)
        self.cores[own_record.address] = core
        return core

    def core(self, index: int) -> MembershipCore:
        return self.cores[router(index).address]

    def apply_output(self, core: MembershipCore, output: Output) -> None:
        own_record = core.router_table.own_record
        self.events += [(self.now_s, own_record.router_id, event) for event in output.events]
        for send in output.sends:
            for _ in range(self.copies):
                self._in_flight.append((own_record, send))

    def announce(self, index: int, message: TargetAnnouncement) -> bool:
        core = self.core(index)
        outcome, output = core.announce(message, self.now_s)
        self.apply_output(core, output)
        return outcome.accepted

    def step(self) -> None:
        self.now_s += TICK_S
        in_flight, self._in_flight = self._in_flight, []
        if self.copies > 1:
            self.random.shuffle(in_flight)
        for sender, send in in_flight:
            core = self.cores.get(send.address)
            if core is None or not self.delivers(
                sender.router_id, core.router_table.own_record.router_id
            ):
                continue
            output = core.receive(
                sender.router_id, sender.incarnation, sender.address, send.message, self.now_s
            )
            self.apply_output(core, output)
        for core in list(self.cores.values()):
            self.apply_output(core, core.tick(self.now_s))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        end_s = self.now_s + limit_s
        while not condition() and self.now_s < end_s:
            self.step()
        return condition()

    def all_have_routers(self, count: int) -> bool:
        return all(len(core.routers()) == count for core in self.cores.values())

    def all_have_targets(self, count: int) -> bool:
        return all(len(core.targets(self.now_s)) == count for core in self.cores.values())
