"""Eject failing targets from each pool, by the failures that this router observes."""

from collections.abc import Iterable
from random import Random
from typing import Any

from damaskwind.decisions.health.circuit import HealthPolicy
from damaskwind.decisions.health.ejection import PoolHealth
from damaskwind.model.configuration import Policy
from damaskwind.model.targets import TargetView

__all__ = ["TargetHealth"]

_NO_TARGETS: frozenset[str] = frozenset()
_CLOSED = "closed"


class TargetHealth:
    """The circuit breakers of every pool; pools without failures are skipped cheaply."""

    def __init__(self, clock: Any, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._policy = HealthPolicy()
        self._pools: dict[str, PoolHealth] = {}
        self._members: dict[str, list[str]] = {}
        self._failing_pools: set[str] = set()

    def set_policy(self, policy: Policy) -> None:
        """Apply a confirmed policy; all circuit breakers are reset when it differs."""
        wanted = HealthPolicy(
            ejection_share=policy.ejection_share, ejection_base_s=policy.ejection_base_s
        )
        if wanted != self._policy:
            self._policy = wanted
            self._pools.clear()
            self._failing_pools.clear()
            for service, members in self._members.items():
                self._set_members(service, members)

    def set_targets(self, views: Iterable[TargetView]) -> None:
        """Set the live targets of all pools."""
        members: dict[str, list[str]] = {}
        for view in views:
            members.setdefault(view.service, []).append(view.target_id)
        for service in set(members) | set(self._members):
            self._set_members(service, members.get(service, []))
        self._members = members

    def _set_members(self, service: str, members: list[str]) -> None:
        """Set the targets of one pool."""
        pool = self._pools.setdefault(service, PoolHealth(self._policy))
        pool.set_targets(members, self._clock.seconds())

    def observe(self, view: TargetView, succeeded: bool) -> None:
        """Record whether a request to a target succeeded."""
        pool = self._pools.get(view.service)
        if pool is None:
            return
        if not succeeded:
            self._failing_pools.add(view.service)
        pool.observe(view.target_id, succeeded, self._clock.seconds(), self._random)

    def record_sent(self, view: TargetView) -> None:
        """Record that a request is being sent to a target."""
        if view.service in self._failing_pools:
            self._pools[view.service].record_sent(view.target_id, self._clock.seconds())

    def ejected(self, service: str) -> frozenset[str]:
        """Return the targets of a pool that are ejected now."""
        if service not in self._failing_pools:
            return _NO_TARGETS
        pool = self._pools[service]
        ejected = pool.ejected(self._clock.seconds(), self._random)
        if not ejected and all(
            self.state(service, name) == _CLOSED for name in self._target_ids(service)
        ):
            self._failing_pools.discard(service)
        return ejected

    def state(self, service: str, target_id: str) -> str:
        """Return the circuit state of a target."""
        pool = self._pools.get(service)
        return pool.state(target_id) if pool else _CLOSED

    def _target_ids(self, service: str) -> list[str]:
        """Return the ids of a pool's targets."""
        return self._members.get(service, [])
