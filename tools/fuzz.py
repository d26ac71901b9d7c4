"""Run stateful fuzzing for a given time and print the first failure, shrunk.

A target is a function that runs histories from a seed; targets are registered here by
a decorator. Without a seed a random one is drawn and printed, so that every run can be
repeated.
"""

import random
import sys
from collections.abc import Callable
from typing import Protocol

import defopt

__all__ = ["FUZZ_TARGETS", "fuzz", "fuzz_target"]


class Result(Protocol):
    """The result of a fuzz target."""

    histories: int
    duration_s: float
    first_failed: int | None
    failure: str | None


FuzzTarget = Callable[[int, float, int, str | None], Result]

FUZZ_TARGETS: dict[str, FuzzTarget] = {}

UNBOUNDED = 1_000_000_000


def fuzz_target(name: str) -> Callable[[FuzzTarget], FuzzTarget]:
    """Return a decorator that registers a function of seed, seconds, histories and seeded bug."""

    def register(function: FuzzTarget) -> FuzzTarget:
        FUZZ_TARGETS[name] = function
        return function

    return register


@fuzz_target("log")
def fuzz_replicated_log(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the pure core of the replicated log against a list of confirmed changes."""
    from damaskwind.decisions.replication.tests.histories import fuzz_log

    return fuzz_log(seed, seconds, histories, bug)


@fuzz_target("wide-log")
def fuzz_wide_log(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the log of six and eight replicas of which five vote."""
    from damaskwind.decisions.replication.tests.histories import WideLogHistory, fuzz_log

    return fuzz_log(seed, seconds, histories, bug, WideLogHistory)


@fuzz_target("planned-log")
def fuzz_planned_log(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the log of a fleet whose replicas are replaced as planned."""
    from damaskwind.decisions.replication.tests.histories import PlannedLogHistory, fuzz_log

    return fuzz_log(seed, seconds, histories, bug, PlannedLogHistory)


@fuzz_target("lost-disks")
def fuzz_lost_disks(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the log of a fleet whose disks are lost one after another."""
    from damaskwind.decisions.replication.tests.histories import fuzz_log
    from damaskwind.decisions.replication.tests.lost_disk_histories import LostDiskHistory

    return fuzz_log(seed, seconds, histories, bug, LostDiskHistory)


@fuzz_target("configuration")
def fuzz_configuration(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the state machine of the configuration against a dict and a list."""
    from damaskwind.control.state.tests.histories import fuzz_machine

    return fuzz_machine(seed, seconds, histories, bug)


@fuzz_target("targets")
def fuzz_targets(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the merged tables of targets against the reports that the targets sent."""
    from damaskwind.decisions.membership.tests import fuzzing

    return fuzzing.fuzz_targets(seed, seconds, histories, bug)


@fuzz_target("retries")
def fuzz_retries(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the retry budget of a fleet whose routers restart."""
    from damaskwind.decisions.retries.tests import budget_histories

    return budget_histories.fuzz_retries(seed, seconds, histories, bug)


@fuzz_target("claims")
def fuzz_claims(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the voting on idempotency keys against the list of requests that ran."""
    from damaskwind.decisions.claims.tests import fuzzing

    return fuzzing.fuzz_claims(seed, seconds, histories, bug)


@fuzz_target("limits")
def fuzz_limits(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the leased shares of account limits against their total use."""
    from damaskwind.decisions.limits.tests import fuzzing

    return fuzzing.fuzz_limits(seed, seconds, histories, bug)


@fuzz_target("requests")
def fuzz_requests(seed: int, seconds: float, histories: int, bug: str | None) -> Result:
    """Fuzz the router's dispatcher against the targets' own counts."""
    from damaskwind.router.tests.request_fuzzing import fuzz_requests as run

    return run(seed, seconds, histories, bug)


def fuzz(
    *,
    seconds: float = 60.0,
    seed: int | None = None,
    histories: int = UNBOUNDED,
    bug: str | None = None,
    target: str | None = None,
) -> int:
    """Fuzz every target, or one, and return 1 if any history failed.

    :param seconds: start no further history of a target after this many seconds
    :param seed: repeat the run of this seed
    :param histories: stop after this many histories of a target
    :param bug: inject this seeded bug; the run should then fail
    :param target: fuzz only this target
    """
    if seed is None:
        seed = random.SystemRandom().randrange(2**32)
    failed = False
    for name, run in FUZZ_TARGETS.items():
        if target not in (None, name):
            continue
        print(f"{name}: seed {seed}", flush=True)
        result = run(seed, seconds, histories, bug)
        print(f"{name}: {result.histories} histories in {result.duration_s:.1f} s")
        if result.failure is not None:
            failed = True
            print(f"{name}: history {result.first_failed} failed; shrunk to\n{result.failure}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(fuzz, short={}))
