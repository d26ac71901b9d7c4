"""Derive the needs of each role at the target size from measured slopes.

Each figure is a small function of the slopes, registered with its unit and the limit
that it is compared with. Nothing is measured here.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

__all__ = ["SIZE", "DERIVED", "Row", "Size", "derive"]

DAY_S = 86_400
CONTROL_CORE_PERCENT = 4.1
CONTROL_BYTES_PER_S = 14_000
CONTROL_MB = 64
VOTERS = 5
HOLDER_GROUPS = 8
KEYED_SHARE = 0.01
CLAIM_TTL_S = 600
CLAIM_RECORD_BYTES = 990
TOKEN_GAP_S = 0.044
FIRST_TOKEN_S = 0.49
SPILL_NOTES = 130_000
NEAR_TARGETS = 1000
REPORT_BYTES = 60
# From `placement_gossip` at 14,000 B/s, including loads on answers and spill notes.
GOSSIP_IN_TRAFFIC_BYTES_PER_S = 8639
REPORT_INTERVAL_S = 2.0

Slopes = Mapping[str, float]


class Size(NamedTuple):
    """The target size of the fleet."""

    routers: int = 2100
    targets: int = 10_000
    accounts: int = 1400
    requests_per_s: int = 77_000
    tokens_per_s: int = 22_000_000
    domains: int = 40
    regions: int = 11
    changes_per_day: int = 8700
    failures_per_day: int = 200
    restarts_per_day: int = 2300

    @property
    def requests_per_router_s(self) -> float:
        """Return the requests per second at each router."""
        return self.requests_per_s / self.routers

    @property
    def tokens_per_router_s(self) -> float:
        """Return the tokens per second at each router."""
        return self.tokens_per_s / self.routers

    @property
    def tokens_per_request(self) -> float:
        """Return the mean number of tokens in an answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def request_duration_s(self) -> float:
        """Return the duration of a request at the 95th percentile limits of its token delays."""
        return FIRST_TOKEN_S + self.tokens_per_request * TOKEN_GAP_S

    @property
    def in_progress_per_router(self) -> float:
        """Return the requests in progress at a router."""
        return self.requests_per_router_s * self.request_duration_s

    @property
    def changes_per_s(self) -> float:
        """Return the confirmed changes per second."""
        return self.changes_per_day / DAY_S

    @property
    def streams_per_voter(self) -> float:
        """Return the followers of each replica."""
        return self.routers / VOTERS

    @property
    def keyed_requests_per_s(self) -> float:
        """Return the keyed requests per second of the whole fleet."""
        return self.requests_per_s * KEYED_SHARE

    @property
    def router_share(self) -> float:
        """Return the routers' share of all VMs."""
        return self.routers / (self.routers + self.targets)


SIZE = Size()


class Row(NamedTuple):
    """One derived figure."""

    label: str
    value: float
    unit: str
    limit: str


class _DerivedFigure(NamedTuple):
    label: str
    unit: str
    limit: str
    function: Callable[[Slopes], float]


DERIVED: list[_DerivedFigure] = []


def _derived(label: str, unit: str, limit: str = "") -> Callable:
    """Register a function of the slopes."""

    def register(function: Callable[[Slopes], float]) -> Callable[[Slopes], float]:
        DERIVED.append(_DerivedFigure(label, unit, limit, function))
        return function

    return register


def derive(slopes: Slopes) -> list[Row]:
    """Return every derived figure."""
    return [
        Row(figure.label, figure.function(slopes), figure.unit, figure.limit) for figure in DERIVED
    ]


@_derived("router: requests", "/s")
def router_requests(slopes: Slopes) -> float:
    """Return the requests per second of a router."""
    return SIZE.requests_per_router_s


@_derived("router: tokens", "/s")
def router_tokens(slopes: Slopes) -> float:
    """Return the tokens per second of a router."""
    return SIZE.tokens_per_router_s


@_derived("router: requests in progress", "")
def router_in_progress(slopes: Slopes) -> float:
    """Return the requests that are cut when a router's VM fails."""
    return SIZE.in_progress_per_router


@_derived("router: data path", "% of a core", "100 for one process")
def router_data_path(slopes: Slopes) -> float:
    """Return the share of a core for relaying tokens and handling requests."""
    tokens = SIZE.tokens_per_router_s / slopes["tokens_per_core_s"]
    return 100 * (tokens + SIZE.requests_per_router_s / slopes["requests_per_core_s"])


@_derived("router: the same, a region of 4 domains less one", "% of a core", "100 for one process")
def router_domain_lost(slopes: Slopes) -> float:
    """Return the share when three domains carry the load of four."""
    return router_data_path(slopes) * 4 / 3


@_derived("router: memory of open streams", "MB")
def router_stream_memory(slopes: Slopes) -> float:
    """Return the memory of the open streams."""
    return SIZE.in_progress_per_router / 1000 * slopes["stream_mb_per_thousand"]


@_derived("router: placements over 1,000 near targets", "% of a core")
def router_placements(slopes: Slopes) -> float:
    """Return the cost of placements."""
    return SIZE.requests_per_router_s * slopes["placement_us_1000_near"] / 1e4


@_derived("router control: gossip of its domain", "% of a core")
def control_gossip(slopes: Slopes) -> float:
    """Return the cost of gossip in the router's own domain."""
    return slopes["gossip_core_percent"]


@_derived("router control: ticks with the whole fleet known", "% of a core")
def control_ticks(slopes: Slopes) -> float:
    """Return the cost of ticks when all routers and targets are known."""
    return slopes["fleet_ticks_core_percent"]


@_derived("router control: changes applied", "% of a core")
def control_changes(slopes: Slopes) -> float:
    """Return the cost of applying changes at the daily mean rate."""
    cost_ms = slopes["decode_change_ms"] + slopes["account_index_ms"]
    return 100 * SIZE.changes_per_s * (cost_ms + slopes["changed_limits_40_domains_ms"]) / 1000


@_derived("router control: limits, small slices", "% of a core")
def control_limits(slopes: Slopes) -> float:
    """Return the cost of leased shares."""
    return slopes["limits_small_core_percent"]


@_derived("router control: limits, large slices", "% of a core")
def control_limits_large(slopes: Slopes) -> float:
    """Return the cost of leased shares when slices are large."""
    return slopes["limits_large_core_percent"]


@_derived("router control: claims", "% of a core")
def control_claims(slopes: Slopes) -> float:
    """Return the cost of claims at each router."""
    return 100 * SIZE.keyed_requests_per_s / SIZE.routers * slopes["claim_router_ms"] / 1000


@_derived("router control: sum with large slices", "% of a core", f"{CONTROL_CORE_PERCENT}")
def control_sum(slopes: Slopes) -> float:
    """Return the sum; the ticks of the own domain are counted twice, which overestimates it."""
    components = (
        control_gossip,
        control_ticks,
        control_changes,
        control_limits_large,
        control_claims,
    )
    return sum(component(slopes) for component in components)


@_derived("router control: stall while a change is applied", "ms", "44 between tokens")
def control_stall(slopes: Slopes) -> float:
    """Return how long a change blocks the event loop."""
    cost_ms = slopes["decode_change_ms"] + slopes["account_index_ms"]
    return cost_ms + slopes["changed_limits_40_domains_ms"]


@_derived("router control: bytes of configurations", "B/s")
def control_stream_bytes(slopes: Slopes) -> float:
    """Return the bytes of changes and of a heartbeat every 5 s."""
    return SIZE.changes_per_s * slopes["sent_bytes_per_change_400_streams"] + 66


@_derived("router control: bytes, large slices", "B/s", f"{CONTROL_BYTES_PER_S:,}")
def control_bytes(slopes: Slopes) -> float:
    """Return the bytes of gossip, limits and configurations with large slices."""
    gossip = GOSSIP_IN_TRAFFIC_BYTES_PER_S + slopes["limits_large_bytes_per_s"]
    return gossip + control_stream_bytes(slopes)


@_derived("router control: bytes, small slices", "B/s", f"{CONTROL_BYTES_PER_S:,}")
def control_bytes_small(slopes: Slopes) -> float:
    """Return the bytes of gossip, limits and configurations with small slices."""
    gossip = GOSSIP_IN_TRAFFIC_BYTES_PER_S + slopes["limits_small_bytes_per_s"]
    return gossip + control_stream_bytes(slopes)


def _state_mb(slopes: Slopes, targets: int) -> float:
    """Return the memory of a router's control state."""
    size_bytes = targets * slopes["target_bytes"] + SIZE.routers * slopes["peer_bytes"]
    size_bytes += SIZE.accounts * slopes["account_bytes"] + SPILL_NOTES * slopes["note_bytes"]
    return size_bytes / 1e6


@_derived("router control: state, all 10,000 targets held", "MB", f"{CONTROL_MB}")
def control_state_all(slopes: Slopes) -> float:
    """Return the memory of targets, routers, accounts and spill notes."""
    return _state_mb(slopes, SIZE.targets)


@_derived("router control: state, 1,000 near targets held", "MB", f"{CONTROL_MB}")
def control_state_near(slopes: Slopes) -> float:
    """Return the memory if only near targets are stored."""
    return _state_mb(slopes, NEAR_TARGETS)


@_derived("router: memory, all 10,000 targets held", "MB")
def router_memory(slopes: Slopes) -> float:
    """Return the total memory of a router with its open streams."""
    return slopes["router_start_mb"] + control_state_all(slopes) + router_stream_memory(slopes)


@_derived("control replica: followers", "streams")
def replica_streams(slopes: Slopes) -> float:
    """Return the streams of one voter."""
    return SIZE.streams_per_voter


@_derived("control replica: streams idle", "% of a core")
def replica_idle(slopes: Slopes) -> float:
    """Return the cost of heartbeats."""
    return SIZE.streams_per_voter * slopes["idle_us_per_stream_s_400_streams"] / 1e4


@_derived("control replica: changes pushed", "% of a core")
def replica_changes(slopes: Slopes) -> float:
    """Return the cost of pushing changes."""
    cost_us = SIZE.streams_per_voter * slopes["change_us_per_stream_400_streams"]
    return SIZE.changes_per_s * cost_us / 1e4


@_derived("control replica: a change on its way to all followers", "s", "5")
def replica_in_force(slopes: Slopes) -> float:
    """Return the longest measured delay plus the stall at the router."""
    return slopes["in_force_max_s_400_streams"] + control_stall(slopes) / 1000


@_derived("control replica: reports heard from the other voters", "B/s")
def replica_reports(slopes: Slopes) -> float:
    """Return the bytes of the other voters' follower reports, requested every 2 s."""
    return (VOTERS - 1) * SIZE.streams_per_voter * REPORT_BYTES / REPORT_INTERVAL_S


@_derived("control replica: all followers start with the whole", "s of a core")
def replica_starts(slopes: Slopes) -> float:
    """Return the cost of sending the full configuration to all followers."""
    return SIZE.streams_per_voter * slopes["start_ms_per_stream_400_streams"] / 1000


@_derived("claims: new keys of the fleet, at 1% of requests", "/s")
def claim_rate(slopes: Slopes) -> float:
    """Return the keyed requests per second."""
    return SIZE.keyed_requests_per_s


@_derived("claims: one holder, one group", "% of a core", "100")
def claim_holder_one_group(slopes: Slopes) -> float:
    """Return the cost of a holder that receives every claim."""
    return 100 * SIZE.keyed_requests_per_s * slopes["claim_holder_ms"] / 1000


@_derived("claims: one holder, 8 groups", "% of a core", "100")
def claim_holder_groups(slopes: Slopes) -> float:
    """Return the cost of a holder when keys are partitioned over groups."""
    return claim_holder_one_group(slopes) / HOLDER_GROUPS


@_derived("claims: records of a holder, 8 groups, a life of 600 s", "MB")
def claim_memory(slopes: Slopes) -> float:
    """Return the memory of the unexpired records."""
    records = SIZE.keyed_requests_per_s * CLAIM_TTL_S / HOLDER_GROUPS
    return records * CLAIM_RECORD_BYTES / 1e6


@_derived("failures: router VMs a day, by their share of all VMs", "/day")
def router_failures(slopes: Slopes) -> float:
    """Return how many of the failing VMs run routers."""
    return SIZE.failures_per_day * SIZE.router_share


@_derived("failures: requests cut by them", "/day")
def requests_cut(slopes: Slopes) -> float:
    """Return how many requests in progress are cut by these failures."""
    return router_failures(slopes) * SIZE.in_progress_per_router


@_derived("failures: the same, of all requests at the peak's rate", "in a million")
def requests_cut_share(slopes: Slopes) -> float:
    """Return the share of requests that are cut."""
    return requests_cut(slopes) / SIZE.requests_per_s / DAY_S * 1e6


@_derived("restart of a router: the whole at the byte limit", "s")
def restart_whole(slopes: Slopes) -> float:
    """Return the transfer time of the full configuration at the byte limit."""
    return slopes["whole_sent_bytes"] / CONTROL_BYTES_PER_S


@_derived("regions parted for an hour: the missed changes at the byte limit", "s", "5")
def hour_missed(slopes: Slopes) -> float:
    """Return the transfer time of the changes of an hour at the byte limit."""
    return slopes["hour_sent_bytes"] / CONTROL_BYTES_PER_S


@_derived("a domain's 52 routers start at once: bytes of the whole", "MB")
def domain_start(slopes: Slopes) -> float:
    """Return the bytes that the replicas send to these routers."""
    return SIZE.routers / SIZE.domains * slopes["whole_sent_bytes"] / 1e6
