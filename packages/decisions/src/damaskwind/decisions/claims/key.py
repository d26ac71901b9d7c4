"""Derive the fixed-size key of a claim from an account and its idempotency key."""

from hashlib import blake2b

__all__ = ["claim_key", "request_digest"]

_DIGEST_BYTES = 16
_SEPARATOR = b"\x00"


def claim_key(account: str, idempotency_key: str) -> str:
    """Return the key under which holders store the idempotency key of an account.

    The account is part of the hash, so keys of different accounts differ. The
    size is fixed, so a long key of a caller takes no more of a holder's memory.

    >>> claim_key("a", "k") == claim_key("b", "k")
    False
    >>> len(claim_key("a", "k" * 1000))
    32
    """
    text = account.encode() + _SEPARATOR + idempotency_key.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies a resend as the same request."""
    head = method.encode() + _SEPARATOR + path.encode() + _SEPARATOR
    return blake2b(head + body, digest_size=_DIGEST_BYTES).hexdigest()
