"""Print how soon a configuration is in force everywhere while one of its sources stands still.

The fleet is that of the tests of narrow links: replicas and routers in one process, on a clock that
doesn't advance while the process waits for a processor. The first replica, or the first router,
that is asked for the document sends nothing for 5 s from that moment on. In the last case all
replicas are sound, and answer requests for documents after 1.2 s.

    python -m benchmarks.frozen_sources
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from damaskwind.platform.tests.narrow_fleet import (
    NarrowFleet,
    large_configuration,
    run_on_narrow_links,
)
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.wire.news import DOCUMENT_PATH

FREEZE_S = 5.0
SLOW_ANSWER_S = 1.2
BYTES_PER_MEGABIT = 125_000
FAULTS = ("none", "replica", "router", "slow replicas")

Handler = Callable[[Exchange], Awaitable[None]]


class Shape(NamedTuple):
    """The size of a fleet, and of the configuration that it gets."""

    replicas: int
    routers: int
    megabits: float
    routes: int


SHAPES = (
    Shape(3, 3, 6, 200),
    Shape(3, 15, 6, 900),
    Shape(3, 65, 6, 900),
    Shape(5, 195, 4.2, 1_600),
    Shape(6, 300, 6, 1_600),
)


class _DocumentCalls:
    """Counts the requests for documents by kind of host, and causes the fault."""

    def __init__(self, fault: str) -> None:
        self.asked: Counter[str] = Counter()
        self._fault = fault
        self._has_frozen = False

    def watch(self, kind: str, host: str, handler: Handler) -> Handler:
        """Return the handler of a host's internal address with the fault built in."""

        async def handle(exchange: Exchange) -> None:
            if exchange.request.target == DOCUMENT_PATH:
                self.asked[kind] += 1
                if kind == self._fault and not self._has_frozen:
                    self._has_frozen = True
                    asyncio.get_running_loop().links[host].hold(FREEZE_S)
                if kind == "replica" and self._fault == "slow replicas":
                    await asyncio.sleep(SLOW_ANSWER_S)
            await handler(exchange)

        return handle

    def attach(self, fleet: NarrowFleet) -> None:
        """Watch the internal addresses of all replicas and routers."""
        for host, replica in fleet.replicas.items():
            replica._news.handler = self.watch("replica", host, replica._news.handler)
        for view in fleet.views:
            server = view.relay._server
            server.handler = self.watch("router", view._own_host, server.handler)


def _row(shape: Shape, fault: str) -> str:
    """Play one case and return its row."""
    calls = _DocumentCalls(fault)

    async def scenario(fleet: NarrowFleet) -> tuple[float, ...]:
        calls.attach(fleet)
        return (await fleet.publish_timed(large_configuration(2, shape.routes))).routers_s

    routers_s = sorted(
        run_on_narrow_links(
            lambda: NarrowFleet(shape.replicas, shape.routers),
            scenario,
            shape.megabits * BYTES_PER_MEGABIT,
        )
    )
    figures = (routers_s[len(routers_s) // 2], routers_s[int(0.99 * len(routers_s))], routers_s[-1])
    asked = (calls.asked["replica"], calls.asked["router"])
    return (
        f"  {fault:14}" + "".join(f"{item:8.2f}" for item in figures) + f"{asked[0]:8}{asked[1]:8}"
    )


def main() -> None:
    """Print a table for each shape."""
    logger.remove()
    print("seconds until in force: p50, p99, highest; requests for documents at replicas, routers")
    for shape in SHAPES:
        print(shape)
        for fault in FAULTS:
            print(_row(shape, fault), flush=True)


if __name__ == "__main__":
    main()
