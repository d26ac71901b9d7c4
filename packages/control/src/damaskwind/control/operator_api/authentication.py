"""Find the operator that a key belongs to, in constant time."""

import hashlib
import secrets
from hmac import compare_digest

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_checks import BOOTSTRAP_OPERATOR

__all__ = ["authenticate", "bearer_key", "hash_key", "make_key"]

_KEY_BYTES = 32
_SCHEME = "bearer "


def make_key() -> str:
    """Return a fresh random key, of 256 bits."""
    return "dw-" + secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex; the system stores only this hash, not the key."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(header: str | None) -> str:
    """Return the key in an `Authorization` header; empty when there is none.

    >>> bearer_key("Bearer dw-1")
    'dw-1'
    """
    if header is None or not header.lower().startswith(_SCHEME):
        return ""
    return header[len(_SCHEME) :].strip()


def authenticate(key: str, configuration: Configuration, bootstrap_key_hash: str) -> str | None:
    """Return the name of the operator with a key, or `None`.

    Every hash is compared, so that the duration reveals nothing. The bootstrap key is
    still recognised once operators have been configured, but has no role then: its
    caller can only get the outcome of its own confirmation again.
    """
    presented = hash_key(key).encode()
    known = [(item.name, item.key_hash) for item in configuration.operators.values()]
    if bootstrap_key_hash:
        known.append((BOOTSTRAP_OPERATOR, bootstrap_key_hash))
    matches = [name for name, key_hash in known if compare_digest(presented, key_hash.encode())]
    return matches[0] if key and matches else None
