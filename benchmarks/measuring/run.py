"""Run the load trace once for each placement policy."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.measuring.all_knowing import all_knowing_reuse
from benchmarks.measuring.calendar_load import Call, Phase, Turn, make_phases, make_trace
from benchmarks.measuring.churn import (
    FLAP_DOWN_S,
    ChurnEvent,
    churn_events,
    down_spans,
)
from benchmarks.measuring.control_traffic import RouterUsage, TrafficMonitor
from benchmarks.measuring.deployment import Deployment
from benchmarks.measuring.driver import Driver
from benchmarks.measuring.figures import SkewFigures, reuse_by_phase, skew_figures
from benchmarks.measuring.first_token import SlowRequest, slow_requests, slowest
from benchmarks.measuring.promises import Breach, count_outcomes, find_breaches
from damaskwind.runtime.clock import read_clock

__all__ = ["FAULTS", "RunFigures", "run_policies"]

START_DELAY_S = 1.0
PROBE_TURNS = 40
_PROBE_GAP_S = 0.02

FAULTS = ("", "ignore_leaving", "crossed_id")


class RunFigures(NamedTuple):
    """All figures of one policy.

    `reuse` is relative to an oracle placement of the answered turns, `reuse_of_all`
    relative to one of all turns, including refused ones.
    """

    policy: str
    turns: int
    calls: int
    reuse: dict[str, float]
    reuse_of_all: dict[str, float]
    skew: SkewFigures
    routers: list[RouterUsage]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    slow_first_tokens: list[SlowRequest]
    direct_first_token_ms: dict[str, float]
    direct_between_tokens_ms: dict[str, float]
    ends: dict[str, int]
    breaches: list[Breach]
    leave_taken_after_s: dict[str, float]
    control_series: dict[str, list[tuple[float, float]]]
    phases: list[Phase]


class _Observations(NamedTuple):
    """The raw observations of one run."""

    started_s: float
    driver: Driver
    direct: Driver
    events: list[ChurnEvent]
    routers: list[RouterUsage]
    control_series: dict[str, list[tuple[float, float]]]
    oracles: dict[str, Any]
    samples: list[dict[str, Any]]
    records: dict[str, dict[str, Any]]


async def _apply_churn(
    deployment: Deployment, events: list[ChurnEvent], started_s: float, fault: str
) -> None:
    """Apply the churn events at their times."""
    for event in events:
        await asyncio.sleep(max(started_s + event.at_s - read_clock(), 0.0))
        if event.action == "join":
            await deployment.join()
            continue
        order = {"action": event.action, "down_s": FLAP_DOWN_S}
        order["quiet"] = fault == "ignore_leaving"
        await deployment.send_life_order(event.engine, order)


async def _inject_fault(deployment: Deployment, fault: str) -> None:
    """Inject a seeded fault into one engine if the fault is an engine's."""
    if fault != "crossed_id":
        return
    path = f"/targets/{deployment.engines[0]}/faults"
    for name in ("others_id", "others_text"):
        await deployment.call_fleet("POST", path, {"fault": name, "count": 20, "share": 0.2})


async def _measure_direct(deployment: Deployment, turns: list[Turn]) -> Driver:
    """Send some turns directly to an engine, to measure the path without a router."""
    driver = Driver([], {}, deployment.model)
    address = deployment.fleet.ready["targets"][deployment.engines[0]]
    jobs = []
    for number, turn in enumerate(turns[:PROBE_TURNS]):
        headers = {"x-request-id": f"probe-{number}", "x-model-version": deployment.model.version}
        # Without the system prompt, so that the run finds none of these prompts cached or counted.
        probe = turn._replace(messages=turn.messages[1:], account="probe")
        jobs.append(asyncio.ensure_future(driver.stream(probe, address, headers)))
        await asyncio.sleep(_PROBE_GAP_S)
    await asyncio.gather(*jobs)
    await driver.close()
    return driver


async def run_policies(
    name: str, policies: list[str], seed: int, phase_s: float, fault: str = ""
) -> list[RunFigures]:
    """Start a deployment and run the trace once for each policy."""
    started_s = read_clock()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(name, Path(folder))
        try:
            await deployment.start()
            print(f"{name} started in {read_clock() - started_s:.1f} s", flush=True)
            return [
                await _run_policy(deployment, policy, seed, phase_s, fault) for policy in policies
            ]
        finally:
            await deployment.stop()


async def _run_policy(
    deployment: Deployment, policy: str, seed: int, phase_s: float, fault: str
) -> RunFigures:
    """Run the trace once; each policy gets its own chats at the same arrival times."""
    started_s = read_clock()
    plan = deployment.load_plan()
    phases = make_phases(plan, phase_s)
    turns, calls = make_trace(plan, phases, deployment.call_paths(), seed, policy)
    await deployment.apply_policy(policy)
    print(f"{policy} in force after {read_clock() - started_s:.1f} s", flush=True)
    observed = await _drive(deployment, phases, turns, calls, fault)
    print(f"{policy} measured in {read_clock() - started_s:.1f} s", flush=True)
    return _compute_figures(deployment, policy, phases, turns, calls, observed)


async def _drive(
    deployment: Deployment, phases: list[Phase], turns: list[Turn], calls: list[Call], fault: str
) -> _Observations:
    """Send a trace through a running deployment and collect the observations."""
    direct = await _measure_direct(deployment, turns)
    await _inject_fault(deployment, fault)
    churn = phases[-1]
    events = churn_events(churn.start_s, churn.duration_s, deployment.engines, deployment.joiner)
    monitor = TrafficMonitor(deployment)
    driver = Driver(deployment.addresses(), deployment.keys, deployment.model)
    monitor.start()
    started_s = read_clock() + START_DELAY_S
    churn_task = asyncio.ensure_future(_apply_churn(deployment, events, started_s, fault))
    await driver.run(turns, calls, started_s)
    await churn_task
    routers = await monitor.stop()
    await driver.close()
    series = {
        router: [(at_s - started_s, value) for at_s, value in points]
        for router, points in monitor.series().items()
    }
    oracles = await deployment.call_fleet("GET", "/oracle")
    samples = await deployment.call_fleet("GET", "/samples")
    during = [sample for sample in samples if sample["time_s"] >= started_s]
    records = await _fetch_slow_records(deployment, driver)
    return _Observations(
        started_s, driver, direct, events, routers, series, oracles, during, records
    )


async def _fetch_slow_records(deployment: Deployment, driver: Driver) -> dict[str, dict[str, Any]]:
    """Fetch the routers' records of the requests with the slowest first tokens."""
    records = {}
    for first_token in slowest(driver.first_tokens):
        record = await deployment.explain(first_token.request_id)
        if record is not None:
            records[first_token.request_id] = record
    return records


def _compute_figures(
    deployment: Deployment,
    policy: str,
    phases: list[Phase],
    turns: list[Turn],
    calls: list[Call],
    observed: _Observations,
) -> RunFigures:
    """Compute the figures from the observations."""
    driver, direct = observed.driver, observed.direct
    spans = down_spans(observed.events, [*deployment.engines, deployment.joiner])
    cache_tokens = deployment.engine_table["cache_tokens"]
    answered = [outcome.turn for outcome in driver.turns if outcome.is_complete]
    answered.sort(key=lambda turn: turn.at_s)
    ideal = all_knowing_reuse(answered, deployment.model, spans, cache_tokens)
    ideal_of_all = all_knowing_reuse(turns, deployment.model, spans, cache_tokens)
    root = f"/services/{deployment.profile.service}"
    return RunFigures(
        policy=policy,
        turns=len(turns),
        calls=len(calls),
        reuse=reuse_by_phase(driver.turns, ideal),
        reuse_of_all=reuse_by_phase(driver.turns, ideal_of_all),
        skew=skew_figures(observed.samples, deployment.load_factor, observed.started_s),
        routers=observed.routers,
        first_token_ms=driver.first_token.percentiles_ms(),
        between_tokens_ms=driver.between_tokens.percentiles_ms(),
        slow_first_tokens=slow_requests(driver.first_tokens, observed.records),
        direct_first_token_ms=direct.first_token.percentiles_ms(),
        direct_between_tokens_ms=direct.between_tokens.percentiles_ms(),
        ends=count_outcomes(driver.turns, driver.calls),
        breaches=find_breaches(
            driver.turns, driver.calls, observed.oracles, deployment.model, root
        ),
        leave_taken_after_s={
            target: oracle["leave_taken_after_s"]
            for target, oracle in observed.oracles.items()
            if oracle["leave_taken_after_s"] is not None
        },
        control_series=observed.control_series,
        phases=phases,
    )
