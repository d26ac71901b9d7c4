"""The software versions of each service that one process knows, from its table of targets.

>>> from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
>>> from damaskwind.model.targets import Address
>>> table = TargetTable()
>>> new = TargetRecord("t", "s", Address("127.0.0.1", 1), "d", TargetPhase.SERVING, 4)
>>> table.merge(new._replace(version="v1"), 0.0)
True
>>> KnownVersions(table).versions("s", 1.0)
frozenset({'v1'})
"""

from damaskwind.decisions.membership.target_table import TargetTable
from damaskwind.decisions.streams.version_history import VersionHistory

__all__ = ["KnownVersions"]

# The table of targets drops silent ones without a new revision.
REFRESH_S = 1.0


class KnownVersions:
    """The versions that targets run now or ran lately."""

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._history = VersionHistory()
        self._seen_revision = -1
        self._refreshed_s = float("-inf")

    def refresh(self, now_s: float) -> dict[str, list[str]]:
        """Take note of the table; return the services that now have several versions."""
        revision = self._targets.revision
        if revision == self._seen_revision and now_s - self._refreshed_s < REFRESH_S:
            return {}
        self._seen_revision, self._refreshed_s = revision, now_s
        services = self._history.update(self._targets.versions(), now_s)
        return {name: sorted(self._history.versions(name, now_s)) for name in sorted(services)}

    def versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service; none if no target reports its version."""
        self.refresh(now_s)
        return self._history.versions(service, now_s)

    def reported(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service; `""` stands for targets that report none."""
        self.refresh(now_s)
        return self._history.reported(service, now_s)
