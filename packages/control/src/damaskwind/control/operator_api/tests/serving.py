"""Serve the intent API of several replicas on loopback, for tests."""

from twisted.internet import reactor

from damaskwind.control.operator_api.authentication import hash_key
from damaskwind.control.operator_api.http_api import OperatorApi, OperatorApiSettings
from damaskwind.control.operator_api.intent_service import IntentLimits, IntentService
from damaskwind.control.operator_api.router_status import RouterRevision
from damaskwind.control.operator_api.tests.objects import BOOTSTRAP_KEY
from damaskwind.control.operator_api.tests.shared_log import FakeReplica, SharedLog
from damaskwind.runtime.bridge import to_future


class ServedFleet:
    """Replicas of one log, each on its own port; `now_s` is the clock of all."""

    def __init__(self, replicas=2, archive=None):
        self.archive = archive
        self.log = SharedLog()
        self.now_s = 1000.0
        self.replicas = [FakeReplica(self.log) for _ in range(replicas)]
        self.ports = [self._listen(i, replica) for i, replica in enumerate(self.replicas)]
        self.endpoints = [f"127.0.0.1:{port.getHost().port}" for port in self.ports]

    def _listen(self, index, replica):
        service = IntentService(replica, replica.machine, IntentLimits(), lambda: self.now_s)
        settings = OperatorApiSettings(f"control-{index}", hash_key(BOOTSTRAP_KEY))
        routers = [RouterRevision("router-1", "bangsar-hall", 0, 0.5)]
        api = OperatorApi(
            replica, replica.machine, service, settings, lambda: routers, self.archive
        )
        return reactor.listenTCP(0, api.site(), interface="127.0.0.1")

    async def stop(self):
        for port in self.ports:
            await to_future(port.stopListening())
