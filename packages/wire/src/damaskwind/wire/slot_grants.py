"""Messages by which routers ask one another for slots of brittle targets.

A question may also tell which grants of the asked router have ended or are still in use. Bodies are
msgpack over HTTP/1.1, as those of `damaskwind.wire.peers`.

>>> decode_slot_question(encode_slots(SlotQuestion("k", "r1", ended=(7,)))).ended
(7,)
"""

from typing import NamedTuple

import msgspec

from damaskwind.model.exception import MessageError

__all__ = [
    "SLOTS_PATH",
    "SlotAnswer",
    "SlotQuestion",
    "decode_slot_answer",
    "decode_slot_question",
    "encode_slots",
]

SLOTS_PATH = b"/slots"


class SlotQuestion(NamedTuple):
    """Asks for up to `wanted` slots of a target, and waits up to `wait_ms` until one is free.

    `key` is that of the router that is asked, `router` the name of the one that asks. `ended` are
    the grants that it needs no longer, `in_use` older ones that it still needs, and `refused` the
    targets that refused a request with a grant that ended.
    """

    key: str
    router: str
    target_id: str = ""
    wanted: int = 0
    wait_ms: int = 0
    ended: tuple[int, ...] = ()
    in_use: tuple[int, ...] = ()
    refused: tuple[str, ...] = ()


class SlotAnswer(NamedTuple):
    """The numbers of the grants; none if no slot is free, or the router doesn't grant them.

    It `is_confirmed` by a replica which routers grant slots.
    """

    grants: tuple[int, ...] = ()
    is_confirmed: bool = False


_QUESTION_DECODER = msgspec.msgpack.Decoder(SlotQuestion)
_ANSWER_DECODER = msgspec.msgpack.Decoder(SlotAnswer)


def encode_slots(message: SlotQuestion | SlotAnswer) -> bytes:
    """Encode a question or its answer."""
    return msgspec.msgpack.encode(message)


def decode_slot_question(data: bytes) -> SlotQuestion:
    """Decode a question; raise `MessageError` if it is malformed."""
    try:
        return _QUESTION_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"slot question: {error}") from error


def decode_slot_answer(data: bytes) -> SlotAnswer:
    """Decode the answer to a question; raise `MessageError` if it is malformed."""
    try:
        return _ANSWER_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"slot answer: {error}") from error
