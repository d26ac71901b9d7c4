"""Encode, authenticate and check the datagrams between routers.

A datagram consists of a four-byte hash of the cluster name, a tag of twelve bytes
(keyed BLAKE2b, RFC 7693) over all the rest, and a MessagePack envelope: sender,
incarnation, sequence, kind and body. A large body is compressed, since records of
one pool resemble each other. `DatagramFault` names each reason to reject a datagram.
"""

import zlib
from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

import msgspec

from damaskwind.decisions.membership.messages import (
    Ack,
    Compare,
    Custom,
    IndirectProbe,
    Message,
    News,
    Probe,
    Sketch,
)
from damaskwind.decisions.membership.sizes import MAX_DATAGRAM_BYTES
from damaskwind.model.exception import MessageError
from damaskwind.router.membership.replay import ReplayGuard, ReplayOutcome

__all__ = ["Codec", "DatagramFault", "Received"]

CLUSTER_BYTES = 4
TAG_BYTES = 12
COMPRESS_FROM_BYTES = 200
BODY_LIMIT_BYTES = 16_384
ZLIB_LEVEL = 1
_COMPRESSED = "z"
_RAW_HEADER_BYTES = 3
_HEADER_BYTES = CLUSTER_BYTES + TAG_BYTES
_PERSONALIZATION = b"damaskwind-udp"
_KINDS: dict[str, type] = {
    "pr": Probe,
    "ac": Ack,
    "in": IndirectProbe,
    "co": Compare,
    "sk": Sketch,
    "ne": News,
    "cu": Custom,
}
_KIND_OF = {kind: name for name, kind in _KINDS.items()}


class DatagramFault(StrEnum):
    """Why a datagram was dropped."""

    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    OTHER_CLUSTER = "other_cluster"
    WRONG_KEY = "wrong_key"
    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    REPLAYED = "replayed"
    OLD_INCARNATION = "old_incarnation"
    ECHOED = "echoed"


class _Envelope(NamedTuple):
    """The envelope of each message."""

    sender_id: str
    incarnation: int
    sequence: int
    kind: str
    body: msgspec.Raw


class Received(NamedTuple):
    """The content of a datagram that passed every check."""

    sender_id: str
    incarnation: int
    kind: str
    message: Message


_REPLAY_FAULTS = {
    ReplayOutcome.REPLAYED: DatagramFault.REPLAYED,
    ReplayOutcome.OLD_INCARNATION: DatagramFault.OLD_INCARNATION,
}


def _decompress(packed: bytes) -> bytes:
    """Return a decompressed body; raise `zlib.error` if it is cut or too large."""
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(packed, BODY_LIMIT_BYTES)
    if not unpacker.eof:
        raise zlib.error("body cut or too large")
    return body


class Codec:
    """The codec of one router, with its send sequence and the replay guard for senders."""

    def __init__(self, router_id: str, cluster: str, cluster_key: str) -> None:
        self._router_id = router_id
        self._sequence = 0
        self._cluster_hash = blake2b(cluster.encode(), digest_size=CLUSTER_BYTES).digest()
        self._key = blake2b(cluster_key.encode()).digest()
        self._replay = ReplayGuard()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
        self._body_decoders = {name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()}

    def encode(self, message: Message, incarnation: int) -> bytes:
        """Return the datagram of a message; raise `MessageError` if it is too large."""
        self._sequence += 1
        encoded = self._encoder.encode(message)
        kind = _KIND_OF[type(message)]
        if len(encoded) >= COMPRESS_FROM_BYTES:
            packed = zlib.compress(encoded, ZLIB_LEVEL)
            if len(packed) + _RAW_HEADER_BYTES < len(encoded):
                encoded = self._encoder.encode(packed)
                kind += _COMPRESSED
        body = msgspec.Raw(encoded)
        envelope = _Envelope(self._router_id, incarnation, self._sequence, kind, body)
        payload = self._encoder.encode(envelope)
        datagram = self._cluster_hash + self._tag(payload) + payload
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise MessageError(f"a datagram of {len(datagram)} bytes is too large")
        return datagram

    def decode(self, datagram: bytes) -> Received | DatagramFault:
        """Return the message of a datagram, or the fault for which it is rejected."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return DatagramFault.OVERSIZED
        if len(datagram) <= _HEADER_BYTES:
            return DatagramFault.TRUNCATED
        if datagram[:CLUSTER_BYTES] != self._cluster_hash:
            return DatagramFault.OTHER_CLUSTER
        payload = datagram[_HEADER_BYTES:]
        if not compare_digest(datagram[CLUSTER_BYTES:_HEADER_BYTES], self._tag(payload)):
            return DatagramFault.WRONG_KEY
        try:
            envelope = self._envelope_decoder.decode(payload)
            kind = envelope.kind.removesuffix(_COMPRESSED)
            if kind not in self._body_decoders:
                return DatagramFault.UNKNOWN_KIND
            body = envelope.body
            if kind != envelope.kind:
                body = _decompress(msgspec.msgpack.decode(body, type=bytes))
            message = self._body_decoders[kind].decode(body)
        except (msgspec.DecodeError, zlib.error, RecursionError):
            return DatagramFault.MALFORMED
        if envelope.sender_id == self._router_id:
            return DatagramFault.ECHOED
        outcome = self._replay.check(envelope.sender_id, envelope.incarnation, envelope.sequence)
        if outcome in _REPLAY_FAULTS:
            return _REPLAY_FAULTS[outcome]
        return Received(envelope.sender_id, envelope.incarnation, kind, message)

    def _tag(self, payload: bytes) -> bytes:
        """Return the tag of a payload, which also covers the cluster hash."""
        hashed = blake2b(
            self._cluster_hash, digest_size=TAG_BYTES, key=self._key, person=_PERSONALIZATION
        )
        hashed.update(payload)
        return hashed.digest()
