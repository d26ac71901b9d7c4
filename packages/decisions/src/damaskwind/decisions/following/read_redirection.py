"""Choose where an operator reads a configuration: at a replica, or at a router.

The pattern: an operator leaves a call that has not ended after a second. A replica's
link of 3 Mbit/s carries 375 KB in it, less the news and documents that share it; routers
hold the same document, many of them behind links that carry more.

>>> from random import Random
>>> places = ReadRedirector(375_000.0, 8101, Random(1))
>>> routers = [RelayEndpoint("10.1.0.1", 625_000.0), RelayEndpoint("10.1.0.2", 250_000.0)]
>>> places.choose(12_000, routers) is None
True
>>> places.choose(452_000, routers).host, places.choose(452_000, routers[1:])
('10.1.0.1', None)
"""

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

__all__ = ["NO_RELAY", "RelayEndpoint", "ReadRedirector"]

# What an answer may take of an idle link's time here. While a version spreads, documents and
# news take up to 0.85 of the link: an answer of this size then still takes half a second.
LOCAL_READ_S = 0.08
# One of the routers that asked last is drawn, of half of them at most: each asks once a
# second, so that one that died half a second ago is not among them.
MAX_CANDIDATES = 8


class RelayEndpoint(NamedTuple):
    """Where a router passes documents on, and the rate of its VM's link."""

    host: str = ""
    link_bytes_per_s: float = 0.0


NO_RELAY = RelayEndpoint()


class ReadRedirector:
    """Where the reads of one replica go.

    `link_bytes_per_s` is the rate of its own link; routers pass documents on at `port`.
    """

    def __init__(self, link_bytes_per_s: float, port: int, random: Random) -> None:
        self.port = port
        self._link_bytes_per_s = link_bytes_per_s
        self._random = random

    def choose(self, document_bytes: int, places: Sequence[RelayEndpoint]) -> RelayEndpoint | None:
        """Return a router to read at, or `None` where it is as well read here.

        Of `places` those that were heard last stand first.
        """
        if document_bytes <= self._link_bytes_per_s * LOCAL_READ_S:
            return None
        wider = [place for place in places if place.link_bytes_per_s > self._link_bytes_per_s]
        if not wider:
            return None
        heard_last = wider[: min(MAX_CANDIDATES, math.ceil(len(wider) / 2))]
        return self._random.choice(heard_last)
