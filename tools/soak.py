"""Run soak tests of the real programs: `python tools/soak.py --seeds 50`, or one `--seed`.

Each seed determines a fleet, a load and a schedule of faults. Violated guarantees are printed;
the plan, the programs' logs and the findings of a failed seed are kept in a folder.
"""

import random
import shutil
import sys
import tempfile
import time
from collections import Counter
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
    before_lost_news: bool = False,
    lost_disks: bool = False,
) -> int:
    """Run soak tests sequentially; fail if one of them violated a guarantee.

    :param seeds: number of fresh seeds to run
    :param seed: run this seed instead
    :param seconds: duration of the load and the faults of each seed
    :param only: indexes of the faults to keep, with commas, to shorten a failing plan by hand
    :param folder: folder of the findings; by default a new temporary folder
    :param before_lost_news: play a seed that was found before lost news was drawn, as it was then
    :param lost_disks: let replicas lose their disks one after another, in place of other faults
    :param bug: the guarantee whose seeded bug is injected into the programs
    """
    chosen_seeds = [seed] if seed else [random.randrange(1, SEED_BELOW) for _ in range(seeds)]
    kept_faults = {int(index) for index in only.split(",")} if only else None
    findings_folder = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    return run_on_reactor(
        lambda: _play(
            chosen_seeds,
            seconds,
            kept_faults,
            findings_folder,
            bug,
            not before_lost_news,
            lost_disks,
        )
    )


async def _play(
    chosen_seeds: list[int],
    seconds: float,
    kept_faults: set[int] | None,
    findings_folder: Path,
    bug: str,
    has_lost_news: bool,
    has_lost_disks: bool,
) -> int:
    """Run all seeds; keep the folders of those that violated a guarantee."""
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
            has_target_signals=True,
            has_cut_routers=True,
            has_versions=True,
            has_silences=True,
            has_router_kills=True,
            has_lost_news=has_lost_news,
            has_lost_disks=has_lost_disks,
        )
        duration_s = time.monotonic() - started_s
        status = "BROKEN" if verdict.broken else "held"
        print(f"seed {seed}: {status} in {duration_s:.0f} s; {verdict.summary}", flush=True)
        print("".join(f"  {line}\n" for line in verdict.broken[:20]), end="", flush=True)
        counts = Counter(line.split(":")[0] for line in verdict.broken)
        print(
            "".join(f"  {count} x {name}\n" for name, count in counts.items()), end="", flush=True
        )
        failed += bool(verdict.broken)
        if not verdict.broken:
            shutil.rmtree(folder)
    print(f"{len(chosen_seeds) - failed} held, {failed} broken; findings in {findings_folder}")
    return EXIT_FAILED if failed else EXIT_OK


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
