"""The confirmed configuration with its recent revisions, ready to be sent.

A follower that has one of the recent revisions gets only the objects that
differ; any other gets the whole. Both carry a digest of what must come out, so
that a follower that ends up with something else notices and asks for the
whole.
"""

import zlib
from collections import OrderedDict
from typing import NamedTuple

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_change import (
    apply_change,
    change_between,
    decode_change,
    encode_change,
)
from damaskwind.model.configuration_codec import decode_configuration, encode_configuration
from damaskwind.model.configuration_digest import configuration_digest
from damaskwind.model.exception import ConfigurationError, MessageError

__all__ = ["ConfigurationHistory", "EncodedRevision", "decode_revision"]

KEPT_REVISIONS = 128
BODY_LIMIT_BYTES = 32 * 1024 * 1024


class EncodedRevision(NamedTuple):
    """A revision on its way; the body is empty when there is nothing to send.

    A delta applies to exactly `base_revision`; otherwise the body is the whole.
    """

    revision: int
    is_delta: bool = False
    base_revision: int = 0
    body: bytes = b""
    digest: bytes = b""


class ConfigurationHistory:
    """The latest configuration and some before it."""

    def __init__(self) -> None:
        self.latest: Configuration | None = None
        self._kept: OrderedDict[int, Configuration] = OrderedDict()
        self._encoded: dict[int, EncodedRevision] = {}

    @property
    def revision(self) -> int:
        """Return the latest revision, 0 before any."""
        return self.latest.revision if self.latest is not None else 0

    def set(self, whole: Configuration) -> bool:
        """Take a configuration as the latest; tell whether it is a new one.

        Revision 0, before anything was confirmed, is nothing to follow.
        """
        if whole.revision in (0, self.revision):
            return False
        if whole.revision < self.revision:
            self._kept.clear()
        self.latest = whole
        self._encoded.clear()
        self._kept[whole.revision] = whole
        while len(self._kept) > KEPT_REVISIONS:
            self._kept.popitem(last=False)
        return True

    def encode_for(self, applied_revision: int) -> EncodedRevision:
        """Return what a follower at a revision needs; nothing if it is not behind."""
        if self.latest is None or applied_revision >= self.latest.revision:
            return EncodedRevision(self.revision)
        base = applied_revision if applied_revision in self._kept else 0
        if base not in self._encoded:
            self._encoded[base] = self._encode(base)
        return self._encoded[base]

    def _encode(self, base: int) -> EncodedRevision:
        """Encode the latest revision against a base; 0 for the whole."""
        latest = self.latest
        digest = configuration_digest(latest)
        if base not in self._kept:
            body = zlib.compress(encode_configuration(latest))
            return EncodedRevision(latest.revision, False, 0, body, digest)
        body = zlib.compress(encode_change(change_between(self._kept[base], latest)))
        return EncodedRevision(latest.revision, True, base, body, digest)


def _decompress(body: bytes) -> bytes:
    """Decompress a body; refuse one that is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, BODY_LIMIT_BYTES)
    except zlib.error as error:
        raise MessageError(f"body is not compressed: {error}") from error
    if not decompressor.eof:
        raise MessageError("body is cut or too large")
    return data


def decode_revision(encoded: EncodedRevision, applied: Configuration | None) -> Configuration:
    """Return the configuration that comes out at a follower.

    Raises `MessageError` when it is not the one that was sent.
    """
    data = _decompress(encoded.body)
    try:
        if encoded.is_delta:
            whole = _apply_delta(data, encoded, applied)
        else:
            whole = decode_configuration(data)
    except ConfigurationError as error:
        raise MessageError(f"malformed configuration: {error}") from error
    if whole.revision != encoded.revision or configuration_digest(whole) != encoded.digest:
        raise MessageError(f"revision {encoded.revision} came out different")
    return whole


def _apply_delta(
    data: bytes, encoded: EncodedRevision, applied: Configuration | None
) -> Configuration:
    """Apply a delta to the configuration that it is meant for."""
    if applied is None or applied.revision != encoded.base_revision:
        raise MessageError(f"delta from revision {encoded.base_revision} does not apply")
    return apply_change(applied, decode_change(data))._replace(revision=encoded.revision)
