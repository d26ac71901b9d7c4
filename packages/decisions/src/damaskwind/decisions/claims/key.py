"""Name a claim: the caller's key within its account, at a fixed size."""

from hashlib import blake2b

__all__ = ["claim_key", "request_digest"]

_DIGEST_BYTES = 16
_SEPARATOR = b"\x00"


def claim_key(account: str, idempotency_key: str) -> str:
    """Return the name under which holders know an account's key.

    The account is mixed in, so that accounts never meet, and the size is fixed,
    so that a caller's long key takes no more of a holder's memory.

    >>> claim_key("a", "k") == claim_key("b", "k")
    False
    >>> len(claim_key("a", "k" * 1000))
    32
    """
    text = account.encode() + _SEPARATOR + idempotency_key.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a resend is known to be the same request."""
    head = method.encode() + _SEPARATOR + path.encode() + _SEPARATOR
    return blake2b(head + body, digest_size=_DIGEST_BYTES).hexdigest()
