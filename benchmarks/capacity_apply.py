"""Measure what a confirmed change costs a router, and what a change that was missed costs.

    .venv/bin/python -m benchmarks.capacity_apply

All in this process, over a configuration of 1,400 accounts. Times are processor
time, and as long as them the router relays nothing, since it has one loop.
"""

from typing import Any, NamedTuple

from benchmarks.configuration_costs import cost_ms, large_configuration
from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_codec import encode_configuration
from damaskwind.router.account_limits import AccountLimits
from damaskwind.router.authentication import account_index
from damaskwind.wire.configuration_history import (
    ConfigurationHistory,
    EncodedRevision,
    decode_revision,
)

__all__ = ["ApplyCosts", "changed_account", "measure_apply"]

CHANGES_AN_HOUR = 363
DOMAINS_TODAY = 3
DOMAINS_TO_GROW_TO = 40


class ApplyCosts(NamedTuple):
    """Processor times in milliseconds, sizes in bytes."""

    whole_bytes: int
    whole_sent_bytes: int
    encode_whole_ms: float
    decode_whole_ms: float
    decode_change_ms: float
    hour_sent_bytes: int
    encode_hour_ms: float
    decode_hour_ms: float
    account_index_ms: float
    first_limits_3_domains_ms: float
    first_limits_40_domains_ms: float
    changed_limits_3_domains_ms: float
    changed_limits_40_domains_ms: float


class _Unheard:
    """Stand for the membership, which nothing here talks to."""

    def register_kind(self, *arguments: Any) -> None:
        """Take no messages."""


class _Clock:
    """Stand still."""

    def seconds(self) -> float:
        """Return a time."""
        return 1.0


def changed_account(whole: Configuration, number: int) -> Configuration:
    """Return the next revision, with one account changed."""
    name = f"account-{number:04d}"
    changed = whole.accounts[name]._replace(max_tokens_per_s=float(1000 + number))
    return whole._replace(revision=whole.revision + 1, accounts={**whole.accounts, name: changed})


def _limits(domains: int) -> AccountLimits:
    """Return the limits' shell of a router in one of some failure domains."""
    names = tuple(f"domain-{number:02d}" for number in range(domains))
    return AccountLimits("router", names[0], names, _Unheard(), _Clock(), is_alone=False)


def _limit_costs_ms(whole: Configuration, domains: int) -> tuple[float, float]:
    """Return what the first configuration and one changed account cost the limits."""
    first_ms = cost_ms(lambda: _limits(domains).set_configuration(whole))
    limits = _limits(domains)
    limits.set_configuration(whole)
    turns = iter(range(1000))

    def change() -> None:
        limits.set_configuration(changed_account(whole, next(turns)))

    return first_ms, cost_ms(change)


def _missed(whole: Configuration, count: int) -> tuple[ConfigurationHistory, EncodedRevision]:
    """Return a history after some changes, and what a follower lacks that saw none."""
    history = ConfigurationHistory()
    history.set(whole)
    latest = whole
    for number in range(count):
        latest = changed_account(latest, number)
        history.set(latest)
    return history, history.encode_for(whole.revision)


def measure_apply() -> ApplyCosts:
    """Return all costs."""
    whole = large_configuration()
    history = ConfigurationHistory()
    history.set(whole)
    sent = history.encode_for(0)
    _, change = _missed(whole, 1)
    behind, hour = _missed(whole, CHANGES_AN_HOUR)

    def encode(book: ConfigurationHistory, base: int) -> None:
        book._encoded.clear()
        book.encode_for(base)

    few_first_ms, few_change_ms = _limit_costs_ms(whole, DOMAINS_TODAY)
    first_ms, change_ms = _limit_costs_ms(whole, DOMAINS_TO_GROW_TO)
    return ApplyCosts(
        len(encode_configuration(whole)),
        len(sent.body),
        cost_ms(lambda: encode(history, 0)),
        cost_ms(lambda: decode_revision(sent, None)),
        cost_ms(lambda: decode_revision(change, whole)),
        len(hour.body),
        cost_ms(lambda: encode(behind, whole.revision)),
        cost_ms(lambda: decode_revision(hour, whole)),
        cost_ms(lambda: account_index(whole)),
        few_first_ms,
        first_ms,
        few_change_ms,
        change_ms,
    )


def main() -> None:
    """Print the costs."""
    for name, value in measure_apply()._asdict().items():
        print(f"{name} {value:,.2f}" if isinstance(value, float) else f"{name} {value:,}")


if __name__ == "__main__":
    main()
