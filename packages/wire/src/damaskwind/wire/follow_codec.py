"""Build, seal and open the messages of `Follow`.

A stream's messages carry a MAC each, over the stream's own signed opening and
the message's position in it, so that none can be played again elsewhere or later.
"""

import hmac
from collections.abc import Mapping
from typing import Any

from damaskwind.model.exception import MessageError
from damaskwind.wire.authentication import message_mac
from damaskwind.wire.configuration_history import EncodedRevision
from damaskwind.wire.follow_pb2 import FollowerReport, Progress, Update

__all__ = [
    "CALL_BYTES",
    "CONNECTION_BYTES",
    "MESSAGE_OVERHEAD_BYTES",
    "METHOD_PATH",
    "StreamSeal",
    "make_progress",
    "make_update",
    "read_update",
]

# Estimates of what comes to a message's body: the heads of HTTP/2 and gRPC, a TCP
# segment and its acknowledgement; the metadata of a call; the set-up of a connection.
MESSAGE_OVERHEAD_BYTES = 14 + 52 + 52
CALL_BYTES = 350
CONNECTION_BYTES = 700
METHOD_PATH = "/damaskwind.follow.Follow/"


class StreamSeal:
    """Seal or check the messages of one direction of one call, in order."""

    def __init__(self, cluster_key: str, purpose: str, metadata: Mapping[str, Any]) -> None:
        self._cluster_key = cluster_key
        self._purpose = purpose
        self._opening = str(metadata.get("x-mac", "")).encode()
        self._count = 0

    def seal(self, message: Any) -> Any:
        """Put the MAC on the next message."""
        message.mac = self._next_mac(message)
        return message

    def check(self, message: Any) -> None:
        """Check the next message; raise `MessageError` when it is not the peer's."""
        mac = message.mac
        if not hmac.compare_digest(mac, self._next_mac(message)):
            raise MessageError(f"{self._purpose}: wrong MAC")

    def _next_mac(self, message: Any) -> bytes:
        self._count += 1
        message.mac = b""
        body = message.SerializeToString(deterministic=True)
        position = self._count.to_bytes(8, "big")
        return message_mac(self._cluster_key, self._purpose, self._opening, position, body)


def make_progress(router_id: str, failure_domain: str, applied_revision: int) -> Progress:
    """Return what a follower says of itself."""
    report = FollowerReport(
        router_id=router_id, failure_domain=failure_domain, applied_revision=applied_revision
    )
    return Progress(report=report)


def make_update(encoded: EncodedRevision, is_current: bool) -> Update:
    """Return a revision as a message."""
    return Update(**encoded._asdict(), is_current=is_current)


def read_update(update: Update) -> EncodedRevision:
    """Return the revision in a message."""
    return EncodedRevision(
        update.revision, update.is_delta, update.base_revision, update.body, update.digest
    )
