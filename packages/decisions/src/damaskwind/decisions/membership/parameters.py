"""Parameters of the gossip protocol."""

from typing import NamedTuple

__all__ = ["MembershipParameters"]


class MembershipParameters(NamedTuple):
    """Intervals, timeouts and byte limits of the gossip of a router.

    A round probes one peer. `suspicion_s` is the time in which a suspect can refute.
    Probes take `probe_bytes`, and `spare_probe_bytes` more for loads if the budget has
    `spare_headroom_bytes` left for updates, so that updates take precedence over fresher
    loads. Once the target lists of peers match, a vector with `vector_share` of a second's
    budget replaces these loads, except for `uncovered_loads_bytes`; before that only samples
    of up to `sample_vector_bytes` are sent. Each renewal is sent `renewal_sends` times.
    Spill notes get `notes_share` of a second's budget on each probe and ack, up to
    `notes_limit_bytes`.

    `fanout` is the number of peers in the local domain to which updates are flooded,
    `remote_fanout` the number of other domains to which a relay forwards them.

    For `warm_up_s` after its start, a router whose domain has more than
    `small_domain_members` routers and targets expires no lease of the domain before the
    longest possible lease, and later none before `gaps_per_lease` times the mean gap
    between received renewals, so that slow gossip does not expire the leases of running
    targets. After `overdue_share` of a lease without a renewal, a router asks its peers.
    Announcements may take `announcement_share` of the budget; in larger domains, where
    loads are carried by responses, `large_announcement_share`.
    """

    control_bytes_per_s: int = 4096
    round_s: float = 1.0
    probe_timeout_s: float = 1.0
    indirect_timeout_s: float = 3.0
    indirect_probes: int = 2
    suspicion_s: float = 4.0
    fanout: int = 3
    remote_fanout: int = 4
    probe_bytes: int = 360
    spare_probe_bytes: int = 250
    spare_headroom_bytes: int = 500
    piggyback_bytes: int = 110
    vector_share: float = 0.085
    vector_limit_bytes: int = 520
    sample_vector_bytes: int = 130
    messages_per_sample: int = 4
    renewal_sends: int = 5
    uncovered_loads_bytes: int = 120
    notes_share: float = 0.025
    notes_limit_bytes: int = 240
    remote_probe_bytes: int = 240
    introductions: int = 6
    isolated_rounds_limit: int = 8
    updates_bytes: int = 500
    load_transmissions_factor: float = 0.7
    rumour_transmissions_factor: float = 1.0
    note_transmissions_factor: float = 0.7
    overdue_share: float = 0.5
    overdue_limit: int = 12
    rounds_per_rejoin_probe: int = 5
    warm_up_s: float = 90.0
    small_domain_members: int = 20
    gaps_per_lease: float = 3.5
    announcement_share: float = 0.16
    large_announcement_share: float = 0.1
