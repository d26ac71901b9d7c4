"""Measure the cost of a configuration change at a router, and of catching up on missed ones.

    .venv/bin/python -m benchmarks.capacity_apply

Everything runs in this process over a configuration of 1,400 accounts. Times are
processor time; the router has one event loop, so it relays nothing during them.
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

CHANGES_PER_HOUR = 363
FEW_DOMAINS = 3
MANY_DOMAINS = 40


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


class _NullMembership:
    """A membership service without peers."""

    def register_kind(self, *arguments: Any) -> None:
        """Ignore the registration."""


class _FixedClock:
    """A clock that stands still."""

    def seconds(self) -> float:
        """Return a constant time."""
        return 1.0


def changed_account(full: Configuration, number: int) -> Configuration:
    """Return the next revision, with one account changed."""
    name = f"account-{number:04d}"
    changed = full.accounts[name]._replace(max_tokens_per_s=float(1000 + number))
    return full._replace(revision=full.revision + 1, accounts={**full.accounts, name: changed})


def _limits(domains: int) -> AccountLimits:
    """Return the account limits of a router in the first of `domains` failure domains."""
    names = tuple(f"domain-{number:02d}" for number in range(domains))
    return AccountLimits(
        "router", names[0], names, _NullMembership(), _FixedClock(), is_alone=False
    )


def _limit_costs_ms(full: Configuration, domains: int) -> tuple[float, float]:
    """Return the costs of the first configuration and of one changed account for the limits."""
    first_ms = cost_ms(lambda: _limits(domains).set_configuration(full))
    limits = _limits(domains)
    limits.set_configuration(full)
    numbers = iter(range(1000))

    def change_account() -> None:
        limits.set_configuration(changed_account(full, next(numbers)))

    return first_ms, cost_ms(change_account)


def _history_with_changes(
    full: Configuration, count: int
) -> tuple[ConfigurationHistory, EncodedRevision]:
    """Return a history after `count` changes and the update for a follower that missed them."""
    history = ConfigurationHistory()
    history.set(full)
    latest = full
    for number in range(count):
        latest = changed_account(latest, number)
        history.set(latest)
    return history, history.encode_for(full.revision)


def measure_apply() -> ApplyCosts:
    """Measure all costs."""
    full = large_configuration()
    history = ConfigurationHistory()
    history.set(full)
    full_update = history.encode_for(0)
    _, change_account = _history_with_changes(full, 1)
    changed_history, hour_update = _history_with_changes(full, CHANGES_PER_HOUR)

    def encode(revisions: ConfigurationHistory, base: int) -> None:
        revisions._encoded.clear()
        revisions.encode_for(base)

    few_first_ms, few_change_ms = _limit_costs_ms(full, FEW_DOMAINS)
    first_ms, change_ms = _limit_costs_ms(full, MANY_DOMAINS)
    return ApplyCosts(
        len(encode_configuration(full)),
        len(full_update.body),
        cost_ms(lambda: encode(history, 0)),
        cost_ms(lambda: decode_revision(full_update, None)),
        cost_ms(lambda: decode_revision(change_account, full)),
        len(hour_update.body),
        cost_ms(lambda: encode(changed_history, full.revision)),
        cost_ms(lambda: decode_revision(hour_update, full)),
        cost_ms(lambda: account_index(full)),
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
