"""Options shared by all operators' commands, and the mapping of errors to exit codes."""

import os
import sys
from collections.abc import Callable
from functools import wraps
from inspect import Parameter, signature
from pathlib import Path
from typing import Any, NamedTuple

from damaskwind.commands.operator_client import (
    Endpoint,
    ExitCode,
    OperatorClient,
    RequestFailedError,
    UsageError,
    parse_endpoints,
)
from damaskwind.commands.operator_output import as_json, nested
from damaskwind.model.exception import ConfigurationError

__all__ = ["Context", "control_command", "router_command"]

CONTROL_VARIABLES = ("DAMASKWIND_ENDPOINTS",)
ROUTER_VARIABLES = ("DAMASKWIND_ROUTERS", "DAMASKWIND_ENDPOINTS")
KEY_VARIABLE = "DAMASKWIND_KEY"
_DEFAULT_TIMEOUT_S = 10.0


class Context(NamedTuple):
    """The HTTP client of a command, and whether to print JSON for scripts."""

    client: OperatorClient
    for_scripts: bool

    def show(self, answer: Any, text: str | None = None) -> None:
        """Print an answer: as JSON for scripts, else as `text` or as indented lines."""
        if self.for_scripts:
            print(as_json(answer))
        else:
            print(nested(answer) if text is None else text)


class _SharedOptions(NamedTuple):
    """The options that each command takes in addition to its own."""

    endpoint: str = ""
    key_file: Path | None = None
    timeout_s: float = _DEFAULT_TIMEOUT_S
    json: bool = False


_OPTION_HELP = """

    :param endpoint: IP:port, repeatable or a comma list; from the environment if not given
    :param key_file: file that holds the operator's key; DAMASKWIND_KEY if not given
    :param timeout_s: seconds to wait for each endpoint
    :param json: print JSON for scripts
"""


def _endpoints(text: str, variables: tuple[str, ...]) -> list[Endpoint]:
    """Return the endpoints from the option, else from the first variable that is set."""
    texts = [text, *(os.environ.get(variable, "") for variable in variables)]
    endpoints = parse_endpoints(next(filter(None, texts), ""))
    if not endpoints:
        raise UsageError(f"no endpoint: give --endpoint or set {' or '.join(variables)}")
    return endpoints


def _key(file: Path | None) -> str:
    """Return the operator's key from a file, else from the environment."""
    if file is None:
        key = os.environ.get(KEY_VARIABLE, "").strip()
    else:
        try:
            key = file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{file}: can't be read") from error
    if not key or not key.isascii() or not key.isprintable():
        raise UsageError(f"no usable key: give --key-file or set {KEY_VARIABLE}")
    return key


def _context(options: _SharedOptions, variables: tuple[str, ...]) -> Context:
    """Build the context of one command."""
    endpoints = _endpoints(options.endpoint, variables)
    client = OperatorClient(endpoints, _key(options.key_file), options.timeout_s)
    return Context(client, options.json)


def _error_text(error: RequestFailedError) -> str:
    """Format a refusal as text: the message, its mistakes, then the other fields."""
    table = error.body.get("error", {})
    extra = {k: v for k, v in table.items() if k != "message"} if isinstance(table, dict) else {}
    mistakes = extra.pop("mistakes", [])
    lines = [error.message, *(f"  {mistake}" for mistake in mistakes)]
    return "\n".join([*lines, nested(extra)] if extra else lines)


def _run_command(command: Callable[[], int | None], for_scripts: bool) -> int:
    """Run a command, print its errors to stderr and return its exit code."""
    try:
        return int(command() or ExitCode.OK)
    except UsageError as error:
        print(error, file=sys.stderr)
        return ExitCode.BAD_USAGE
    except ConfigurationError as error:
        print("\n".join(error.mistakes), file=sys.stderr)
        return ExitCode.BAD_USAGE
    except RequestFailedError as error:
        if for_scripts:
            print(as_json(error.body))
        print(_error_text(error), file=sys.stderr)
        return error.exit_code


def _with_shared_options(command: Callable[..., int | None], variables: tuple[str, ...]) -> Any:
    """Return a command that takes the shared options in place of a context.

    The signature, annotations and doc comment are extended, since defopt derives the flags
    and the help from them.
    """
    shared = _SharedOptions()

    @wraps(command)
    def run(*arguments: Any, **options: Any) -> int:
        given = _SharedOptions(**{name: options.pop(name) for name in shared._fields})
        return _run_command(
            lambda: command(_context(given, variables), *arguments, **options), given.json
        )

    own = list(signature(command).parameters.values())[1:]
    hints = {**_SharedOptions.__annotations__}
    extra = [
        Parameter(name, Parameter.KEYWORD_ONLY, default=default, annotation=hints[name])
        for name, default in shared._asdict().items()
    ]
    run.__signature__ = signature(command).replace(parameters=own + extra)  # type: ignore
    run.__annotations__ = {**command.__annotations__, **hints}
    run.__annotations__.pop("context", None)
    run.__doc__ = (command.__doc__ or "") + _OPTION_HELP
    del run.__wrapped__  # type: ignore
    return run


def control_command(command: Callable[..., int | None]) -> Any:
    """Decorate a command that sends its requests to control replicas."""
    return _with_shared_options(command, CONTROL_VARIABLES)


def router_command(command: Callable[..., int | None]) -> Any:
    """Decorate a command that sends its requests to routers."""
    return _with_shared_options(command, ROUTER_VARIABLES)
