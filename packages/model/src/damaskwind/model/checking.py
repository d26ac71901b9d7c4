"""Check untyped tables against typed ones and name every mistake at once.

The types are `NamedTuple` classes. Values are converted by msgspec, a field at
a time, so that one mistake does not hide the next.
"""

from difflib import get_close_matches
from typing import Any, NamedTuple, get_type_hints

import msgspec

__all__ = ["CheckedTable", "check_table"]

_NO_DEFAULT = object()


class CheckedTable(NamedTuple):
    """The outcome of a check: `value` is `None` when there are `mistakes`."""

    value: Any
    mistakes: list[str]


def _unknown_key(path: str, key: str, known: list[str]) -> str:
    """Say that a key is unknown and which known one is nearest."""
    nearest = get_close_matches(key, known, n=1)
    hint = f"; did you mean '{nearest[0]}'?" if nearest else ""
    return f"{path}.{key}: unknown key{hint}"


def _is_tuple_type(kind: Any) -> bool:
    """Tell whether a type is a `NamedTuple` class."""
    return isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")


def _check_value(raw: Any, kind: Any, path: str) -> CheckedTable:
    """Check one value against a type, recursing into nested tables and lists."""
    if _is_tuple_type(kind) and isinstance(raw, dict):
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


def check_table(raw: Any, kind: Any, path: str) -> CheckedTable:
    """Build the `NamedTuple` class `kind` from the table `raw`.

    Every mistake is named by its path: an unknown key (with the nearest known
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
    hints = get_type_hints(kind)
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
