"""Settings of a control replica of a fleet whose replicas discover each other."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from damaskwind.runtime.http1.limits import READ_AHEAD_BYTES

__all__ = ["DEFAULT_CATCH_UP_S", "REPLICA_ADDRESSES", "FleetControlSettings"]

# The part of the descriptors, in 32nds, that the connections of each address may take. What is
# left is for connections to other replicas, and for the disk. A router keeps two for news.
REPLICA_ADDRESSES = MappingProxyType({"control": 6, "news": 15, "log": 2, "metrics": 1})

DEFAULT_CATCH_UP_S = 4.0
# A silent voter is replaced after this fraction of the catch-up time of a new replica. The rest
# is for the election, if that voter led, and for the commits of two membership changes.
REPLACE_AFTER_FRACTION = 0.5
# The shortest election timeout, in which a sound voter may be silent, and three of these.
MIN_REPLACE_AFTER_S = 1.0
MAX_REPLACE_AFTER_S = 3.0


class FleetControlSettings(NamedTuple):
    """Addresses, data folder, seed hosts and limits of a replica.

    `seed_hosts` are the IP addresses of some replicas; ports are the same on all.
    `tolerated_losses` is the number of replicas that may be lost at once, with their disks;
    if it is `None`, every replica votes and the loss of one is tolerated. `link_bytes_per_s`
    is the rate of the VM's link, by which documents are paced. `failure_domains` lists all
    failure domains; if it is empty, an evacuation order may name any. `catch_up_s` is the time
    from the start of a new replica until the one that it replaces no longer counts as a loss.
    `memory_bytes` is the memory beyond which the process is killed, and `max_sockets` how many
    descriptors it may use for sockets; `None` if that isn't known. `max_connections` replaces the
    largest number of connections of an address, by its name in `REPLICA_ADDRESSES`. Of a client's
    later requests, `read_ahead_bytes` are read before an answer has ended.
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
    catch_up_s: float = DEFAULT_CATCH_UP_S
    memory_bytes: int | None = None
    max_sockets: int | None = None
    max_connections: Mapping[str, int] = MappingProxyType({})
    read_ahead_bytes: int = READ_AHEAD_BYTES

    @property
    def required_voters(self) -> int | None:
        """Return the number of voters of which a majority survives the tolerated losses."""
        return None if self.tolerated_losses is None else 2 * self.tolerated_losses + 1

    @property
    def replace_after_s(self) -> float:
        """Return after which silence a caught-up learner replaces a voter."""
        wanted_s = self.catch_up_s * REPLACE_AFTER_FRACTION
        return min(max(wanted_s, MIN_REPLACE_AFTER_S), MAX_REPLACE_AFTER_S)
