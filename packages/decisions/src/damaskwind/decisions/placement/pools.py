"""Index the targets that can serve each pool, split into near and far ones."""

from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from damaskwind.decisions.placement.messages import PoolName
from damaskwind.decisions.placement.rank import target_seed
from damaskwind.model.targets import TargetState, TargetView

__all__ = ["Pool", "PoolTable", "Tier", "serves"]


class Tier(NamedTuple):
    """Targets that are ranked together, and their hash seeds in the same order.

    `number` is unique among the tiers that a table has built.
    """

    number: int
    target_ids: tuple[str, ...]
    seeds: tuple[int, ...]


class Pool(NamedTuple):
    """The tiers of a pool: one of all near failure domains, and one per far domain."""

    near: Tier
    far: tuple[Tier, ...]


def serves(view: TargetView, name: PoolName) -> bool:
    """Return whether a target can currently take work of a pool."""
    if view.state is not TargetState.SERVING or view.ejected or view.service != name.service:
        return False
    if not name.model:
        return True
    return any(
        offer.model == name.model
        and (not name.version or offer.version == name.version)
        and (not name.adapter or name.adapter in offer.adapters)
        for offer in view.models
    )


def _pool_attributes(view: TargetView) -> tuple[object, ...]:
    """Return the attributes that determine a target's pools."""
    return (view.state, view.ejected, view.service, view.failure_domain, view.models)


class PoolTable:
    """The known targets and their pools, which are built on first use."""

    def __init__(self, is_near: Callable[[str], bool]) -> None:
        self._is_near = is_near
        self._views: dict[str, TargetView] = {}
        self._pools: dict[PoolName, Pool] = {}
        self._tier_numbers = count()

    def set_nearness(self, is_near: Callable[[str], bool]) -> None:
        """Change which failure domains are near, and rebuild the pools."""
        self._is_near = is_near
        self._pools.clear()

    def update(self, view: TargetView) -> None:
        """Add or replace a target; pools are rebuilt only if the target's pools may change."""
        known = self._views.get(view.target_id)
        self._views[view.target_id] = view
        if known is None or _pool_attributes(known) != _pool_attributes(view):
            self._pools.clear()

    def remove(self, target_id: str) -> None:
        """Remove a target."""
        if self._views.pop(target_id, None) is not None:
            self._pools.clear()

    def views(self) -> tuple[TargetView, ...]:
        """Return all targets."""
        return tuple(self._views.values())

    def pool(self, name: PoolName) -> Pool:
        """Return the pool of this name."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = self._build(name)
        return pool

    def _build(self, name: PoolName) -> Pool:
        """Group the serving targets into tiers."""
        near: list[TargetView] = []
        far: dict[str, list[TargetView]] = {}
        for view in self._views.values():
            if not serves(view, name):
                continue
            if self._is_near(view.failure_domain):
                near.append(view)
            else:
                far.setdefault(view.failure_domain, []).append(view)
        return Pool(self._tier(near), tuple(self._tier(far[domain]) for domain in sorted(far)))

    def _tier(self, views: list[TargetView]) -> Tier:
        """Return a tier of these targets, sorted by id."""
        target_ids = tuple(sorted(view.target_id for view in views))
        seeds = tuple(target_seed(target_id) for target_id in target_ids)
        return Tier(next(self._tier_numbers), target_ids, seeds)
