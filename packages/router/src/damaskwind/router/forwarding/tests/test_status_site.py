"""Tests of what operators see of a router that waits for a configuration."""

import json
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.router.forwarding import fleet_view
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.status_site import ROUTER_STATUS_PATH, RouterStatusSite
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock
from damaskwind.runtime.http1.messages import Request
from damaskwind.wire.news import News


class RouterStatusTest(TestCase):
    """Guards against a router that is behind for seconds without any sign of it."""

    def setUp(self):
        patcher = patch.object(fleet_view.NewsLink, "start")
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now_s = 100.0
        self.enterContext(override_clock(lambda: self.now_s))
        self.view = FleetView("front-1", ("a", "b"), 1, lambda body: None, Random(1))
        self.view.follow(("a", "b"))

    async def ask(self, method=b"GET"):
        answers = []
        request = Request(method, ROUTER_STATUS_PATH, [])
        exchange = SimpleNamespace(request=request, respond=answers.append)
        await RouterStatusSite(self.view).handle(exchange)
        return answers[0]

    def receive(self, host, version):
        self.view.handle_news(host, News("epoch", 1, version, True, (), 1, (), ()))

    @asyncio_test
    async def test_time_behind_counts_from_the_first_report_of_a_newer_version(self):
        self.view.table = SimpleNamespace(version=6, health_path=None)
        self.receive("a", 6)
        self.assertEqual(json.loads((await self.ask()).body)["behind_s"], 0)
        self.receive("a", 7)
        self.now_s += 0.5
        self.receive("b", 8)
        self.now_s += 0.25
        shown = json.loads((await self.ask()).body)
        self.assertEqual(shown["behind_s"], 0.75)
        self.assertEqual((shown["revision_in_force"], shown["revision_known"]), (6, 8))
        self.view.table = SimpleNamespace(version=8)
        self.receive("b", 8)
        self.assertEqual(json.loads((await self.ask()).body)["behind_s"], 0)

    @asyncio_test
    async def test_other_methods_are_refused(self):
        self.assertEqual((await self.ask(b"PUT")).status, 405)
