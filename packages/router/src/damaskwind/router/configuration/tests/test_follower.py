import asyncio
import tempfile
import threading
from pathlib import Path
from random import Random

from grpclib.server import Server
from loguru import logger
from twisted.trial.unittest import TestCase

from damaskwind.router.configuration import follower as follower_module
from damaskwind.router.configuration.follower import ConfigurationFollower, FollowerTiming
from damaskwind.router.configuration.state_file import read_state_file, write_state_file
from damaskwind.router.configuration.tests.sources import (
    LARGE,
    PermissiveVerifier,
    Source,
    revision,
    serve,
    until,
)
from damaskwind.router.configuration.upstream import Upstream
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.settings import ReplicaSettings
from damaskwind.wire.authentication import CallSigner, CallVerifier

DEADLINE_S = 10.0


class FollowerTest(TestCase):
    timeout = 60

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state_file = Path(folder.name) / "configuration"
        self.stops = []

    async def source(self, *arguments, **options):
        source = await Source(*arguments, **options).start()
        self.stops.append(source)
        return source

    def follower(self, *sources, peers=(), settle_s=0.3, backoff_s=0.05, **options):
        replicas = tuple(
            ReplicaSettings(f"r{i}", str(source.address), "d") for i, source in enumerate(sources)
        )
        timing = FollowerTiming(0.1, settle_s, backoff_s, max(0.2, backoff_s), 0.02)
        follower = ConfigurationFollower(
            "router-1",
            "d",
            CallSigner("kl", "key", "router-1"),
            replicas,
            Random(1),
            peers=lambda: [peer.address for peer in peers],
            timing=timing,
            **options,
        )
        self.applied = []
        follower.subscribe(lambda configuration: self.applied.append(configuration.revision))
        self.stops.append(follower)
        return follower

    async def stop_all(self):
        for item in reversed(self.stops):
            await item.stop()
        self.stops.clear()

    @asyncio_test
    async def test_follows_each_revision_and_reports_what_is_in_force(self):
        replica = await self.source(3)
        follower = self.follower(replica)
        try:
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            self.assertEqual(follower.configuration, revision(3))
            for number in range(4, 9):
                replica.service.publish(revision(number))
                await until(lambda number=number: replica.reports.get("router-1") == number)
                self.assertEqual(follower.revision, number)
            self.assertEqual(self.applied, [3, 4, 5, 6, 7, 8])
            self.assertGreater(follower.received_bytes, 0)
            self.assertGreater(follower.sent_bytes, 0)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_stop_logs_no_warning_and_a_stream_ended_by_a_replica_does(self):
        replica, warnings = await self.source(3), []
        sink = logger.add(lambda line: warnings.append(line.record["extra"]), level="WARNING")
        self.addCleanup(logger.remove, sink)
        try:
            for _ in range(3):
                follower = self.follower(replica, backoff_s=1e6)
                await follower.start()
                await until(lambda follower=follower: not follower.may_be_behind)
                await asyncio.wait_for(follower.stop(), DEADLINE_S)
            self.assertEqual(warnings, [])
            follower = self.follower(replica, backoff_s=1e6)
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            await replica.stop()
            await until(lambda: warnings)
            self.assertEqual(warnings[0]["source"], str(replica.address))
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_bytes_of_the_stream_and_of_peers_fetches_are_charged(self):
        replica = await self.source()
        replica.service.publish(LARGE)
        follower = self.follower(replica)
        charged = {"stream": [0, 0], "served": [0, 0]}

        def charge(name, sent_bytes, received_bytes):
            charged[name][0] += sent_bytes
            charged[name][1] += received_bytes

        follower.charge_bytes(lambda *sizes: charge("stream", *sizes))
        full_bytes = len(replica.service.history.encode_for(0).body)
        serving = Server([follower.service])
        address = await serve(serving)
        try:
            await follower.start()
            await until(lambda: follower.is_ready and follower.sent_bytes > 1500)
            self.assertEqual(charged["stream"], [follower.sent_bytes, follower.received_bytes])
            self.assertGreater(follower.received_bytes, full_bytes)
            follower.service.on_bytes = lambda *sizes: charge("served", *sizes)
            peer = Upstream("router-2", "d", CallSigner("kl", "key", "router-2"))
            await peer.fetch(address, 0)
            self.assertEqual(charged["served"][0], peer.received_bytes)
            self.assertAlmostEqual(charged["served"][1], peer.sent_bytes, delta=8)
            self.assertGreater(charged["served"][0], full_bytes)
        finally:
            await self.stop_all()
            serving.close()
            await serving.wait_closed()

    @asyncio_test
    async def test_repeated_failing_calls_stay_within_their_share_of_the_budget(self):
        replica = await self.source(verifier=CallVerifier("kl", "other"))
        follower = self.follower(replica, control_bytes_per_s=1200.0)
        spent = []
        follower.charge_bytes(lambda *sizes: spent.append(sum(sizes)))
        try:
            await follower.start()
            await until(lambda: sum(spent) >= 2 * 1868)
            # The burst allows one call of each kind. Without pauses there would be many more
            # calls in this time.
            await asyncio.sleep(0.5)
            self.assertEqual(sum(spent) // 1868, 2)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_restart_with_only_a_replica_that_is_behind_keeps_the_higher_revision(self):
        write_state_file(self.state_file, revision(7))
        replica = await self.source(5, is_current=False)
        follower = self.follower(replica, state_file=self.state_file)
        try:
            await follower.start()
            await until(lambda: follower.is_ready)
            self.assertEqual((follower.revision, follower.may_be_behind), (7, True))
            replica.service.publish(revision(6))
            replica.is_current = True
            await until(lambda: replica.reports.get("router-1") == 7)
            self.assertTrue(follower.may_be_behind)
            replica.service.publish(revision(8))
            await until(lambda: not follower.may_be_behind)
            self.assertEqual(self.applied, [7, 8])
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_restart_with_a_reset_control_plane_keeps_the_higher_revision(self):
        write_state_file(self.state_file, revision(7))
        replica = await self.source(5)
        follower = self.follower(replica, state_file=self.state_file)
        try:
            await follower.start()
            await until(lambda: follower.is_ready)
            self.assertEqual((self.applied, follower.may_be_behind), ([7], True))
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_restart_needs_no_settling_when_a_current_replica_has_the_stored_revision(self):
        write_state_file(self.state_file, revision(7))
        replica = await self.source(7)
        follower = self.follower(replica, state_file=self.state_file, settle_s=60.0)
        try:
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            self.assertEqual(self.applied, [7])
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_isolated_start_fetches_the_full_configuration_once_from_many_sources(self):
        sources = [await self.source(9, is_current=False) for _ in range(8)]
        for source in sources:
            source.service.publish(LARGE)
        follower = self.follower(peers=sources, settle_s=0.5)
        try:
            await follower.start()
            await until(lambda: follower.is_ready)
            self.assertEqual(follower.configuration, LARGE)
            size_bytes = len(sources[0].service.history.encode_for(0).body)
            self.assertGreater(size_bytes, 50_000)
            self.assertLess(follower.received_bytes, 2 * size_bytes)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_isolated_start_applies_the_highest_revision_of_its_sources(self):
        low, high = await self.source(4, is_current=False), await self.source(9, is_current=False)
        follower = self.follower(low, peers=[high], settle_s=3.0)
        try:
            await follower.start()
            await until(lambda: follower.is_ready)
            self.assertEqual(self.applied, [9])
            self.assertTrue(follower.may_be_behind)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_start_beside_replicas_that_lost_their_disks_applies_no_older_revision(self):
        """Two of three replicas are back without their disks, and the third hears no majority.

        A replica without its disk has revision 0; one that called itself current too early is
        among these, as replicas of an earlier version did.
        """
        for is_current in (False, True):
            for stored in (None, 5):
                lost = [await self.source(0, is_current) for _ in range(2)]
                behind = await self.source(5, False)
                if stored is not None:
                    write_state_file(self.state_file, revision(stored))
                file = self.state_file if stored is not None else None
                follower = self.follower(*lost, behind, state_file=file)
                try:
                    await follower.start()
                    await until(lambda follower=follower: follower.is_ready)
                    for source in lost:
                        source.service.publish(revision(3))
                    await asyncio.sleep(0.5)
                    self.assertEqual(self.applied, [5], (is_current, stored))
                finally:
                    await self.stop_all()

    @asyncio_test
    async def test_without_any_configuration_it_is_not_ready(self):
        lone = await self.source(0, is_current=False)
        follower = self.follower(lone, settle_s=0.05)
        try:
            await follower.start()
            await until(lambda: lone.reports)
            self.assertFalse(follower.is_ready)
            lone.service.publish(revision(1))
            await until(lambda: follower.is_ready)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_serves_through_a_partition_and_fetches_updates_from_a_router(self):
        replica, router = await self.source(2), await self.source(2, is_current=False)
        follower = self.follower(replica)
        try:
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            replica.is_current = False
            await until(lambda: follower.may_be_behind)
            self.assertEqual(follower.configuration, revision(2))
            router.service.publish(revision(5))
            follower.handle_revision_hint(router.address, 5)
            await until(lambda: follower.revision == 5)
            self.assertTrue(follower.may_be_behind)
            replica.service.publish(revision(5))
            replica.is_current = True
            await until(lambda: not follower.may_be_behind)
            self.assertEqual(self.applied, [2, 5])
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_switches_from_a_replica_that_is_not_current_to_one_that_is(self):
        stale, good = await self.source(2, is_current=False), await self.source(3)
        follower = self.follower(stale, good)
        try:
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            self.assertEqual(follower.revision, 3)
            await good.stop()
            stale.service.publish(revision(4))
            stale.is_current, good.is_current = True, False
            await until(lambda: follower.revision == 4 and not follower.may_be_behind)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_source_with_another_key_is_rejected(self):
        untrusted = await self.source(50, verifier=PermissiveVerifier("kl", "other"))
        follower = self.follower(untrusted, peers=[untrusted], settle_s=0.05)
        try:
            await follower.start()
            follower.handle_revision_hint(untrusted.address, 50)
            await until(lambda: untrusted.calls > 6)
            self.assertFalse(follower.is_ready)
            self.assertTrue(follower.may_be_behind)
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_serves_updates_to_other_routers(self):
        replica = await self.source(6)
        first = self.follower(replica)
        try:
            await first.start()
            await until(lambda: first.is_ready)
            server = Server([first.service])
            address = await serve(server)
            second = self.follower()
            await second.start()
            second.handle_revision_hint(address, 6)
            await until(lambda: second.is_ready)
            self.assertEqual((second.revision, second.may_be_behind), (6, True))
            server.close()
            await server.wait_closed()
        finally:
            await self.stop_all()

    @asyncio_test
    async def test_state_file_is_written_and_a_damaged_one_is_ignored(self):
        replica = await self.source(3)
        follower = self.follower(replica, state_file=self.state_file)
        try:
            await follower.start()
            await until(lambda: read_state_file(self.state_file) == revision(3))
        finally:
            await self.stop_all()
        content = self.state_file.read_bytes()
        self.state_file.write_bytes(content.replace(b"weight", b"WEIGHT"))
        self.assertIsNone(read_state_file(self.state_file))

    @asyncio_test
    async def test_revision_is_in_force_only_once_it_is_stored(self):
        replica = await self.source(3)
        follower = self.follower(replica, state_file=self.state_file)
        may_write, requested = threading.Event(), []

        def blocked_write(path, configuration):
            requested.append(configuration.revision)
            may_write.wait(DEADLINE_S)
            write_state_file(path, configuration)

        self.patch(follower_module, "write_state_file", blocked_write)
        try:
            await follower.start()
            await until(lambda: requested == [3])
            replica.service.publish(revision(4))
            await asyncio.sleep(0.2)
            self.assertEqual((self.applied, follower.is_ready), ([], False))
            self.assertEqual(set(replica.reports.values()), {0})
            may_write.set()
            await until(lambda: replica.reports["router-1"] == 4)
            self.assertEqual(read_state_file(self.state_file), revision(4))
            self.assertEqual(self.applied, [3, 4])
        finally:
            may_write.set()
            await self.stop_all()

    @asyncio_test
    async def test_unwritable_state_file_does_not_prevent_enforcement(self):
        replica = await self.source(3)
        follower = self.follower(replica, state_file=self.state_file / "no" / "folder")
        try:
            await follower.start()
            await until(lambda: not follower.may_be_behind)
            replica.service.publish(revision(4))
            await until(lambda: replica.reports.get("router-1") == 4)
            self.assertEqual(self.applied, [3, 4])
        finally:
            await self.stop_all()
