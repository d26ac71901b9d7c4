"""Tests of streams of a service whose targets run different software versions."""

import asyncio

from damaskwind.decisions.load.held_requests import TargetLoad
from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.decisions.target_signals.answer_signals import AnswerSignals
from damaskwind.model.traffic_configuration import RouteKind, ServiceShare
from damaskwind.router.forwarding.stream_origins import OriginVerdict
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase, route
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.runtime.http1.messages import header
from damaskwind.standins.scripted_target import ScriptedTarget, cut_stream, plain, stream

STREAM = {"kind": RouteKind.STREAMING, "is_resumable": True}


class StreamVersionsTestCase(ForwarderTestCase):
    """Targets that run the given versions; `recorded` lists the versions put on record."""

    versions = ("v1", "v2", "v1")

    async def start(self):
        await super().start()
        while len(self.targets) < len(self.versions):
            self.targets.append(ScriptedTarget(NAMES))
            self.admit(f"t{len(self.targets) - 1}", await self.targets[-1].start())
        for number, version in enumerate(self.versions):
            self.run_version(f"t{number}", version)
        self.publish(route(**STREAM, max_attempts=3), version=2)
        self.recorded = []
        self.forwarder.origins.record = self.record

    async def record(self, call, target):
        self.recorded.append(target.version)

    def run_version(self, target_id, version, **changes):
        """Let a target report a software version."""
        known = self.view.targets.record_of(target_id)
        record = known._replace(sequence=known.sequence + 1, version=version, **changes)
        self.view.targets.merge(record, read_clock())

    def asked_versions(self):
        """Return the versions of the targets that were asked, the first one first."""
        asked = [
            (request, version)
            for target, version in zip(self.targets, self.versions, strict=True)
            for request in target.received
        ]
        return [
            version
            for request, version in sorted(
                asked, key=lambda item: int(item[0].headers.get(b"last-event-id", b"0"))
            )
        ]

    def forget_requests(self):
        for target in self.targets:
            target.received.clear()


class RouterGoesOnTest(StreamVersionsTestCase):
    @asyncio_test
    async def test_stream_goes_on_at_a_target_of_the_same_version_only(self):
        """Guards against events of two versions in one answer."""
        for number in range(12):
            self.share(cut_stream(1, 3), stream(4, 6))
            self.forget_requests()
            try:
                answer = await self.call(request_id=b"r%d" % number)
            except AnswerBrokenError:
                # Only one target runs the version of the second one.
                self.assertEqual(self.asked_versions(), ["v2"])
                continue
            self.assertEqual(answer.body.count(b"id: "), 6)
            self.assertEqual(self.asked_versions(), ["v1", "v1"])

    @asyncio_test
    async def test_choice_is_free_before_an_event_was_delivered(self):
        """Guards against streams that are broken off although the caller has no event yet."""
        self.versions = ("v1", "v2")
        self.view.targets.leave("t2", read_clock())
        self.targets.pop()
        self.share(cut_stream(1, 0), stream(1, 3))
        answer = await self.call()
        self.assertEqual(answer.body.count(b"id: "), 3)
        self.assertEqual(sorted(self.recorded), ["v1", "v2"])

    @asyncio_test
    async def test_answer_of_a_target_whose_version_changed_is_not_forwarded(self):
        """Guards against a record of a former incarnation that stands for the one that serves."""
        served = []

        async def change(writer, request):
            name = request.headers[b"x-expect-target"].decode()
            self.run_version(name, "v3", born_ms=5)
            served.append(name)
            await stream(1, 3)(writer, request)

        self.share(change, stream(1, 3))
        answer = await self.call()
        self.assertEqual(answer.body.count(b"id: "), 3)
        self.assertEqual(len(self.received()), 2)
        self.assertEqual(len(served), 1)

    @asyncio_test
    async def test_stream_ends_if_the_target_that_began_it_is_back_with_other_software(self):
        """Guards against events of a life whose report came late.

        The life that serves may have been the later one, which had not reported yet.
        """
        self.view.targets.leave("t1", read_clock())

        async def change(writer, request):
            with self.assertRaises(ConnectionError):
                await cut_stream(1, 3)(writer, request)
            await asyncio.sleep(0.05)
            self.run_version(request.headers[b"x-expect-target"].decode(), "v3")
            raise ConnectionError("scripted end")

        self.share(change, stream(4, 6))
        with self.assertRaises(AnswerBrokenError):
            await self.call()
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_version_is_on_record_before_the_first_byte_reaches_the_caller(self):
        """Guards against a caller that comes back before any router knows who began its stream."""
        is_recorded = asyncio.Event()

        async def record(call, target):
            await is_recorded.wait()

        self.forwarder.origins.record = record
        self.share(stream(1, 3))
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.received()), 1)
        self.assertFalse(calling.done())
        is_recorded.set()
        self.assertEqual((await calling).body.count(b"id: "), 3)


class UnsureRecordTest(StreamVersionsTestCase):
    @asyncio_test
    async def test_stream_does_not_begin_at_a_version_beside_which_another_is_on_record(self):
        """Guards against a caller that comes back and is sent on to the version before."""
        self.versions = ("v1", "v2")
        self.view.targets.leave("t2", read_clock())
        self.targets.pop()

        async def record(call, target):
            self.recorded.append(target.version)
            return len(self.recorded) == 2

        self.forwarder.origins.record = record
        self.share(cut_stream(1, 0), stream(1, 3))
        try:
            answer = await self.call()
        except AnswerBrokenError:
            answer = None
        self.assertEqual(sorted(self.recorded), ["v1", "v2"])
        if answer is not None:
            self.assertEqual((answer.status, answer.body.count(b"id: ")), (502, 0))


class LateVersionTest(StreamVersionsTestCase):
    """Routers learn the versions of targets after replicas of an earlier version are replaced."""

    versions = ("", "", "")

    def learn_versions(self):
        for number in range(len(self.versions)):
            self.run_version(f"t{number}", "v1")

    @asyncio_test
    async def test_answer_of_a_target_whose_version_becomes_known_is_forwarded(self):
        """Guards against all streams that begin then being sent twice."""

        async def learn(writer, request):
            self.learn_versions()
            await stream(1, 3)(writer, request)

        self.share(learn, stream(1, 3))
        self.assertEqual((await self.call()).body.count(b"id: "), 3)
        self.assertEqual(len(self.received()), 1)

    @asyncio_test
    async def test_stream_goes_on_at_the_version_that_becomes_known(self):
        async def learn(writer, request):
            with self.assertRaises(ConnectionError):
                await cut_stream(1, 3)(writer, request)
            await asyncio.sleep(0.05)
            self.learn_versions()
            raise ConnectionError("scripted end")

        self.share(learn, stream(4, 6))
        self.assertEqual((await self.call()).body.count(b"id: "), 6)
        self.assertEqual(len(self.received()), 2)


class CallerTakesUpTestCase(StreamVersionsTestCase):
    """A caller goes on after event 3; `verdict` is what is known of who began its stream."""

    async def start(self):
        await super().start()
        self.verdict = OriginVerdict("v1")
        self.resolved = []
        self.forwarder.origins.resolve = self.resolve

    async def resolve(self, call):
        self.resolved.append((call.facts.resumes, call.facts.resume_after))
        return self.verdict

    async def take_up(self, number=0, **extra):
        extra = {"last_event_id": b"3", "x_resumes": b"a1", **extra}
        return await self.call(request_id=b"r%d" % number, **extra)


class CallerTakesUpTest(CallerTakesUpTestCase):
    async def check_refused(self, may_retry):
        answer = await self.take_up()
        self.assertEqual((answer.status, self.received()), (503, []))
        self.assertEqual(header(answer.headers, b"retry-after") is not None, may_retry)

    @asyncio_test
    async def test_stream_goes_on_at_the_version_that_began_it(self):
        """Guards against events of two versions over a caller's tries."""
        self.script(*[stream(4, 6)] * 20)
        for number in range(12):
            self.assertEqual((await self.take_up(number)).status, 200)
        self.assertEqual(set(self.asked_versions()), {"v1"})
        self.assertEqual(set(self.resolved), {(b"a1", b"3")})
        self.assertEqual(self.recorded, ["v1"] * 12)

    @asyncio_test
    async def test_only_streams_that_are_taken_up_are_looked_up(self):
        self.script(*[stream(1, 3)] * 4)
        await self.take_up(last_event_id=None)
        self.publish(route(kind=RouteKind.STREAMING), version=3)
        await self.take_up(1)
        self.assertEqual(self.resolved, [])

    @asyncio_test
    async def test_stream_may_go_on_anywhere_if_the_verdict_says_so(self):
        self.verdict = OriginVerdict()
        self.script(*[stream(4, 6)] * 20)
        for number in range(12):
            await self.take_up(number)
        self.assertEqual(set(self.asked_versions()), {"v1", "v2"})

    @asyncio_test
    async def test_refusal_names_a_time_only_if_the_stream_may_go_on_later(self):
        for retry_after_s in (None, 0.5):
            self.verdict = OriginVerdict(None, True, "nobody knows", retry_after_s)
            await self.check_refused(retry_after_s is not None)

    @asyncio_test
    async def test_refused_for_good_if_no_target_of_its_version_is_left(self):
        """Guards against callers that come back for a version which does not."""
        self.view.targets.leave("t0", read_clock())
        self.run_version("t2", "v1", phase=TargetPhase.LEAVING)
        await self.check_refused(may_retry=False)

    @asyncio_test
    async def test_target_that_said_in_an_answer_that_it_leaves_serves_no_more(self):
        """Guards against callers that come back until the report of its leaving arrives."""
        for name in ("t0", "t2"):
            record = self.view.targets.record_of(name)
            self.forwarder.target_states.record_signals(record, AnswerSignals(is_leaving=True))
        await self.check_refused(may_retry=False)

    @asyncio_test
    async def test_refused_for_now_if_the_targets_of_its_version_are_unreachable(self):
        self.connections.is_unreachable = lambda target_id: target_id != "t1"
        await self.check_refused(may_retry=True)

    @asyncio_test
    async def test_refused_for_now_if_the_targets_of_its_version_are_full(self):
        """Guards against a version whose last targets are drowned by what may go on only there."""
        self.script(*[stream(4, 6)] * 20)
        for name, running in (("t0", 8), ("t1", 0), ("t2", 8)):
            load = TargetLoad(running, 0, 8)
            self.forwarder.target_states.loads.observe_report(name, load, read_clock())
        await self.check_refused(may_retry=True)

    @asyncio_test
    async def test_lost_stream_goes_on_at_its_version_after_the_caller_took_it_up(self):
        self.share(cut_stream(4, 5), stream(6, 8))
        answer = await self.take_up()
        self.assertEqual(answer.body.count(b"id: "), 5)
        self.assertEqual(self.asked_versions(), ["v1", "v1"])


class LastTargetTest(CallerTakesUpTestCase):
    versions = ("v1", "v2", "v2", "v2")

    async def serve(self, count, **extra):
        """Send streams one after another, which all last; return the answers."""
        for number in range(len(self.targets)):
            load, loads = TargetLoad(0, 0, 8), self.forwarder.target_states.loads
            loads.observe_report(f"t{number}", load, read_clock())
        self.script(*[stream(1, 40, 0.02)] * count)
        calls = []
        for number in range(count):
            calls.append(asyncio.ensure_future(self.take_up(number, **extra)))
            await asyncio.sleep(0.01)
        return await asyncio.gather(*calls)

    @asyncio_test
    async def test_last_target_of_a_version_is_not_sent_more_than_the_bound(self):
        """Guards against the mean of one version as the measure of its only target's load."""
        answers = await self.serve(20)
        # With h requests there and none at the three others, one more is sent while it is within
        # the users' bound: h + 1 <= 2 * h / 4 + 3.
        self.assertEqual([answer.status for answer in answers].count(200), 5)
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual(len(refused), 15)
        waits_s = [float(header(item.headers, b"retry-after")) for item in refused]
        self.assertLess(max(waits_s), 1.0)

    @asyncio_test
    async def test_new_streams_are_placed_as_if_there_were_one_version(self):
        """Guards against a bound for requests that may go anywhere."""
        answers = await self.serve(20, last_event_id=None)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual([len(target.received) for target in self.targets], [5] * 4)


class DonorTest(StreamVersionsTestCase):
    @asyncio_test
    async def test_prompt_parts_are_copied_from_an_engine_of_the_same_version_only(self):
        """Guards against cached parts of another version, which may not fit."""
        self.publish(route(has_prompt_parts=True), version=3)
        self.script(*[plain()] * 20)
        addresses = {
            str(self.view.targets.record_of(f"t{number}").address): version
            for number, version in enumerate(self.versions)
        }
        for number in range(10):
            parts = {"x_prompt_parts": b"part%d:100,own:10" % number}
            self.assertEqual((await self.call(request_id=b"r%d" % number, **parts)).status, 200)
        for target, version in zip(self.targets, self.versions, strict=True):
            for request in target.received:
                donor = request.headers.get(b"x-fetch-from")
                found = None if donor is None else addresses[donor.decode()]
                self.assertEqual(found, "v1" if version == "v1" else None)
        self.assertEqual(len({bool(target.received) for target in self.targets[:2]}), 1)


class SplitRouteTest(StreamVersionsTestCase):
    versions = ("v1", "v1")

    @asyncio_test
    async def test_stream_on_a_split_route_is_taken_up_at_the_service_that_began_it(self):
        """Guards against a draw by the new attempt's id, which may fall on another service."""
        shares = (ServiceShare("pool", 0.5), ServiceShare("none", 0.5))
        self.publish(route(**STREAM, shares=shares), version=3)
        self.script(*[stream(1, 3)] * 60)
        began = []
        for number in range(12):
            answer = await self.call(request_id=b"a%d" % number)
            if answer.status == 200:
                began.append(b"a%d" % number)
        self.assertTrue(0 < len(began) < 12)

        async def resolve(call):
            return OriginVerdict("v1")

        # Without replicas, this router would refuse all of them.
        self.forwarder.origins.resolve = resolve
        for number, resumes in enumerate(began * 3):
            extra = {"last_event_id": b"1", "x_resumes": resumes}
            answer = await self.call(request_id=b"b%d" % number, **extra)
            self.assertEqual(answer.status, 200)


class OneVersionTest(StreamVersionsTestCase):
    versions = ("", "", "")

    @asyncio_test
    async def test_targets_that_report_no_version_go_on_for_each_other(self):
        """Guards against streams that are broken off where no version is known at all."""
        for number in range(6):
            self.share(cut_stream(1, 3), stream(4, 6))
            answer = await self.call(request_id=b"r%d" % number)
            self.assertEqual(answer.body.count(b"id: "), 6)
