"""Tests of tables exchanged by routers of which one knows no software versions."""

from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.model.targets import Address
from damaskwind.router.forwarding import fleet_view
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.table_exchange import TableExchange
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.http1.messages import Request
from damaskwind.wire.news import (
    TABLE_PATH,
    VERSIONS_WANTED,
    News,
    SeenRevision,
    TableCopy,
    decode_table,
    unpack_answer,
)

RECORD = TargetRecord("i-1", "s", Address("10.0.0.9", 80), "d", TargetPhase.SERVING, 4, 8)
VERSIONED = RECORD._replace(version="v1.1")
SEEN = (SeenRevision("e", 9),)


class ServedTableTest(TestCase):
    """The table that a router serves to others."""

    @asyncio_test
    async def test_versions_are_sent_to_routers_that_know_them(self):
        table, answers = TargetTable(), []
        table.merge(VERSIONED, 0.0)
        exchange = TableExchange(table, lambda: SEEN, lambda *_: None, 1, 1e6)
        for headers in ([VERSIONS_WANTED], []):
            request = Request(b"POST", TABLE_PATH, headers, b"")
            await exchange.handle(SimpleNamespace(request=request, respond=answers.append))
        found = [decode_table(unpack_answer(answer)) for answer in answers]
        self.assertEqual(found, [TableCopy((VERSIONED,), SEEN, True), TableCopy((RECORD,), SEEN)])


class FetchedTableTest(TestCase):
    """A router that fetched a table; no socket is opened."""

    def setUp(self):
        patcher = patch.object(fleet_view.NewsLink, "start")
        patcher.start()
        self.addCleanup(patcher.stop)
        self.view = FleetView("r", ("a",), 1, lambda body: None, Random(1))
        self.view.follow(("a",))
        self.link = next(iter(self.view._links.values()))
        self.link._epoch = "e"

    def test_table_without_versions_does_not_stand_for_the_replicas(self):
        """Guards against versions that a replica never sends, since the router seems to have them.

        The records of an earlier version's router have none.
        """
        self.view._merge_table("h", TableCopy((RECORD,), SEEN))
        self.assertEqual(self.link.seen.revision, 0)
        self.view.handle_news("a", News("e", 9, 1, False, ("a",), 1, (VERSIONED,), ()))
        self.assertEqual(self.view.targets.record_of("i-1").version, "v1.1")

    def test_table_with_versions_does(self):
        self.view._merge_table("h", TableCopy((VERSIONED,), SEEN, True))
        self.assertEqual(self.link.seen.revision, 9)
