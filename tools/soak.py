"""Soak the real programs: `python tools/soak.py --seeds 50`, or one seed again by `--seed`.

Each seed is a fleet, a load and a schedule of faults. What breaks a promise is printed and
left in a folder with the plan, the programs' logs and the findings.
"""

import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import defopt

from damaskwind.runtime.lifecycle import EXIT_FAILED, EXIT_FINE, run_on_reactor
from damaskwind.runtime.reactor import install_reactor

__all__ = ["soak"]

SEED_BELOW = 1_000_000_000


def soak(
    *,
    seeds: int = 1,
    seed: int = 0,
    seconds: float = 20.0,
    only: str = "",
    folder: str = "",
    bug: str = "",
) -> int:
    """Play soaks one after the other; fail if one of them broke a promise.

    :param seeds: how many fresh seeds to play
    :param seed: play this one in their place
    :param seconds: how long the load and the faults of each last
    :param only: places of the faults to keep, with commas, to shorten a failing plan by hand
    :param folder: where findings go; by default a fresh temporary folder
    :param bug: the promise whose seeded fault is put into the programs first
    """
    chosen_seeds = [seed] if seed else [random.randrange(1, SEED_BELOW) for _ in range(seeds)]
    kept_faults = {int(place) for place in only.split(",")} if only else None
    findings_folder = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    return run_on_reactor(lambda: _play(chosen_seeds, seconds, kept_faults, findings_folder, bug))


async def _play(
    chosen_seeds: list[int],
    seconds: float,
    kept_faults: set[int] | None,
    findings_folder: Path,
    bug: str,
) -> int:
    """Play all seeds; keep the folders of those that broke something."""
    from damaskwind.platform.tests.soak.seeded_faults import SEEDED_FAULTS
    from damaskwind.platform.tests.soak.verdict import play_seed

    prelude = SEEDED_FAULTS[bug].prelude if bug else ""
    failed = 0
    for seed in chosen_seeds:
        started_s = time.monotonic()
        folder = findings_folder / f"seed-{seed}"
        verdict = await play_seed(
            seed,
            seconds,
            folder,
            install_reactor(),
            kept_faults,
            prelude,
            has_fatal_request=True,
            has_wishes=True,
        )
        duration_s = time.monotonic() - started_s
        status = "BROKEN" if verdict.broken else "held"
        print(f"seed {seed}: {status} in {duration_s:.0f} s; {verdict.summary}", flush=True)
        print("".join(f"  {line}\n" for line in verdict.broken[:20]), end="", flush=True)
        failed += bool(verdict.broken)
        if not verdict.broken:
            shutil.rmtree(folder)
    print(f"{len(chosen_seeds) - failed} held, {failed} broken; findings in {findings_folder}")
    return EXIT_FAILED if failed else EXIT_FINE


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
