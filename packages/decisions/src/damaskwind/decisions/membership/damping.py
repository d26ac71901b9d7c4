"""Suppress flapping targets by a penalty that decays exponentially.

The method is route flap damping (RFC 2439): each return adds one to the
target's penalty, which halves every `HALF_LIFE_S`. Above `SUPPRESS_ABOVE` the
target is suppressed until the penalty falls below `REUSE_BELOW`. Leaves are
never suppressed, and a target keeps its id and therefore its rank in placement.

>>> damper = FlapDamper()
>>> [damper.record_return("a", now_s) for now_s in (0.0, 1.0, 2.0)]
[False, False, True]
>>> damper.is_suppressed("a", 10.0), damper.is_suppressed("a", 60.0)
(True, False)
"""

__all__ = ["FlapDamper"]

HALF_LIFE_S = 20.0
SUPPRESS_ABOVE = 2.5
REUSE_BELOW = 1.0
FORGET_BELOW = 0.05


class FlapDamper:
    """The penalties of targets that returned."""

    def __init__(self) -> None:
        self._penalties: dict[str, tuple[float, float]] = {}
        self._suppressed: set[str] = set()

    def record_return(self, target_id: str, now_s: float) -> bool:
        """Count a return; tell whether the target is suppressed now."""
        penalty = self._penalty(target_id, now_s) + 1.0
        self._penalties[target_id] = (penalty, now_s)
        if penalty > SUPPRESS_ABOVE:
            self._suppressed.add(target_id)
        return target_id in self._suppressed

    def is_suppressed(self, target_id: str, now_s: float) -> bool:
        """Tell whether a target is suppressed; end the suppression if its penalty has decayed."""
        if target_id not in self._suppressed:
            return False
        if self._penalty(target_id, now_s) < REUSE_BELOW:
            self._suppressed.discard(target_id)
            return False
        return True

    def release(self, now_s: float) -> list[str]:
        """Return the targets that are no longer suppressed, and remove small penalties."""
        released = [name for name in self._suppressed if self._penalty(name, now_s) < REUSE_BELOW]
        self._suppressed.difference_update(released)
        for name in [name for name in self._penalties if self._penalty(name, now_s) < FORGET_BELOW]:
            del self._penalties[name]
        return sorted(released)

    def _penalty(self, target_id: str, now_s: float) -> float:
        """Return the decayed penalty of a target."""
        penalty, updated_s = self._penalties.get(target_id, (0.0, now_s))
        return penalty * 0.5 ** (max(now_s - updated_s, 0.0) / HALF_LIFE_S)
