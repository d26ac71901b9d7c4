"""Tests of the messages by which routers write down which versions began streams."""

import unittest
from typing import NamedTuple

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from damaskwind.decisions.streams.origin_table import OriginEntry
from damaskwind.model.exception import MessageError
from damaskwind.wire.stream_origins import (
    MAX_VERSION_CHARS,
    MAX_WRITER,
    OriginAnswer,
    OriginCall,
    decode_answer,
    decode_call,
    encode_message,
)

KEY = b"12345678"
ENTRY = OriginEntry((KEY, KEY), "v1", MAX_WRITER, 3, 15_000)
# What decisions/0034 reckons with.
MAX_ENTRY_BYTES = 42


class FormerCall(NamedTuple):
    """A call as replicas of the version before decode it."""

    entries: tuple[OriginEntry, ...]
    keys: tuple[bytes, ...] = ()


class FormerAnswer(NamedTuple):
    """An answer as routers of the version before decode it."""

    versions: tuple[tuple[str, ...], ...]


class MessagesTest(unittest.TestCase):
    def test_messages_survive_the_wire(self):
        """Guards against fields that are lost or swapped."""
        call = OriginCall((ENTRY, ENTRY._replace(version="")), (KEY,))
        self.assertEqual(decode_call(encode_message(call)), call)
        answer = OriginAnswer(((), ("v1",), ("v1", "v2")))
        self.assertEqual(decode_answer(encode_message(answer)), answer)
        asking = call._replace(services=("s", "t"))
        self.assertEqual(decode_call(encode_message(asking)), asking)
        telling = answer._replace(known=(("v1",), ()), replicas=("h",), is_settled=True)
        self.assertEqual(decode_answer(encode_message(telling)), telling)

    def test_version_before_understands_what_asks_for_no_services(self):
        """Guards against replicas and routers that lose each other in a release of our own."""
        call = OriginCall((ENTRY,), (KEY,))
        data = encode_message(call)
        self.assertEqual(msgspec.msgpack.decode(data, type=FormerCall), tuple(call[:2]))
        data = encode_message(OriginAnswer((("v1",),)))
        former = FormerAnswer((("v1",),))
        self.assertEqual(msgspec.msgpack.decode(data, type=FormerAnswer), former)
        data = msgspec.msgpack.encode(FormerCall((ENTRY,), (KEY,)))
        self.assertEqual(decode_call(data), call)
        self.assertEqual(
            decode_answer(msgspec.msgpack.encode(former)), OriginAnswer(former.versions)
        )

    def test_entry_is_small(self):
        """Guards against control traffic beyond what was reckoned with."""
        batch = encode_message(OriginCall((ENTRY,) * 256))
        self.assertLessEqual(len(batch) / 256, MAX_ENTRY_BYTES)

    def test_entries_beyond_their_bounds_are_refused(self):
        """Guards against a replica whose memory is not bounded by its number of entries."""
        faulty = (
            {"keys": ()},
            {"keys": (KEY,) * 4},
            {"keys": (b"short",)},
            {"version": "v" * (MAX_VERSION_CHARS + 1)},
            {"writer": 0},
            {"writer": -1},
            {"writer": MAX_WRITER + 1},
            {"sequence": -1},
            {"lasts_ms": -1},
        )
        for change in faulty:
            with self.subTest(change=change), self.assertRaises(MessageError):
                decode_call(encode_message(OriginCall((ENTRY._replace(**change),))))

    @given(st.binary(max_size=60))
    def test_malformed_messages_are_refused(self, data):
        """Guards against an exception that ends a replica's call, or a router's."""
        for decode in (decode_call, decode_answer):
            try:
                decode(data)
            except MessageError:
                continue

    @given(st.recursive(st.integers() | st.text(max_size=3), st.lists, max_leaves=8))
    def test_other_messages_are_refused(self, content):
        """Guards against well-formed messages of another shape."""
        try:
            data = msgspec.msgpack.encode(content)
        except OverflowError:
            return
        try:
            decode_call(data)
        except MessageError:
            return
        self.assertIsInstance(content, list)


if __name__ == "__main__":
    unittest.main()
