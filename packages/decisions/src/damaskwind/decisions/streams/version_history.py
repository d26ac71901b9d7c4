"""Remember which software versions of each service were known lately."""

from collections.abc import Mapping, Set

__all__ = ["VersionHistory"]

# As long as the table of targets keeps those that are gone.
VERSION_MEMORY_S = 60.0


class VersionHistory:
    """The versions of each service that targets run now or ran lately.

    >>> history = VersionHistory()
    >>> history.update({"s": {"v1"}}, 0.0)
    set()
    >>> history.update({"s": {"v2"}}, 1.0)
    {'s'}
    >>> sorted(history.versions("s", 2.0)), sorted(history.versions("s", 62.0))
    (['v1', 'v2'], ['v2'])
    """

    def __init__(self) -> None:
        self._present: dict[str, frozenset[str]] = {}
        self._former: dict[str, dict[str, float]] = {}

    def update(self, present: Mapping[str, Set[str]], now_s: float) -> set[str]:
        """Take note of the versions present; return the services that now have several."""
        had_several = {name for name in self._present if self.has_several(name, now_s)}
        for service, versions in self._present.items():
            for version in versions - present.get(service, set()):
                # A target that reports its version late had no other version before.
                if version:
                    former = self._former.setdefault(service, {})
                    former[version] = now_s + VERSION_MEMORY_S
        self._present = {name: frozenset(versions) for name, versions in present.items()}
        self._forget(now_s)
        return {name for name in self._present if self.has_several(name, now_s)} - had_several

    def versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service; targets that report none count as one version.

        They are empty if no target of the service reports its version.
        """
        versions = self.reported(service, now_s)
        return frozenset() if versions <= {""} else versions

    def reported(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service; `""` stands for targets that report none."""
        former = self._former.get(service, {})
        lately = {version for version, until_s in former.items() if until_s > now_s}
        return self._present.get(service, frozenset()) | lately

    def has_several(self, service: str, now_s: float) -> bool:
        """Return whether more than one version of a service is known."""
        return len(self.versions(service, now_s)) > 1

    def _forget(self, now_s: float) -> None:
        for service in list(self._former):
            former = self._former[service]
            for version in [name for name, until_s in former.items() if until_s <= now_s]:
                del former[version]
            if not former:
                del self._former[service]
