import heapq
import itertools
from collections import defaultdict
from random import Random
from unittest import TestCase

from damaskwind.decisions.membership.messages import RouterRecord, RouterState
from damaskwind.decisions.membership.outputs import TargetGone
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.tests.samples import announcement
from damaskwind.decisions.pacing.pacer import BURST_S, FILL_SHARE, OVERDRAFT_S, UDP_HEADER_BYTES
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address, TargetState
from damaskwind.router.membership.node import Datagram, GossipNode

BUDGET = 4096
DELAY_S = 0.002
TICK_S = 0.1


class Fleet:
    """Nodes on one simulated clock, with a record of the bytes each router sent or received."""

    def __init__(self, domains: list[str], parameters: MembershipParameters) -> None:
        self.now_s = 0.0
        self.nodes: dict[Address, GossipNode] = {}
        self.traffic: dict[Address, list[tuple[float, int]]] = defaultdict(list)
        self.gone: list[TargetGone] = []
        self._queue: list[tuple] = []
        self._order = itertools.count()
        seeds = (Address("10.0.0.0", 1), Address("10.0.0.1", 1))
        for index, domain in enumerate(domains):
            address = Address(f"10.0.0.{index}", 1)
            own_record = RouterRecord(f"r-{index}", 1, RouterState.ALIVE, domain, address, address)
            node = GossipNode(own_record, "c", "k", seeds, Random(index), 0.0, parameters)
            node.handler = self._handle
            self.nodes[address] = node
            self._push(index * 0.007, lambda a=address: self._tick(a))

    def _handle(self, event: object) -> None:
        if isinstance(event, TargetGone):
            self.gone.append(event)

    def _push(self, when_s: float, action) -> None:
        heapq.heappush(self._queue, (when_s, next(self._order), action))

    def _tick(self, address: Address) -> None:
        if address in self.nodes:
            self._send(address, self.nodes[address].tick(self.now_s))
            self._push(self.now_s + TICK_S, lambda: self._tick(address))

    def _send(self, source: Address, datagrams: list[Datagram]) -> None:
        for payload, address in datagrams:
            self._count_bytes(source, len(payload) + UDP_HEADER_BYTES)
            action = lambda p=payload, a=address: self._deliver(source, p, a)  # noqa: E731
            self._push(self.now_s + DELAY_S, action)

    def _deliver(self, source: Address, payload: bytes, address: Address) -> None:
        if address in self.nodes:
            self._count_bytes(address, len(payload) + UDP_HEADER_BYTES)
            self._send(address, self.nodes[address].receive(payload, source, self.now_s))

    def _count_bytes(self, address: Address, size_bytes: int) -> None:
        self.traffic[address].append((self.now_s, size_bytes))

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def max_bytes_in(self, length_s: float, since_s: float) -> int:
        """Return the maximum traffic of any router in an interval of this length."""
        highest = 0
        for entries in self.traffic.values():
            entries = [entry for entry in entries if entry[0] >= since_s]
            start = total = 0
            for when_s, size in entries:
                total += size
                while entries[start][0] <= when_s - length_s:
                    total -= entries[start][1]
                    start += 1
                highest = max(highest, total)
        return highest


class GossipNodeTest(TestCase):
    def test_the_budget_holds_when_everything_fails_at_once(self):
        parameters = MembershipParameters(warm_up_s=20.0)
        fleet = Fleet(["a"] * 6 + ["b"] * 4, parameters)
        fleet.run(15.0)
        addresses = list(fleet.nodes)
        for index in range(250):
            message = announcement(f"t-{index}", lease_s=6.0)
            fleet.nodes[addresses[index % 6]].announce(message, 0, fleet.now_s)
        fleet.run(5.0)
        failing_s = fleet.now_s
        for address in addresses[6:]:
            del fleet.nodes[address]
        for index in range(0, 250, 2):
            message = announcement(f"t-{index}", sequence=2, state=TargetState.LEAVING)
            fleet.nodes[addresses[index % 6]].announce(message, 0, fleet.now_s)
        for _ in range(200):
            for address in addresses[:6]:
                node = fleet.nodes[address]
                node.send("limits", "r-3", bytes(600), Urgency.LIMITS, fleet.now_s)
                node.send("limits", "r-1", bytes(600), Urgency.LIMITS, fleet.now_s)
            fleet.run(TICK_S)
        fleet.run(60.0)
        target_counts = [
            len(fleet.nodes[address].core.targets(fleet.now_s)) for address in addresses[:6]
        ]
        self.assertEqual(target_counts, [0] * 6)
        self.assertGreaterEqual(len(fleet.gone), 250)
        for length_s in (1.0, 5.0, 20.0):
            bound = BUDGET * (length_s * FILL_SHARE + BURST_S + OVERDRAFT_S)
            self.assertLessEqual(fleet.max_bytes_in(length_s, failing_s), bound)
        survivors = [fleet.nodes[address] for address in addresses[:6]]
        self.assertEqual({len(node.core.router_table.ring("a")) for node in survivors}, {6})

    def test_leaves_of_all_targets_at_once_reach_all_routers_within_two_seconds(self):
        fleet = Fleet(list("abcabcab"), MembershipParameters())
        fleet.run(30.0)
        addresses = list(fleet.nodes)
        for index in range(30):
            message = announcement(f"t-{index}", domain="abc"[index % 3], lease_s=60.0)
            fleet.nodes[addresses[index % 3]].announce(message, 400, fleet.now_s)
        fleet.run(40.0)
        cores = [node.core for node in fleet.nodes.values()]
        self.assertEqual({len(core.targets(fleet.now_s)) for core in cores}, {30})
        for index in range(30):
            message = announcement(f"t-{index}", sequence=2, state=TargetState.LEAVING)
            fleet.nodes[addresses[index % 8]].announce(message, 400, fleet.now_s)
        fleet.run(2.0)
        self.assertEqual({len(core.targets(fleet.now_s)) for core in cores}, {0})

    def test_other_components_share_the_socket_by_kind(self):
        fleet = Fleet(["a"] * 2, MembershipParameters())
        fleet.run(10.0)
        first, second = fleet.nodes.values()
        received = []
        second.register_kind("limits", lambda *call: received.append(call))
        self.assertTrue(first.send("limits", "r-1", b"share", Urgency.LIMITS, fleet.now_s))
        self.assertTrue(first.send("unknown", "r-1", b"share", Urgency.LIMITS, fleet.now_s))
        self.assertFalse(first.send("limits", "r-9", b"share", Urgency.LIMITS, fleet.now_s))
        with self.assertRaises(MessageError):
            first.send("limits", "r-1", bytes(2000), Urgency.LIMITS, fleet.now_s)
        fleet.run(1.0)
        self.assertEqual(received, [("r-0", b"share")])
        self.assertEqual(second.faults.total(), 1)
