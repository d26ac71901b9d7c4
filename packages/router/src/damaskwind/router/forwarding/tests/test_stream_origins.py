"""Tests of routers that write down, at replicas, which versions began streams, and look it up."""

import asyncio
import socket
from itertools import count
from random import Random

from twisted.trial.unittest import TestCase

from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.streams.holders import choose_holders
from damaskwind.decisions.streams.origin_table import (
    OriginEntry,
    OriginTable,
    attempt_key,
    content_key,
)
from damaskwind.model.targets import Address
from damaskwind.router.forwarding import origin_link, origin_relay
from damaskwind.router.forwarding.call import Call, CallFacts
from damaskwind.router.forwarding.fleet_view import FleetView
from damaskwind.router.forwarding.stream_origins import MARGIN_S, StreamOrigins
from damaskwind.router.forwarding.tests.bench import route
from damaskwind.runtime.bridge import asyncio_test, to_deferred
from damaskwind.runtime.clock import override_clock, read_clock
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.server import HttpServer, ServerLimits
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import News
from damaskwind.wire.stream_origins import OriginAnswer, decode_call, encode_message

REPLICAS = 3
# Entries that nobody waits for are sent after `LAZY_S` here, and have arrived after `SETTLED_S`.
LAZY_S = 0.1
SETTLED_S = LAZY_S + 0.15
# Callers may wait this long beside a replica that hangs or is down.
PROMPT_S = 0.1
DIGESTS = count(1)


def outcome(name):
    """Return the labels of a count of written streams."""
    return (("outcome", name),)


class StandInReplica:
    """Holds streams as a replica does; it may hang, and answer as one of an earlier version.

    It tells the versions `known`, unless it `is_former` and refuses questions for these.
    """

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.starts = 0
        self.is_hanging = self.is_old = self.is_former = False
        self.is_settled = True
        self.answers_after_s = 0.0
        self.known = ()
        self.named = ()
        self.calls = []
        self.start()

    def start(self):
        """Start with an empty memory, under a new epoch."""
        self.starts += 1
        self.table = OriginTable(10_000)
        self.server = HttpServer(self.handle, ServerLimits())
        self.server.listen(self.host, self.port)

    async def kill(self):
        await self.server.stop_listening()
        self.server.abort()

    async def handle(self, exchange):
        if self.is_old:
            exchange.respond(Answer(404, []))
            return
        if self.is_hanging:
            await asyncio.sleep(5.0)
        await asyncio.sleep(self.answers_after_s)
        call = decode_call(exchange.request.body)
        if self.is_former and call.services:
            exchange.respond(Answer(400, []))
            return
        self.calls.append(call)
        now_s = read_clock()
        for entry in call.entries:
            self.table.merge(entry, now_s)
        found = tuple(tuple(sorted(self.table.versions(key, now_s))) for key in call.keys)
        answer = OriginAnswer(found)
        if call.services:
            known = (self.known,) * len(call.services)
            answer = OriginAnswer(found, known, self.named, self.is_settled)
        exchange.respond(Answer(200, [], encode_message(answer)))

    @property
    def entries(self):
        return [entry for call in self.calls for entry in call.entries]


class Router:
    """A router's view and its knowledge of streams, without its sockets."""

    def __init__(self, hosts, port):
        self.view = FleetView("router", (), port, lambda body: None, Random(1))
        self.tallies = Tallies()
        self.origins = StreamOrigins(self.view, self.tallies)
        for host in hosts:
            self.view.origins.follow(host)

    def know(self, *versions, phase=TargetPhase.SERVING):
        """Learn of a target of each version; return the records."""
        records = [
            TargetRecord(f"t-{version}", "pool", Address("127.0.0.1", 1), "d", phase, 1)._replace(
                version=version
            )
            for version in versions
        ]
        for record in records:
            self.view.targets.merge(record, read_clock())
        return records

    def hear(self, replica):
        """Receive an update without content from a replica."""
        epoch = f"{replica.host}-{replica.starts}"
        news = News(epoch, 0, 0, True, (), 1, (), ())
        self.view.handle_news(replica.host, news)

    def call(self, attempt_id=b"", resumes=None, digest=None, wait_s=1.5, timeout_s=2.0):
        facts = CallFacts(attempt_id, wait_s, True, (), b"3" if resumes else None)
        facts = facts._replace(resumes=resumes)
        digest = digest or b"%08d" % next(DIGESTS)
        made = route(timeout_s=timeout_s, is_resumable=True)
        return Call(facts, made, None, "pool", 1, read_clock(), digest)

    async def begin(self, attempt_id, version, **facts):
        """Begin a stream, or go on with one; return how long it waited."""
        (record,) = self.know(version)
        started_s = read_clock()
        await self.origins.record(self.call(attempt_id, **facts), record)
        return read_clock() - started_s

    async def take_up(self, resumes, attempt_id=b"next", **facts):
        return await self.origins.resolve(self.call(attempt_id, resumes, **facts))


class OriginsTestCase(TestCase):
    timeout = 20

    def setUp(self):
        return to_deferred(self.start())

    async def start(self):
        self.patch(origin_link, "LAZY_S", LAZY_S)
        third = Random().randrange(1, 250)
        hosts = [f"127.78.{third}.{number + 1}" for number in range(REPLICAS)]
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            self.port = probe.getsockname()[1]
        self.replicas = [StandInReplica(host, self.port) for host in hosts]
        self.name_replicas(*self.replicas)
        self.routers = []
        self.addCleanup(lambda: to_deferred(self.finish()))

    async def finish(self):
        for router in self.routers:
            await router.view.stop()
        for replica in self.replicas:
            await replica.kill()
        await asyncio.sleep(0.05)

    def router(self, *versions, replicas=None):
        hosts = [replica.host for replica in replicas or self.replicas]
        router = Router(hosts, self.port)
        self.routers.append(router)
        router.know(*versions)
        return router

    def name_replicas(self, *replicas):
        """Let all replicas name some as all there are."""
        for replica in self.replicas:
            replica.named = tuple(one.host for one in replicas)

    async def kill_replicas(self, *replicas):
        for replica in replicas or self.replicas:
            await replica.kill()

    def check_refused(self, verdict, is_retried):
        self.assertTrue(verdict.is_refused)
        self.assertIsNone(verdict.version)
        self.assertEqual(verdict.retry_after_s is not None, is_retried)


class TakenUpTest(OriginsTestCase):
    @asyncio_test
    async def test_another_router_knows_the_version_after_the_first_was_killed(self):
        """Guards against a stream whose version died with its router."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        await first.begin(b"a", "v1")
        await first.begin(b"b", "v2")
        await first.view.stop()
        self.assertEqual((await second.take_up(b"a")).version, "v1")
        self.assertEqual((await second.take_up(b"b")).version, "v2")

    @asyncio_test
    async def test_the_same_router_needs_no_replica(self):
        """Guards against refusals where the router knows the answer itself."""
        router = self.router("v1", "v2")
        await router.begin(b"a", "v1")
        await self.kill_replicas()
        self.assertEqual((await router.take_up(b"a")).version, "v1")

    @asyncio_test
    async def test_chain_of_routers_keeps_the_version_of_the_first(self):
        """Guards against a stream that is forgotten once a second router took it up."""
        routers = [self.router("v1", "v2", "v3") for _ in range(4)]
        await routers[0].begin(b"a", "v2")
        for number, router in enumerate(routers[1:], 1):
            verdict = await router.take_up(b"a", b"try-%d" % number)
            self.assertEqual(verdict.version, "v2")
            await router.begin(b"try-%d" % number, "v2", resumes=b"a")
            await router.view.stop()
        last = self.router("v1", "v2", "v3")
        for named in (b"a", b"try-1", b"try-2", b"try-3"):
            self.assertEqual((await last.take_up(named)).version, "v2")

    @asyncio_test
    async def test_chain_outlives_the_deadline_of_its_first_try(self):
        """Guards against a stream whose version expires while it is being taken up."""
        first, second, third = (self.router("v1", "v2") for _ in range(3))
        start_s, later_s = read_clock(), 0.0
        with override_clock(lambda: start_s + later_s):
            await first.begin(b"a", "v1", wait_s=1.5)
            later_s = MARGIN_S
            self.assertEqual((await second.take_up(b"a")).version, "v1")
            await second.begin(b"b", "v1", resumes=b"a", wait_s=1.5)
            later_s = 2 * MARGIN_S
            self.assertEqual((await third.take_up(b"a")).version, "v1")
            later_s = 3 * MARGIN_S
            self.check_refused(await third.take_up(b"a"), is_retried=False)

    @asyncio_test
    async def test_first_attempt_without_an_event_does_not_count(self):
        """Guards against the version of a target that broke off before its first event."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        call = first.call(b"a")
        for record in first.know("v1", "v2"):
            await first.origins.record(call, record)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual((await second.take_up(b"a")).version, "v2")

    @asyncio_test
    async def test_holder_that_missed_the_second_write_does_not_name_the_first_version(self):
        """Guards against a stream that goes on at the target that broke off before its first event.

        The holder that is asked first took the first write and was cut off before the second.
        """
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        for replica in self.replicas:
            first.hear(replica)
        call = first.call(b"a")
        before, after = first.know("v1", "v2")
        self.assertFalse(await first.origins.record(call, before))
        order = choose_holders(attempt_key("pool", b"a"), [r.host for r in self.replicas], ())
        holder = next(replica for replica in self.replicas if replica.host == order[0])
        holder.is_hanging = True
        is_unsure = await first.origins.record(call, after)
        holder.is_hanging = False
        await first.view.stop()
        if not is_unsure:
            self.assertNotEqual((await second.take_up(b"a")).version, "v1")

    @asyncio_test
    async def test_holder_that_is_down_keeps_no_stream_from_beginning_elsewhere(self):
        """Guards against a wait for a replica whose memory is lost in any case."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        call = first.call(b"a")
        before, after = first.know("v1", "v2")
        await first.origins.record(call, before)
        order = choose_holders(attempt_key("pool", b"a"), [r.host for r in self.replicas], ())
        await next(replica for replica in self.replicas if replica.host == order[0]).kill()
        self.assertFalse(await first.origins.record(call, after))
        self.assertEqual((await second.take_up(b"a")).version, "v2")

    @asyncio_test
    async def test_id_used_twice_at_two_versions_is_refused(self):
        """Guards against a guess where two streams have the same id."""
        first, second, third = (self.router("v1", "v2") for _ in range(3))
        await first.begin(b"a", "v1")
        await second.begin(b"a", "v2")
        await asyncio.sleep(SETTLED_S)
        self.check_refused(await third.take_up(b"a"), is_retried=False)

    @asyncio_test
    async def test_unknown_stream_of_several_versions_is_refused_at_once(self):
        """Guards against a guess, and against a caller that waits for a refusal."""
        router = self.router("v1", "v2")
        started_s = read_clock()
        self.check_refused(await router.take_up(b"a"), is_retried=False)
        self.assertLess(read_clock() - started_s, PROMPT_S)

    @asyncio_test
    async def test_service_without_versions_is_left_alone(self):
        """Guards against calls and refusals where nothing is known of versions."""
        router = self.router("")
        await router.begin(b"a", "")
        verdict = await router.take_up(b"a")
        self.assertEqual((verdict.version, verdict.is_refused), (None, False))
        self.assertEqual([replica.calls for replica in self.replicas], [[], [], []])


class ContentTest(OriginsTestCase):
    @asyncio_test
    async def test_caller_that_names_no_attempt_is_known_by_its_request(self):
        """Guards against callers that send Last-Event-Id alone."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        await first.begin(b"a", "v2", digest=b"content1")
        verdict = await second.take_up(None, digest=b"content1")
        self.assertEqual(verdict.version, "v2")
        self.check_refused(await second.take_up(None, digest=b"content2"), is_retried=False)

    @asyncio_test
    async def test_same_content_at_two_versions_is_refused(self):
        """Guards against a guess between two streams of the same request."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        await first.begin(b"a", "v1", digest=b"content1")
        await first.begin(b"b", "v2", digest=b"content1")
        for router in (first, second):
            verdict = await router.take_up(None, digest=b"content1")
            self.check_refused(verdict, is_retried=False)
        self.assertEqual((await second.take_up(b"a", digest=b"content1")).version, "v1")

    @asyncio_test
    async def test_only_version_that_is_known_is_not_taken_without_asking(self):
        """Guards against a stream that is joined at a router which knows one version alone."""
        first, second = self.router("v1"), self.router("v2")
        await first.begin(b"a", "v1", digest=b"content1")
        self.assertEqual((await second.take_up(None, digest=b"content1")).version, "v1")

    @asyncio_test
    async def test_only_version_of_a_stream_without_a_record_takes_one_question(self):
        """Guards against several calls to each replica, and a wait, while one version serves."""
        router = self.router("v1")
        started_s = read_clock()
        self.assertEqual((await router.take_up(None)).version, "v1")
        self.assertLess(read_clock() - started_s, PROMPT_S)
        self.assertLessEqual(max(len(replica.calls) for replica in self.replicas), 1)


class OneVersionTest(OriginsTestCase):
    @asyncio_test
    async def test_stream_is_written_down_while_one_version_is_known(self):
        """Guards against a stream that only routers know, all of which may be killed."""
        first, second = self.router("v1"), self.router("v2")
        waits = [await first.begin(b"%d" % number, "v1") for number in range(30)]
        # As many calls as where several versions are known.
        self.assertLessEqual(sum(len(replica.calls) for replica in self.replicas), 33)
        self.assertLess(sorted(waits)[15], origin_relay.HEDGE_S)
        await first.view.stop()
        for number in range(30):
            self.assertEqual((await second.take_up(b"%d" % number)).version, "v1")

    @asyncio_test
    async def test_streams_in_flight_are_written_down_when_a_second_version_comes(self):
        """Guards against streams that began before a release and break in it."""
        first, second = self.router("v1"), self.router("v1", "v2")
        begun = (first.begin(b"%d" % number, "v1") for number in range(600))
        await asyncio.gather(*begun)
        first.know("v2")
        first.hear(self.replicas[0])
        await asyncio.sleep(SETTLED_S)
        await first.view.stop()
        calls = sum(len(replica.calls) for replica in self.replicas)
        self.assertLessEqual(calls, 4 * REPLICAS)
        for number in (0, 300, 599):
            self.assertEqual((await second.take_up(b"%d" % number)).version, "v1")

    @asyncio_test
    async def test_stream_does_not_wait_for_targets_of_any_version(self):
        """Guards against a new router that goes on at the first target it knows."""
        self.check_refused(await self.router().take_up(b"a"), is_retried=True)
        self.check_refused(await self.router().take_up(None), is_retried=True)

    async def take_up_both_ways(self, router):
        """Take a stream up by the attempt's id, and one by its content."""
        return [await router.take_up(b"a"), await router.take_up(None)]

    @asyncio_test
    async def test_replicas_tell_a_router_of_a_version_that_it_has_not_heard_of(self):
        """Guards against a router that has just heard all replicas, but not of all targets."""
        router = self.router("v1")
        for replica in self.replicas:
            replica.known = ("v1",)
            router.hear(replica)
        # One replica is enough: the others may not have heard of the release either.
        self.replicas[1].known = ("v1", "v2")
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=False)

    @asyncio_test
    async def test_answers_that_tell_no_versions_make_no_router_informed(self):
        """Guards against replicas of an earlier version, which don't say what they know."""
        router = self.router("v1")
        for replica in self.replicas:
            router.hear(replica)
        self.replicas[0].is_former = True
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_replica_that_has_just_restarted_proves_nothing(self):
        """Guards against a stream whose only record was lost with a replica's memory."""
        router = self.router("v1")
        self.replicas[2].is_settled = False
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_replica_that_the_router_has_not_heard_of_may_hold_the_stream(self):
        """Guards against answers of all replicas that a router knows, which are not all."""
        router = self.router("v1", replicas=self.replicas[:2])
        self.replicas[1].named = self.replicas[1].named[:2]
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_replica_that_was_removed_is_not_needed(self):
        """Guards against refusals for good after a replica was replaced."""
        router = self.router("v1")
        await self.kill_replicas(self.replicas[0])
        self.name_replicas(*self.replicas[1:])
        for verdict in await self.take_up_both_ways(router):
            self.assertEqual(verdict.version, "v1")

    @asyncio_test
    async def test_replica_that_knows_no_others_proves_nothing(self):
        """Guards against the word of a replica that has not read its log yet."""
        router = self.router("v1")
        self.replicas[0].named = ()
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_stream_that_is_on_record_goes_on_beside_replicas_of_an_earlier_version(self):
        """Guards against calls that an earlier version refuses, in a release of our own."""
        for replica in self.replicas:
            replica.is_former = True
        first, second = self.router("v1"), self.router("v1")
        await first.begin(b"a", "v1")
        self.assertEqual((await second.take_up(b"a")).version, "v1")
        self.assertEqual((await second.take_up(b"a", b"again")).version, "v1")
        outcomes = first.tallies.totals("streams_written")
        self.assertEqual(outcomes, {outcome("confirmed"): 1})

    @asyncio_test
    async def test_caller_is_asked_back_if_no_target_of_its_version_is_known_here_yet(self):
        """Guards against a caller that gives up, though a target of its version serves."""
        informed, late = self.router("v1", "v2"), self.router("v1")
        await informed.begin(b"a", "v2")
        for replica in self.replicas:
            replica.known = ("v1", "v2")
        self.check_refused(await late.take_up(b"a"), is_retried=True)
        late.know("v2")
        self.assertEqual((await late.take_up(b"a")).version, "v2")

    @asyncio_test
    async def test_streams_do_not_wait_for_replicas_that_were_not_heard_since_a_failure(self):
        """Guards against first events that come late for as long as a router is cut off."""
        router = self.router("v1")
        for replica in self.replicas:
            replica.is_hanging = True
        await asyncio.gather(*(router.begin(b"%d" % number, "v1") for number in range(9)))
        await asyncio.sleep(1.0)
        waits = [await router.begin(b"%d" % number, "v1") for number in range(9, 18)]
        self.assertLess(max(waits), origin_relay.HEDGE_S)

    @asyncio_test
    async def test_router_that_knows_one_version_alone_asks_first(self):
        """Guards against a router that hears of a release later than the others."""
        informed, late = self.router("v1", "v2"), self.router("v1")
        await informed.begin(b"a", "v2")
        self.assertEqual((await late.take_up(b"a")).version, "v2")

    @asyncio_test
    async def test_replicas_that_are_down_are_no_proof(self):
        """Guards against refused connections being taken for an end that others know of too.

        What refuses them may be the router's own path, while others write and hear.
        """
        router = self.router("v1")
        for replica in self.replicas:
            router.hear(replica)
        await self.kill_replicas()
        started_s = read_clock()
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)
        self.assertLess(read_clock() - started_s, PROMPT_S)

    @asyncio_test
    async def test_one_replica_that_is_down_is_no_proof(self):
        """Guards against a record that only the replica which doesn't answer holds."""
        router = self.router("v1")
        await self.kill_replicas(self.replicas[0])
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_router_that_is_cut_off_does_not_take_its_version_for_the_only_one(self):
        """Guards against joined streams at a router that heard all replicas a moment ago."""
        router = self.router("v1")
        for replica in self.replicas:
            router.hear(replica)
            replica.is_hanging = True
        for verdict in await self.take_up_both_ways(router):
            self.check_refused(verdict, is_retried=True)

    @asyncio_test
    async def test_late_answer_is_waited_for(self):
        """Guards against a stream that goes on at another version, as its record came late."""
        informed, late = self.router("v1", "v2"), self.router("v1")
        await informed.begin(b"a", "v2", digest=b"content1")
        for replica in self.replicas:
            replica.answers_after_s = 0.2
        self.assertEqual((await late.take_up(b"a")).version, "v2")
        self.assertEqual((await late.take_up(None, digest=b"content1")).version, "v2")

    @asyncio_test
    async def test_content_at_another_version_at_a_replica_that_answers_late_is_refused(self):
        """Guards against the version of another stream, which the first answer names."""
        router = self.router("v1", "v2")
        for replica, version in zip(self.replicas, ("v1", "v2", "v2"), strict=True):
            replica.answers_after_s = 0.1 if version == "v1" else 0.0
            key = content_key("pool", b"content1")
            replica.table.merge(OriginEntry((key,), version, 7, 1, 60_000), read_clock())
        verdict = await router.take_up(None, digest=b"content1")
        self.check_refused(verdict, is_retried=False)
        self.replicas[0].is_hanging = True
        verdict = await router.take_up(None, digest=b"content1")
        self.check_refused(verdict, is_retried=True)


class ReplicasTest(OriginsTestCase):
    @asyncio_test
    async def test_first_replica_is_called_once_a_stream_and_the_others_get_batches(self):
        """Guards against three calls a stream, which are most of its price."""
        router = self.router("v1", "v2")
        for number in range(30):
            await router.begin(b"%d" % number, "v1")
        await asyncio.sleep(SETTLED_S)
        for replica in self.replicas:
            self.assertEqual(len({entry.keys for entry in replica.entries}), 30)
        self.assertLessEqual(
            sum(len(replica.calls) for replica in self.replicas), 30 + 2 * REPLICAS
        )

    @asyncio_test
    async def test_streams_at_once_share_calls(self):
        """Guards against a call for each of many streams that begin together."""
        router = self.router("v1", "v2")
        streams = (router.begin(b"%d" % number, "v1") for number in range(60))
        await asyncio.gather(*streams)
        await asyncio.sleep(SETTLED_S)
        self.assertLessEqual(sum(len(replica.calls) for replica in self.replicas), 9)
        self.assertEqual(router.tallies.totals("streams_written"), {outcome("confirmed"): 60})

    @asyncio_test
    async def test_killed_replica_is_replaced_by_another_within_the_time(self):
        """Guards against streams that are written down nowhere since one replica is down."""
        # Long enough that a busy machine causes no call of its own.
        self.patch(origin_relay, "HEDGE_S", 0.3)
        self.patch(origin_relay, "CONFIRM_S", 1.0)
        for killed in self.replicas:
            await killed.kill()
            first, second = self.router("v1", "v2"), self.router("v1", "v2")
            waits = [await first.begin(b"%d" % number, "v1") for number in range(9)]
            self.assertLess(max(waits), 1.0)
            # Only the first is tried at the replica that is down.
            self.assertLess(sorted(waits)[-2], origin_relay.HEDGE_S)
            self.assertLessEqual(sum(first.tallies.totals("stream_write_hedges").values()), 1)
            await first.view.stop()
            for number in range(9):
                self.assertEqual((await second.take_up(b"%d" % number)).version, "v1")
            killed.start()

    @asyncio_test
    async def test_replica_that_hangs_does_not_hold_up_the_first_event(self):
        """Guards against a wait for a replica that is cut off."""
        for replica in self.replicas[:2]:
            replica.is_hanging = True
        router = self.router("v1", "v2")
        waits = [await router.begin(b"%d" % number, "v1") for number in range(9)]
        self.assertLess(max(waits), PROMPT_S)
        outcomes = router.tallies.totals("streams_written")
        self.assertEqual(outcomes, {outcome("confirmed"): 9})

    @asyncio_test
    async def test_first_event_waits_for_a_confirmation_that_is_late(self):
        """Guards against streams without a record, whose router is then killed."""
        for replica in self.replicas:
            replica.answers_after_s = 0.2
        first, second = self.router("v1"), self.router("v1", "v2")
        begun = (first.begin(b"%d" % number, "v1") for number in range(20))
        waits = await asyncio.gather(*begun)
        self.assertGreater(min(waits), 0.19)
        self.assertEqual(first.tallies.totals("streams_written"), {outcome("confirmed"): 20})
        await first.view.stop()
        for number in (0, 10, 19):
            self.assertEqual((await second.take_up(b"%d" % number)).version, "v1")

    @asyncio_test
    async def test_stream_is_confirmed_elsewhere_after_the_call_to_its_holder_failed(self):
        """Guards against streams without a record, after a burst at a replica that is cut off."""
        router = self.router("v1")
        self.replicas[0].is_hanging = True
        waits = await asyncio.gather(*(router.begin(b"%d" % n, "v1") for n in range(300)))
        self.assertEqual(router.tallies.totals("streams_written"), {outcome("confirmed"): 300})
        self.assertLess(max(waits), 0.6)

    @asyncio_test
    async def test_first_event_does_not_wait_for_replicas_of_an_earlier_version(self):
        """Guards against a wait for those that hold no streams."""
        for replica in self.replicas:
            replica.is_old = True
        router = self.router("v1")
        waits = [await router.begin(b"%d" % number, "v1") for number in range(9)]
        self.assertLess(max(waits), PROMPT_S)

    @asyncio_test
    async def test_without_replicas_streams_begin_and_are_counted(self):
        """Guards against streams that wait for replicas, and against silence about it."""
        await self.kill_replicas()
        router = self.router("v1", "v2")
        waits = await asyncio.gather(*(router.begin(b"%d" % n, "v1") for n in range(50)))
        self.assertLess(max(waits), PROMPT_S + 0.1)
        self.assertEqual(router.tallies.totals("streams_written"), {outcome("late"): 50})
        other = self.router("v1", "v2")
        self.check_refused(await other.take_up(b"1"), is_retried=True)

    @asyncio_test
    async def test_replica_gets_what_it_lacks_when_it_is_heard_again(self):
        """Guards against streams that stay unknown after a cut."""
        await self.kill_replicas()
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        await first.begin(b"a", "v1")
        for replica in self.replicas:
            replica.start()
            first.hear(replica)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual((await second.take_up(b"a")).version, "v1")

    @asyncio_test
    async def test_restarted_replica_is_sent_again_what_it_held(self):
        """Guards against a replica that lost its memory, and is then the only one left."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        for replica in self.replicas:
            first.hear(replica)
        await first.begin(b"a", "v1")
        await asyncio.sleep(SETTLED_S)
        for replica in self.replicas:
            await replica.kill()
            replica.start()
            first.hear(replica)
        await asyncio.sleep(SETTLED_S)
        await first.view.stop()
        await self.kill_replicas(*self.replicas[1:])
        self.assertEqual((await second.take_up(b"a")).version, "v1")

    @asyncio_test
    async def test_take_up_does_not_wait_for_a_replica_that_hangs(self):
        """Guards against a first event that comes late since one replica is cut off."""
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        await first.begin(b"a", "v1")
        await asyncio.sleep(SETTLED_S)
        self.replicas[0].is_hanging = True
        started_s = read_clock()
        self.assertEqual((await second.take_up(b"a")).version, "v1")
        self.assertLess(read_clock() - started_s, PROMPT_S)

    @asyncio_test
    async def test_replica_of_an_earlier_version_holds_nothing_and_is_not_asked_again(self):
        """Guards against calls that can't succeed, and waits for them, in a release of our own."""
        for replica in self.replicas[:2]:
            replica.is_old = True
        first, second = self.router("v1", "v2"), self.router("v1", "v2")
        waits = [await first.begin(b"%d" % number, "v1") for number in range(9)]
        self.assertLess(sorted(waits)[-3], origin_relay.HEDGE_S)
        self.assertEqual((await second.take_up(b"5")).version, "v1")

    @asyncio_test
    async def test_stream_of_a_very_long_timeout_keeps_no_other_from_being_written(self):
        """Guards against an entry that replicas refuse, and with it each call that carries it."""
        router = self.router("v1", "v2")
        year_s = 365 * 86400.0
        await router.begin(b"long", "v1", wait_s=year_s, timeout_s=year_s)
        await router.begin(b"a", "v1")
        outcomes = router.tallies.totals("streams_written")
        self.assertEqual(outcomes, {outcome("confirmed"): 2})

    @asyncio_test
    async def test_router_keeps_a_bounded_number_of_streams(self):
        """Guards against a router's memory that grows with its streams."""
        await self.kill_replicas()
        router = self.router("v1")
        for number in range(origin_relay.MAX_STREAMS + 50):
            await router.begin(b"%d" % number, "v1", wait_s=60.0, timeout_s=60.0)
        relay = router.view.origins
        self.assertEqual(len(relay._streams), origin_relay.MAX_STREAMS)
        self.assertLessEqual(len(relay.table), origin_relay.MAX_KEYS)
        router.know("v2")
        await router.begin(b"last", "v2", wait_s=60.0, timeout_s=60.0)
        pending = [link.pending for link in relay._links.values()]
        self.assertLessEqual(max(pending), origin_relay.MAX_STREAMS)
