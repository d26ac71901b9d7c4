"""Answers as a pure function of the seed and the request.

A test can therefore compute the expected answer to a request token by token,
independently of the engine and router that serve it.
"""

from collections.abc import Iterable

import xxhash

from damaskwind.model.prefix import Message, ModelName, prefix_chain

__all__ = ["TOKEN_BYTES", "answer_tokens", "count_tokens", "expected_answer"]

TOKEN_BYTES = 4
_ALPHABET = "abcdefghijklmnopqrstuvwxyz234567"


def count_tokens(text: str) -> int:
    """Return the tokens of one message: one per four bytes, and one for its role.

    >>> count_tokens("abcd efg")
    3
    """
    return 1 + -(-len(text.encode()) // TOKEN_BYTES)


def answer_tokens(seed: int, digest: str, size_tokens: int) -> list[str]:
    """Return the answer to the prompt whose last prefix digest is `digest`."""
    state = f"{seed}/{digest}/".encode()
    tokens = []
    for index in range(size_tokens):
        bits = xxhash.xxh3_64_intdigest(state + str(index).encode())
        word = "".join(_ALPHABET[(bits >> shift) & 31] for shift in (0, 5, 10))
        tokens.append(word + " ")
    return tokens


def expected_answer(
    seed: int, name: ModelName, messages: Iterable[Message], size_tokens: int
) -> str:
    """Return the text of the answer of an engine with `seed` to a chat.

    >>> expected_answer(1, ModelName("m", "1"), [Message("user", "hello")], 2)
    'zhs cgf '
    """
    digest = prefix_chain(name, messages)[-1]
    return "".join(answer_tokens(seed, digest, size_tokens))
