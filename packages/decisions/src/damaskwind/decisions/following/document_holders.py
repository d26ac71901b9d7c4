"""Choose which routers pass a document on to the others.

The pattern: all routers ask for a version within some milliseconds, and what a
replica's link carries in the time allowed is less than all of them need. The first
that are sent it have links of their own. Each one that asks is sent to the one
that will be free first, and has the document itself when that has sent it: the number of
links doubles with each sending ("Broadcast trees for heterogeneous
platforms", Beaumont, Marchal and Robert, HiPC 2005).

>>> holders = DocumentHolders()
>>> holders.record(7, "10.1.0.1", has_at_s=0.1)
>>> [holders.choose(7, f"10.2.0.{requester}", send_s=0.2, now_s=0.0) for requester in (1, 2, 3)]
[('10.1.0.1',), ('10.1.0.1', '10.2.0.1'), ('10.2.0.1', '10.1.0.1')]
>>> holders.choose(6, "10.9.0.9", send_s=0.2, now_s=0.0)
()
"""

__all__ = ["MAX_RELAY_DELAY_S", "RELAY_LINK_SHARE", "DocumentHolders"]

# The second is for one that has ended meanwhile or can't be reached from there.
MAX_HOLDERS = 2
# A router that would have the document later than this is not sent on.
MAX_RELAY_DELAY_S = 1.2
# What documents may take of a router's link; the rest is for answers to callers.
RELAY_LINK_SHARE = 0.3


class DocumentHolders:
    """The routers that have the newest version or will soon; times are monotonic."""

    def __init__(self) -> None:
        self._version = 0
        self._free_s: dict[str, float] = {}

    def record(self, version: int, host: str, has_at_s: float) -> None:
        """Note when a router has a version; those with an older one hold nothing."""
        if version > self._version:
            self._version = version
            self._free_s.clear()
        if version == self._version and host:
            self._free_s.setdefault(host, has_at_s)

    def choose(self, version: int, requester: str, send_s: float, now_s: float) -> tuple[str, ...]:
        """Return up to two routers that have a version or will soon, or none.

        `send_s` is what sending it takes a router.
        """
        if version != self._version:
            return ()
        others = sorted(
            (free_s, host) for host, free_s in self._free_s.items() if host != requester
        )[:MAX_HOLDERS]
        if not others:
            return ()
        free_s, first = others[0]
        has_at_s = max(free_s, now_s) + send_s
        if has_at_s - now_s > MAX_RELAY_DELAY_S:
            return ()
        self._free_s[first] = has_at_s
        self._free_s.setdefault(requester, has_at_s)
        return tuple(host for _, host in others)
