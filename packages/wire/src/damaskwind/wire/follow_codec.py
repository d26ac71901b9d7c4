"""Build, authenticate and verify the messages of `Follow`.

Each message of a stream carries a MAC over the stream's signed opening metadata, the
message's position in the stream and its body, so that it can't be replayed in another
stream or at another position.
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

# Estimated overheads: per message, the HTTP/2 and gRPC headers, a TCP segment and its
# acknowledgement; per call, its metadata; per connection, its setup.
MESSAGE_OVERHEAD_BYTES = 14 + 52 + 52
CALL_BYTES = 350
CONNECTION_BYTES = 700
METHOD_PATH = "/damaskwind.follow.Follow/"


class StreamSeal:
    """Adds or checks the MACs of the messages of one direction of one call, in order."""

    def __init__(self, cluster_key: str, purpose: str, metadata: Mapping[str, Any]) -> None:
        self._cluster_key = cluster_key
        self._purpose = purpose
        self._opening = str(metadata.get("x-mac", "")).encode()
        self._count = 0

    def seal(self, message: Any) -> Any:
        """Add the MAC to the next message."""
        message.mac = self._next_mac(message)
        return message

    def check(self, message: Any) -> None:
        """Check the next message; raise `MessageError` if its MAC is wrong."""
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
    """Return a follower's report of its applied revision."""
    report = FollowerReport(
        router_id=router_id, failure_domain=failure_domain, applied_revision=applied_revision
    )
    return Progress(report=report)


def make_update(encoded: EncodedRevision, is_current: bool) -> Update:
    """Return the message that carries a revision."""
    return Update(**encoded._asdict(), is_current=is_current)


def read_update(update: Update) -> EncodedRevision:
    """Return the revision in a message."""
    return EncodedRevision(
        update.revision, update.is_delta, update.base_revision, update.body, update.digest
    )
