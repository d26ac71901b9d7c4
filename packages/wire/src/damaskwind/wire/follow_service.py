"""Serve the confirmed configuration to followers, at replicas and at routers."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from damaskwind.model.configuration import Configuration
from damaskwind.model.exception import MessageError
from damaskwind.wire.authentication import CallVerifier, receive_call
from damaskwind.wire.configuration_history import ConfigurationHistory
from damaskwind.wire.follow_codec import (
    CALL_BYTES,
    CONNECTION_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    METHOD_PATH,
    StreamSeal,
    make_update,
)
from damaskwind.wire.follow_grpc import FollowBase
from damaskwind.wire.follow_pb2 import EnforcedReply, FollowerReport

__all__ = ["HEARTBEAT_S", "FollowService"]

HEARTBEAT_S = 5.0
_FETCH_OVERHEAD_BYTES = CONNECTION_BYTES + MESSAGE_OVERHEAD_BYTES
Reports = Callable[[], list[FollowerReport]]


class FollowService(FollowBase):
    """The grpclib service `Follow`.

    `is_current` tells whether this process can guarantee that its revision is the
    latest: a replica with a lease can, a router never can. `on_report` is called with
    a follower's id, its failure domain and the revision that it enforces. `on_bytes`
    is called with the bytes sent and received by each fetch, including overheads.
    """

    def __init__(
        self,
        verifier: CallVerifier,
        is_current: Callable[[], bool],
        on_report: Callable[[str, str, int], None],
        reports: Reports = list,
        heartbeat_s: float = HEARTBEAT_S,
    ) -> None:
        self.history = ConfigurationHistory()
        self.follower_count = 0
        self.on_bytes: Callable[[int, int], None] = _ignore_bytes
        self._verifier = verifier
        self._is_current = is_current
        self._on_report = on_report
        self._reports = reports
        self._heartbeat_s = heartbeat_s
        self._changed = asyncio.Event()

    def publish(self, whole: Configuration) -> None:
        """Send a configuration to all followers if it is new."""
        if self.history.set(whole):
            self._changed.set()
            self._changed = asyncio.Event()

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Send each new revision, and heartbeats between them."""
        first = await receive_call(stream, METHOD_PATH + "Watch", self._verifier)
        key = self._verifier.cluster_key
        seal = StreamSeal(key, "update", stream.metadata)
        self._report_progress(first)
        reader = asyncio.ensure_future(self._read_progress(stream))
        self.follower_count += 1
        try:
            await self._send_updates(stream, seal, reader, first.report.applied_revision)
        finally:
            self.follower_count -= 1
            reader.cancel()

    async def Fetch(self, stream: Any) -> None:  # noqa: N802
        """Send the latest revision once."""
        request = await receive_call(stream, METHOD_PATH + "Fetch", self._verifier)
        seal = StreamSeal(self._verifier.cluster_key, "update", stream.metadata)
        encoded = self.history.encode_for(request.applied_revision)
        update = seal.seal(make_update(encoded, self._is_current()))
        received_bytes = request.ByteSize() + CALL_BYTES
        self.on_bytes(
            update.ByteSize() + _FETCH_OVERHEAD_BYTES, received_bytes + _FETCH_OVERHEAD_BYTES
        )
        await stream.send_message(update)

    async def Enforced(self, stream: Any) -> None:  # noqa: N802
        """Send the revisions that the followers of this process enforce."""
        await receive_call(stream, METHOD_PATH + "Enforced", self._verifier)
        await stream.send_message(EnforcedReply(reports=self._reports()))

    async def _send_updates(
        self, stream: Any, seal: StreamSeal, reader: asyncio.Future, sent_revision: int
    ) -> None:
        """Send updates and heartbeats until the follower's stream ends."""
        while not reader.done():
            changed = asyncio.ensure_future(self._changed.wait())
            encoded = self.history.encode_for(sent_revision)
            sent_revision = max(sent_revision, encoded.revision)
            try:
                await stream.send_message(seal.seal(make_update(encoded, self._is_current())))
                await asyncio.wait(
                    [changed, reader],
                    timeout=self._heartbeat_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()

    async def _read_progress(self, stream: Any) -> None:
        """Receive the follower's reports until its stream ends."""
        seal = StreamSeal(self._verifier.cluster_key, "progress", stream.metadata)
        while True:
            progress = await stream.recv_message()
            if progress is None:
                return
            try:
                seal.check(progress)
            except MessageError as error:
                logger.warning("stream refused", error=str(error))
                return
            self._report_progress(progress)

    def _report_progress(self, progress: Any) -> None:
        """Hand a follower's report to `on_report`."""
        report = progress.report
        self._on_report(report.router_id, report.failure_domain, report.applied_revision)


def _ignore_bytes(sent_bytes: int, received_bytes: int) -> None:
    """Ignore the counts."""
