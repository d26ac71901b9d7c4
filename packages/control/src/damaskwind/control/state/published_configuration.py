"""The state machine of published configurations: the highest version wins.

A command contains a version and a compressed document. Since every command goes
to every replica, the document may instead be a difference to the stored version.
A command whose version is not higher than the stored one changes nothing. Its
sender receives that as an acknowledgement: the requested version is superseded
or already in force. A difference to a version other than the stored one changes
nothing either and must be proposed again.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from damaskwind.model.exception import MessageError
from damaskwind.wire.document_difference import apply_difference, difference
from damaskwind.wire.news import pack_document, unpack_document

__all__ = ["PublishOutcome", "PublishedConfiguration", "command_version", "publish_command"]


class PublishOutcome(StrEnum):
    """The outcome of a publish command."""

    STORED = "stored"
    UNCHANGED = "kept"
    OTHER_BASE = "other-base"


class _Command(NamedTuple):
    """A version with its packed document, or with a difference if there is a base."""

    version: int
    packed: bytes
    base_version: int = 0


def publish_command(
    version: int, document: bytes, base_version: int = 0, base: bytes = b""
) -> bytes:
    """Return the command that publishes a document, as a difference if a base is given."""
    packed = difference(base, document) if base_version else pack_document(document)
    return msgspec.msgpack.encode(_Command(version, packed, base_version))


def command_version(command: bytes) -> int:
    """Return the version that a command publishes, or 0 if it is malformed.

    >>> command_version(publish_command(7, b"a")), command_version(b"x")
    (7, 0)
    """
    try:
        return msgspec.msgpack.decode(command, type=_Command).version
    except msgspec.MsgspecError:
        return 0


class PublishedConfiguration:
    """The document with the highest committed version.

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
        """Return the stored document, packed."""
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
            # Deterministic: all replicas have the same base.
            return PublishOutcome.OTHER_BASE.encode()
        self._store(command.version, document, None)
        return PublishOutcome.STORED.encode()

    def _store(self, version: int, document: bytes, packed: bytes | None) -> None:
        self.version, self.document, self._packed = version, document, packed

    def restore(self, version: int, packed: bytes) -> None:
        """Replace the stored version and document; `packed` may be empty."""
        self._store(version, unpack_document(packed) if packed else b"", packed)
