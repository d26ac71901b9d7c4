"""Play a crowd against one daemon, and measure it."""

import os
import tempfile
from pathlib import Path

from twisted.trial.unittest import TestCase

from damaskwind.model.targets import Address
from damaskwind.platform.tests.crowds.crowd_clients import Crowd, CrowdClients
from damaskwind.platform.tests.crowds.crowd_play import MIB, Peaks, settle
from damaskwind.platform.tests.soak.calls import call
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Request
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.harness import DaemonProcess, Harness

__all__ = ["DaemonCrowdTestCase"]

# Some 64 MB more than a daemon takes at rest.
MEMORY_MB = 128
CALLER_LIMIT_S = 20.0
RETRY_S = 0.2
LIVE = Request(b"GET", b"/livez", [(b"host", b"h")])


class DaemonCrowdTestCase(TestCase):
    """A daemon, one crowd, and what must hold then."""

    timeout = 240

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.harness = Harness(Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.harness.stop()))
        self.node = {
            "node_id": "node-1",
            "cluster": f"crowd-{os.getpid()}",
            "cluster_key": "cluster-key",
            "region": "kl-central",
            "failure_domain": "local",
        }

    async def start_router(self) -> DaemonProcess:
        """Start a router without replicas."""
        address = "127.0.0.1:0"
        router = dict.fromkeys(("http_address", "datagram_address", "peer_address"), address)
        settings = {"node": self.node, "router": {**router, "announce_key": "announce"}}
        return await self.harness.start_router("router-1", settings)

    async def start_control(self) -> DaemonProcess:
        """Start the only replica of a cluster."""
        control = {
            "replica_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "data_folder": str(self.harness.folder / "data"),
        }
        return await self.harness.start_control(
            "control-1", {"node": self.node, "control": control}
        )

    async def play(self, daemon: DaemonProcess, crowd_at: str, crowd: Crowd, ask_at: str) -> None:
        """Play a crowd at an address of a daemon; ask it beside the crowd and after it."""
        address = parse_address(daemon.ready[crowd_at])
        peaks = Peaks(daemon)
        peaks.sample()
        clients = CrowdClients(crowd, address)
        clients.start()
        try:
            await settle(lambda: clients.progress, peaks)
            beside = await self._ask(parse_address(daemon.ready[ask_at]))
        finally:
            await clients.stop()
        await settle(lambda: 0, peaks)
        after = await self._ask(parse_address(daemon.ready[ask_at]))
        memory_bytes, resident_bytes, kernel_bytes, descriptors = peaks.figures()
        shown = (
            f"memory {memory_bytes / MIB:.0f}, resident {resident_bytes / MIB:.0f},"
            f" kernel {kernel_bytes / MIB:.0f} MiB, descriptors {descriptors},"
            f" sent {clients.sent_bytes / MIB:.0f} MiB, beside {beside}, after {after}"
        )
        print(f"{self.id()}: {shown}")
        self.assertIsNone(daemon.exit_code, shown)
        self.assertLess(memory_bytes, MEMORY_MB * MIB, shown)
        self.assertNotIn(0, (beside, after), f"no answer: {shown}")

    async def _ask(self, address: Address) -> int:
        """Return the status of an ordinary request, sent again if its connection is closed."""
        limit_s = read_clock() + CALLER_LIMIT_S
        while (left_s := limit_s - read_clock()) > 0:
            status = (await call(address, LIVE, left_s)).status
            if status:
                return status
        return 0
