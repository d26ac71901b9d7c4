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

from damaskwind.runtime.lifecycle import EXIT_FAILED, EXIT_OK, run_on_reactor
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
    chosen = [seed] if seed else [random.randrange(1, SEED_BELOW) for _ in range(seeds)]
    kept = {int(place) for place in only.split(",")} if only else None
    where = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    return run_on_reactor(lambda: _play(chosen, seconds, kept, where, bug))


async def _play(
    chosen: list[int], seconds: float, kept: set[int] | None, where: Path, bug: str
) -> int:
    """Play all seeds; keep the folders of those that broke something."""
    from damaskwind.platform.tests.soak.seeded_faults import SEEDED_FAULTS
    from damaskwind.platform.tests.soak.verdict import play_seed

    prelude = SEEDED_FAULTS[bug].prelude if bug else ""
    failed = 0
    for seed in chosen:
        begun_s = time.monotonic()
        folder = where / f"seed-{seed}"
        verdict = await play_seed(
            seed,
            seconds,
            folder,
            install_reactor(),
            kept,
            prelude,
            has_fatal_request=True,
            has_target_signals=True,
        )
        took_s = time.monotonic() - begun_s
        word = "BROKEN" if verdict.broken else "held"
        print(f"seed {seed}: {word} in {took_s:.0f} s; {verdict.summary}", flush=True)
        print("".join(f"  {line}\n" for line in verdict.broken[:20]), end="", flush=True)
        failed += bool(verdict.broken)
        if not verdict.broken:
            shutil.rmtree(folder)
    print(f"{len(chosen) - failed} held, {failed} broken; findings in {where}")
    return EXIT_FAILED if failed else EXIT_OK


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
