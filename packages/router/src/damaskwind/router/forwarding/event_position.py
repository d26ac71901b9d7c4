"""Tell where a stream of events stands that is assembled from several attempts.

An event's id is opaque, following the WHATWG HTML standard (section 9.2.6, "the last event ID"):
a target is sent back the bytes that it sent. Ids are compared only to find events that a
target repeats when another attempt goes on:

- Two ids of decimal digits are compared as numbers of any length. An event whose number is not
  above the last one is a repetition.
- Other ids have no order. A target that ignores the id it was sent begins anew, which shows by the
  id of the stream's first event; its events are then skipped up to the last one that was sent.
"""

import re

from damaskwind.router.forwarding.events import event_id, has_data

__all__ = ["MAX_EVENT_ID_BYTES", "EventPosition", "is_sendable_id"]

# Of the 16 KiB that the heads of requests may have by default.
MAX_EVENT_ID_BYTES = 8 * 1024

_SENDABLE = re.compile(rb"[^\x00-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?")


def is_sendable_id(value: bytes) -> bool:
    r"""Return whether an id can be sent in a header field and arrives unchanged.

    It has no control characters, no space at its ends, and `MAX_EVENT_ID_BYTES` at most.

    >>> [is_sendable_id(value) for value in (b"7-1", b"a b", b"", b" a", b"a\0", b"x" * 9000)]
    [True, True, False, False, False, False]
    """
    return len(value) <= MAX_EVENT_ID_BYTES and _SENDABLE.fullmatch(value) is not None


def _is_number(value: bytes | None) -> bool:
    return value is not None and value.isdigit()


def _is_at_most(number: bytes, other: bytes) -> bool:
    """Compare two numbers of any length, given by their decimal digits.

    >>> _is_at_most(b"9", b"10"), _is_at_most(b"010", b"9"), _is_at_most(b"7", b"07")
    (True, False, True)
    """
    number, other = number.lstrip(b"0"), other.lstrip(b"0")
    return (len(number), number) <= (len(other), other)


class EventPosition:
    r"""The position of one stream after the events that were sent to its caller.

    `last_id` is the id of the last event that has one. `can_go_on` is false while an event was
    sent after which no other attempt can go on: it has no id that a target could be sent, and
    would come twice.

    >>> position = EventPosition()
    >>> [position.passes(event) for event in (b"id: 9\ndata\n\n", b"id: 10\ndata\n\n")]
    [True, True]
    >>> position.begin_attempt()
    >>> [position.passes(event) for event in (b"id: 9\ndata\n\n", b"id: 11\ndata\n\n")]
    [False, True]
    >>> position.last_id, position.can_go_on
    (b'11', True)
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self.can_go_on = True
        self._first_id: bytes | None = None
        self._is_resumed = False
        self._is_replayed = False

    @property
    def is_behind(self) -> bool:
        """Return whether a target repeats events and has not reached the last one yet."""
        return self._is_replayed

    def begin_attempt(self) -> None:
        """Begin another attempt, which may repeat events."""
        self._is_resumed = self.last_id is not None
        self._is_replayed = False

    def passes(self, event: bytes) -> bool:
        """Return whether the caller lacks an event; if so, it counts as sent."""
        sent_id = event_id(event)
        if self._is_repeated(sent_id):
            return False
        if sent_id is not None:
            self._is_resumed = False
            self._first_id = sent_id if self._first_id is None else self._first_id
            self.last_id = sent_id
            self.can_go_on = is_sendable_id(sent_id)
        elif has_data(event) and self.last_id is None:
            self.can_go_on = False
        return True

    def _is_repeated(self, sent_id: bytes | None) -> bool:
        """Return whether an event with this id was sent before."""
        last_id = self.last_id
        if last_id is None:
            return False
        if _is_number(sent_id) and _is_number(last_id):
            return _is_at_most(sent_id, last_id)
        if self._is_replayed:
            self._is_replayed = sent_id != last_id
            return True
        if sent_id is None or not self._is_resumed:
            return False
        self._is_replayed = sent_id == self._first_id and sent_id != last_id
        return self._is_replayed or sent_id == last_id
