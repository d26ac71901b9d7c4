"""The settings of a replica whose peers find each other."""

from typing import NamedTuple

__all__ = ["FleetControlSettings"]


class FleetControlSettings(NamedTuple):
    """Where a replica listens, what it keeps, and whom it may ask first.

    `seed_hosts` are the IP numbers of some replicas; ports are the same on all.
    With `tolerated_losses` so many replicas may be lost at once, with their disks;
    without, every replica votes and the loss of one is borne. `link_bytes_per_s`
    is the rate of the VM's link, by which documents are paced. `failure_domains` are all
    that there are; without any, an order may name any.
    """

    node_id: str
    host: str
    control_port: int
    news_port: int
    replica_port: int
    failure_domain: str
    region: str
    data_folder: str
    seed_hosts: tuple[str, ...]
    may_found: bool
    metrics_port: int = 0
    cluster: str = "fleet"
    cluster_key: str = "fleet"
    tolerated_losses: int | None = None
    link_bytes_per_s: float = float("inf")
    failure_domains: tuple[str, ...] = ()

    @property
    def required_voters(self) -> int | None:
        """Return how many replicas vote: a majority has to outlive the losses."""
        return None if self.tolerated_losses is None else 2 * self.tolerated_losses + 1
