"""Compute what a request costs an engine, in tokens, from the figures that its caller states.

A request needs memory for its prompt and for its output while it runs. Prompt parts that
several requests at one engine share are held once (paged attention with prefix sharing:
Kwon et al., "Efficient Memory Management for Large Language Model Serving with
PagedAttention", SOSP 2023), so the shared parts are kept apart from the rest.

>>> stated = read_token_headers(TokenHeaders(b"1130,400", b"course:1000,own:130", b"150"))
>>> cost = request_cost(stated, MeanCost())
>>> cost.own_tokens, cost.output_tokens, cost.need_tokens
(130, 300, 1430)
>>> cost.need_beside({part_digest(b"course")})
430
"""

import zlib
from collections.abc import Collection
from typing import NamedTuple

__all__ = [
    "MeanCost",
    "NO_TOKEN_HEADERS",
    "PromptPart",
    "RequestCost",
    "StatedTokens",
    "TokenHeaders",
    "part_digest",
    "read_token_headers",
    "request_cost",
]

# A hint is right in the median: half of all outputs are longer than the hint itself, and
# most of these are shorter than this multiple of it.
HINT_MULTIPLE = 2.0
# Larger figures than this are longer than any context window and count as malformed.
MAX_TOKENS = 1 << 30
# Parts of a prompt beyond this number are counted as the request's own.
MAX_PARTS = 32
# Of the some ten parts in use at an engine, one in 6,500 is mistaken for another.
_DIGEST_BITS = 16
# The weight of one request in the mean of its route.
MEAN_WEIGHT = 0.05


class TokenHeaders(NamedTuple):
    """The headers from which the cost of a request is read, as received."""

    usage: bytes | None = None
    parts: bytes | None = None
    length_hint: bytes | None = None


NO_TOKEN_HEADERS = TokenHeaders()


class PromptPart(NamedTuple):
    """A part of a prompt that other requests share, by its digest."""

    digest: int
    tokens: int


class StatedTokens(NamedTuple):
    """What a caller states; `None` where a figure is absent or malformed.

    `shared` are all parts of the prompt but the last one, which is the request's own.
    """

    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    shared: tuple[PromptPart, ...] = ()
    length_hint_tokens: int | None = None


class RequestCost(NamedTuple):
    """The tokens of one request: its shared prompt parts, its own part and its output."""

    shared: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the whole prompt."""
        return self.own_tokens + sum(part.tokens for part in self.shared)

    @property
    def need_tokens(self) -> int:
        """Return the memory that the request needs at an engine that holds none of its parts."""
        return self.prompt_tokens + self.output_tokens

    @property
    def unshared_tokens(self) -> int:
        """Return the memory that the request never shares."""
        return self.own_tokens + self.output_tokens

    def need_beside(self, held_parts: Collection[int]) -> int:
        """Return the additional memory needed at an engine that holds these parts."""
        return self.output_tokens + self.prefill_tokens(held_parts)

    def prefill_tokens(self, cached_parts: Collection[int]) -> int:
        """Return the prompt tokens to be read at an engine that has these parts cached."""
        missing = sum(part.tokens for part in self.shared if part.digest not in cached_parts)
        return self.own_tokens + missing


class MeanCost(NamedTuple):
    """The mean prompt and output of a route, for requests that state no figures."""

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0

    def updated(self, cost: RequestCost) -> "MeanCost":
        """Return the mean after another request."""
        if not self.prompt_tokens:
            return MeanCost(cost.prompt_tokens, cost.output_tokens)
        return MeanCost(
            self.prompt_tokens + MEAN_WEIGHT * (cost.prompt_tokens - self.prompt_tokens),
            self.output_tokens + MEAN_WEIGHT * (cost.output_tokens - self.output_tokens),
        )


def part_digest(part_id: bytes) -> int:
    """Return the digest that identifies a prompt part among those at one engine."""
    return zlib.crc32(part_id) & ((1 << _DIGEST_BITS) - 1)


def read_token_headers(headers: TokenHeaders) -> StatedTokens:
    """Parse the figures of a request; malformed ones count as absent.

    >>> read_token_headers(TokenHeaders(b"-5,x", b"a:1,b", b"1e3"))
    StatedTokens(prompt_tokens=None, max_output_tokens=None, shared=(), length_hint_tokens=None)
    """
    prompt, max_output = _read_usage(headers.usage)
    parts = _read_parts(headers.parts)
    stated_prompt = sum(tokens for _, tokens in parts) if parts else None
    if prompt is None or (stated_prompt is not None and stated_prompt > prompt):
        prompt = stated_prompt
    shared = tuple(PromptPart(part_digest(name), size) for name, size in parts[:-1][:MAX_PARTS])
    return StatedTokens(prompt, max_output, shared, _read_count(headers.length_hint))


def request_cost(stated: StatedTokens, mean: MeanCost) -> RequestCost:
    """Return the cost of a request; figures that it lacks are those of the mean of its route."""
    prompt = round(mean.prompt_tokens) if stated.prompt_tokens is None else stated.prompt_tokens
    own_tokens = prompt - sum(part.tokens for part in stated.shared)
    return RequestCost(stated.shared, max(own_tokens, 0), _output_tokens(stated, mean))


def _output_tokens(stated: StatedTokens, mean: MeanCost) -> int:
    """Return the expected output: at most the stated bound, less if a hint is given."""
    if stated.length_hint_tokens is not None:
        expected = round(HINT_MULTIPLE * stated.length_hint_tokens)
    elif stated.max_output_tokens is not None:
        expected = stated.max_output_tokens
    else:
        expected = round(mean.output_tokens)
    if stated.max_output_tokens is None:
        return expected
    return min(expected, stated.max_output_tokens)


def _read_usage(value: bytes | None) -> tuple[int | None, int | None]:
    """Parse `PROMPT,MAX_OUTPUT`; both are `None` unless both are well-formed."""
    prompt, _, max_output = (value or b"").partition(b",")
    figures = (_read_count(prompt), _read_count(max_output))
    return (None, None) if None in figures else figures


def _read_parts(value: bytes | None) -> list[tuple[bytes, int]]:
    """Parse `ID:TOKENS,...`; return nothing if any part is malformed."""
    items = [item.strip().rpartition(b":") for item in (value or b"").split(b",") if item.strip()]
    parts = [(name, _read_count(tokens)) for name, _, tokens in items]
    if any(not name or tokens is None for name, tokens in parts):
        return []
    return parts


def _read_count(value: bytes | None) -> int | None:
    """Parse a number of tokens; return `None` if it is malformed, negative or too large."""
    text = (value or b"").strip()
    if not text.isdigit() or len(text) > 10:
        return None
    count = int(text)
    return count if count <= MAX_TOKENS else None
