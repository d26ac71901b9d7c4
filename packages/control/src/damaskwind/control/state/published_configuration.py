"""The state machine of published configurations: the highest version holds.

A command carries a version and a document as it was sent, compressed. One
whose version is not higher than the version held changes nothing; its sender
is told so, which counts as an acknowledgement: whatever it asked for is
overtaken or already in force.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = ["PublishOutcome", "PublishedConfiguration", "publish_command"]


class PublishOutcome(StrEnum):
    """What became of a command."""

    STORED = "stored"
    KEPT = "kept"


class _Document(NamedTuple):
    """A version with its document, packed."""

    version: int = 0
    packed: bytes = b""


def publish_command(version: int, packed: bytes) -> bytes:
    """Return the command that publishes a document."""
    return msgspec.msgpack.encode(_Document(version, packed))


class PublishedConfiguration:
    """Hold the document with the highest version that was committed.

    >>> machine = PublishedConfiguration()
    >>> machine.apply(1, publish_command(7, b"a")), machine.apply(2, publish_command(7, b"b"))
    (b'stored', b'kept')
    >>> machine.version, machine.packed
    (7, b'a')
    """

    def __init__(self) -> None:
        self._held = _Document()

    @property
    def version(self) -> int:
        """Return the version held; 0 when there is none."""
        return self._held.version

    @property
    def packed(self) -> bytes:
        """Return the document held, packed."""
        return self._held.packed

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a command and return its outcome."""
        command = msgspec.msgpack.decode(payload, type=_Document)
        if command.version <= self._held.version:
            return PublishOutcome.KEPT.encode()
        self._held = command
        return PublishOutcome.STORED.encode()

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self._held)

    def restore(self, payload: bytes) -> None:
        """Replace the whole state."""
        self._held = msgspec.msgpack.decode(payload, type=_Document)
