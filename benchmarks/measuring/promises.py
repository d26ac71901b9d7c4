"""Hold the callers' outcomes against the targets' own counts.

Every check names what it found, so that a run that breaks a promise tells
where to look.
"""

from collections import Counter
from typing import Any, NamedTuple

from benchmarks.measuring.all_knowing import turn_chain
from benchmarks.measuring.driver import CallOutcome, TurnOutcome
from damaskwind.model.prefix import ModelName
from damaskwind.standins.service import expected_service_answer

__all__ = ["Breach", "count_ends", "find_breaches"]

_EXAMPLES_SHOWN = 3


class Breach(NamedTuple):
    """A promise that was broken, how often, and some of the cases."""

    promise: str
    count: int
    examples: tuple[str, ...]


def _runs(oracles: dict[str, Any], table: str) -> Counter[str]:
    """Add up one table of counts over all targets."""
    runs: Counter[str] = Counter()
    for oracle in oracles.values():
        runs.update(oracle[table])
    return runs


def _turn_faults(outcome: TurnOutcome, runs: int) -> list[str]:
    """Name the promises that one turn breaks."""
    faults = []
    if outcome.is_whole and outcome.text != outcome.turn.answer:
        faults.append("crossed or altered answer")
    if not outcome.is_whole and not outcome.turn.answer.startswith(outcome.text):
        faults.append("crossed or altered part of an answer")
    if not outcome.is_whole and not outcome.verdict:
        faults.append("lost without a verdict")
    return faults + _run_faults(outcome.verdict, runs)


def _call_faults(outcome: CallOutcome, runs: int, seed: int, root: str) -> list[str]:
    """Name the promises that one call breaks."""
    call = outcome.call
    faults = []
    if outcome.status == 200:
        path = call.path.removeprefix(root)
        expected = expected_service_answer(seed, call.method, path, call.body)
        if outcome.answer != expected:
            faults.append("crossed or altered answer")
    elif not outcome.verdict:
        faults.append("lost without a verdict")
    return faults + (_run_faults(outcome.verdict, runs) if call.key else [])


def _run_faults(verdict: str, runs: int) -> list[str]:
    """Hold a verdict against how often the request ran."""
    faults = []
    if runs > 1:
        faults.append("ran more than once")
    if verdict == "not-run" and runs:
        faults.append("told not-run but it ran")
    if verdict == "ran" and not runs:
        faults.append("told ran but it did not")
    return faults


def find_breaches(
    turns: list[TurnOutcome],
    calls: list[CallOutcome],
    oracles: dict[str, Any],
    model: ModelName,
    service_root: str,
    seed: int = 1,
) -> list[Breach]:
    """Return every promise about requests that was broken."""
    bodies, keys = _runs(oracles, "runs_by_body"), _runs(oracles, "runs_by_key")
    found: dict[str, list[str]] = {}
    for outcome in turns:
        digest = turn_chain(outcome.turn, model)[-2].digest
        name = f"{outcome.request_id or 'chat ' + str(outcome.turn.chat)} ({outcome.detail})"
        for fault in _turn_faults(outcome, bodies[digest]):
            found.setdefault(fault, []).append(name)
    for outcome in calls:
        name = f"{outcome.request_id or outcome.call.path} ({outcome.detail})"
        for fault in _call_faults(outcome, keys[outcome.call.key], seed, service_root):
            found.setdefault(fault, []).append(name)
    for target, oracle in oracles.items():
        taken_s = oracle.get("leave_taken_after_s")
        late = [
            f"{target} from {name} after {at_s} s; a router took the leave after {taken_s} s"
            for name, at_s in oracle["late"].items()
        ]
        found.setdefault("new work at a target that is leaving", []).extend(late)
    return [
        Breach(promise, len(names), tuple(names[:_EXAMPLES_SHOWN]))
        for promise, names in found.items()
        if names
    ]


def count_ends(turns: list[TurnOutcome], calls: list[CallOutcome]) -> dict[str, int]:
    """Count the ends of all requests: whole, or refused by verdict and reason."""
    ends: Counter[str] = Counter()
    for outcome in turns:
        ends["whole" if outcome.is_whole else _refusal(outcome)] += 1
    for outcome in calls:
        ends["whole" if outcome.status == 200 else _refusal(outcome)] += 1
    return dict(ends)


def _refusal(outcome: TurnOutcome | CallOutcome) -> str:
    """Name a refusal."""
    return f"{outcome.verdict or 'no verdict'} {outcome.reason or 'no reason'}"
