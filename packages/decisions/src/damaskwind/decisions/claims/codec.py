"""Encode and decode claim messages as msgpack, using msgspec."""

from functools import cache
from typing import Any, TypeVar

import msgspec

from damaskwind.model.exception import MessageError

__all__ = ["decode_claim_message", "encode_claim_message"]

Message = TypeVar("Message")
_ENCODER = msgspec.msgpack.Encoder()


@cache
def _decoder(kind: type) -> Any:
    """Return the decoder for a type of message."""
    return msgspec.msgpack.Decoder(kind)


def encode_claim_message(message: Any) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_claim_message(kind: type[Message], data: bytes) -> Message:
    """Decode a message of type `kind`; raise `MessageError` if it is malformed.

    >>> from damaskwind.decisions.claims.messages import Ballot, Order
    >>> order = Order("key", Ballot(1, "request"))
    >>> decode_claim_message(Order, encode_claim_message(order)) == order
    True
    """
    try:
        return _decoder(kind).decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError(f"malformed {kind.__name__}: {error}") from error
