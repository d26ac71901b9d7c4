import re
from random import Random

import treq
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from twisted.trial.unittest import TestCase

from damaskwind.control.tests.single_control import start_single
from damaskwind.control.tests.test_process import until
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.configuration.follower import ConfigurationFollower
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import parse_address
from damaskwind.wire.authentication import CallSigner, call_unary
from damaskwind.wire.replication_grpc import ReplicationStub
from damaskwind.wire.replication_pb2 import HelloRequest

LINE = re.compile(r"damaskwind_(\w+)(?:\{(.*)\})? (\S+)")


class ControlTelemetryTest(TestCase):
    timeout = 60

    async def start(self):
        self.process = await start_single(self)
        self.replicas = self.process.settings.control.bootstrap_replicas
        claim_holder = self.process.claim_holder
        await until(lambda: self.process.replica.is_leader)
        await until(
            lambda: claim_holder.inner and claim_holder.inner.holder.is_voting(read_clock())
        )

    async def scrape(self):
        """Return the samples of the page by name and labels."""
        url = f"http://{self.process.operator_address}/metrics"
        response = await to_future(treq.get(url, persistent=False))
        self.assertEqual(response.code, 200)
        text = await to_future(treq.text_content(response))
        found = map(LINE.fullmatch, text.splitlines())
        samples = {}
        for match in filter(None, found):
            labels = re.sub(r',?otel_scope_\w+="[^"]*"', "", match[2] or "").strip(",")
            samples[match[1] + (f"{{{labels}}}" if labels else "")] = float(match[3])
        return samples

    @asyncio_test
    async def test_metrics_follow_the_log_the_disk_and_the_state(self):
        await self.start()
        try:
            first = await self.scrape()
            for number in range(5):
                await self.process.access.propose(b"not a command %d" % number, 5.0)
            await until(lambda: self.process.node.journal.snapshot.index > 0)
            page = await self.scrape()
            replica = self.process.replica
            self.assertEqual(page['replica_role{role="leader"}'], 1)
            self.assertEqual(page['replica_role{role="follower"}'], 0)
            self.assertEqual(page["replica_is_current"], 1)
            self.assertEqual(page["replica_term"], replica.core.term)
            self.assertEqual(page["elections_started_total"], 1)
            committed = 'proposals_total{outcome="committed",reason=""}'
            self.assertEqual(page[committed] - first.get(committed, 0), 5)
            self.assertEqual(page["commit_duration_seconds_count"], page[committed])
            for name in ("commit", "applied", "last"):
                grown = page[f"log_{name}_index"] - first[f"log_{name}_index"]
                self.assertGreaterEqual(grown, 5, name)
            grown = page["journal_sync_duration_seconds_count"]
            self.assertGreater(grown, first["journal_sync_duration_seconds_count"])
            self.assertEqual(first["snapshot_size_bytes"], 0)
            self.assertGreater(page["snapshot_size_bytes"], 0)
            size_bytes = sum(
                path.stat().st_size for path in self.process.node.folder.path.glob("*.log")
            )
            self.assertEqual(page["log_size_bytes"], size_bytes)
            self.assertEqual(page["configuration_revision"], 0)
            self.assertEqual(page["audit_entries_total"], self.process.machine.trail.last_sequence)
        finally:
            await self.process.stop()

    @asyncio_test
    async def test_metrics_count_followers_claims_and_refused_calls(self):
        await self.start()
        address = parse_address(self.replicas[0].address)
        signer = CallSigner("kl", "key", "router-1")
        follower = ConfigurationFollower("router-1", "domain-a", signer, self.replicas, Random(1))
        claims = ClaimsClient([("a", address)], "kl", "key", "router-1", Random(2), read_clock)
        channel = Channel(*address)
        hello = ReplicationStub(channel).Hello
        try:
            await follower.start()
            await until(lambda: self.process.follow.follower_count == 1)
            await claims.claim("key-1", "digest", "request-1", 5.0)
            for cluster, key in (("other", "key"), ("kl", "wrong"), ("kl", "wrong")):
                with self.assertRaises(GRPCError):
                    await call_unary(hello, HelloRequest(), CallSigner(cluster, key, "x"), 5.0)
            metadata = CallSigner("kl", "key", "y").sign(hello.name, b"")
            await hello(HelloRequest(), metadata=metadata)
            with self.assertRaises(GRPCError):
                await hello(HelloRequest(), metadata=metadata)
            page = await self.scrape()
            self.assertEqual(page["followers"], 1)
            self.assertEqual(page["claim_records"], 1)
            self.assertEqual(page["claim_holder_is_voting"], 1)
            for call in ("order", "write"):
                self.assertEqual(page[f'claim_replies_total{{call="{call}",rejection="none"}}'], 1)
            refused = {"wrong_cluster": 1, "wrong_mac": 2, "replayed": 1, "missing_field": 0}
            for reason, count in refused.items():
                self.assertEqual(page[f'calls_refused_total{{reason="{reason}"}}'], count, reason)
        finally:
            channel.close()
            await claims.close()
            await follower.stop()
            await self.process.stop()
