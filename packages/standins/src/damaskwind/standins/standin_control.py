"""The tests' way into a stand-in: its counts, its faults and its life.

`GET /oracle` returns the counts, `POST /faults` arms or disarms a fault,
`POST /life` takes `leave`, `flap`, `stop` and `come_back`.
"""

import asyncio
import json
from typing import Any

from klein import Klein

from damaskwind.runtime.bridge import to_deferred
from damaskwind.standins.faults import Fault

__all__ = ["apply_fault", "apply_life", "install_control"]

_DEFAULT_DOWN_S = 2.0


async def _flap(standin: Any, down_s: float, keep_cache: bool) -> None:
    """Go away without a word and come back after a while."""
    await standin.stop()
    await asyncio.sleep(down_s)
    await standin.come_back(keep_cache)


def apply_fault(standin: Any, order: dict[str, Any]) -> None:
    """Arm the fault that an order names, or disarm all when it names none."""
    if not order.get("fault"):
        standin.faults.disarm()
        return
    standin.faults.arm(Fault(order["fault"]), order.get("count", 1), order.get("share", 1.0))


async def apply_life(standin: Any, order: dict[str, Any]) -> None:
    """Let a stand-in leave, flap, stop or come back."""
    keep_cache = order.get("keep_cache", True)
    action = order["action"]
    if action == "leave":
        standin.leave(order.get("quiet", False))
    elif action == "flap":
        await _flap(standin, order.get("down_s", _DEFAULT_DOWN_S), keep_cache)
    elif action == "stop":
        await standin.stop()
    elif action == "come_back":
        await standin.come_back(keep_cache)
    else:
        raise ValueError(f"unknown action '{action}'")


def install_control(app: Klein, standin: Any) -> None:
    """Add the control routes to the application of a stand-in."""

    @app.route("/oracle", methods=["GET"])
    def oracle(request: Any) -> bytes:
        request.setHeader("content-type", "application/json")
        return json.dumps(standin.oracle.snapshot()).encode()

    @app.route("/faults", methods=["POST"])
    def faults(request: Any) -> bytes:
        apply_fault(standin, json.loads(request.content.read()))
        return b"{}"

    @app.route("/life", methods=["POST"])
    def life(request: Any) -> bytes:
        order = json.loads(request.content.read())
        # Answer first: a stand-in that stops drops the connection of this call.
        asyncio.get_event_loop().call_later(
            0.0, lambda: to_deferred(apply_life(standin, order)).addErrback(lambda failure: None)
        )
        return b"{}"
