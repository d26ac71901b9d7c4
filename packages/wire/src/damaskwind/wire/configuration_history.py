"""The confirmed configuration with its recent revisions, encoded for followers.

A follower that has one of the recent revisions gets a delta with the objects that
differ; any other gets the whole configuration. Both carry a digest of the expected
result, so that a follower that ends up with anything else detects it and requests
the whole configuration.
"""

import zlib
from collections import OrderedDict
from typing import NamedTuple

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_change import (
    ConfigurationChange,
    apply_change,
    change_between,
    decode_change,
    encode_change,
)
from damaskwind.model.configuration_codec import decode_configuration, encode_configuration
from damaskwind.model.configuration_digest import configuration_digest
from damaskwind.model.exception import ConfigurationError, MessageError

__all__ = ["ConfigurationHistory", "EncodedRevision", "decode_revision"]

MAX_STEPS = 8192
BODY_LIMIT_BYTES = 32 * 1024 * 1024


class EncodedRevision(NamedTuple):
    """An encoded revision; the body is empty when there is nothing to send.

    A delta applies to exactly `base_revision`; otherwise the body is the whole
    configuration.
    """

    revision: int
    is_delta: bool = False
    base_revision: int = 0
    body: bytes = b""
    digest: bytes = b""


class _Step(NamedTuple):
    """The objects changed by one step of the history, by kind and name, and the policy."""

    base_revision: int
    names: frozenset[tuple[str, str]]
    has_policy: bool


def _step_of(old: Configuration, change: ConfigurationChange) -> _Step:
    """Return the step made by a change."""
    put = {(kind, name) for kind, objects in change.put.items() for name in objects}
    deleted = {(kind, name) for kind, names in change.delete.items() for name in names}
    return _Step(old.revision, frozenset(put | deleted), change.policy is not None)


class ConfigurationHistory:
    """The latest configuration, and what changed since each recent revision.

    Of earlier revisions, only the names of the objects changed by each step are kept.
    """

    def __init__(self) -> None:
        self.latest: Configuration | None = None
        self._steps: OrderedDict[int, _Step] = OrderedDict()
        self._encoded: dict[int, EncodedRevision] = {}

    @property
    def revision(self) -> int:
        """Return the latest revision, 0 before any."""
        return self.latest.revision if self.latest is not None else 0

    def set(self, configuration: Configuration) -> bool:
        """Set the latest configuration; return whether it is a new one.

        Revision 0, before anything was confirmed, is ignored.
        """
        if configuration.revision in (0, self.revision):
            return False
        if configuration.revision < self.revision:
            self._steps.clear()
        elif self.latest is not None:
            step = _step_of(self.latest, change_between(self.latest, configuration))
            self._steps[step.base_revision] = step
        self.latest = configuration
        self._encoded.clear()
        while len(self._steps) > MAX_STEPS:
            self._steps.popitem(last=False)
        return True

    def encode_for(self, applied_revision: int) -> EncodedRevision:
        """Encode what a follower at a revision lacks; the body is empty if it is up to date."""
        if self.latest is None or applied_revision >= self.latest.revision:
            return EncodedRevision(self.revision)
        base = applied_revision if applied_revision in self._steps else 0
        if base not in self._encoded:
            self._encoded[base] = self._encode(base)
        return self._encoded[base]

    def _encode(self, base: int) -> EncodedRevision:
        """Encode the latest revision as a delta from a base, or whole for base 0."""
        latest = self.latest
        digest = configuration_digest(latest)
        if base not in self._steps:
            body = zlib.compress(encode_configuration(latest))
            return EncodedRevision(latest.revision, False, 0, body, digest)
        body = zlib.compress(encode_change(self._change_since(base)))
        return EncodedRevision(latest.revision, True, base, body, digest)

    def _change_since(self, base: int) -> ConfigurationChange:
        """Return the change from a base to the latest revision."""
        put: dict = {}
        delete: dict = {}
        has_policy = False
        for step in self._steps.values():
            if step.base_revision < base:
                continue
            has_policy = has_policy or step.has_policy
            for kind, name in step.names:
                objects = getattr(self.latest, kind)
                if name in objects:
                    put.setdefault(kind, {})[name] = objects[name]
                else:
                    delete.setdefault(kind, {})[name] = None
        deleted = {kind: tuple(names) for kind, names in delete.items()}
        return ConfigurationChange(put, deleted, self.latest.policy if has_policy else None)


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
    """Decode a revision at a follower that has applied the configuration `applied`.

    Raises `MessageError` if the result is not the configuration that was sent.
    """
    data = _decompress(encoded.body)
    try:
        if encoded.is_delta:
            configuration = _apply_delta(data, encoded, applied)
        else:
            configuration = decode_configuration(data)
    except ConfigurationError as error:
        raise MessageError(f"malformed configuration: {error}") from error
    if (
        configuration.revision != encoded.revision
        or configuration_digest(configuration) != encoded.digest
    ):
        raise MessageError(f"digest mismatch at revision {encoded.revision}")
    return configuration


def _apply_delta(
    data: bytes, encoded: EncodedRevision, applied: Configuration | None
) -> Configuration:
    """Apply a delta to the configuration that it is based on."""
    if applied is None or applied.revision != encoded.base_revision:
        raise MessageError(f"delta from revision {encoded.base_revision} does not apply")
    return apply_change(applied, decode_change(data))._replace(revision=encoded.revision)
