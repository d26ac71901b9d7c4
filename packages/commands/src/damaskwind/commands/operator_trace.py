"""The command `damaskwind trace`, which finds the log lines related to a request."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from damaskwind.commands.operator_client import ExitCode
from damaskwind.commands.operator_output import as_json
from damaskwind.commands.request_trace import LogLine, read_lines, trace_request, trace_text

__all__ = ["trace"]


def trace(request_id: str, *files: Path, json: bool = False) -> int:
    """Show the log lines of one request from several VMs, and related lines around it.

    :param request_id: the request's id
    :param files: log files of routers and replicas
    :param json: print JSON for scripts
    """
    if not files:
        print("trace: name at least one log", file=sys.stderr)
        return ExitCode.BAD_USAGE
    try:
        result = trace_request(request_id, _read_files(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return ExitCode.BAD_USAGE
    if not result.request:
        print(f"no line of request '{request_id}' in {len(files)} files", file=sys.stderr)
        return ExitCode.REFUSED
    print(as_json(result._asdict()) if json else trace_text(result))
    return ExitCode.OK


def _read_files(files: Iterable[Path]) -> Iterator[LogLine | None]:
    """Yield the decoded lines of all files, in order."""
    for file in files:
        with file.open("rb") as lines:
            yield from read_lines(lines)
