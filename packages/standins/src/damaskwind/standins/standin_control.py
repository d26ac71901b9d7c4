"""HTTP routes by which tests control a stand-in: counts, faults and lifecycle.

`GET /oracle` returns the counts, `POST /faults` arms or disarms a fault,
`POST /life` takes `leave`, `flap`, `stop` and `come_back`.
"""

import asyncio
import json
from typing import Any

from klein import Klein

from damaskwind.runtime.bridge import to_deferred
from damaskwind.standins.faults import Fault

__all__ = ["apply_fault", "apply_lifecycle", "install_control"]

_DEFAULT_DOWN_S = 2.0


async def _flap(standin: Any, down_s: float, keep_cache: bool) -> None:
    """Stop without announcing a leave and start the next incarnation after `down_s`."""
    await standin.stop()
    await asyncio.sleep(down_s)
    await standin.start_next_incarnation(keep_cache)


def apply_fault(standin: Any, command: dict[str, Any]) -> None:
    """Arm the fault named by a command, or disarm all faults if it names none."""
    if not command.get("fault"):
        standin.faults.disarm()
        return
    standin.faults.arm(Fault(command["fault"]), command.get("count", 1), command.get("share", 1.0))


async def apply_lifecycle(standin: Any, command: dict[str, Any]) -> None:
    """Make a stand-in leave, flap, stop or come back."""
    keep_cache = command.get("keep_cache", True)
    action = command["action"]
    if action == "leave":
        standin.leave(command.get("quiet", False))
    elif action == "flap":
        await _flap(standin, command.get("down_s", _DEFAULT_DOWN_S), keep_cache)
    elif action == "stop":
        await standin.stop()
    elif action == "come_back":
        await standin.start_next_incarnation(keep_cache)
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
    def lifecycle(request: Any) -> bytes:
        command = json.loads(request.content.read())
        # Answer first: stopping the stand-in drops the connection of this call.
        asyncio.get_event_loop().call_later(
            0.0,
            lambda: to_deferred(apply_lifecycle(standin, command)).addErrback(lambda failure: None),
        )
        return b"{}"
