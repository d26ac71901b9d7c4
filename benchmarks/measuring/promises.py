"""Check the callers' outcomes against the targets' own counts.

Every violation lists examples, which show where to start looking.
"""

from collections import Counter
from typing import Any, NamedTuple

from benchmarks.measuring.all_knowing import turn_chain
from benchmarks.measuring.driver import CallOutcome, TurnOutcome
from damaskwind.model.prefix import ModelName
from damaskwind.standins.service import expected_service_answer

__all__ = ["Breach", "count_outcomes", "find_breaches"]

_EXAMPLES_SHOWN = 3


class Breach(NamedTuple):
    """A violated guarantee, the number of cases and some examples."""

    promise: str
    count: int
    examples: tuple[str, ...]


def _total_runs(oracles: dict[str, Any], table: str) -> Counter[str]:
    """Sum one table of counts over all targets."""
    runs: Counter[str] = Counter()
    for oracle in oracles.values():
        runs.update(oracle[table])
    return runs


def _turn_violations(outcome: TurnOutcome, runs: int) -> list[str]:
    """Return the guarantees that one turn violates."""
    violations = []
    if outcome.is_complete and outcome.text != outcome.turn.answer:
        violations.append("crossed or altered answer")
    if not outcome.is_complete and not outcome.turn.answer.startswith(outcome.text):
        violations.append("crossed or altered part of an answer")
    if not outcome.is_complete and not outcome.verdict:
        violations.append("lost without a verdict")
    return violations + _verdict_violations(outcome.verdict, runs)


def _call_violations(outcome: CallOutcome, runs: int, seed: int, root: str) -> list[str]:
    """Return the guarantees that one call violates."""
    call = outcome.call
    violations = []
    if outcome.status == 200:
        path = call.path.removeprefix(root)
        expected = expected_service_answer(seed, call.method, path, call.body)
        if outcome.answer != expected:
            violations.append("crossed or altered answer")
    elif not outcome.verdict:
        violations.append("lost without a verdict")
    return violations + (_verdict_violations(outcome.verdict, runs) if call.key else [])


def _verdict_violations(verdict: str, runs: int) -> list[str]:
    """Check a verdict against the number of times that the request ran."""
    violations = []
    if runs > 1:
        violations.append("ran more than once")
    if verdict == "not-run" and runs:
        violations.append("told not-run but it ran")
    if verdict == "ran" and not runs:
        violations.append("told ran but it did not")
    return violations


def find_breaches(
    turns: list[TurnOutcome],
    calls: list[CallOutcome],
    oracles: dict[str, Any],
    model: ModelName,
    service_root: str,
    seed: int = 1,
) -> list[Breach]:
    """Return every violated guarantee about requests."""
    bodies, keys = _total_runs(oracles, "runs_by_body"), _total_runs(oracles, "runs_by_key")
    cases_by_promise: dict[str, list[str]] = {}
    for outcome in turns:
        digest = turn_chain(outcome.turn, model)[-2].digest
        name = f"{outcome.request_id or 'chat ' + str(outcome.turn.chat)} ({outcome.detail})"
        for violation in _turn_violations(outcome, bodies[digest]):
            cases_by_promise.setdefault(violation, []).append(name)
    for outcome in calls:
        name = f"{outcome.request_id or outcome.call.path} ({outcome.detail})"
        for violation in _call_violations(outcome, keys[outcome.call.key], seed, service_root):
            cases_by_promise.setdefault(violation, []).append(name)
    for target, oracle in oracles.items():
        taken_s = oracle.get("leave_taken_after_s")
        late_arrivals = [
            f"{target} from {name} after {at_s} s; a router took the leave after {taken_s} s"
            for name, at_s in oracle["late"].items()
        ]
        cases_by_promise.setdefault("new work at a target that is leaving", []).extend(
            late_arrivals
        )
    return [
        Breach(promise, len(names), tuple(names[:_EXAMPLES_SHOWN]))
        for promise, names in cases_by_promise.items()
        if names
    ]


def count_outcomes(turns: list[TurnOutcome], calls: list[CallOutcome]) -> dict[str, int]:
    """Count the outcomes of all requests: whole, or refused by verdict and reason."""
    outcomes: Counter[str] = Counter()
    for outcome in turns:
        outcomes["whole" if outcome.is_complete else _refusal_name(outcome)] += 1
    for outcome in calls:
        outcomes["whole" if outcome.status == 200 else _refusal_name(outcome)] += 1
    return dict(outcomes)


def _refusal_name(outcome: TurnOutcome | CallOutcome) -> str:
    """Return the verdict and the reason of a refusal as one text."""
    return f"{outcome.verdict or 'no verdict'} {outcome.reason or 'no reason'}"
