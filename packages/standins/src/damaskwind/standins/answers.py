"""Answers that follow from the seed and the request alone.

A test that knows its request knows the whole answer that it must get, token by
token, from whichever engine and router it came.
"""

from collections.abc import Iterable

import xxhash

from damaskwind.model.prefix import Message, ModelName, prefix_chain

__all__ = ["TOKEN_BYTES", "answer_tokens", "count_tokens", "expected_answer"]

TOKEN_BYTES = 4
_ALPHABET = "abcdefghijklmnopqrstuvwxyz234567"


def count_tokens(text: str) -> int:
    """Count the tokens of one message: four bytes each and one for its role.

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
    """Return the text that an engine with `seed` answers to a chat.

    >>> expected_answer(1, ModelName("m", "1"), [Message("user", "hello")], 2)
    'zhs cgf '
    """
    digest = prefix_chain(name, messages)[-1]
    return "".join(answer_tokens(seed, digest, size_tokens))
