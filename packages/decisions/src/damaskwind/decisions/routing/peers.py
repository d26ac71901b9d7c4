"""Choose the routers through which another router may send what it can't send itself.

A router that has lost its paths to targets needs others at once, and possibly while it reaches
no replica. Replicas therefore name some to each router in advance: those with the highest random
weight for it, half of them in other failure domains, since a failure domain may be cut off as a
whole. Among those that reach a target, the less busy of two drawn at random is used: "The Power
of Two Choices in Randomized Load Balancing", Mitzenmacher, IEEE TPDS 2001.
"""

from collections.abc import Mapping, Sequence, Set
from random import Random
from typing import NamedTuple

from damaskwind.decisions.limits.slices import rendezvous_order

__all__ = ["MAX_PEERS", "NO_PEER", "PeerEndpoint", "PeerLoad", "choose_peer", "name_peers"]

# Enough that some of another failure domain are left if a whole one is cut off, and few enough
# that their names fit into one small update.
MAX_PEERS = 8
# What sending through another failure domain costs, in requests: it takes longer and its bytes
# are paid for.
FAR_PENALTY_REQUESTS = 2.0


class PeerEndpoint(NamedTuple):
    """Where a router sends requests on for others, and the key that proves they are routers.

    A router draws its key when it starts; only replicas and routers of the fleet are told it.
    """

    host: str = ""
    key: str = ""
    failure_domain: str = ""


NO_PEER = PeerEndpoint()


class PeerLoad(NamedTuple):
    """A router that could send a request on, and how many it sends on for others now."""

    endpoint: PeerEndpoint
    in_flight: int


def name_peers(
    router: str,
    endpoints: Mapping[str, PeerEndpoint],
    avoided: Set[str] = frozenset(),
    limit: int = MAX_PEERS,
) -> tuple[PeerEndpoint, ...]:
    """Return the endpoints that are named to a router, of all routers by name.

    At most half of them are in the router's own failure domain if others have enough. Those
    that are `avoided` only fill up.

    >>> routers = {name: PeerEndpoint(name, "k", name[0]) for name in ("a1", "a2", "a3", "b1")}
    >>> sorted(peer.host for peer in name_peers("a1", routers, limit=2))
    ['a2', 'b1']
    >>> len(name_peers("a1", routers))
    3
    >>> [peer.host for peer in name_peers("a1", routers, avoided={"a1", "a2", "b1"}, limit=1)]
    ['a3']
    """
    own = endpoints.get(router, NO_PEER)
    preferred = _draw(router, own, endpoints, endpoints.keys() - avoided - {router}, limit)
    left = limit - len(preferred)
    return (*preferred, *_draw(router, own, endpoints, avoided - {router}, left))


def _draw(
    router: str,
    own: PeerEndpoint,
    endpoints: Mapping[str, PeerEndpoint],
    names: Set[str],
    limit: int,
) -> tuple[PeerEndpoint, ...]:
    """Return up to `limit` endpoints by their weight for a router, of both kinds of domain."""
    ordered = [endpoints[name] for name in rendezvous_order(router, names) if name in endpoints]
    near = [item for item in ordered if item.failure_domain == own.failure_domain]
    far = [item for item in ordered if item.failure_domain != own.failure_domain]
    near_count = max(limit // 2, limit - len(far))
    chosen_near = near[:near_count]
    return (*chosen_near, *far[: limit - len(chosen_near)])


def choose_peer(
    peers: Sequence[PeerLoad], failure_domain: str, random: Random
) -> PeerEndpoint | None:
    """Return the less busy of two peers drawn at random, `None` if there are none.

    >>> peers = [PeerLoad(PeerEndpoint("a"), 5), PeerLoad(PeerEndpoint("b"), 0)]
    >>> choose_peer(peers, "", Random(1)).host, choose_peer([], "", Random(1))
    ('b', None)
    """

    def cost(peer: PeerLoad) -> float:
        is_near = peer.endpoint.failure_domain == failure_domain
        return peer.in_flight + (0.0 if is_near else FAR_PENALTY_REQUESTS)

    drawn = random.sample(peers, min(2, len(peers)))
    return min(drawn, key=cost).endpoint if drawn else None
