"""Write plain tables as TOML, for settings files that tests generate."""

import json
from typing import Any

__all__ = ["to_toml"]


def _is_table_list(value: Any) -> bool:
    """Tell whether a value is a list of tables."""
    return isinstance(value, list | tuple) and bool(value) and isinstance(value[0], dict)


def _inline(value: Any) -> str:
    """Return a value on one line; JSON's strings, numbers and lists are TOML's."""
    if isinstance(value, dict):
        inner = ", ".join(f"{json.dumps(key)} = {_inline(item)}" for key, item in value.items())
        return f"{{{inner}}}"
    if isinstance(value, list | tuple):
        return f"[{', '.join(_inline(item) for item in value)}]"
    return json.dumps(value)


def to_toml(table: dict[str, Any], path: str = "") -> str:
    """Return the TOML text of a table.

    >>> print(to_toml({"node": {"node_id": "a", "seeds": ["b"]}}), end="")
    [node]
    node_id = "a"
    seeds = ["b"]
    """
    lines = []
    nested = []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            nested.append(f"[{name}]\n{to_toml(value, name)}")
        elif _is_table_list(value):
            nested += [f"[[{name}]]\n{to_toml(item, name)}" for item in value]
        else:
            lines.append(f"{key} = {_inline(value)}\n")
    return "".join(lines + nested)
