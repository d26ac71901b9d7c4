"""An incremental digest of a whole configuration.

The digests of objects are cached, so that after a change of one object only that
object is encoded again.
"""

import hashlib
from functools import lru_cache
from typing import Any

import msgspec

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_checks import OBJECT_KINDS
from damaskwind.model.configuration_codec import to_table

__all__ = ["DIGEST_BYTES", "configuration_digest"]

DIGEST_BYTES = 16
_CACHED_OBJECTS = 8192


@lru_cache(maxsize=_CACHED_OBJECTS)
def _object_digest(kind: str, value: Any) -> bytes:
    """Return the digest of one object; it covers the kind and, as a field, the name."""
    coded = msgspec.json.encode([kind, to_table(value)], order="deterministic")
    return hashlib.blake2b(coded, digest_size=DIGEST_BYTES).digest()


def configuration_digest(configuration: Configuration) -> bytes:
    """Return the digest of a configuration, the same in every process.

    >>> same = configuration_digest(Configuration(1)) == configuration_digest(Configuration(1))
    >>> same, configuration_digest(Configuration(1)) == configuration_digest(Configuration(2))
    (True, False)
    """
    digest = hashlib.blake2b(str(configuration.revision).encode(), digest_size=DIGEST_BYTES)
    digest.update(_object_digest("policy", configuration.policy))
    for kind in OBJECT_KINDS:
        objects = getattr(configuration, kind)
        for name in sorted(objects):
            digest.update(_object_digest(kind, objects[name]))
    return digest.digest()
