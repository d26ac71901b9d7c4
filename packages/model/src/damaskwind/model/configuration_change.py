"""A change of a configuration: complete objects to put and names to delete.

An intent in a file or a request is a table of kinds like a configuration, with an
additional table `delete`:

    [accounts.field-technicians]
    priority_class = "interactive"
    ...

    [delete]
    accounts = ["old-clerks"]
"""

from typing import Any, NamedTuple

import msgspec

from damaskwind.model.checking import check_table
from damaskwind.model.configuration import Configuration, Policy
from damaskwind.model.configuration_checks import OBJECT_KINDS, check_configuration
from damaskwind.model.configuration_codec import check_objects, to_table
from damaskwind.model.exception import ConfigurationError

__all__ = [
    "ConfigurationChange",
    "apply_change",
    "change_between",
    "change_from_table",
    "change_to_table",
    "check_change",
    "decode_change",
    "encode_change",
    "touched_objects",
]


class ConfigurationChange(NamedTuple):
    """Objects to put and names to delete, each by kind, and the new `policy` if it changes."""

    put: dict[str, dict[str, Any]] = {}
    delete: dict[str, tuple[str, ...]] = {}
    policy: Policy | None = None


def _names_to_delete(raw: Any, mistakes: list[str]) -> dict[str, tuple[str, ...]]:
    """Read the table `delete`; append its mistakes to `mistakes`."""
    if not isinstance(raw, dict):
        mistakes.append("delete: expected a table of lists of names by kind")
        return {}
    names = {}
    for kind, listed in raw.items():
        if kind not in OBJECT_KINDS:
            mistakes.append(f"delete.{kind}: unknown key; expected {', '.join(OBJECT_KINDS)}")
        elif not isinstance(listed, list) or not all(isinstance(name, str) for name in listed):
            mistakes.append(f"delete.{kind}: expected a list of names")
        elif listed:
            names[kind] = tuple(dict.fromkeys(listed))
    return names


def change_from_table(raw: Any) -> ConfigurationChange:
    """Read a change; raise `ConfigurationError` with every mistake of its form.

    >>> change_from_table({"delete": {"accounts": ["clerks"]}}).delete
    {'accounts': ('clerks',)}
    """
    if not isinstance(raw, dict):
        raise ConfigurationError(["intent: expected a table"])
    known = [*OBJECT_KINDS, "policy", "delete"]
    mistakes = [
        f"{key}: unknown key; expected {', '.join(known)}" for key in raw if key not in known
    ]
    put = {kind: check_objects(kind, raw[kind], mistakes) for kind in OBJECT_KINDS if kind in raw}
    put = {kind: objects for kind, objects in put.items() if objects}
    delete = _names_to_delete(raw.get("delete", {}), mistakes)
    for kind, names in delete.items():
        both = [name for name in names if name in put.get(kind, {})]
        mistakes += [f"delete.{kind}: '{name}' is both put and deleted" for name in both]
    policy = None
    if "policy" in raw:
        checked = check_table(raw["policy"], Policy, "policy")
        mistakes += checked.mistakes
        policy = checked.value
    if mistakes:
        raise ConfigurationError(mistakes)
    if not put and not delete and policy is None:
        raise ConfigurationError(["intent: states nothing to put or to delete"])
    return ConfigurationChange(put, delete, policy)


def change_to_table(change: ConfigurationChange) -> dict[str, Any]:
    """Return a change as the table that `change_from_table` reads."""
    table: dict[str, Any] = to_table(change.put)
    if change.delete:
        table["delete"] = to_table(change.delete)
    if change.policy is not None:
        table["policy"] = to_table(change.policy)
    return table


def apply_change(before: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the configuration after a change, with the next revision, without checking it.

    >>> apply_change(Configuration(), ConfigurationChange(policy=Policy())).revision
    1
    """
    objects = {}
    for kind in OBJECT_KINDS:
        merged = {**getattr(before, kind), **change.put.get(kind, {})}
        deleted = change.delete.get(kind, ())
        objects[kind] = {name: value for name, value in merged.items() if name not in deleted}
    policy = before.policy if change.policy is None else change.policy
    return Configuration(revision=before.revision + 1, policy=policy, **objects)


def change_between(before: Configuration, after: Configuration) -> ConfigurationChange:
    """Return the change from one configuration to another.

    It is never empty: if nothing differs, it contains the policy.

    >>> change_between(Configuration(), Configuration(revision=2)).put
    {}
    """
    put: dict[str, dict[str, Any]] = {}
    delete: dict[str, tuple[str, ...]] = {}
    for kind in OBJECT_KINDS:
        old, new = getattr(before, kind), getattr(after, kind)
        changed = {
            name: value
            for name, value in new.items()
            if old.get(name) is not value and old.get(name) != value
        }
        deleted = tuple(name for name in old if name not in new)
        put |= {kind: changed} if changed else {}
        delete |= {kind: deleted} if deleted else {}
    is_empty = not put and not delete
    policy = after.policy if is_empty or before.policy != after.policy else None
    return ConfigurationChange(put, delete, policy)


def encode_change(change: ConfigurationChange) -> bytes:
    """Return a change as JSON, for a peer that has its base."""
    return msgspec.json.encode(change_to_table(change))


def decode_change(payload: bytes) -> ConfigurationChange:
    """Decode a change; raise `ConfigurationError` if it is malformed."""
    try:
        raw = msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise ConfigurationError([f"change: not JSON: {error}"]) from error
    return change_from_table(raw)


def check_change(before: Configuration, change: ConfigurationChange) -> list[str]:
    """Return every mistake of a change and of the configuration that it leads to."""
    mistakes = []
    for kind, names in change.delete.items():
        missing = [name for name in names if name not in getattr(before, kind)]
        mistakes += [f"delete.{kind}: no such object '{name}'" for name in missing]
    after = apply_change(before, change)
    if before.operators and not after.operators:
        mistakes.append("operators: the last operator can't be deleted")
    return mistakes + check_configuration(after)


def touched_objects(change: ConfigurationChange) -> tuple[str, ...]:
    """Return the sorted names of the objects that a change affects, as `kind.name`."""
    put = [f"{kind}.{name}" for kind, objects in change.put.items() for name in objects]
    deleted = [f"{kind}.{name}" for kind, names in change.delete.items() for name in names]
    return tuple(sorted(put + deleted + (["policy"] if change.policy is not None else [])))
