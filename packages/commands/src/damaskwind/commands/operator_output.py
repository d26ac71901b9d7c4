"""Format answers as aligned tables for people or as JSON for scripts."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

from damaskwind.model.configuration_codec import to_table

__all__ = ["as_json", "columns", "nested", "time_text"]

_INDENT = "  "


def as_json(value: Any) -> str:
    """Return a value as indented JSON; typed values become tables of their fields.

    >>> as_json([])
    '[]'
    """
    return msgspec.json.format(msgspec.json.encode(to_table(value)), indent=2).decode()


def time_text(at_s: float) -> str:
    """Format Unix seconds as a time in UTC.

    >>> time_text(0)
    '1970-01-01 00:00:00Z'
    """
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _cell(value: Any, key: str = "") -> str:
    """Format a value as one cell; numbers whose `key` ends in `at_s` are times."""
    if key.endswith("at_s") and isinstance(value, int | float):
        return time_text(value)
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple):
        return ", ".join(_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={_cell(item)}" for key, item in value.items()) or "-"
    return str(value) if value not in (None, "") else "-"


def columns(titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows under titles, each column as wide as its widest cell.

    >>> print(columns(("id", "load"), [("engine-1", 3)]))
    id        load
    engine-1  3
    """
    lines = [list(titles)] + [[_cell(value) for value in row] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(titles))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _is_table_list(value: Any) -> bool:
    """Return whether a value is a non-empty list of tables."""
    return isinstance(value, list) and bool(value) and all(isinstance(x, dict) for x in value)


def _table_of(items: list[dict[str, Any]]) -> str:
    """Format tables as rows, with the union of their keys as titles."""
    titles = list(dict.fromkeys(key for item in items for key in item))
    return columns(titles, [[_cell(item.get(title), title) for title in titles] for item in items])


def nested(value: Any, depth: int = 0) -> str:
    """Format any answer as indented lines; lists of tables become aligned rows.

    >>> print(nested({"revision": 3, "replica": {"role": "leader"}}))
    revision: 3
    replica:
      role: leader
    """
    pad = _INDENT * depth
    if _is_table_list(value):
        return "\n".join(pad + line for line in _table_of(value).splitlines())
    if not isinstance(value, dict):
        return pad + _cell(value)
    lines = []
    for key, item in value.items():
        if _is_table_list(item) or (isinstance(item, dict) and item):
            lines += [f"{pad}{key}:", nested(item, depth + 1)]
        else:
            lines.append(f"{pad}{key}: {_cell(item, key)}")
    return "\n".join(lines)
