"""Digests of a chat's prefixes, the same in every process.

The digest after message `n` covers the model, the version, the adapter and all
messages up to `n`, so equal digests mean equal prompt prefixes.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = ["Message", "ModelName", "chat_digest", "parse_model_name", "prefix_chain"]

_SEPARATOR = b"\x00"
_DIGEST_BYTES = 16


class Message(NamedTuple):
    """One message of a chat: its role and its content as canonical text."""

    role: str
    content: str


class ModelName(NamedTuple):
    """A model as named by a caller; an empty version means the default one."""

    model: str
    version: str = ""
    adapter: str = ""


def parse_model_name(text: str) -> ModelName:
    """Split `model@version+adapter`.

    >>> parse_model_name("damask@2+ledger")
    ModelName(model='damask', version='2', adapter='ledger')
    >>> parse_model_name("damask")
    ModelName(model='damask', version='', adapter='')
    """
    model_and_version, _, adapter = text.partition("+")
    model, _, version = model_and_version.partition("@")
    return ModelName(model, version, adapter)


def prefix_chain(name: ModelName, messages: Iterable[Message]) -> list[str]:
    """Return the digest after each message, in hex.

    >>> one = prefix_chain(ModelName("m"), [Message("user", "a")])
    >>> two = prefix_chain(ModelName("m"), [Message("user", "a"), Message("user", "b")])
    >>> one[0] == two[0] and two[0] != two[1]
    True
    """
    state = _SEPARATOR.join(part.encode() for part in name)
    digests = []
    for message in messages:
        state += _SEPARATOR + message.role.encode() + _SEPARATOR + message.content.encode()
        digest = xxhash.xxh3_128_digest(state)
        digests.append(digest.hex())
        state = digest
    return digests


def chat_digest(account: str, name: ModelName, messages: list[Message], cache_key: str) -> str:
    """Return the digest that identifies a chat throughout its lifetime.

    It is derived from the `cache_key`, if the caller gives one. Otherwise it is derived
    from the prefix up to and including the first message that is not a system message,
    which never changes as the chat grows and differs between chats that share a system
    prompt. The digest covers the account, so accounts never share a chat.

    >>> first = [Message("system", "s"), Message("user", "a")]
    >>> later = [*first, Message("assistant", "b"), Message("user", "c")]
    >>> name = ModelName("m")
    >>> chat_digest("x", name, first, "") == chat_digest("x", name, later, "")
    True
    """
    seed = account.encode() + _SEPARATOR
    if cache_key:
        return xxhash.xxh3_128_hexdigest(seed + b"key" + _SEPARATOR + cache_key.encode())
    opening = []
    for message in messages:
        opening.append(message)
        if message.role not in ("system", "developer"):
            break
    chain = prefix_chain(name, opening)
    return xxhash.xxh3_128_hexdigest(seed + bytes.fromhex(chain[-1]) if chain else seed)
