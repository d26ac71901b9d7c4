"""Measure a deployment: cache reuse, load skew, control traffic and guarantees.

    make measure DEPLOYMENT=kenanga
    make measure DEPLOYMENT=may-tinh POLICIES=bounded_rendezvous,least_loaded AGAINST=FILE

It sends a seeded load trace through real router processes to stand-in engines, once
for each placement policy, and writes a text, a JSON and a PNG report. The exit code
is 1 if a guarantee was violated under the first policy, and 2 for bad usage.
"""

import asyncio
import sys
from pathlib import Path

import defopt

from damaskwind.runtime.reactor import install_reactor

__all__ = ["main", "measure"]

REPORTS = Path("build/measure")
EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_BAD_USAGE = 2


async def _measure(
    deployment: str, policies: list[str], seed: int, phase_s: float, fault: str, against: str
) -> int:
    """Run every policy, write the reports and return the exit code."""
    from benchmarks.measuring.report import broken_promises, write_reports
    from benchmarks.measuring.run import run_policies

    figures = await run_policies(deployment, policies, seed, phase_s, fault)
    write_reports(REPORTS, deployment, seed, figures, Path(against) if against else None)
    broken = broken_promises(deployment, figures[0])
    for line in broken:
        print(f"promise broken: {line}")
    return EXIT_BROKEN if broken else EXIT_OK


def _parse_policies(policies: str) -> list[str]:
    """Return the requested policies, or all of them with the default first."""
    from damaskwind.decisions.placement.placer import DEFAULT_POLICY
    from damaskwind.decisions.placement.policies import PLACEMENT_POLICIES

    if not policies:
        others = sorted(name for name in PLACEMENT_POLICIES if name != DEFAULT_POLICY)
        return [DEFAULT_POLICY, *others]
    chosen = policies.split(",")
    unknown = [name for name in chosen if name not in PLACEMENT_POLICIES]
    if unknown:
        known = ", ".join(sorted(PLACEMENT_POLICIES))
        print(f"unknown policies: {', '.join(unknown)}; known: {known}", file=sys.stderr)
        sys.exit(EXIT_BAD_USAGE)
    return chosen


def measure(
    *,
    deployment: str = "kenanga",
    policies: str = "",
    against: str = "",
    fault: str = "",
    seed: int = 1,
    phase_s: float = 8.0,
) -> int:
    """Measure a deployment under placement policies; the first one must keep the guarantees.

    :param deployment: `kenanga` or `may-tinh`
    :param policies: names of registered policies, separated by commas; by default all
    :param against: the JSON report of an earlier run to compare with
    :param fault: fault to inject: `ignore_leaving` or `crossed_id`
    :param seed: seed of the load trace
    :param phase_s: duration of each of the four phases of the trace
    """
    reactor = install_reactor()
    from benchmarks.measuring.deployment import DEPLOYMENTS
    from benchmarks.measuring.run import FAULTS

    if deployment not in DEPLOYMENTS or fault not in FAULTS:
        print(f"deployments: {', '.join(DEPLOYMENTS)}; faults: {FAULTS[1:]}", file=sys.stderr)
        return EXIT_BAD_USAGE
    chosen = _parse_policies(policies)
    exit_codes = [EXIT_BROKEN]

    async def run() -> None:
        try:
            exit_codes[0] = await _measure(deployment, chosen, seed, phase_s, fault, against)
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]


def main() -> None:
    """Parse the command line, measure, and exit with the exit code."""
    sys.exit(defopt.run(measure))


if __name__ == "__main__":
    main()
