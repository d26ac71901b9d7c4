"""Choose which routers relay a document to the others.

All routers request a new version within some milliseconds, and the link of a replica
cannot send it to all of them in the time allowed. The first routers that receive it
relay it over their own links. Each further requester is referred to the holder that is
free first, and becomes a holder itself once it has received the document, so the number
of sending links doubles with each transfer ("Broadcast trees for heterogeneous
platforms", Beaumont, Marchal and Robert, HiPC 2005).

>>> holders = DocumentHolders()
>>> holders.record(7, "10.1.0.1", available_at_s=0.1)
>>> [holders.choose(7, f"10.2.0.{requester}", send_s=0.2, now_s=0.0) for requester in (1, 2, 3)]
[('10.1.0.1',), ('10.1.0.1', '10.2.0.1'), ('10.2.0.1', '10.1.0.1')]
>>> holders.choose(6, "10.9.0.9", send_s=0.2, now_s=0.0)
()
"""

__all__ = ["MAX_RELAY_DELAY_S", "RELAY_LINK_SHARE", "DocumentHolders"]

# Holders named to a requester. The second one is a fallback in case the first one has
# stopped or is unreachable from the requester.
MAX_HOLDERS = 2
# A requester that would receive the document from a holder later than this is not referred.
MAX_RELAY_DELAY_S = 1.2
# Share of a router's link that documents may use; the rest is for answers to callers.
RELAY_LINK_SHARE = 0.3


class DocumentHolders:
    """The routers that have the newest version or will have it soon.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._version = 0
        self._free_at_s: dict[str, float] = {}

    def record(self, version: int, host: str, available_at_s: float) -> None:
        """Record when a router has a version; holders of older versions are forgotten."""
        if version > self._version:
            self._version = version
            self._free_at_s.clear()
        if version == self._version and host:
            self._free_at_s.setdefault(host, available_at_s)

    def choose(self, version: int, requester: str, send_s: float, now_s: float) -> tuple[str, ...]:
        """Return up to two routers that have a version or will have it soon.

        `send_s` is the time that a router takes to send the version. Return none if the
        requester would receive it from them after more than `MAX_RELAY_DELAY_S`.
        """
        if version != self._version:
            return ()
        others = sorted(
            (free_at_s, host) for host, free_at_s in self._free_at_s.items() if host != requester
        )[:MAX_HOLDERS]
        if not others:
            return ()
        free_at_s, holder = others[0]
        available_at_s = max(free_at_s, now_s) + send_s
        if available_at_s - now_s > MAX_RELAY_DELAY_S:
            return ()
        self._free_at_s[holder] = available_at_s
        self._free_at_s.setdefault(requester, available_at_s)
        return tuple(host for _, host in others)
