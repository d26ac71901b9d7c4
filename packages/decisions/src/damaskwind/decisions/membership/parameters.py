"""The numbers that govern the gossip, with what each was weighed against."""

from typing import NamedTuple

__all__ = ["MembershipParameters"]


class MembershipParameters(NamedTuple):
    """How often, how much and how patiently a router gossips.

    A round probes one peer. `suspicion_s` is the time a suspect has to refute.
    Probes take `probe_bytes`, and `spare_probe_bytes` more of loads while there
    is room for `spare_headroom_bytes` of news, so that news goes before fresher loads.
    Once the lists of targets are alike, a vector of `vector_share` of a second's budget
    takes the place of these loads but for `uncovered_loads_bytes`, a `sample_vector_bytes`
    before; each renewal goes out `renewal_sends` times. Spill notes have `notes_share`
    on each probe and answer, up to `notes_limit_bytes`.
    `fanout` counts the peers that news is flooded to in the own domain,
    `remote_fanout` the other domains that a relay passes it to.
    For `warm_up_s` after its start a router whose domain has more than
    `small_domain_members` routers and targets lets no lease of it end before the
    longest one, and later none before `gaps_per_lease` times the
    mean gap between the renewals that it hears: a lease must not judge targets
    by the state of the gossip. `overdue_share` of a lease without a renewal
    makes a router ask its peers. Announcements may take `announcement_share` of the
    budget, in larger domains, where loads ride on answers, `large_announcement_share`.
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
