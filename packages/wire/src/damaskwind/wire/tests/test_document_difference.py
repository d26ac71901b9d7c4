"""Tests of documents encoded as differences."""

import json
import zlib

from hypothesis import given
from hypothesis import strategies as st
from twisted.trial.unittest import TestCase

from damaskwind.model.exception import MessageError
from damaskwind.wire.document_difference import apply_difference, difference

PIECES = st.lists(st.sampled_from([b"a", b"b", b"{", b"}", b",", b"},", b"", b"long one"]))
DOCUMENTS = st.one_of(st.binary(), PIECES.map(b"".join))


def routes(numbers, timeout=1000):
    """Return a document with a route for each number."""
    return json.dumps([{"name": f"r{number}", "timeoutMs": timeout} for number in numbers]).encode()


class DocumentDifferenceTest(TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_new_document_comes_out_whatever_the_old_one_was(self, old, new):
        self.assertEqual(apply_difference(old, difference(old, new)), new)

    @given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_another_base_never_gives_another_document(self, old, new, other):
        packed = difference(old, new)
        try:
            self.assertEqual(apply_difference(other, packed), new)
        except MessageError:
            pass

    @given(st.binary())
    def test_bytes_that_are_no_difference_are_refused(self, packed):
        self.assertRaises(MessageError, apply_difference, b"old", packed)
        self.assertRaises(MessageError, apply_difference, b"old", zlib.compress(packed))

    def test_size_grows_with_the_change_and_not_with_the_document(self):
        old = routes(range(2_000))
        changes = {
            "one more": routes(range(2_001)),
            "one less": routes([*range(900), *range(901, 2_000)]),
            "moved": routes([*range(1_000, 2_000), *range(1_000)]),
        }
        for name, new in changes.items():
            self.assertLess(len(difference(old, new)), 150, name)
        self.assertLess(
            len(difference(old, routes(range(2_000), 1001))), 2 * len(zlib.compress(old))
        )
