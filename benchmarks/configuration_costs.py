"""Measure the cost of a configuration of the target size: codec, changes, snapshots.

Run `.venv/bin/python benchmarks/configuration_costs.py`. It prints processor
times of this machine; sizes are deterministic.
"""

import hashlib
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from damaskwind.control.operator_api.difference import affected_objects, difference_lines
from damaskwind.control.operator_api.plan_warnings import plan_warnings
from damaskwind.control.state.command import Actor, ConfirmCommand, PlanCommand, encode_command
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.model.configuration import (
    ClientAccount,
    Configuration,
    Model,
    ModelGrant,
    ModelVersion,
    PriorityClass,
    Service,
)
from damaskwind.model.configuration_change import (
    apply_change,
    change_from_table,
    change_to_table,
    check_change,
)
from damaskwind.model.configuration_codec import (
    decode_configuration,
    encode_configuration,
    to_table,
)
from damaskwind.model.configuration_digest import configuration_digest

ACCOUNTS = 1400
MODELS = 33
GRANTS = 5
CHANGES = 10_000
REPEATS = 5


def hash_of(text: str) -> str:
    """Return a SHA-256 digest in the form of a key hash."""
    return hashlib.sha256(text.encode()).hexdigest()


def account(number: int) -> ClientAccount:
    """Return one account with two keys and a few grants."""
    name = f"account-{number:04d}"
    grants = tuple(ModelGrant(f"model-{(number + i) % MODELS}", "v1") for i in range(GRANTS))
    hashes = (hash_of(name), hash_of(name + "b"))
    return ClientAccount(name, hashes, "interactive", 100, 10_000.0, grants)


def large_configuration() -> Configuration:
    """Return a configuration of the target size."""
    models = [
        Model(f"model-{i}", "pool", "v1", (ModelVersion("v1"), ModelVersion("v2")))
        for i in range(MODELS)
    ]
    return Configuration(
        revision=1,
        accounts={item.name: item for item in map(account, range(ACCOUNTS))},
        priority_classes={"interactive": PriorityClass("interactive", 0, 1)},
        models={item.name: item for item in models},
        services={"pool": Service("pool", "engine")},
    )


def cost_ms(work: Callable[[], Any]) -> float:
    """Return the minimum processor time of several runs in milliseconds."""
    least_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.process_time()
        work()
        least_s = min(least_s, time.process_time() - started_s)
    return least_s * 1000


def filled_machine() -> tuple[ConfigurationMachine, float]:
    """Return a state machine after many changes and the microseconds per plan and confirm."""
    machine = ConfigurationMachine()
    table = change_to_table(
        change_from_table({"priority_classes": {"a": {"rank": 0, "weight": 1}}})
    )
    actor = Actor("bootstrap", "127.0.0.1 via control-a", 0.0)
    payloads = []
    for number in range(CHANGES):
        difference = ("change priority_classes.a.weight: 1 -> 2",)
        plan = PlanCommand(actor, f"p{number}", number, 900.0, table, difference, ("x",), (), ())
        payloads += [encode_command(plan), encode_command(ConfirmCommand(actor, f"p{number}"))]
    started_s = time.process_time()
    for index, payload in enumerate(payloads):
        machine.apply(index + 1, payload)
    return machine, (time.process_time() - started_s) / CHANGES * 1e6


def main() -> None:
    """Print the figures."""
    full = large_configuration()
    payload = encode_configuration(full)
    changed = account(7)._replace(max_tokens_per_s=5.0)
    change = change_from_table({"accounts": {changed.name: to_table(changed)}})
    print(f"configuration of {ACCOUNTS} accounts, {MODELS} models: {len(payload):,} bytes")
    configuration_digest(full)
    print(f"digest after a change: {cost_ms(lambda: configuration_digest(full)):.1f} ms")
    print(f"encode whole: {cost_ms(lambda: encode_configuration(full)):.1f} ms")
    print(f"decode and check whole: {cost_ms(lambda: decode_configuration(payload)):.1f} ms")
    print(f"check one change against it: {cost_ms(lambda: check_change(full, change)):.1f} ms")
    print(f"apply one change: {cost_ms(lambda: apply_change(full, change)):.3f} ms")
    for work in (difference_lines, affected_objects, plan_warnings):
        print(f"{work.__name__}: {cost_ms(lambda work=work: work(full, change)):.2f} ms")
    tracemalloc.start()
    machine, change_us = filled_machine()
    state_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    _, change_us = filled_machine()
    snapshot = machine.snapshot()
    print(f"plan and confirm applied: {change_us:.0f} us (mean of {CHANGES:,})")
    print(f"state after {CHANGES:,} changes: {state_mb:.1f} MB held, {len(snapshot):,} bytes")
    print(f"snapshot: {cost_ms(machine.snapshot):.1f} ms")
    print(f"restore: {cost_ms(lambda: ConfigurationMachine().restore(snapshot)):.1f} ms")


if __name__ == "__main__":
    main()
