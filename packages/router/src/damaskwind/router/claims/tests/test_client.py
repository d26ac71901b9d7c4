"""Tests of the claims client against real claim holders on loopback."""

import asyncio
from random import Random
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.claims.holder import HolderPolicy
from damaskwind.decisions.claims.messages import ClaimKind, Outcome, StoredAnswer
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Verdict
from damaskwind.router.claims.client import ClaimsClient
from damaskwind.router.claims.tests.holders import CLUSTER, KEY, Holders
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock

ANSWER = StoredAnswer(200, "application/json", b'{"done": true}', "digest")
DONE = Outcome(Verdict.RAN, ANSWER)


class ClaimsClientTest(TestCase):
    async def set_up(self, **options):
        self.holders = Holders(**options)
        await self.holders.start_all()
        self.clients = [self.make_client(f"router-{number}") for number in range(2)]

    def make_client(self, router_id, cluster_key=KEY):
        addresses = list(self.holders.addresses.items())
        random = Random(router_id)
        return ClaimsClient(addresses, CLUSTER, cluster_key, router_id, random, read_clock)

    async def tear_down(self):
        for client in self.clients:
            await client.close()
        await self.holders.close()

    async def claim(self, key, request_id, client=0, digest="d", timeout_s=5.0):
        return await self.clients[client].claim(key, digest, request_id, timeout_s)

    @asyncio_test
    async def test_racing_routers_get_one_grant_per_key(self):
        await self.set_up()
        try:
            for number in range(20):
                outcomes = await asyncio.gather(
                    *(self.claim(f"k{number}", f"r{number}-{c}", c % 2) for c in range(4))
                )
                kinds = sorted(outcome.kind for outcome in outcomes)
                self.assertEqual(kinds, [ClaimKind.GRANTED] + [ClaimKind.IN_USE] * 3)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_first_outcome_survives_a_holder_that_restarts_empty(self):
        await self.set_up()
        try:
            first = await self.claim("k", "r0")
            self.assertTrue(await self.clients[0].record("k", first.accepted, DONE, 5.0))
            open_one = await self.claim("open", "r1")
            self.assertEqual(open_one.kind, ClaimKind.GRANTED)
            await self.holders.kill("h0")
            resent = await self.claim("k", "r2", client=1)
            self.assertEqual((resent.kind, resent.answer), (ClaimKind.DONE, ANSWER))
            holder = await self.holders.start("h0", 2)
            self.assertFalse(holder.is_voting(read_clock()))
            await self.holders.catch_up("h0")
            await self.holders.kill("h1")
            resent = await self.claim("k", "r3", client=1)
            self.assertEqual((resent.kind, resent.answer), (ClaimKind.DONE, ANSWER))
            resent = await self.claim("open", "r4", client=1)
            self.assertEqual(resent.refusal.verdict, Verdict.MAY_HAVE_RUN)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_no_claim_is_granted_twice_as_one_holder_after_the_other_restarts_empty(self):
        await self.set_up()
        try:
            keys = [f"k{number}" for number in range(20)]
            for key in keys:
                self.assertEqual((await self.claim(key, f"r-{key}")).kind, ClaimKind.GRANTED)
            for incarnation, holder_id in enumerate(("h0", "h1", "h2", "h0"), start=2):
                await self.holders.kill(holder_id)
                await self.holders.start(holder_id, incarnation)
                await self.holders.catch_up(holder_id)
                # In one process, a former life still answers on the connections that it has.
                self.clients.append(self.make_client(f"router-{incarnation}"))
                for key in keys:
                    resent = await self.claim(key, f"r-{key}-{incarnation}", client=-1)
                    self.assertEqual(resent.refusal.verdict, Verdict.MAY_HAVE_RUN)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_no_claim_is_granted_while_two_holders_that_restarted_empty_await_each_other(
        self,
    ):
        """The second is lost before the first has caught up: more is lost than is tolerated."""
        await self.set_up()
        try:
            self.assertEqual((await self.claim("k", "r0")).kind, ClaimKind.GRANTED)
            for holder_id in ("h0", "h1"):
                await self.holders.kill(holder_id)
                await self.holders.start(holder_id, 2)
            reads = [self.holders.catch_up(name, limit_s=1.0) for name in ("h0", "h1")]
            ends = asyncio.gather(*reads, return_exceptions=True)
            resent = await self.claim("k", "r1", client=1, timeout_s=0.8)
            self.assertEqual(resent.refusal.verdict, Verdict.NOT_RUN)
            self.assertEqual(resent.kind, ClaimKind.NO_QUORUM)
            self.assertEqual([type(end) for end in await ends], [TimeoutError, TimeoutError])
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_restarted_holder_does_not_vote_before_it_caught_up(self):
        await self.set_up()
        try:
            await self.holders.kill("h0")
            await self.holders.start("h0", 2)
            await self.holders.kill("h1")
            refused = await self.claim("k", "r0", timeout_s=0.5)
            self.assertEqual(refused.refusal.reason, Reason.NO_QUORUM)
            self.assertEqual(refused.refusal.verdict, Verdict.NOT_RUN)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_abandoned_claim_leaves_the_key_free(self):
        await self.set_up()
        try:
            for holder_id in ("h1", "h2"):
                await self.holders.kill(holder_id)
            refused = await self.claim("k", "r0", timeout_s=0.3)
            self.assertEqual(refused.kind, ClaimKind.NO_QUORUM)
            for holder_id in ("h1", "h2"):
                await self.holders.start(holder_id, 2, first=True)
            again = await self.claim("k", "r1", client=1)
            self.assertEqual(again.kind, ClaimKind.GRANTED)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_full_holders_and_wrong_cluster_keys_refuse_claims(self):
        await self.set_up(policy=HolderPolicy(max_records=2))
        try:
            for number in range(2):
                granted = await self.claim(f"k{number}", f"r{number}")
                self.assertEqual(granted.kind, ClaimKind.GRANTED)
            full = await self.claim("k2", "r2", timeout_s=0.3)
            self.assertEqual(full.kind, ClaimKind.NO_QUORUM)
            self.assertIn("full", full.refusal.detail)
            self.clients.append(self.make_client("stranger", "other-key"))
            stranger = await self.claim("k0", "r3", client=2, timeout_s=0.3)
            self.assertEqual(stranger.kind, ClaimKind.NO_QUORUM)
            self.assertEqual(len(self.holders.holders["h0"]), 2)
        finally:
            await self.tear_down()

    @asyncio_test
    async def test_catch_up_reads_many_pages(self):
        await self.set_up()
        try:
            for start in range(0, 120, 40):
                await asyncio.gather(
                    *(self.claim(f"k{n}", f"r{n}", n % 2) for n in range(start, start + 40))
                )
            await self.holders.kill("h0")
            holder = await self.holders.start("h0", 2)
            with patch("damaskwind.control.claims.service.PAGE_RECORDS", 50):
                await self.holders.catch_up("h0")
            self.assertEqual(len(holder), 120)
        finally:
            await self.tear_down()
