"""Sign and verify the calls between the processes of a cluster.

A call's metadata name the cluster, the sender, the sender's start (a random number
drawn when its process started) and a counter that grows with each call. An
HMAC-SHA256 keyed with the cluster key covers these, the method and the body. For
each start of a sender, the receiver keeps the highest counter and a window of those
below it, and refuses calls that are replayed or older than the window. Clocks of
different machines are never compared, so a clock that jumps causes no refusals.

Limitation: a call recorded before the receiver restarted can be replayed to it once.
The replicated log, claims and `Follow` tolerate duplicates and old messages by their
terms, ballots and revisions.
"""

import hashlib
import hmac
import secrets
from collections import Counter, OrderedDict
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from damaskwind.model.exception import MessageError
from damaskwind.wire.lost_connection import translate_lost_connections

__all__ = [
    "AuthenticationError",
    "AuthenticationOutcome",
    "CallSigner",
    "CallVerifier",
    "call_unary",
    "message_mac",
    "receive_call",
    "sign_call",
    "verify_call",
]

REPLAY_WINDOW_CALLS = 4096
MAX_TRACKED_STARTS = 16_384
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024
_FIELDS = ("x-cluster", "x-sender", "x-start", "x-counter")
_MAC_FIELD = "x-mac"


class AuthenticationOutcome(StrEnum):
    """The reasons for which calls are refused."""

    MISSING_FIELD = "missing_field"
    WRONG_CLUSTER = "wrong_cluster"
    WRONG_MAC = "wrong_mac"
    REPLAYED = "replayed"
    TOO_LARGE = "too_large"


class AuthenticationError(MessageError):
    """A call is not from this cluster, or not fresh; `outcome` says which."""

    def __init__(self, outcome: AuthenticationOutcome, detail: str) -> None:
        super().__init__(f"{outcome}: {detail}")
        self.outcome = outcome


class _Start(NamedTuple):
    """The replay window of one start of a sender.

    Bit `n` of `seen` is set if the counter `highest - n` was received.
    """

    highest: int
    seen: int


def _field_bytes(parts: list[bytes]) -> bytes:
    """Join parts with length prefixes, so that different lists give different bytes."""
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def message_mac(cluster_key: str, purpose: str, *parts: bytes) -> bytes:
    """Return the HMAC-SHA256 of parts for one purpose.

    It authenticates single messages of a stream, since the signed metadata cover only
    the opening of the stream.

    >>> message_mac("k", "update", b"a", b"b") == message_mac("k", "update", b"ab", b"")
    False
    """
    data = _field_bytes([purpose.encode(), *parts])
    return hmac.digest(cluster_key.encode(), data, "sha256")


def _call_mac(cluster_key: str, method: str, fields: list[str], body: bytes) -> str:
    """Return the MAC of a call in hex."""
    parts = [method.encode(), *(field.encode() for field in fields), hashlib.sha256(body).digest()]
    return message_mac(cluster_key, "call", *parts).hex()


def sign_call(
    cluster: str, cluster_key: str, sender: str, start: str, counter: int, method: str, body: bytes
) -> dict[str, str]:
    """Return the metadata that authenticate a call."""
    values = [cluster, sender, start, str(counter)]
    metadata = dict(zip(_FIELDS, values, strict=True))
    metadata[_MAC_FIELD] = _call_mac(cluster_key, method, values, body)
    return metadata


def verify_call(
    cluster: str, cluster_key: str, method: str, body: bytes, metadata: Mapping[str, Any]
) -> tuple[str, str, int]:
    """Check a call's metadata and return its sender, start and counter.

    Raises `AuthenticationError`. Replays are detected by `CallVerifier`.
    """
    values = [str(metadata.get(name, "")) for name in _FIELDS]
    if not all(values) or _MAC_FIELD not in metadata or not values[3].isdecimal():
        raise AuthenticationError(AuthenticationOutcome.MISSING_FIELD, "metadata incomplete")
    if values[0] != cluster:
        detail = f"this cluster is '{cluster}', the call's is '{values[0]}'"
        raise AuthenticationError(AuthenticationOutcome.WRONG_CLUSTER, detail)
    expected = _call_mac(cluster_key, method, values, body)
    if not hmac.compare_digest(expected.encode(), str(metadata[_MAC_FIELD]).encode()):
        raise AuthenticationError(AuthenticationOutcome.WRONG_MAC, f"sender '{values[1]}'")
    return values[1], values[2], int(values[3])


class CallSigner:
    """Sign the calls of one process."""

    def __init__(self, cluster: str, cluster_key: str, sender: str) -> None:
        self.cluster = cluster
        self.cluster_key = cluster_key
        self.sender = sender
        self._start = secrets.token_hex(8)
        self._counter = 0

    def sign(self, method: str, body: bytes) -> dict[str, str]:
        """Return the metadata for the next call of `method` with `body`."""
        self._counter += 1
        return sign_call(
            self.cluster,
            self.cluster_key,
            self.sender,
            self._start,
            self._counter,
            method,
            body,
        )


class CallVerifier:
    """Verify the calls that a process receives, refuse replays and count refusals."""

    def __init__(self, cluster: str, cluster_key: str) -> None:
        self.cluster = cluster
        self.cluster_key = cluster_key
        self.refusals: Counter[AuthenticationOutcome] = Counter()
        self._starts: OrderedDict[tuple[str, str], _Start] = OrderedDict()

    def verify(self, method: str, body: bytes, metadata: Mapping[str, Any]) -> str:
        """Return the sender of a call or raise `AuthenticationError`."""
        try:
            return self._verify(method, body, metadata)
        except AuthenticationError as error:
            self.refusals[error.outcome] += 1
            raise

    def _verify(self, method: str, body: bytes, metadata: Mapping[str, Any]) -> str:
        """Verify a call without counting a refusal."""
        if len(body) > MESSAGE_LIMIT_BYTES:
            raise AuthenticationError(AuthenticationOutcome.TOO_LARGE, f"{len(body)} bytes")
        sender, start, counter = verify_call(self.cluster, self.cluster_key, method, body, metadata)
        self._check_replay((sender, start), counter)
        return sender

    def _check_replay(self, key: tuple[str, str], counter: int) -> None:
        """Record a counter; raise `AuthenticationError` if it was seen or is too old."""
        start = self._starts.pop(key, _Start(0, 0))
        behind = start.highest - counter
        if behind < 0:
            mask = (1 << REPLAY_WINDOW_CALLS) - 1
            seen = ((start.seen << min(-behind, REPLAY_WINDOW_CALLS)) | 1) & mask
            self._starts[key] = _Start(counter, seen)
        elif behind >= REPLAY_WINDOW_CALLS or start.seen >> behind & 1:
            self._starts[key] = start
            raise AuthenticationError(AuthenticationOutcome.REPLAYED, f"sender '{key[0]}'")
        else:
            self._starts[key] = _Start(start.highest, start.seen | 1 << behind)
        while len(self._starts) > MAX_TRACKED_STARTS:
            self._starts.popitem(last=False)


async def call_unary(method: Any, request: Any, signer: CallSigner, timeout_s: float) -> Any:
    """Make a signed unary call through a grpclib stub's method.

    For example `await call_unary(stub.Deliver, request, signer, timeout_s=2.0)`.
    """
    metadata = signer.sign(method.name, request.SerializeToString(deterministic=True))
    with translate_lost_connections():
        return await method(request, timeout=timeout_s, metadata=metadata)


async def receive_call(stream: Any, method: str, verifier: CallVerifier) -> Any:
    """Receive the request of a call on a grpclib server and verify it.

    `method` is the full path, such as `/damaskwind.replication.Replication/Deliver`.
    A call that fails verification is logged and ends with the status `UNAUTHENTICATED`
    and the outcome as its message.
    """
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "empty call")
    body = request.SerializeToString(deterministic=True)
    try:
        verifier.verify(method, body, stream.metadata)
    except AuthenticationError as error:
        logger.warning("call refused", method=method, outcome=error.outcome, detail=str(error))
        raise GRPCError(Status.UNAUTHENTICATED, str(error.outcome)) from error
    return request
