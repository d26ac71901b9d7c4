"""Messages by which routers write down and look up the versions that began streams.

One call carries writes and questions. Bodies are msgpack over HTTP/1.1.

A call that names services is refused (400) by a replica of an earlier version, and is then made
again without them. The answer to a call without services has none of the fields that routers of
an earlier version don't know.

>>> call = OriginCall((OriginEntry((b"12345678",), "v1", 1, 1, 5000),), (b"12345678",))
>>> decode_call(encode_message(call)) == call
True
"""

from typing import Annotated, NamedTuple

import msgspec

from damaskwind.decisions.streams.origin_table import KEY_BYTES, OriginEntry
from damaskwind.model.exception import MessageError

__all__ = [
    "MAX_VERSION_CHARS",
    "MAX_WRITER",
    "ORIGINS_PATH",
    "OriginAnswer",
    "OriginCall",
    "decode_answer",
    "decode_call",
    "encode_message",
]

ORIGINS_PATH = b"/stream-origins"
# A longer version is not written down, since a replica's memory is bounded by entries.
MAX_VERSION_CHARS = 128
MAX_WRITER = (1 << 62) - 1


class OriginCall(NamedTuple):
    """Streams to be written down, and keys of streams whose version is asked for.

    `services` are those whose versions are asked for too.
    """

    entries: tuple[OriginEntry, ...]
    keys: tuple[bytes, ...] = ()
    services: tuple[str, ...] = ()


class OriginAnswer(NamedTuple):
    """The versions that each key that was asked for may have; none if it is unknown.

    `known` are the versions of each service that was asked for which targets run now or ran
    lately; `""` stands for targets that report none. `replicas` are the hosts of all replicas. A
    replica `is_settled` once routers have written down again what it lost in a restart.
    """

    versions: tuple[tuple[str, ...], ...]
    known: tuple[tuple[str, ...], ...] = ()
    replicas: tuple[str, ...] = ()
    is_settled: bool = False


_Key = Annotated[bytes, msgspec.Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]


class _Entry(NamedTuple):
    """`OriginEntry` with the bounds of its fields. A take-up writes three keys."""

    keys: Annotated[tuple[_Key, ...], msgspec.Meta(min_length=1, max_length=3)]
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)]
    writer: Annotated[int, msgspec.Meta(ge=1, le=MAX_WRITER)]
    sequence: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    lasts_ms: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]


class _Call(NamedTuple):
    entries: tuple[_Entry, ...]
    keys: tuple[_Key, ...] = ()
    services: tuple[str, ...] = ()


_CALL_DECODER = msgspec.msgpack.Decoder(_Call)
_ANSWER_DECODER = msgspec.msgpack.Decoder(OriginAnswer)


def encode_message(message: OriginCall | OriginAnswer) -> bytes:
    """Encode a call or its answer, without what an earlier version doesn't know if it can."""
    if isinstance(message, OriginCall) and not message.services:
        return msgspec.msgpack.encode((message.entries, message.keys))
    if isinstance(message, OriginAnswer) and not message.known:
        return msgspec.msgpack.encode((message.versions,))
    return msgspec.msgpack.encode(message)


def decode_call(data: bytes) -> OriginCall:
    """Decode a call; raise `MessageError` if it is malformed."""
    try:
        call = _CALL_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"stream origins: {error}") from error
    entries = tuple(OriginEntry(*entry) for entry in call.entries)
    return OriginCall(entries, call.keys, call.services)


def decode_answer(data: bytes) -> OriginAnswer:
    """Decode an answer; raise `MessageError` if it is malformed."""
    try:
        return _ANSWER_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"stream origins: {error}") from error
