"""Tests of which events of a stream are forwarded and how its tokens are counted."""

import json
from unittest import TestCase

from damaskwind.router.event_stream import EventScanner


def event(delta, finish_reason=None, **extra):
    """Return one event in the format of engines."""
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return b"data: " + json.dumps({"choices": [choice], **extra}).encode() + b"\n\n"


ROLE = event({"role": "assistant", "content": ""})
TOKENS = [event({"content": text}) for text in ("a", '"usage": {', "data: [DONE]", "\n\n", "null")]
FINISH = event({}, "stop")
USAGE = b'data: {"choices": [], "usage": {"total_tokens": 7}}\n\n'
DONE = b"data: [DONE]\n\n"
WHOLE = b"".join([ROLE, *TOKENS, FINISH, USAGE, DONE])


class EventScannerTest(TestCase):
    def test_result_does_not_depend_on_chunk_boundaries(self):
        for size in range(1, len(WHOLE)):
            scanner = EventScanner(keep_usage=False)
            passed = b"".join(
                scanner.feed(WHOLE[at : at + size]) for at in range(0, len(WHOLE), size)
            )
            self.assertEqual(passed, WHOLE.replace(USAGE, b""))
            self.assertEqual(scanner.delivered_tokens, len(TOKENS))
            self.assertEqual(scanner.usage, {"total_tokens": 7})
            self.assertTrue(scanner.end(True))

    def test_usage_is_forwarded_if_requested(self):
        self.assertEqual(EventScanner(keep_usage=True).feed(WHOLE), WHOLE)

    def test_partial_event_is_not_forwarded_and_is_dropped_at_a_resume(self):
        scanner = EventScanner(keep_usage=False)
        half = TOKENS[1][:-3]
        self.assertEqual(scanner.feed(TOKENS[0] + half), TOKENS[0])
        self.assertFalse(scanner.end(True))
        scanner.restart()
        self.assertEqual(scanner.feed(TOKENS[1]), TOKENS[1])
        self.assertEqual(scanner.delivered_tokens, 2)

    def test_nothing_is_forwarded_after_the_end_marker(self):
        scanner = EventScanner(keep_usage=False)
        self.assertEqual(scanner.feed(DONE + TOKENS[0]), DONE)
        self.assertEqual(scanner.feed(TOKENS[0]), b"")
