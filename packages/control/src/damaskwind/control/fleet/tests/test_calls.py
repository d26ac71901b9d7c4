"""Tests of the calls of operators and targets, with a scripted log."""

from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.control.fleet.calls import (
    DIFFERENCE_ATTEMPTS,
    ControlCalls,
    PublishStatus,
    ReportOutcome,
)
from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict
from damaskwind.control.state.published_configuration import PublishedConfiguration, publish_command
from damaskwind.decisions.following.read_redirection import ReadRedirector, RelayEndpoint
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.model.exception import ConfigurationError
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.wire.news import NewsRequest, SubscriberKind


def decode(document):
    if not document.isdigit():
        raise ConfigurationError(["unreadable"])
    return TrafficConfiguration(int(document))


class FakeLog:
    """A log that returns `verdict` for each proposal, and commits if that is `COMMITTED`.

    Each proposal is preceded by the commit of one document from `competing`, if any is left.
    """

    def __init__(self, machine):
        self.machine = machine
        self.verdict = CommitVerdict.COMMITTED
        self.is_current = True
        self.proposed = 0
        self.competing = []

    async def propose(self, payload, timeout_s):
        self.proposed += 1
        if self.competing:
            other = self.competing.pop(0)
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
        self.feed = NewsFeed(lambda: 0, lambda: True, tuple)
        self.has_enough_voters = True
        self.calls = ControlCalls(
            lambda: self.log,
            lambda: self.machine,
            self.feed,
            decode,
            lambda: self.has_enough_voters,
            ReadRedirector(100.0, 8101, Random(1)),
        )

    async def status(self, document):
        return (await self.calls.publish(document)).status

    @asyncio_test
    async def test_nothing_is_acknowledged_while_too_few_replicas_vote(self):
        self.has_enough_voters = False
        self.assertEqual(await self.status(b"5"), PublishStatus.UNKNOWN)
        self.assertEqual(self.machine.version, 0)
        self.has_enough_voters = True
        self.assertEqual(await self.status(b"5"), PublishStatus.ACKNOWLEDGED)

    @asyncio_test
    async def test_highest_version_wins_and_all_valid_documents_are_acknowledged(self):
        for document in (b"5", b"3", b"5", b"9"):
            self.assertEqual(await self.status(document), PublishStatus.ACKNOWLEDGED)
        self.assertEqual((await self.calls.read("o")).document, b"9")
        self.assertEqual(self.log.proposed, 2)

    @asyncio_test
    async def test_conflicting_publication_is_retried_on_the_new_base(self):
        await self.calls.publish(b"3")
        for attempts in (1, 2, 5):
            version = self.machine.version + 10
            self.log.competing = [
                b"%d" % (self.machine.version + number) for number in range(1, attempts)
            ]
            before = self.log.proposed
            self.assertEqual(await self.status(b"%d" % version), PublishStatus.ACKNOWLEDGED)
            self.assertEqual(self.machine.document, b"%d" % version)
            self.assertEqual(self.log.proposed - before, min(attempts, DIFFERENCE_ATTEMPTS + 1))

    @asyncio_test
    async def test_invalid_documents_are_not_proposed(self):
        for document in (b"", b"x", b"0"):
            self.assertEqual(await self.status(document), PublishStatus.INVALID)
        self.assertEqual(self.log.proposed, 0)

    @asyncio_test
    async def test_without_a_certain_commit_nothing_is_acknowledged(self):
        for verdict in (CommitVerdict.REFUSED, CommitVerdict.UNKNOWN):
            self.log.verdict = verdict
            self.assertEqual(await self.status(b"4"), PublishStatus.UNKNOWN)

    @asyncio_test
    async def test_read_of_a_large_document_is_redirected_to_a_router_with_a_faster_link(self):
        for node, rate in (("narrow", 50.0), ("wide", 1000.0)):
            endpoint = RelayEndpoint(f"{node}.example", rate)
            request = NewsRequest(node, SubscriberKind.ROUTER, "", 0, 0, 0.0, relay=endpoint)
            await self.feed.wait_for_updates(request)
        await self.calls.publish(b"1")
        self.assertEqual((await self.calls.read("o")).redirect_url, "")
        await self.calls.publish(b"123456789")
        read = await self.calls.read("o")
        self.assertEqual(
            read.redirect_url, "http://wide.example:8101/configuration?version=123456789"
        )

    @asyncio_test
    async def test_large_document_is_read_locally_where_the_router_has_ended(self):
        """The only router with a faster link has ended; its subscription goes on for a while."""
        endpoint = RelayEndpoint("wide.example", 1000.0)
        request = NewsRequest("wide", SubscriberKind.ROUTER, "", 0, 0, 0.0, relay=endpoint)
        await self.feed.wait_for_updates(request)
        await self.calls.publish(b"123456789")
        started_s = read_clock()
        for silent_s, is_redirected in ((0.0, True), (1.3, True), (2.0, False), (3.9, False)):
            with override_clock(lambda silent_s=silent_s: started_s + silent_s):
                read = await self.calls.read("o")
            self.assertEqual(bool(read.redirect_url), is_redirected, silent_s)

    @asyncio_test
    async def test_large_document_is_read_locally_while_no_router_is_subscribed(self):
        await self.calls.publish(b"123456789")
        self.assertEqual((await self.calls.read("o")).redirect_url, "")

    @asyncio_test
    async def test_drain_that_is_not_applied_is_not_acknowledged(self):
        """A target restarts with its clock stepped back, and soon reports that it is leaving.

        Its start time makes that look like a late report of an older incarnation, which changes
        nothing while the stored incarnation was seen in the last ten seconds. Acknowledging it
        left routers unaware of the drain: nine requests reached such a target 2.6 to 4.3 s after
        its report, and the only log line about it was

            target reported, phase serving, sequence 2, born_ms 1796271480150
        """
        serving = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
        held = serving._replace(born_ms=9_000)
        back = serving._replace(born_ms=5_000, phase=TargetPhase.LEAVING)
        self.assertEqual(await self.calls.report(held), ReportOutcome.ACCEPTED)
        self.assertEqual(await self.calls.report(back), ReportOutcome.NOT_IN_FORCE)
        self.assertEqual(self.feed.table.phase_of("t"), TargetPhase.SERVING)
        drain = held._replace(phase=TargetPhase.LEAVING)
        for _ in range(2):
            self.assertEqual(await self.calls.report(drain), ReportOutcome.ACCEPTED)

    @asyncio_test
    async def test_read_without_a_majority_or_a_disk_is_refused(self):
        await self.calls.publish(b"4")
        self.log.is_current = False
        self.assertEqual((await self.calls.read("o")).document, b"")
        self.log = None
        self.assertEqual((await self.calls.read("o")).document, b"")
        self.assertEqual(await self.status(b"8"), PublishStatus.UNKNOWN)

    @asyncio_test
    async def test_leaves_are_accepted_without_a_disk(self):
        self.log = None
        await self.calls.leave("t")
        self.assertEqual(self.feed.table.phase_of("t"), 2)
