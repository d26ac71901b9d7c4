"""Tests of sending orders to engines with and without fencing."""

import asyncio
from random import Random

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from damaskwind.control.orders.delivery import DeliveryTiming
from damaskwind.control.orders.sender import OrderSender
from damaskwind.control.state.command import WantedState
from damaskwind.control.state.order_book import TargetOrder
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.standins.engine import EngineStandin
from damaskwind.standins.harness import unique_loopback_host, wait_until
from damaskwind.standins.settings import EngineSettings, FencingMode

TIMING = DeliveryTiming(lease_s=0.3, attempt_timeout_s=1.0, initial_backoff_s=0.05)
OFFERED = ("damask@2", "damask@2+rumi")


class OrderSenderTest(TestCase):
    timeout = 90

    def setUp(self):
        self.orders = []
        self.terms = {}
        self.tasks = []

    async def engine(self, fencing, port=0):
        settings = EngineSettings(
            "engine-1", host=unique_loopback_host(), port=port, fencing=fencing
        )
        engine = EngineStandin(settings, reactor)
        await engine.start()
        self.addCleanup(lambda: to_deferred(engine.stop()))
        return engine

    def start_sender(self, name, term):
        """Run a sender that leads in `term` until `self.terms[name]` changes."""
        self.terms[name] = term
        sender = OrderSender(lambda: self.terms[name], lambda: self.orders, TIMING, Random(name))
        task = asyncio.ensure_future(sender.run())
        self.addCleanup(task.cancel)

    def order(self, number, address, models=OFFERED):
        wanted = WantedState("serving", models)
        return TargetOrder("engine-1", f"o-{number}", number, "mei", 0.0, wanted, str(address))

    def versions(self, engine):
        return [(offer.model, offer.version, offer.adapters) for offer in engine.models]

    @asyncio_test
    async def test_order_is_delivered_once_and_replaced_by_the_next(self):
        engine = await self.engine(FencingMode.CHECKED)
        self.orders = [self.order(3, engine.address)]
        self.start_sender("a", 1)
        await wait_until(lambda: engine.highest_fencing_number == 3, 10.0, "order 3")
        self.assertEqual(self.versions(engine), [("damask", "2", ("rumi",))])
        self.orders = [self.order(4, engine.address, ("damask@3",))]
        await wait_until(lambda: engine.highest_fencing_number == 4, 10.0, "order 4")
        self.assertEqual(self.versions(engine), [("damask", "3", ())])
        self.assertEqual(engine.oracle.events["order_taken"], 2)

    @asyncio_test
    async def test_engine_with_fencing_refuses_a_stale_sender(self):
        engine = await self.engine(FencingMode.CHECKED)
        engine.highest_fencing_number = 9
        before = self.versions(engine)
        self.orders = [self.order(5, engine.address)]
        self.start_sender("behind", 1)
        refused = engine.oracle.events
        await wait_until(lambda: refused["order_refused"] == 1, 10.0, "a refusal")
        self.assertEqual(self.versions(engine), before)

    @asyncio_test
    async def test_engine_without_fencing_receives_nothing_from_the_old_sender_after_the_new_one(
        self,
    ):
        engine = await self.engine(FencingMode.IGNORED)
        self.orders = [self.order(1, engine.address, ("damask@1",))]
        self.start_sender("old", 1)
        await wait_until(lambda: engine.highest_fencing_number == 1, 10.0, "order 1")
        loop = asyncio.get_running_loop()
        self.terms["old"] = None
        self.orders = [self.order(2, engine.address)]
        started_s = loop.time()
        self.start_sender("new", 2)
        await wait_until(lambda: engine.highest_fencing_number == 2, 10.0, "order 2")
        self.assertGreaterEqual(loop.time() - started_s, TIMING.initial_wait_s)
        self.assertEqual(self.versions(engine), [("damask", "2", ("rumi",))])
        self.assertEqual(engine.oracle.events["order_taken"], 2)

    @asyncio_test
    async def test_order_to_an_unreachable_engine_is_retried(self):
        engine = await self.engine(FencingMode.CHECKED)
        port = engine.address.port
        await engine.stop()
        self.orders = [self.order(1, f"{unique_loopback_host()}:{port}")]
        self.start_sender("a", 1)
        await asyncio.sleep(TIMING.initial_wait_s + 0.2)
        restarted = await self.engine(FencingMode.CHECKED, port)
        await wait_until(lambda: restarted.highest_fencing_number == 1, 20.0, "the order after all")
