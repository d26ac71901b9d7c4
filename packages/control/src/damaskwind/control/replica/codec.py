"""Encode and decode the messages of the replicated log as msgpack."""

from typing import Any

import msgspec

from damaskwind.decisions.replication.messages import (
    AppendRequest,
    AppendResponse,
    Envelope,
    Member,
    PreVoteRequest,
    PreVoteResponse,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)
from damaskwind.model.exception import MessageError

__all__ = ["decode_envelope", "encode_envelope"]

_KINDS: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        PreVoteRequest,
        PreVoteResponse,
        VoteRequest,
        VoteResponse,
        AppendRequest,
        AppendResponse,
        SnapshotRequest,
    )
}
_FRAME = tuple[str, Member, Member, msgspec.Raw]


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message with its sender and recipient."""
    kind = type(envelope.message).__name__
    return msgspec.msgpack.encode((kind, *envelope))


def decode_envelope(body: bytes) -> Envelope:
    """Decode a message; raise `MessageError` when it is malformed."""
    try:
        kind, sender, recipient, raw = msgspec.msgpack.decode(body, type=_FRAME)
        message: Any = msgspec.msgpack.decode(raw, type=_KINDS[kind])
    except (msgspec.MsgspecError, KeyError) as error:
        raise MessageError(f"malformed message of the log: {error}") from error
    return Envelope(sender, recipient, message)
