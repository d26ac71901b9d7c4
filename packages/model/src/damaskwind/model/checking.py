"""Check untyped tables against `NamedTuple` classes and report all mistakes at once.

A valid table is converted by msgspec in one step. Any other is checked field by
field, so that one mistake doesn't hide the next.
"""

from difflib import get_close_matches
from functools import cache
from typing import Any, NamedTuple, get_type_hints

import msgspec

__all__ = ["CheckedTable", "check_table"]

_NO_DEFAULT = object()
_field_types = cache(get_type_hints)


class CheckedTable(NamedTuple):
    """The outcome of a check: `value` is `None` when there are `mistakes`."""

    value: Any
    mistakes: list[str]


def _unknown_key(path: str, key: str, known: list[str]) -> str:
    """Return the message for an unknown key, with the most similar known one."""
    nearest = get_close_matches(key, known, n=1)
    hint = f"; did you mean '{nearest[0]}'?" if nearest else ""
    return f"{path}.{key}: unknown key{hint}"


def _is_tuple_type(kind: Any) -> bool:
    """Return whether a type is a `NamedTuple` class."""
    return isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")


def _check_value(raw: Any, kind: Any, path: str) -> CheckedTable:
    """Check one value against a type, recursing into nested tables and lists."""
    if _is_tuple_type(kind) and not isinstance(raw, kind):
        return check_table(raw, kind, path)
    arguments = getattr(kind, "__args__", ())
    if getattr(kind, "__origin__", None) is tuple and _is_tuple_type(arguments[0]):
        return _check_list(raw, arguments[0], path)
    try:
        return CheckedTable(msgspec.convert(raw, kind, strict=True), [])
    except msgspec.ValidationError as error:
        return CheckedTable(None, [f"{path}: {error}"])


def _check_list(raw: Any, kind: Any, path: str) -> CheckedTable:
    """Check a list of tables."""
    if not isinstance(raw, list | tuple):
        return CheckedTable(None, [f"{path}: expected a list of tables"])
    checked = [_check_value(item, kind, f"{path}[{index}]") for index, item in enumerate(raw)]
    mistakes = [mistake for item in checked for mistake in item.mistakes]
    return CheckedTable(tuple(item.value for item in checked), mistakes)


class _Field(NamedTuple):
    """A field of a class.

    `table` is the class of a nested table, or of each table in a list, or else `None`.
    """

    name: str
    default: Any
    table: Any
    is_list: bool


@cache
def _fields_of(kind: Any) -> tuple[_Field, ...]:
    """Return the fields of a `NamedTuple` class, in order."""
    fields = []
    for name, hint in _field_types(kind).items():
        arguments = getattr(hint, "__args__", ())
        is_list = getattr(hint, "__origin__", None) is tuple and _is_tuple_type(arguments[0])
        table = arguments[0] if is_list else hint if _is_tuple_type(hint) else None
        default = kind._field_defaults.get(name, _NO_DEFAULT)
        fields.append(_Field(name, default, table, is_list))
    return tuple(fields)


def _ordered_values(raw: Any, kind: Any) -> list[Any] | None:
    """Return a table's values in the order of the fields, as msgspec expects them.

    `None` means that a key is unknown or missing, here or in a nested table.
    """
    if not isinstance(raw, dict):
        return None
    values = []
    used = 0
    for name, default, table, is_list in _fields_of(kind):
        value = raw.get(name, _NO_DEFAULT)
        if value is _NO_DEFAULT:
            value = default
        else:
            used += 1
            if is_list and isinstance(value, list | tuple):
                value = [_ordered_values(item, table) for item in value]
            elif table is not None:
                value = _ordered_values(value, table)
        if value is _NO_DEFAULT or (value is None and table is not None):
            return None
        values.append(value)
    return values if used == len(raw) else None


def _convert_valid(raw: Any, kind: Any) -> Any:
    """Return the typed value of a valid table; `None` if it may have mistakes."""
    values = _ordered_values(raw, kind)
    if values is None:
        return None
    try:
        return msgspec.convert(values, kind, strict=True)
    except msgspec.ValidationError:
        return None


def check_table(raw: Any, kind: Any, path: str) -> CheckedTable:
    """Build the `NamedTuple` class `kind` from the table `raw`.

    Every mistake is reported with its path: an unknown key (with the nearest known
    one), a missing key, a value of the wrong type.

    >>> class Point(NamedTuple):
    ...     x_m: float
    ...     y_m: float = 0.0
    >>> check_table({"x_m": 1.0}, Point, "point").value
    Point(x_m=1.0, y_m=0.0)
    >>> check_table({"x_n": 1.0}, Point, "point").mistakes
    ["point.x_n: unknown key; did you mean 'x_m'?", 'point.x_m: missing']
    """
    if not isinstance(raw, dict):
        return CheckedTable(None, [f"{path}: expected a table"])
    sound = _convert_valid(raw, kind)
    if sound is not None:
        return CheckedTable(sound, [])
    hints = _field_types(kind)
    known = list(kind._fields)
    mistakes = [_unknown_key(path, key, known) for key in raw if key not in hints]
    values: dict[str, Any] = {}
    for name in known:
        default = kind._field_defaults.get(name, _NO_DEFAULT)
        if name in raw:
            checked = _check_value(raw[name], hints[name], f"{path}.{name}")
            mistakes += checked.mistakes
            values[name] = checked.value
        elif default is _NO_DEFAULT:
            mistakes.append(f"{path}.{name}: missing")
        else:
            values[name] = default
    if mistakes:
        return CheckedTable(None, mistakes)
    return CheckedTable(kind(**values), [])
