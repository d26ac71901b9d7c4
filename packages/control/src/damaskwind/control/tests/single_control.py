"""Start a control process that is the only replica of its cluster, for tests."""

import hashlib
import tempfile
from pathlib import Path

from damaskwind.control.process import ControlProcess, start_control
from damaskwind.control.replica.tests.cluster import free_address
from damaskwind.runtime.settings import ControlSettings, NodeSettings, ReplicaSettings, Settings

__all__ = ["KEY", "start_single"]

KEY = "operator-key"


async def start_single(test) -> ControlProcess:
    """Start the process; the test removes its folder, the caller must stop it."""
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    replicas = (ReplicaSettings("a", free_address(), "domain-a"),)
    node = NodeSettings("a", "kl", "key", "kl-central", "domain-a")
    control = ControlSettings(
        replicas[0].address,
        "127.0.0.1:0",
        str(Path(folder.name) / "a"),
        replicas,
        hashlib.sha256(KEY.encode()).hexdigest(),
        election_timeout_s=0.3,
        heartbeat_s=0.06,
        snapshot_every_entries=3,
    )
    return await start_control(Settings(node, None, control))
