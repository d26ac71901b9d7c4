"""Load patterns of a surge, by name: arrivals, their accounts and failing engines."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

__all__ = [
    "AFTER_S",
    "BEFORE_S",
    "KINDS",
    "PATTERNS",
    "SURGE_S",
    "Arrival",
    "RequestKind",
    "Pattern",
    "engine_time_s",
]

# Durations of the calm before the surge, of the surge and of the calm after it.
BEFORE_S, SURGE_S, AFTER_S = 6.0, 8.0, 6.0
# The load outside the surge, as a share of the pool's capacity.
CALM_LOAD = 0.35
ACCOUNTS = 10


class RequestKind(NamedTuple):
    """A kind of request: rank 0 is the most urgent; `value` counts for each one served in time."""

    name: str
    rank: int
    share: float
    objective_s: float
    deadline_s: float
    value: float
    shared_tokens: int
    own_tokens: int
    out_tokens: int
    subjects: int = 40


KINDS = (
    RequestKind("dispute", 0, 0.35, 0.8, 4.0, 2.1, 2_000, 360, 24),
    RequestKind("digest", 1, 0.26, 1.0, 8.0, 4.1, 8_600, 580, 52),
    RequestKind("chat", 2, 0.39, 0.6, 15.0, 0.44, 600, 110, 267),
)


class Arrival(NamedTuple):
    """One request of a caller; `subject` selects the shared prefix of its prompt."""

    at_s: float
    kind: RequestKind
    account: str
    subject: int


class Pattern(NamedTuple):
    """The arrivals, the engines that fail in the surge, and whether callers ignore Retry-After."""

    arrivals: list[Arrival]
    lost_engines: int = 0
    returns_at_once: bool = False


def engine_time_s(
    kind: RequestKind, step_per_request_s: float, prefill_tokens_per_s: float
) -> float:
    """Return the engine time of a request whose shared prefix is cached."""
    return kind.own_tokens / prefill_tokens_per_s + kind.out_tokens * step_per_request_s


PATTERNS: dict[str, Callable[[float, float, Random], Pattern]] = {}


def _register(
    make: Callable[[float, float, Random], Pattern],
) -> Callable[[float, float, Random], Pattern]:
    PATTERNS[make.__name__] = make
    return make


def _arrivals(
    capacity_per_s: float, random: Random, surge: Callable[[RequestKind, str], float]
) -> list[Arrival]:
    """Draw arrivals; `surge` returns the factor on the calm rate of a kind and account."""
    arrivals = []
    for kind in KINDS:
        for number in range(ACCOUNTS):
            account = f"account-{number}"
            calm_per_s = CALM_LOAD * capacity_per_s * kind.share / ACCOUNTS
            at_s = 0.0
            while at_s < BEFORE_S + SURGE_S + AFTER_S:
                in_surge = BEFORE_S <= at_s < BEFORE_S + SURGE_S
                rate_per_s = calm_per_s * (surge(kind, account) if in_surge else 1.0)
                at_s += random.expovariate(rate_per_s)
                arrivals.append(Arrival(at_s, kind, account, random.randrange(kind.subjects)))
    return sorted(arrivals)


@_register
def all_kinds(capacity_per_s: float, load: float, random: Random) -> Pattern:
    """Increase the rate of every kind."""
    return Pattern(_arrivals(capacity_per_s, random, lambda kind, account: load / CALM_LOAD))


@_register
def one_kind(capacity_per_s: float, load: float, random: Random) -> Pattern:
    """Increase the rate of the least urgent kind only."""

    def surge(kind: RequestKind, account: str) -> float:
        return load / CALM_LOAD / kind.share if kind.rank == 2 else 1.0

    return Pattern(_arrivals(capacity_per_s, random, surge))


@_register
def one_account(capacity_per_s: float, load: float, random: Random) -> Pattern:
    """Increase the rate of a single account."""

    def surge(kind: RequestKind, account: str) -> float:
        return load / CALM_LOAD * ACCOUNTS if account == "account-0" else 1.0

    return Pattern(_arrivals(capacity_per_s, random, surge))


@_register
def engines_lost(capacity_per_s: float, load: float, random: Random) -> Pattern:
    """Increase every rate while two engines fail and lose their caches."""
    return all_kinds(capacity_per_s, load, random)._replace(lost_engines=2)


@_register
def returns_at_once(capacity_per_s: float, load: float, random: Random) -> Pattern:
    """Increase every rate, with callers that retry at once and ignore Retry-After."""
    return all_kinds(capacity_per_s, load, random)._replace(returns_at_once=True)
