"""The numbers that govern the gossip, with what each was weighed against."""

from typing import NamedTuple

__all__ = ["MembershipParameters"]


class MembershipParameters(NamedTuple):
    """How often, how much and how patiently a router gossips.

    A round probes one peer. `suspicion_s` is the time a suspect has to refute.
    `fanout` counts the peers that news is flooded to in the own domain,
    `foreign_fanout` the other domains that a relay passes it to.
    `overdue_share` of a lease without a renewal makes a router ask its peers.
    """

    control_bytes_per_s: int = 4096
    round_s: float = 1.0
    probe_timeout_s: float = 0.6
    indirect_timeout_s: float = 1.6
    indirect_probes: int = 2
    suspicion_s: float = 4.0
    fanout: int = 3
    foreign_fanout: int = 3
    probe_bytes: int = 480
    carried_bytes: int = 120
    news_bytes: int = 700
    load_transmissions_factor: float = 1.0
    rumour_transmissions_factor: float = 2.0
    overdue_share: float = 0.6
    overdue_limit: int = 30
    rounds_per_lost_probe: int = 5
    announcement_share: float = 0.2
