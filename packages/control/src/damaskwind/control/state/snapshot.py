"""The state machine's whole state and its encoding in snapshots."""

from typing import NamedTuple

import msgspec

from damaskwind.control.audit.trail import TrailState
from damaskwind.control.state.order_book import OrderBookState
from damaskwind.control.state.outcome import ChangeRecord
from damaskwind.control.state.plan_book import PlanBookState
from damaskwind.model.configuration import Configuration
from damaskwind.model.exception import CorruptLogError

__all__ = ["FORMAT_VERSION", "MachineState", "decode_state", "encode_state"]

FORMAT_VERSION = 1
_MAGIC = b"damaskwind state "


class MachineState(NamedTuple):
    """The whole state of the machine."""

    configuration: Configuration = Configuration()
    changes: tuple[ChangeRecord, ...] = ()
    plans: PlanBookState = PlanBookState()
    orders: OrderBookState = OrderBookState()
    trail: TrailState = TrailState()
    applied_index: int = 0


def encode_state(state: MachineState) -> bytes:
    """Encode a state, prefixed by the format's magic bytes and version."""
    return _MAGIC + bytes([FORMAT_VERSION]) + msgspec.msgpack.encode(state)


def decode_state(payload: bytes) -> MachineState:
    """Decode a state; raise `CorruptLogError` when it is malformed or of another version."""
    if not payload.startswith(_MAGIC):
        raise CorruptLogError("snapshot: not a state of this program")
    version, body = payload[len(_MAGIC) : len(_MAGIC) + 1], payload[len(_MAGIC) + 1 :]
    if version != bytes([FORMAT_VERSION]):
        raise CorruptLogError(f"snapshot: format version is not {FORMAT_VERSION}")
    try:
        return msgspec.msgpack.decode(body, type=MachineState)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptLogError(f"snapshot: malformed state: {error}") from error
