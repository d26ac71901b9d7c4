from random import Random

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.outputs import TargetGone
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetKind,
    TargetState,
)
from damaskwind.router.membership.service import MembershipService, MembershipSettings

DEADLINE_S = 15.0
STEP_S = 0.05


def announcement(sequence: int, state: TargetState = TargetState.SERVING) -> TargetAnnouncement:
    load = LoadReport(100, 1000, 1, 0, 0.1)
    address = Address("127.0.0.1", 9)
    return TargetAnnouncement(
        "target-1", 1, sequence, TargetKind.ENGINE, "pool", "a", address, state, 10.0, load
    )


class MembershipServiceTest(TestCase):
    def setUp(self) -> None:
        self.services: list[MembershipService] = []
        self.addresses: list[Address] = []

    def start(self, count: int, domains: str = "aab") -> None:
        for index in range(count):
            settings = MembershipSettings(
                f"router-{index}",
                "cluster",
                "key",
                domains[index % len(domains)],
                Address("127.0.0.1", 0),
                Address("127.0.0.1", 1),
                tuple(self.addresses[:1]),
            )
            service = MembershipService(settings, reactor, Random(index))
            self.addresses.append(service.start())
            self.services.append(service)
            self.addCleanup(service.stop)

    @inlineCallbacks
    def until(self, condition, what: str):
        for _ in range(int(DEADLINE_S / STEP_S)):
            if condition():
                return
            yield deferLater(reactor, STEP_S)
        self.fail(f"not in {DEADLINE_S} s: {what}")

    def wait_for_routers(self, count: int) -> Deferred:
        return self.until(
            lambda: all(len(service.routers()) == count for service in self.services),
            "all routers know each other",
        )

    @inlineCallbacks
    def test_routers_find_each_other_and_gossip_a_target_and_its_leave(self):
        self.start(4)
        gone = []
        self.services[3].subscribe(gone.append)
        yield self.wait_for_routers(4)
        self.assertTrue(self.services[0].announce(announcement(1), 400).accepted)
        yield self.until(
            lambda: all(service.targets() for service in self.services),
            "the target reaches every router",
        )
        leave = announcement(2, TargetState.LEAVING)
        self.assertTrue(self.services[1].announce(leave, 400).accepted)
        yield self.until(
            lambda: not any(service.targets() for service in self.services),
            "the leave reaches every router",
        )
        self.assertTrue(any(isinstance(event, TargetGone) for event in gone))
        self.assertFalse(self.services[2].announce(announcement(3), 400).accepted)

    @inlineCallbacks
    def test_other_kinds_spills_and_revisions_travel_on_the_same_socket(self):
        self.start(2, "a")
        received = []
        events = []
        self.services[1].register_kind("limits", lambda *call: received.append(call))
        self.services[1].subscribe(events.append)
        yield self.wait_for_routers(2)
        self.assertTrue(self.services[0].send("limits", "router-1", b"share", Urgency.LIMITS))
        self.assertFalse(self.services[0].send("limits", "nobody", b"share", Urgency.LIMITS))
        self.services[0].publish_revision(7)
        self.services[1].announce(announcement(1), 400)
        self.services[0].publish_spills([SpillNote("00a0abc", "target-1")])
        yield self.until(lambda: received, "the datagram arrives")
        self.assertEqual(received, [("router-0", b"share")])
        yield self.until(
            lambda: any(getattr(event, "revision", 0) == 7 for event in events)
            and any(
                SpillNote("00a0abc", "target-1") in getattr(event, "notes", ()) for event in events
            ),
            "the revision and the spill note arrive",
        )

    @inlineCallbacks
    def test_a_router_that_stops_is_gone_at_once(self):
        self.start(3, "a")
        yield self.wait_for_routers(3)
        stopped = self.services.pop()
        yield stopped.stop()
        yield self.wait_for_routers(2)

    @inlineCallbacks
    def test_garbage_is_counted_and_a_failing_subscriber_does_no_harm(self):
        self.start(2, "a")
        self.services[0].subscribe(lambda event: 1 / 0)
        self.services[1]._listener.write(b"garbage" * 10, tuple(self.addresses[0]))
        yield self.wait_for_routers(2)
        yield self.until(
            lambda: self.services[0].counters().get("faults.other_cluster"), "garbage is counted"
        )
