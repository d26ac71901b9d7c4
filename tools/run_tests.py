"""Run every test module in a separate process and print one count.

Each module gets a new interpreter, since Twisted has one reactor per process, and
runs under trial on the asyncio reactor. The counts are parsed from trial's summary.
The doctests of the pure packages run as an additional job. Modules in folders named
`crowds` measure what a process uses, and run one at a time once all others have ended.
"""

import os
import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 6
MODULE_TIMEOUT_S = 280
SUMMARY_PATTERN = re.compile(r"^(PASSED|FAILED)(?: \((.*)\))?$", re.MULTILINE)
RAN_PATTERN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
TEST_PATTERNS = (
    "packages/*/src/**/tests/test_*.py",
    "platform/src/**/tests/test_*.py",
    "benchmarks/**/tests/test_*.py",
    "platform/src/**/tests/crowds/test_*.py",
    "packages/*/src/**/tests/crowds/test_*.py",
)
# A module with this part in its name runs with no other beside it.
ALONE_PART = ".crowds."
DOCTEST_PACKAGES = ("model", "decisions")
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class ModuleResult(NamedTuple):
    """The result of one test module: its counts, duration and output."""

    name: str
    passed: int
    failed: int
    duration_s: float
    output: str


def module_name(path: Path) -> str:
    """Return the dotted name of the module at `path`, below a `src` folder or the root."""
    if "src" in path.relative_to(ROOT).parts:
        parts = path.with_suffix("").parts
        return ".".join(parts[parts.index("src") + 1 :])
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def test_paths() -> list[Path]:
    """Return every test module of the packages and of the benchmarks."""
    return sorted({path for pattern in TEST_PATTERNS for path in ROOT.glob(pattern)})


def environment() -> dict[str, str]:
    """Return the environment of a test module, with the root for the uninstalled benchmarks."""
    paths = [str(ROOT), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}


def run_module(name: str) -> ModuleResult:
    """Run one module under trial and parse the counts from its summary."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "twisted.trial", "--reactor=asyncio"]
        command += ["--temp-directory", f"{folder}/trial", name]
        try:
            completed = subprocess.run(
                command,
                cwd=folder,
                env=environment(),
                capture_output=True,
                text=True,
                timeout=MODULE_TIMEOUT_S,
            )
            # Trial's report comes last, since only the end of the output is printed.
            output = completed.stderr + completed.stdout
            exit_code = completed.returncode
        except subprocess.TimeoutExpired as error:
            output = f"{error.stdout or ''}\ntimed out after {MODULE_TIMEOUT_S} s"
            exit_code = -1
    return count(name, output, exit_code, time.monotonic() - started_s)


def count(name: str, output: str, exit_code: int, duration_s: float) -> ModuleResult:
    """Parse trial's output into counts; output without a summary is one failure."""
    ran = RAN_PATTERN.findall(output)
    summary = SUMMARY_PATTERN.findall(output)
    if not ran or not summary:
        return ModuleResult(name, 0, 1, duration_s, output)
    total = int(ran[-1])
    outcome_counts = dict(re.findall(r"(\w+)=(\d+)", summary[-1][1]))
    failed = sum(
        int(outcome_counts.get(outcome, 0))
        for outcome in ("failures", "errors", "unexpectedSuccesses")
    )
    if exit_code != 0 and failed == 0:
        failed = 1
    skipped = int(outcome_counts.get("skips", 0))
    return ModuleResult(name, max(total - failed - skipped, 0), failed, duration_s, output)


def run_doctests() -> ModuleResult:
    """Run the doctests of the pure packages in one process."""
    started_s = time.monotonic()
    program = "; ".join(
        (
            "import doctest, importlib, sys",
            "results = [doctest.testmod(importlib.import_module(name)) for name in sys.argv[1:]]",
            "print('DOCTEST', sum(r.attempted for r in results), sum(r.failed for r in results))",
        )
    )
    names = []
    for package in DOCTEST_PACKAGES:
        for path in sorted((ROOT / "packages" / package / "src").rglob("*.py")):
            if "tests" not in path.parts and ">>>" in path.read_text(encoding="utf-8"):
                names.append(module_name(path).removesuffix(".__init__"))
    completed = subprocess.run(
        [sys.executable, "-c", program, *names], capture_output=True, text=True, timeout=120
    )
    found = re.search(r"^DOCTEST (\d+) (\d+)$", completed.stdout, re.MULTILINE)
    duration_s = time.monotonic() - started_s
    if not found:
        return ModuleResult("doctests", 0, 1, duration_s, completed.stdout + completed.stderr)
    attempted, failed = int(found[1]), int(found[2])
    return ModuleResult("doctests", attempted - failed, failed, duration_s, completed.stdout)


def known_red() -> set[str]:
    """Return the modules with known failures: one per line, before the first comma."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def main() -> int:
    """Run the selected modules, or all and the doctests, and print the count last."""
    selected = sys.argv[1:]
    names = [module_name(path) for path in test_paths()]
    if selected:
        names = [name for name in names if any(part in name for part in selected)]
    alone = [name for name in names if ALONE_PART in name]
    together = [name for name in names if ALONE_PART not in name]
    with ThreadPoolExecutor(WORKERS) as pool:
        doctests = None if selected else pool.submit(run_doctests)
        results = list(pool.map(run_module, together))
    results += [run_module(name) for name in alone]
    if doctests is not None:
        results.append(doctests.result())
    red = known_red()
    for result in results:
        print(
            f"{result.name}: {result.passed} passed, {result.failed} failed"
            f" in {result.duration_s:.1f} s"
        )
        if result.failed:
            print(result.output[-8000:])
    unexpected = [result for result in results if result.failed and result.name not in red]
    for result in results:
        if result.failed and result.name in red:
            print(f"known red: {result.name}")
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
