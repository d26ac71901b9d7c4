"""Confirmations received by operators, and checks of a replica's state against them."""

from collections.abc import Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from damaskwind.control.audit.chain import verify_chain
from damaskwind.control.audit.entry import AuditEntry
from damaskwind.control.operator_api.authentication import hash_key

__all__ = [
    "FIRST_CHANGE",
    "OPERATORS",
    "Confirmation",
    "find_decreases",
    "outcome_faults",
    "viewer_intent",
]

OPERATORS = ("mei", "anis")
FIRST_CHANGE = "operators"


class Confirmation(NamedTuple):
    """A confirmation as the operator saw it."""

    revision: int
    plan_id: str
    name: str


def viewer_intent(name: str) -> dict[str, Any]:
    """Return the intent that adds an operator with read access only."""
    return {"operators": {name: {"key_hash": hash_key(f"dw-{name}"), "roles": ["viewer"]}}}


def find_decreases(revisions: Sequence[int]) -> list[tuple[int, int]]:
    """Return each pair of successive revisions in which the second is lower.

    >>> find_decreases([1, 2, 2, 1, 3])
    [(2, 1)]
    """
    return [(before, after) for before, after in pairwise(revisions) if after < before]


def outcome_faults(
    confirmed: Sequence[Confirmation], shown: dict[str, Any], trail: Sequence[AuditEntry]
) -> list[str]:
    """Return every outcome that is lost, duplicated, out of order or never confirmed."""
    viewers = shown["operators"].keys() - set(OPERATORS)
    named = [confirmation.name for confirmation in confirmed if confirmation.name != FIRST_CHANGE]
    faults = [f"'{name}' is lost" for name in named if name not in viewers]
    faults += [f"'{name}' was never confirmed" for name in viewers if name not in named]
    last = confirmed[-1].revision
    if shown["revision"] != last:
        faults.append(f"revision {shown['revision']} in place of {last}")
    faults += verify_chain(trail).faults
    done = [
        (entry.revision, entry.subject)
        for entry in trail
        if entry.action == "confirm" and entry.result == "confirmed"
    ]
    expected = [(each.revision, each.plan_id) for each in confirmed]
    if done != expected:
        faults.append(f"trail {done} in place of {expected}")
    return faults
