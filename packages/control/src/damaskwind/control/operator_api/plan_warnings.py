"""Warn of changes that revoke access, lower limits or loosen guarantees.

Each warning rule is a function of the configurations before and after the change; a
decorator registers it.
"""

from collections.abc import Callable, Iterator

from damaskwind.model.configuration import ClientAccount, Configuration
from damaskwind.model.configuration_change import ConfigurationChange, apply_change

__all__ = ["plan_warnings"]

WarningRule = Callable[[Configuration, Configuration], Iterator[str]]
_RULES: list[WarningRule] = []
_LIMIT_DROP_SHARE = 0.5


def _rule(rule: WarningRule) -> WarningRule:
    """Register a rule."""
    _RULES.append(rule)
    return rule


def plan_warnings(before: Configuration, change: ConfigurationChange) -> tuple[str, ...]:
    """Return the warnings that an operator should read before confirming."""
    after = apply_change(before, change)
    return tuple(warning for rule in _RULES for warning in rule(before, after))


def _remaining_accounts(
    before: Configuration, after: Configuration
) -> Iterator[tuple[ClientAccount, ClientAccount]]:
    """Yield each account that exists before and after, as a pair."""
    for name, old in before.accounts.items():
        if name in after.accounts:
            yield old, after.accounts[name]


def _granted(account: ClientAccount) -> dict[str, set[str]]:
    """Return the adapters granted for each `model@version`."""
    return {f"{grant.model}@{grant.version}": set(grant.adapters) for grant in account.models}


@_rule
def _deleted_accounts(before: Configuration, after: Configuration) -> Iterator[str]:
    for name in sorted(before.accounts.keys() - after.accounts.keys()):
        yield f"accounts.{name} goes: its callers are refused with 401"


@_rule
def _lost_grants(before: Configuration, after: Configuration) -> Iterator[str]:
    for old, new in _remaining_accounts(before, after):
        granted = _granted(new)
        for version, adapters in _granted(old).items():
            if version not in granted:
                yield f"accounts.{old.name} loses {version}: its callers get 404 for it"
                continue
            for adapter in sorted(adapters - granted[version]):
                yield f"accounts.{old.name} loses {version}+{adapter}: its callers get 404 for it"


@_rule
def _lost_services(before: Configuration, after: Configuration) -> Iterator[str]:
    for old, new in _remaining_accounts(before, after):
        for service in sorted(set(old.services) - set(new.services)):
            yield f"accounts.{old.name} loses service {service}: its callers get 404 for it"


@_rule
def _lost_keys(before: Configuration, after: Configuration) -> Iterator[str]:
    for old, new in _remaining_accounts(before, after):
        lost = len(set(old.key_hashes) - set(new.key_hashes))
        if lost:
            yield f"accounts.{old.name} loses {lost} of {len(old.key_hashes)} keys"


@_rule
def _lowered_limits(before: Configuration, after: Configuration) -> Iterator[str]:
    for old, new in _remaining_accounts(before, after):
        for field in ("max_concurrent_requests", "max_tokens_per_s"):
            old_limit, new_limit = getattr(old, field), getattr(new, field)
            if new_limit < old_limit * _LIMIT_DROP_SHARE:
                yield f"accounts.{old.name}.{field} falls from {old_limit:g} to {new_limit:g}"


@_rule
def _classes_in_use(before: Configuration, after: Configuration) -> Iterator[str]:
    for name in sorted(before.priority_classes.keys() - after.priority_classes.keys()):
        users = [account for account in before.accounts.values() if account.priority_class == name]
        if users:
            yield f"priority_classes.{name} goes: {len(users)} accounts were in it"


@_rule
def _default_versions(before: Configuration, after: Configuration) -> Iterator[str]:
    for name, old in before.models.items():
        new = after.models.get(name)
        if new is None:
            yield f"models.{name} goes: callers get 404 for it"
        elif new.default_version != old.default_version:
            yield (
                f"models.{name}: callers that name no version move from {old.default_version}"
                f" to {new.default_version}, and their prompt caches start cold"
            )


@_rule
def _removed_pools(before: Configuration, after: Configuration) -> Iterator[str]:
    for name in sorted(before.services.keys() - after.services.keys()):
        yield f"services.{name} goes: its targets get no more work"


@_rule
def _loosened_routes(before: Configuration, after: Configuration) -> Iterator[str]:
    for name, old in before.services.items():
        if name not in after.services:
            continue
        non_idempotent = {route.path_prefix for route in old.routes if not route.idempotent}
        for route in after.services[name].routes:
            if route.idempotent and route.path_prefix in non_idempotent:
                yield f"services.{name}: calls below {route.path_prefix} may now be sent twice"


@_rule
def _operators(before: Configuration, after: Configuration) -> Iterator[str]:
    if after.operators and not before.operators:
        yield "the first operators come in: the bootstrap key stops working"
    for name, old in before.operators.items():
        new = after.operators.get(name)
        lost = set(old.roles) - set(new.roles if new is not None else ())
        if lost:
            yield f"operators.{name} loses {', '.join(sorted(lost))}"


@_rule
def _load_factor(before: Configuration, after: Configuration) -> Iterator[str]:
    if after.policy.load_factor != before.policy.load_factor:
        yield "the load factor changes: chats move between engines while the load settles"
