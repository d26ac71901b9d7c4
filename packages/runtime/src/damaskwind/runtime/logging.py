"""Structured logs: JSON lines for machines, plain text on a terminal."""

import json
import sys
from typing import Any

from loguru import logger

__all__ = ["configure_logging"]

_TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"


def _write_json(message: Any) -> None:
    """Write one record as a JSON line to standard error."""
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def configure_logging(level: str, log_format: str, node_id: str) -> None:
    """Send logs to standard error as `json` or `text`; `auto` is text on a terminal.

    Every record carries `node`. Log with keyword arguments rather than with
    formatted text: `logger.info("target ejected", target="engine-1")`.
    """
    logger.remove()
    logger.configure(extra={"node": node_id})
    as_text = log_format == "text" or (log_format == "auto" and sys.stderr.isatty())
    if as_text:
        logger.add(sys.stderr, level=level, format=_TEXT, backtrace=False)
    else:
        logger.add(_write_json, level=level, backtrace=False)
