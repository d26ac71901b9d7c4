"""Describe in words how a change alters a configuration; keys by fingerprint only."""

from collections.abc import Iterator
from typing import Any

from damaskwind.model.configuration import Configuration, ModelGrant, ModelVersion, ServiceRoute
from damaskwind.model.configuration_change import ConfigurationChange, apply_change
from damaskwind.model.configuration_checks import OBJECT_KINDS

__all__ = ["affected_objects", "difference_lines", "fingerprint", "redacted"]

_FINGERPRINT_LENGTH = 8
_HASH_FIELDS = ("key_hash", "key_hashes")


def fingerprint(key_hash: str) -> str:
    """Return the fingerprint of a key, from its hash.

    >>> fingerprint("0123456789abcdef" * 4)
    'sha256:01234567'
    """
    return f"sha256:{key_hash[:_FINGERPRINT_LENGTH]}"


def redacted(table: Any) -> Any:
    """Return a table with each key hash replaced by its fingerprint."""
    if isinstance(table, dict):
        return {
            name: _redacted_field(value) if name in _HASH_FIELDS else redacted(value)
            for name, value in table.items()
        }
    if isinstance(table, list | tuple):
        return [redacted(item) for item in table]
    return table


def _redacted_field(value: Any) -> Any:
    """Return the fingerprint of a hash or of each in a list."""
    if isinstance(value, str):
        return fingerprint(value)
    return [fingerprint(str(item)) for item in value] if isinstance(value, list | tuple) else None


def _item_text(field: str, item: Any) -> str:
    """Return a short text for one item of a list."""
    if field in _HASH_FIELDS:
        return fingerprint(item)
    if isinstance(item, ModelGrant):
        return "+".join((f"{item.model}@{item.version}", *item.adapters))
    if isinstance(item, ModelVersion):
        return "+".join((item.version, *item.adapters))
    if isinstance(item, ServiceRoute):
        kind = "idempotent" if item.idempotent else "at most once"
        return f"{','.join(item.methods)} {item.path_prefix} ({kind}, {item.timeout_s:g} s)"
    return str(item)


def _value_text(field: str, value: Any) -> str:
    """Return a short text for a field's value."""
    if isinstance(value, tuple):
        return "[" + ", ".join(_item_text(field, item) for item in value) + "]"
    return _item_text(field, value)


def _list_changes(field: str, old: tuple, new: tuple) -> str:
    """Return the items added and removed; the whole list if only its order changes."""
    gained = [f"+{_item_text(field, item)}" for item in new if item not in old]
    lost = [f"-{_item_text(field, item)}" for item in old if item not in new]
    return ", ".join(gained + lost) or f"order becomes {_value_text(field, new)}"


def _field_lines(path: str, old: Any, new: Any) -> Iterator[str]:
    """Yield a line for each field that differs."""
    for field in new._fields:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        if isinstance(after, tuple):
            yield f"change {path}.{field}: {_list_changes(field, before, after)}"
        else:
            texts = (_value_text(field, before), _value_text(field, after))
            yield f"change {path}.{field}: {texts[0]} -> {texts[1]}"


def _creation_line(path: str, value: Any) -> str:
    """Return the line for a new object, with its fields."""
    fields = [
        f"{field} {_value_text(field, item)}"
        for field, item in value._asdict().items()
        if field != "name"
    ]
    return f"create {path}: {', '.join(fields)}"


def difference_lines(before: Configuration, change: ConfigurationChange) -> tuple[str, ...]:
    """Return the difference that a change makes, one line per object or field."""
    after = apply_change(before, change)
    lines: list[str] = []
    for kind in OBJECT_KINDS:
        old, new = getattr(before, kind), getattr(after, kind)
        for name in sorted(old.keys() | new.keys()):
            path = f"{kind}.{name}"
            if name not in new:
                lines.append(f"delete {path}")
            elif name not in old:
                lines.append(_creation_line(path, new[name]))
            elif old[name] != new[name]:
                lines += _field_lines(path, old[name], new[name])
    lines += _field_lines("policy", before.policy, after.policy)
    return tuple(lines)


def _dependants(configuration: Configuration, kind: str, name: str) -> Iterator[str]:
    """Yield the objects that refer to one object."""
    if kind == "services":
        yield from (f"models.{m.name}" for m in configuration.models.values() if m.service == name)
    for account in configuration.accounts.values():
        refers_to = {
            "priority_classes": (account.priority_class,),
            "models": tuple(grant.model for grant in account.models),
            "services": account.services,
        }
        if name in refers_to.get(kind, ()):
            yield f"accounts.{account.name}"


def affected_objects(before: Configuration, change: ConfigurationChange) -> tuple[str, ...]:
    """Return the objects that depend, before or after a change, on the objects it touches."""
    after = apply_change(before, change)
    touched = [(kind, name) for kind, objects in change.put.items() for name in objects]
    touched += [(kind, name) for kind, names in change.delete.items() for name in names]
    affected: set[str] = set()
    for kind, name in touched:
        for configuration in (before, after):
            affected.update(_dependants(configuration, kind, name))
    return tuple(sorted(affected - {f"{kind}.{name}" for kind, name in touched}))
