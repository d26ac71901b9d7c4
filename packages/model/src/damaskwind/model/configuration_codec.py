"""Encode, decode and check a whole configuration; read one from a TOML file.

On the wire and in files, a configuration is nested tables: objects by kind and name,
and their fields by name. Unknown fields are refused, and all mistakes are reported at
once.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from damaskwind.model.checking import check_table
from damaskwind.model.configuration import Configuration, Policy
from damaskwind.model.configuration_checks import OBJECT_KINDS, check_configuration
from damaskwind.model.exception import ConfigurationError

__all__ = [
    "check_objects",
    "configuration_from_table",
    "decode_configuration",
    "encode_configuration",
    "read_configuration_file",
    "read_table_file",
    "to_table",
]


def to_table(value: Any) -> Any:
    """Return a typed value as plain tables and lists, fields by name.

    >>> to_table(Policy())["load_factor"]
    1.25
    """
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {name: to_table(item) for name, item in zip(value._fields, value, strict=True)}
    if isinstance(value, dict):
        return {key: to_table(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_table(item) for item in value]
    return value


def check_objects(kind: str, raw: Any, mistakes: list[str]) -> dict[str, Any]:
    """Build the objects of one kind from a table by name; append their mistakes.

    The field `name` may be omitted, since it is the object's key in the table.
    """
    if not isinstance(raw, dict):
        mistakes.append(f"{kind}: expected a table of objects by name")
        return {}
    objects = {}
    for name, fields in raw.items():
        named = {"name": name, **fields} if isinstance(fields, dict) else fields
        checked = check_table(named, OBJECT_KINDS[kind], f"{kind}.{name}")
        mistakes += checked.mistakes
        if checked.value is not None:
            objects[name] = checked.value
    return objects


def _check_policy(raw: Any, mistakes: list[str]) -> Policy:
    """Build the policy from its table; append its mistakes."""
    checked = check_table(raw, Policy, "policy")
    mistakes += checked.mistakes
    return checked.value if checked.value is not None else Policy()


def configuration_from_table(raw: Any) -> Configuration:
    """Build and check a configuration; raise `ConfigurationError` with every mistake."""
    if not isinstance(raw, dict):
        raise ConfigurationError(["configuration: expected a table"])
    known = [*OBJECT_KINDS, "policy", "revision"]
    mistakes = [
        f"{key}: unknown key; expected {', '.join(known)}" for key in raw if key not in known
    ]
    objects = {kind: check_objects(kind, raw.get(kind, {}), mistakes) for kind in OBJECT_KINDS}
    policy = _check_policy(raw.get("policy", {}), mistakes)
    revision = raw.get("revision", 0)
    if type(revision) is not int:
        mistakes.append("revision: expected a whole number")
        revision = 0
    configuration = Configuration(revision=revision, policy=policy, **objects)
    # References to objects that couldn't be built would be reported as missing.
    mistakes += [] if mistakes else check_configuration(configuration)
    if mistakes:
        raise ConfigurationError(mistakes)
    return configuration


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as JSON, the same bytes for equal configurations."""
    return msgspec.json.encode(to_table(configuration), order="deterministic")


def decode_configuration(payload: bytes) -> Configuration:
    """Decode a configuration; raise `ConfigurationError` with every mistake.

    >>> decode_configuration(encode_configuration(Configuration(revision=3))).revision
    3
    """
    try:
        raw = msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise ConfigurationError([f"configuration: not JSON: {error}"]) from error
    return configuration_from_table(raw)


def read_table_file(path: Path) -> dict[str, Any]:
    """Read a TOML file; raise `ConfigurationError` if it can't be read or parsed."""
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ConfigurationError([f"{path.name}: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError([f"{path.name}: not TOML: {error}"]) from error


def read_configuration_file(path: Path) -> Configuration:
    """Read and check the configuration in the TOML file at `path`."""
    return configuration_from_table(read_table_file(path))
