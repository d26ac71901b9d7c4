"""Choose which routers pass a document on to the others.

The pattern: all routers ask for a version within some milliseconds, and what a
replica's link carries in the time allowed is less than all of them need: 49 documents
of 22 KB for each of four followers took 3.4 s. The first that got it have links of
their own. Each of them is named in turn, so that none passes on much more than another.

>>> holders = DocumentHolders()
>>> for host in ("10.1.0.1", "10.1.0.2", "10.2.0.1"): holders.note(7, host)
>>> holders.choose(7, "10.9.0.9"), holders.choose(7, "10.1.0.2"), holders.choose(6, "10.9.0.9")
(('10.1.0.1', '10.1.0.2'), ('10.2.0.1', '10.1.0.1'), ())
"""

from collections import deque

__all__ = ["DocumentHolders"]

# The second is for one that has ended meanwhile or can't be reached from there.
NAMED = 2


class DocumentHolders:
    """The routers that were sent the newest version, the next one to be named first."""

    def __init__(self) -> None:
        self._version = 0
        self._hosts: deque[str] = deque()

    def note(self, version: int, host: str) -> None:
        """Note that a router was sent a version; those with an older one hold nothing."""
        if version > self._version:
            self._version = version
            self._hosts.clear()
        if version == self._version and host and host not in self._hosts:
            self._hosts.append(host)

    def choose(self, version: int, asker: str) -> tuple[str, ...]:
        """Return up to two routers that have a version, or none."""
        if version != self._version:
            return ()
        others = [host for host in self._hosts if host != asker]
        named = tuple(others[:NAMED])
        if named:
            self._hosts.remove(named[0])
            self._hosts.append(named[0])
        return named
