"""Tests of the calls of operators and targets, with a log that is told what to do."""

from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.calls import (
    DIFFERENCE_ATTEMPTS,
    ControlCalls,
    PublishStatus,
    ReportOutcome,
)
from damaskwind.control.fleet.news_board import NewsBoard
from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict
from damaskwind.control.state.published_configuration import PublishedConfiguration, publish_command
from damaskwind.decisions.following.read_redirection import ReadRedirector, RelayEndpoint
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.exception import ConfigurationError
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.wire.news import NewsRequest, SubscriberKind


def decode(document):
    if not document.isdigit():
        raise ConfigurationError(["unreadable"])
    return TrafficConfiguration(int(document))


class FakeLog:
    """Commits, refuses or says nothing, as `verdict` says.

    Documents of others in `meets` are committed just before.
    """

    def __init__(self, machine):
        self.machine = machine
        self.verdict = CommitVerdict.COMMITTED
        self.is_current = True
        self.proposed = 0
        self.meets = []

    async def propose(self, payload, timeout_s):
        self.proposed += 1
        if self.meets:
            other = self.meets.pop(0)
            self.machine.apply(1, publish_command(int(other), other))
        if self.verdict is not CommitVerdict.COMMITTED:
            return CommitOutcome(self.verdict)
        return CommitOutcome(self.verdict, self.machine.apply(1, payload))

    async def read_current(self, timeout_s):
        return self.is_current


class ControlCallsTest(TestCase):
    def setUp(self):
        self.machine = PublishedConfiguration()
        self.log = FakeLog(self.machine)
        self.board = NewsBoard(lambda: 0, lambda: True, tuple)
        self.bears_a_loss = True
        self.calls = ControlCalls(
            lambda: self.log,
            lambda: self.machine,
            self.board,
            decode,
            lambda: self.bears_a_loss,
            ReadRedirector(100.0, 8101, Random(1)),
        )

    async def status(self, document):
        return (await self.calls.publish(document)).status

    @asyncio_test
    async def test_nothing_is_acknowledged_while_too_few_replicas_vote(self):
        self.bears_a_loss = False
        self.assertEqual(await self.status(b"5"), PublishStatus.UNKNOWN)
        self.assertEqual(self.machine.version, 0)
        self.bears_a_loss = True
        self.assertEqual(await self.status(b"5"), PublishStatus.ACKNOWLEDGED)

    @asyncio_test
    async def test_highest_version_holds_and_all_valid_ones_are_acknowledged(self):
        for document in (b"5", b"3", b"5", b"9"):
            self.assertEqual(await self.status(document), PublishStatus.ACKNOWLEDGED)
        self.assertEqual((await self.calls.read("o")).document, b"9")
        self.assertEqual(self.log.proposed, 2)

    @asyncio_test
    async def test_change_that_meets_others_is_written_anew_upon_them(self):
        await self.calls.publish(b"3")
        for met in (1, 2, 5):
            version = self.machine.version + 10
            self.log.meets = [b"%d" % (self.machine.version + number) for number in range(1, met)]
            before = self.log.proposed
            self.assertEqual(await self.status(b"%d" % version), PublishStatus.ACKNOWLEDGED)
            self.assertEqual(self.machine.document, b"%d" % version)
            self.assertEqual(self.log.proposed - before, min(met, DIFFERENCE_ATTEMPTS + 1))

    @asyncio_test
    async def test_invalid_ones_never_reach_the_log(self):
        for document in (b"", b"x", b"0"):
            self.assertEqual(await self.status(document), PublishStatus.INVALID)
        self.assertEqual(self.log.proposed, 0)

    @asyncio_test
    async def test_without_a_certain_commit_nothing_is_acknowledged(self):
        for verdict in (CommitVerdict.REFUSED, CommitVerdict.UNKNOWN):
            self.log.verdict = verdict
            self.assertEqual(await self.status(b"4"), PublishStatus.UNKNOWN)

    @asyncio_test
    async def test_large_document_is_read_at_a_router_with_a_wider_link(self):
        for node, rate in (("narrow", 50.0), ("wide", 1000.0)):
            place = RelayEndpoint(f"{node}.example", rate)
            request = NewsRequest(node, SubscriberKind.ROUTER, "", 0, 0, 0.0, relay=place)
            await self.board.wait_for_news(request)
        await self.calls.publish(b"1")
        self.assertEqual((await self.calls.read("o")).redirect_url, "")
        await self.calls.publish(b"123456789")
        read = await self.calls.read("o")
        self.assertEqual(
            read.redirect_url, "http://wide.example:8101/configuration?version=123456789"
        )

    @asyncio_test
    async def test_large_document_is_read_here_while_no_router_asks(self):
        await self.calls.publish(b"123456789")
        self.assertEqual((await self.calls.read("o")).redirect_url, "")

    @asyncio_test
    async def test_drain_that_does_not_come_into_force_is_not_acknowledged(self):
        """A target with its clock stepped back starts again, and soon says that it leaves.

        By its birth that is a late report of an earlier life, which changes nothing as long
        as the life held was heard in the last ten seconds. It was acknowledged all the same,
        and routers that knew nothing of it sent on: nine requests reached such a target 2.6 to
        4.3 s after its word, all that a replica had logged of it was

            target reported, phase serving, sequence 2, born_ms 1796271480150
        """
        serving = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        held = serving._replace(born_ms=9_000)
        back = serving._replace(born_ms=5_000, phase=TargetPhase.LEAVING)
        self.assertEqual(await self.calls.report(held), ReportOutcome.TAKEN)
        self.assertEqual(await self.calls.report(back), ReportOutcome.NOT_IN_FORCE)
        self.assertEqual(self.board.table.phase_of("t"), TargetPhase.SERVING)
        drain = held._replace(phase=TargetPhase.LEAVING)
        for _ in range(2):
            self.assertEqual(await self.calls.report(drain), ReportOutcome.TAKEN)

    @asyncio_test
    async def test_read_without_a_majority_or_a_disk_is_refused(self):
        await self.calls.publish(b"4")
        self.log.is_current = False
        self.assertEqual((await self.calls.read("o")).document, b"")
        self.log = None
        self.assertEqual((await self.calls.read("o")).document, b"")
        self.assertEqual(await self.status(b"8"), PublishStatus.UNKNOWN)

    @asyncio_test
    async def test_leaves_are_taken_without_a_disk(self):
        self.log = None
        await self.calls.leave("t")
        self.assertEqual(self.board.table.phase_of("t"), 2)
