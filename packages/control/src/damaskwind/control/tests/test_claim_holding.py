import treq
from twisted.trial.unittest import TestCase

from damaskwind.control.process import start_control
from damaskwind.control.tests.single_control import KEY, start_single
from damaskwind.control.tests.test_process import until
from damaskwind.decisions.claims.messages import Ballot, Order
from damaskwind.runtime.bridge import asyncio_test, to_future
from damaskwind.runtime.clock import read_clock


class DeferredClaimHolderTest(TestCase):
    timeout = 60

    async def post(self, path, body):
        url = f"http://{self.process.operator_address}/operator/v1{path}"
        headers = {"Authorization": f"Bearer {KEY}"}
        answer = await to_future(treq.post(url, headers=headers, json=body, persistent=False))
        self.assertEqual(answer.code, 200)
        return await to_future(treq.json_content(answer))

    @asyncio_test
    async def test_lifetime_of_claims_follows_the_policy(self):
        self.process = await start_single(self)
        claim_holder = self.process.claim_holder
        try:
            await until(
                lambda: claim_holder.inner and claim_holder.inner.holder.is_voting(read_clock())
            )
            self.assertEqual(claim_holder.inner.holder.policy.ttl_s, 3600.0)
            plan = await self.post("/intents", {"policy": {"idempotency_ttl_s": 77.0}})
            await self.post(f"/plans/{plan['plan']['id']}/confirm", {})
            await until(lambda: claim_holder.inner.holder.policy.ttl_s == 77.0)
        finally:
            await self.process.stop()

    @asyncio_test
    async def test_single_replica_keeps_its_claims_after_a_clean_stop(self):
        self.process = await start_single(self)
        ballot = Ballot(3, "request")
        try:
            claim_holder = self.process.claim_holder
            await until(
                lambda: claim_holder.inner and claim_holder.inner.holder.is_voting(read_clock())
            )
            first = claim_holder.inner.holder
            first.order(Order("key", ballot), read_clock())
            await self.process.stop()
            self.process = await start_control(self.process.settings)
            claim_holder = self.process.claim_holder
            await until(
                lambda: claim_holder.inner and claim_holder.inner.holder.is_voting(read_clock())
            )
            self.assertGreater(claim_holder.inner.holder.incarnation, first.incarnation)
            reply = claim_holder.inner.holder.order(Order("key", Ballot(2, "late")), read_clock())
            self.assertEqual(reply.promised, ballot)
        finally:
            await self.process.stop()
