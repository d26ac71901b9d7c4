"""Tests of targets that start an answer and then stall."""

import treq
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address, LoadReport, TargetAnnouncement, TargetState
from damaskwind.router.tests.bench import ACCOUNT_KEY, TestBench
from damaskwind.runtime.bridge import asyncio_test, to_future

HALF_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"


class HalfAnswer(Protocol):
    """A target that sends half a body and then stalls."""

    def dataReceived(self, data):  # noqa: N802
        self.factory.connections.append(self.transport)
        self.transport.write(HALF_ANSWER)


def announcement_of(port):
    """Return the announcement of a plain service on a port."""
    return TargetAnnouncement(
        target_id="half",
        incarnation=1,
        sequence=1,
        kind="service",
        service="edge-api",
        failure_domain="local",
        address=Address("127.0.0.1", port),
        state=TargetState.SERVING,
        lease_s=60.0,
        load=LoadReport(0, 1000, 0, 0, 0.0),
    )


class StalledAnswerTest(TestCase):
    timeout = 25

    async def start(self):
        bench = TestBench()
        self.addCleanup(lambda: bench.stopped())
        await bench.start(engines=0)
        self.factory = Factory.forProtocol(HalfAnswer)
        self.factory.connections = []
        listener = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.addCleanup(listener.stopListening)
        bench.router.membership.announce(announcement_of(listener.getHost().port), 0)
        await bench.until(lambda: bench.router.directory.find("half"))
        return bench

    def ask(self, bench, timeout_s):
        headers = {"authorization": f"Bearer {ACCOUNT_KEY}", "x-timeout-s": str(timeout_s)}
        url = f"{bench.url}/services/edge-api/status"
        return treq.post(url, headers=headers, persistent=False)

    def record(self, bench):
        (record,) = bench.router.explain._records.values()
        return record

    @asyncio_test
    async def test_stalled_answer_may_have_run_and_frees_its_slot(self):
        bench = await self.start()
        response = await to_future(self.ask(bench, 0.3))
        verdict = response.headers.getRawHeaders("x-verdict")
        self.assertEqual((response.code, verdict), (504, ["may-have-run"]))
        self.assertFalse(bench.router.placing.in_flight)

    @asyncio_test
    async def test_stalled_answer_of_a_disconnected_caller_may_have_run(self):
        bench = await self.start()
        asking = self.ask(bench, 20)
        asking.addErrback(lambda failure: None)
        await bench.until(lambda: self.factory.connections)
        await bench.until(lambda: bench.router.placing.in_flight)
        asking.cancel()
        await bench.until(lambda: bench.router.gateway.in_progress == 0)
        self.assertFalse(bench.router.placing.in_flight)
        self.assertEqual(self.record(bench).ended["verdict"], "may-have-run")
