"""Name to each router the others through which it may send when its own paths are cut."""

from typing import NamedTuple

from damaskwind.decisions.routing.peers import MAX_PEERS, NO_PEER, PeerEndpoint, name_peers

__all__ = ["PeerDirectory"]

# A full list of names stays for this time, so that it is not sent anew with each router that
# restarts.
REFRESH_S = 2.0


class _Named(NamedTuple):
    """The peers named to a router, when, and for which state of the directory."""

    peers: tuple[PeerEndpoint, ...]
    at_s: float
    revision: int


class PeerDirectory:
    """The routers that subscribe to one replica and send requests on for others.

    >>> directory = PeerDirectory()
    >>> for name in ("a", "b"):
    ...     directory.report(name, PeerEndpoint(name, "k", "d"), is_cut_off=False)
    >>> [peer.host for peer in directory.peers_of("a", 0.0)]
    ['b']
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, PeerEndpoint] = {}
        self._cut_off: set[str] = set()
        self._named: dict[str, _Named] = {}
        self._revision = 0

    def report(self, router: str, endpoint: PeerEndpoint, is_cut_off: bool) -> None:
        """Record a router's endpoint, and whether its path to some service is cut."""
        was_cut_off = router in self._cut_off
        if self._endpoints.get(router, NO_PEER) == endpoint and was_cut_off == is_cut_off:
            return
        self._revision += 1
        if endpoint.host:
            self._endpoints[router] = endpoint
        else:
            self._endpoints.pop(router, None)
        (self._cut_off.add if is_cut_off else self._cut_off.discard)(router)

    def remove(self, router: str) -> None:
        """Remove a router that no longer subscribes."""
        self._named.pop(router, None)
        self._cut_off.discard(router)
        if self._endpoints.pop(router, None) is not None:
            self._revision += 1

    def peers_of(self, router: str, now_s: float) -> tuple[PeerEndpoint, ...]:
        """Return the peers of a router; to one that is cut off, first those that are not.

        The others fill the list up: their paths to another service may be open.
        """
        named = self._named.get(router)
        if named is not None:
            is_full = len(named.peers) == MAX_PEERS
            is_recent = is_full and now_s - named.at_s < REFRESH_S
            if is_recent or named.revision == self._revision:
                return named.peers
        avoided = self._cut_off if router in self._cut_off else frozenset()
        peers = name_peers(router, self._endpoints, avoided)
        self._named[router] = _Named(peers, now_s, self._revision)
        return peers
