"""Sum the tokens that all routers hold at each engine; a shared prompt part counts once.

>>> sums = TokenAggregator()
>>> part = PromptPart(5, 1000)
>>> sums.report("router-1", (HeldTokens(7, 200, 0, (part,)),), {7: 1}, 0.0)
0
>>> sums.report("router-2", (HeldTokens(7, 300, 40, (part,)),), {7: 1}, 0.5)
0
>>> total = sums.total(1.0)
>>> total.targets[0][:4], total.routers, total.age_s
((7, 500, 1000, 40), 2, 0.75)
"""

from collections.abc import Mapping
from struct import unpack_from
from typing import NamedTuple

from damaskwind.decisions.load.held_sums import REPORT_TTL_S
from damaskwind.decisions.load.request_cost import PromptPart

__all__ = [
    "HeldTokens",
    "TokenAggregator",
    "TokenSum",
    "TokenSums",
    "held_tokens",
    "parts_of",
]

# The largest context windows have some million tokens; a report of more than this for each
# request that it counts is wrong.
MAX_REQUEST_TOKENS = 1 << 21
# Parts in use at an engine that a sum names, two bytes each; the rest count as not shared.
MAX_NAMED_PARTS = 64
_PART_BYTES = 2
# Some hundred answers a second carry a sum, and reports change it as often.
TOTAL_TTL_S = 0.1


class HeldTokens(NamedTuple):
    """What one router holds at a target: tokens not shared, unfinished prefill, shared parts."""

    target: int
    unshared_tokens: int = 0
    prefill_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


class TokenSum(NamedTuple):
    """What all routers hold at a target; `parts` are the digests of shared parts, packed."""

    target: int
    unshared_tokens: int = 0
    shared_tokens: int = 0
    prefill_tokens: int = 0
    parts: bytes = b""


class TokenSums(NamedTuple):
    """The sums over `routers` routers; `age_s` is the mean age of their reports."""

    targets: tuple[TokenSum, ...] = ()
    routers: int = 0
    age_s: float = 0.0


class _Report(NamedTuple):
    """The report of one router, and when it arrived."""

    held: tuple[HeldTokens, ...]
    at_s: float


def held_tokens(total: TokenSum) -> int:
    """Return the memory held at a target."""
    return total.unshared_tokens + total.shared_tokens


def parts_of(total: TokenSum) -> set[int]:
    """Return the digests of the shared parts in use at a target.

    >>> sorted(parts_of(TokenSum(1, parts=bytes([1, 0, 2, 0]))))
    [1, 2]
    """
    count = len(total.parts) // _PART_BYTES
    return set(unpack_from(f"<{count}H", total.parts))


def is_plausible(item: HeldTokens, requests: int) -> bool:
    """Tell whether a report can be true of this number of requests at the target.

    One more is allowed: the counts lack requests without a prompt key, and those whose
    connection is still being established.
    """
    limit = (requests + 1) * MAX_REQUEST_TOKENS
    shared = sum(part.tokens for part in item.parts)
    figures = (item.unshared_tokens, item.prefill_tokens, *(part.tokens for part in item.parts))
    digests = all(0 <= part.digest < 1 << (8 * _PART_BYTES) for part in item.parts)
    return digests and min(figures) >= 0 and max(*figures, shared) <= limit


class TokenAggregator:
    """The sums of one replica; a report counts until the router's next, or for its lifetime."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._total = TokenSums()
        self._total_s = float("-inf")

    def report(
        self,
        router_id: str,
        held: tuple[HeldTokens, ...],
        requests: Mapping[int, int],
        now_s: float,
    ) -> int:
        """Replace a router's report; return how many implausible entries were ignored.

        `requests` is the number of requests that the router counts at each target.
        """
        good = tuple(item for item in held if is_plausible(item, requests.get(item.target, 0)))
        self._reports.pop(router_id, None)
        self._reports[router_id] = _Report(good, now_s)
        return len(held) - len(good)

    def total(self, now_s: float) -> TokenSums:
        """Return the sums of the recent reports, computed at most every `TOTAL_TTL_S`."""
        age_s = now_s - self._total_s
        if not 0.0 <= age_s < TOTAL_TTL_S:
            self._total, self._total_s, age_s = self._compute(now_s), now_s, 0.0
        return self._total._replace(age_s=round(self._total.age_s + age_s, 2))

    def _compute(self, now_s: float) -> TokenSums:
        """Add up the reports that have not expired."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now_s - report.at_s <= REPORT_TTL_S
        }
        reports = list(self._reports.values())
        if not reports:
            return TokenSums()
        by_target: dict[int, list[HeldTokens]] = {}
        for report in reports:
            for item in report.held:
                by_target.setdefault(item.target, []).append(item)
        age_s = now_s - sum(report.at_s for report in reports) / len(reports)
        targets = tuple(_sum(target, items) for target, items in by_target.items())
        return TokenSums(targets, len(reports), round(age_s, 2))


def _sum(target: int, items: list[HeldTokens]) -> TokenSum:
    """Return what several routers hold at one target."""
    sizes: dict[int, int] = {}
    for item in items:
        for part in item.parts:
            sizes[part.digest] = max(sizes.get(part.digest, 0), part.tokens)
    named = sorted(sizes, key=sizes.__getitem__, reverse=True)[:MAX_NAMED_PARTS]
    return TokenSum(
        target,
        sum(item.unshared_tokens for item in items),
        sum(sizes.values()),
        sum(item.prefill_tokens for item in items),
        b"".join(digest.to_bytes(_PART_BYTES, "little") for digest in named),
    )
