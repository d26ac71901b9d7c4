"""The state machine of published configurations: the highest version holds.

A command carries a version and a document as it was sent, compressed; or, since
each goes to every replica, what it has in common with the version held. A command
whose version is not higher than the version held changes nothing; its sender
is told so, which counts as an acknowledgement: whatever it asked for is
overtaken or already in force. One that was written for another version than the
one held changes nothing either, and is to be written anew.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from damaskwind.model.exception import MessageError
from damaskwind.wire.document_difference import apply_difference, difference
from damaskwind.wire.news import pack_document, unpack_document

__all__ = ["PublishOutcome", "PublishedConfiguration", "publish_command"]


class PublishOutcome(StrEnum):
    """What became of a command."""

    STORED = "stored"
    UNCHANGED = "kept"
    OTHER_BASE = "other-base"


class _Command(NamedTuple):
    """A version with its document, packed; with a base it is a difference."""

    version: int
    packed: bytes
    base_version: int = 0


def publish_command(
    version: int, document: bytes, base_version: int = 0, base: bytes = b""
) -> bytes:
    """Return the command that publishes a document, as a difference if a base is given."""
    packed = difference(base, document) if base_version else pack_document(document)
    return msgspec.msgpack.encode(_Command(version, packed, base_version))


class PublishedConfiguration:
    """Hold the document with the highest version that was committed.

    >>> machine = PublishedConfiguration()
    >>> machine.apply(1, publish_command(7, b"a")), machine.apply(2, publish_command(7, b"b"))
    (b'stored', b'kept')
    >>> machine.apply(3, publish_command(8, b"c", 6, b"")), machine.version, machine.document
    (b'other-base', 7, b'a')
    >>> machine.apply(4, publish_command(8, b"c", 7, b"a")), machine.document
    (b'stored', b'c')
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = b""
        self._packed: bytes | None = b""

    @property
    def packed(self) -> bytes:
        """Return the document held, packed."""
        if self._packed is None:
            self._packed = pack_document(self.document)
        return self._packed

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a command and return its outcome."""
        command = msgspec.msgpack.decode(payload, type=_Command)
        if command.version <= self.version:
            return PublishOutcome.UNCHANGED.encode()
        if command.base_version not in (0, self.version):
            return PublishOutcome.OTHER_BASE.encode()
        if not command.base_version:
            self._store(command.version, unpack_document(command.packed), command.packed)
            return PublishOutcome.STORED.encode()
        try:
            document = apply_difference(self.document, command.packed)
        except MessageError:
            # The same at every replica: they hold the same base.
            return PublishOutcome.OTHER_BASE.encode()
        self._store(command.version, document, None)
        return PublishOutcome.STORED.encode()

    def _store(self, version: int, document: bytes, packed: bytes | None) -> None:
        self.version, self.document, self._packed = version, document, packed

    def restore(self, version: int, packed: bytes) -> None:
        """Replace what is held by a version and its document, packed."""
        self._store(version, unpack_document(packed) if packed else b"", packed)
