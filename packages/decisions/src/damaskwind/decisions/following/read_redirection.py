"""Choose whether an operator reads a configuration from a replica or from a router.

An operator abandons a call that takes longer than a second. In this time a replica's
link of 3 Mbit/s carries 375 KB, less the updates and documents that share the link.
Routers have the same document, and many of them have faster links.

>>> from random import Random
>>> redirector = ReadRedirector(375_000.0, 8101, Random(1))
>>> routers = [RelayEndpoint("10.1.0.1", 625_000.0), RelayEndpoint("10.1.0.2", 250_000.0)]
>>> redirector.choose(12_000, routers) is None
True
>>> redirector.choose(452_000, routers).host, redirector.choose(452_000, routers[1:])
('10.1.0.1', None)
"""

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

__all__ = ["NO_RELAY", "RelayEndpoint", "ReadRedirector"]

# Time that an answer of the replica itself may take on its link when the link is idle. While
# a version spreads, documents and updates take up to 0.85 of the link, and an answer of this
# size takes half a second.
LOCAL_READ_S = 0.08
# The router is drawn from the most recent requesters, at most half of those with a faster
# link. Each router makes a request once a second, so one that crashed half a second ago is
# excluded.
MAX_CANDIDATES = 8


class RelayEndpoint(NamedTuple):
    """The host at which a router relays documents, and the link rate of its VM."""

    host: str = ""
    link_bytes_per_s: float = 0.0


NO_RELAY = RelayEndpoint()


class ReadRedirector:
    """Redirects large reads of a replica to routers.

    `link_bytes_per_s` is the rate of the replica's own link. Routers relay documents at
    `port`.
    """

    def __init__(self, link_bytes_per_s: float, port: int, random: Random) -> None:
        self.port = port
        self._link_bytes_per_s = link_bytes_per_s
        self._random = random

    def choose(self, document_bytes: int, relays: Sequence[RelayEndpoint]) -> RelayEndpoint | None:
        """Return a router to read from, or `None` to read from this replica.

        `relays` are ordered by their last request, the most recent first.
        """
        if document_bytes <= self._link_bytes_per_s * LOCAL_READ_S:
            return None
        wider = [relay for relay in relays if relay.link_bytes_per_s > self._link_bytes_per_s]
        if not wider:
            return None
        most_recent = wider[: min(MAX_CANDIDATES, math.ceil(len(wider) / 2))]
        return self._random.choice(most_recent)
