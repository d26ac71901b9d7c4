"""Eject the outliers of one pool, at most a given share of it.

At most `floor(ejection_share * pool size)` targets are ejected at once, including
those in their trial. With the default share of 0.34 that is none in a pool of
one or two and one in a pool of three: in a small pool a doubtful target is better
than none, and retries still avoid it after a failure.
"""

from collections.abc import Iterable
from random import Random

from damaskwind.decisions.health.circuit import Circuit, HealthPolicy

__all__ = ["PoolHealth"]

_CLOSED = "closed"


class PoolHealth:
    """The circuit breakers of one pool's targets, as one router sees them.

    >>> pool = PoolHealth(HealthPolicy(consecutive_failures=1))
    >>> pool.set_targets(["a", "b", "c"], 0.0)
    >>> pool.observe("a", False, 0.0, Random(1))
    >>> pool.observe("b", False, 0.0, Random(1))
    >>> sorted(pool.ejected(0.0, Random(1))), sorted(pool.suspects())
    (['a'], ['b'])
    """

    def __init__(self, policy: HealthPolicy) -> None:
        self.policy = policy
        self._circuits: dict[str, Circuit] = {}

    def set_targets(self, target_ids: Iterable[str], now_s: float) -> None:
        """Set the pool's targets; the circuits of others are dropped.

        In a pool that shrank, the targets ejected longest ago are readmitted until
        the limit holds again.
        """
        self._circuits = {
            name: self._circuits.get(name) or Circuit(self.policy) for name in target_ids
        }
        ejected = [circuit for circuit in self._circuits.values() if circuit.state != _CLOSED]
        ejected.sort(key=lambda circuit: circuit.open_until_s)
        for circuit in ejected[: max(0, len(ejected) - self.limit())]:
            circuit.recall(now_s)

    def limit(self) -> int:
        """Return how many targets may be ejected at once."""
        return int(self.policy.ejection_share * len(self._circuits) + 1e-9)

    def _ejected_count(self) -> int:
        """Return the number of targets whose circuit is not closed."""
        return sum(circuit.state != _CLOSED for circuit in self._circuits.values())

    def observe(self, target_id: str, succeeded: bool, now_s: float, random: Random) -> None:
        """Record the outcome of a request to a target, and eject it if it is an outlier.

        A failure is one caused by the target: a refused or reset connection, a timeout,
        a 5xx status. A caller that disconnects, or a target that reports that it is
        full, is not a failure.
        """
        circuit = self._circuits.get(target_id)
        if circuit is None:
            return
        circuit.observe(succeeded, now_s, random)
        if (
            circuit.is_outlier()
            and circuit.state == _CLOSED
            and self._ejected_count() < self.limit()
        ):
            circuit.eject(now_s, random)

    def may_send(self, target_id: str, now_s: float, random: Random) -> bool:
        """Return whether a target may get a request now; does not start a trial."""
        circuit = self._circuits.get(target_id)
        # Time changes only an open circuit. Calling `tick` for each of 64 targets made a placement
        # take 0.50 ms instead of 0.31 ms (processor time, with one router's own view only).
        if circuit is None or circuit.state == _CLOSED:
            return True
        circuit.tick(now_s, random)
        return circuit.has_trial(now_s)

    def record_sent(self, target_id: str, now_s: float) -> None:
        """Record that a request is being sent; it is the trial of a half-open circuit."""
        circuit = self._circuits.get(target_id)
        if circuit is not None and circuit.has_trial(now_s):
            circuit.start_trial(now_s)

    def ejected(self, now_s: float, random: Random) -> frozenset[str]:
        """Return the targets that may not get requests now."""
        return frozenset(name for name in self._circuits if not self.may_send(name, now_s, random))

    def suspects(self) -> frozenset[str]:
        """Return the outliers that are not ejected because the limit is reached."""
        return frozenset(
            name
            for name, circuit in self._circuits.items()
            if circuit.state == _CLOSED and circuit.is_outlier()
        )

    def forget(self, target_id: str) -> None:
        """Remove the circuit of a target, for example because it has restarted."""
        self._circuits.pop(target_id, None)

    def state(self, target_id: str) -> str:
        """Return the circuit state of a target, for `explain` and the metrics."""
        circuit = self._circuits.get(target_id)
        return circuit.state if circuit else _CLOSED
