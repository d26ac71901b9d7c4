"""Read a state chart from a TOML file and run it through automat.

A chart names its states, the first of which is the initial one, its inputs and
its transitions. A transition may name actions: methods of the owner that are
called, in order, with the input's arguments.

    [chart]
    name = "drain"
    states = ["open", "closed"]
    inputs = ["close"]

    [[transition]]
    from = "open"
    input = "close"
    to = "closed"
    actions = ["close_listener"]

An input that a state does not list is ignored unless the chart says
`strict = true`; then it raises.
"""

import tomllib
from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from automat import TypeMachineBuilder

from damaskwind.model.exception import SettingsError

__all__ = ["Chart", "Machine", "Transition", "load_chart", "start_machine"]


class Transition(NamedTuple):
    """One transition of a chart: in state `source`, `input_name` leads to state `target`."""

    source: str
    input_name: str
    target: str
    actions: tuple[str, ...]


class Chart(NamedTuple):
    """A state chart as defined in its file."""

    name: str
    states: tuple[str, ...]
    inputs: tuple[str, ...]
    transitions: tuple[Transition, ...]
    strict: bool = False


class _MachineContext:
    """The owner and the current state of one machine."""

    def __init__(self, owner: Any, state: str) -> None:
        self.owner = owner
        self.state = state


class Machine:
    """A running instance of a chart."""

    def __init__(self, context: _MachineContext, inner: Any) -> None:
        self._context = context
        self._inner = inner

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self._context.state

    def feed(self, input_name: str, *arguments: Any) -> str:
        """Feed an input, run its actions, and return the resulting state."""
        getattr(self._inner, input_name)(*arguments)
        return self._context.state


def _parse(raw: dict[str, Any], path: Path) -> Chart:
    """Convert a file's tables to a chart and check its names."""
    head = raw["chart"]
    rows = tuple(
        Transition(row["from"], row["input"], row["to"], tuple(row.get("actions", ())))
        for row in raw.get("transition", ())
    )
    chart = Chart(
        head["name"], tuple(head["states"]), tuple(head["inputs"]), rows, head.get("strict", False)
    )
    mistakes = []
    for row in rows:
        for state in (row.source, row.target):
            if state not in chart.states:
                mistakes.append(f"{path.name}: unknown state '{state}'")
        if row.input_name not in chart.inputs:
            mistakes.append(f"{path.name}: unknown input '{row.input_name}'")
    if mistakes:
        raise SettingsError(mistakes)
    return chart


@cache
def load_chart(path: Path) -> Chart:
    """Read and check the chart in the file at `path`.

    Raises `SettingsError` when a transition names an unknown state or input.
    """
    with path.open("rb") as file:
        return _parse(tomllib.load(file), path)


def _make_transition(target: str, actions: tuple[str, ...]) -> Callable[..., None]:
    """Return the function that performs one transition."""

    def run(protocol: Any, context: _MachineContext, *arguments: Any) -> None:
        context.state = target
        for action in actions:
            getattr(context.owner, action)(*arguments)

    return run


def _ignore_input(protocol: Any, context: _MachineContext, *arguments: Any) -> None:
    """Ignore an input that the state doesn't list."""


@cache
def _machine_factory(chart: Chart) -> Any:
    """Build the automat machine of a chart; cached per chart."""

    def make_input(name: str) -> Callable[..., None]:
        def method(self: Any, *arguments: Any) -> None: ...

        method.__name__ = name
        return method

    namespace: dict[str, Any] = {name: make_input(name) for name in chart.inputs}
    protocol = type(chart.name, (Protocol,), namespace)
    builder = TypeMachineBuilder(protocol, _MachineContext)
    states = {name: builder.state(name) for name in chart.states}
    listed = set()
    for row in chart.transitions:
        listed.add((row.source, row.input_name))
        upon = states[row.source].upon(getattr(protocol, row.input_name))
        upon.to(states[row.target])(_make_transition(row.target, row.actions))
    if not chart.strict:
        for state in chart.states:
            for name in chart.inputs:
                if (state, name) not in listed:
                    states[state].upon(getattr(protocol, name)).loop()(_ignore_input)
    return builder.build()


def start_machine(chart: Chart, owner: Any) -> Machine:
    """Start an instance of a chart whose actions are methods of `owner`."""
    context = _MachineContext(owner, chart.states[0])
    return Machine(context, _machine_factory(chart)(context))
