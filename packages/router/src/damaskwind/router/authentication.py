"""Find the client account or operator of an API key.

Keys are stored as SHA-256. The owner is looked up by the hash of the presented key,
so timing depends only on a hash that an attacker can't control. The final comparison
is constant-time nevertheless.
"""

from collections.abc import Iterable, Mapping
from hashlib import sha256
from hmac import compare_digest
from typing import Generic, TypeVar

from damaskwind.model.configuration import ClientAccount, Configuration, OperatorKey
from damaskwind.model.exception import RefusedError
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["KeyIndex", "account_index", "bearer_key", "operator_index", "same_key"]

_SCHEME = "bearer "
Owner = TypeVar("Owner", ClientAccount, OperatorKey)


def bearer_key(authorization: str | None) -> str:
    """Return the key of an `Authorization: Bearer KEY` header, or an empty text.

    >>> bearer_key("Bearer secret")
    'secret'
    """
    text = authorization or ""
    return text[len(_SCHEME) :].strip() if text[: len(_SCHEME)].lower() == _SCHEME else ""


def same_key(presented: str, expected: str) -> bool:
    """Compare two keys in constant time; an empty expected key matches nothing."""
    same = compare_digest(presented.encode(), expected.encode())
    return same and bool(expected)


class KeyIndex(Generic[Owner]):
    """The owners of keys, indexed by the hash of each key."""

    def __init__(self, pairs: Iterable[tuple[str, Owner]]) -> None:
        self._owners: Mapping[str, Owner] = dict(pairs)

    def owner(self, key: str) -> Owner:
        """Return the owner of a key; raise `RefusedError` if the key is unknown."""
        digest = sha256(key.encode()).hexdigest()
        owner = self._owners.get(digest)
        hashes = getattr(owner, "key_hashes", None) or (getattr(owner, "key_hash", ""),)
        if owner is None or not any(compare_digest(digest, known) for known in hashes):
            raise RefusedError(Refusal(Reason.BAD_KEY, Verdict.NOT_RUN, "the API key is not valid"))
        return owner


def account_index(configuration: Configuration) -> KeyIndex[ClientAccount]:
    """Index the client accounts by their keys."""
    accounts = configuration.accounts.values()
    return KeyIndex((digest, account) for account in accounts for digest in account.key_hashes)


def operator_index(configuration: Configuration) -> KeyIndex[OperatorKey]:
    """Index the operators by their keys."""
    return KeyIndex((operator.key_hash, operator) for operator in configuration.operators.values())
