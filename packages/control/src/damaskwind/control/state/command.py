"""The commands of the replicated log and their encoding.

A command contains everything that its outcome depends on, including the time,
so that all replicas reach the same result regardless of their own clocks.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from damaskwind.model.checking import check_table
from damaskwind.model.configuration_codec import to_table
from damaskwind.model.exception import MessageError

__all__ = [
    "COMMAND_KINDS",
    "Actor",
    "ConfirmCommand",
    "OrderCommand",
    "PlanCommand",
    "RecordCommand",
    "WantedState",
    "decode_command",
    "encode_command",
]

COMMAND_KINDS: dict[str, type] = {}


def _register_command(kind: str) -> Callable[[type], type]:
    """Register a command under the name that identifies it in the log."""

    def register(command: type) -> type:
        COMMAND_KINDS[kind] = command
        return command

    return register


class Actor(NamedTuple):
    """The operator, the origin of the request and the receiving replica's clock."""

    operator: str
    origin: str
    now_s: float


class WantedState(NamedTuple):
    """The desired end state of a target: its role and loaded models."""

    role: str
    models: tuple[str, ...] = ()


@_register_command("plan")
class PlanCommand(NamedTuple):
    """Store a plan. `change` was validated against exactly `base_revision`.

    `touches` names the objects that it puts or deletes, `affects` those that
    depend on them.
    """

    actor: Actor
    plan_id: str
    base_revision: int
    ttl_s: float
    change: dict[str, Any]
    difference: tuple[str, ...]
    touches: tuple[str, ...]
    affects: tuple[str, ...]
    warnings: tuple[str, ...]


@_register_command("confirm")
class ConfirmCommand(NamedTuple):
    """Confirm a plan; idempotent."""

    actor: Actor
    plan_id: str


@_register_command("order")
class OrderCommand(NamedTuple):
    """Order a target into a wanted state; idempotent under its `order_id`.

    Without an `address` the order is only recorded, not sent.
    """

    actor: Actor
    order_id: str
    target_id: str
    wanted: WantedState
    address: str = ""


@_register_command("record")
class RecordCommand(NamedTuple):
    """Record an operator's action that changes no configuration on the audit trail."""

    actor: Actor
    action: str
    subject: str
    result: str


_KIND_OF = {command: kind for kind, command in COMMAND_KINDS.items()}


def encode_command(command: Any) -> bytes:
    """Encode a command as it is stored in the log.

    >>> actor = Actor("mei", "127.0.0.1", 0.0)
    >>> decode_command(encode_command(ConfirmCommand(actor, "plan-1"))).plan_id
    'plan-1'
    """
    return msgspec.json.encode({"kind": _KIND_OF[type(command)], **to_table(command)})


def decode_command(payload: bytes) -> Any:
    """Decode a command; raise `MessageError` when it is malformed or of unknown kind."""
    try:
        raw = msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise MessageError(f"command: not JSON: {error}") from error
    if not isinstance(raw, dict) or raw.get("kind") not in COMMAND_KINDS:
        raise MessageError("command: unknown kind")
    checked = check_table(
        {name: value for name, value in raw.items() if name != "kind"},
        COMMAND_KINDS[raw["kind"]],
        raw["kind"],
    )
    if checked.mistakes:
        raise MessageError("; ".join(checked.mistakes))
    return checked.value
