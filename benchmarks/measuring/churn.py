"""Engine churn in the last phase: one engine leaves, one joins and two flap."""

from typing import NamedTuple

__all__ = ["ChurnEvent", "churn_events", "down_spans"]

FLAP_DOWN_S = 1.0
STOP_AFTER_LEAVE_S = 4.0


class ChurnEvent(NamedTuple):
    """A life-cycle action of an engine at `at_s`."""

    at_s: float
    action: str
    engine: str


def churn_events(
    start_s: float, duration_s: float, engines: list[str], joiner: str
) -> list[ChurnEvent]:
    """Return the events of the churn phase in order."""
    unit_s = duration_s / 10
    leaver, first_flapper, second_flapper = engines[0], engines[-1], engines[1]
    events = [
        ChurnEvent(start_s + unit_s, "flap", first_flapper),
        ChurnEvent(start_s + 2 * unit_s, "leave", leaver),
        ChurnEvent(start_s + 2 * unit_s + STOP_AFTER_LEAVE_S, "stop", leaver),
        ChurnEvent(start_s + 4 * unit_s, "join", joiner),
        ChurnEvent(start_s + 6 * unit_s, "flap", first_flapper),
        ChurnEvent(start_s + 7 * unit_s, "flap", second_flapper),
    ]
    return sorted(events)


def down_spans(
    events: list[ChurnEvent], engines: list[str]
) -> dict[str, list[tuple[float, float]]]:
    """Return the spans during which each engine accepts no work.

    >>> down_spans([ChurnEvent(2.0, "flap", "a")], ["a", "b"])
    {'a': [(2.0, 3.0)], 'b': []}
    """
    spans: dict[str, list[tuple[float, float]]] = {engine: [] for engine in engines}
    for event in events:
        if event.action == "flap":
            spans[event.engine].append((event.at_s, event.at_s + FLAP_DOWN_S))
        elif event.action == "leave":
            spans[event.engine].append((event.at_s, float("inf")))
        elif event.action == "join":
            spans[event.engine] = [(float("-inf"), event.at_s)]
    return spans
