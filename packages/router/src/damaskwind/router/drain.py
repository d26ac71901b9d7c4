"""Drain a router before it stops, following the state chart in `drain.toml`."""

from pathlib import Path
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from damaskwind.model.statechart import load_chart, start_machine
from damaskwind.router.caller_site import CallerSite

__all__ = ["Drain"]

_CHART = Path(__file__).with_name("drain.toml")


class Drain:
    """Drain one listener. `stopped` fires when no connection is left."""

    def __init__(
        self,
        site: CallerSite,
        port: Any,
        clock: Any,
        delay_s: float,
        limit_s: float,
    ) -> None:
        self._site = site
        self._port = port
        self._clock = clock
        self._delay_s = delay_s
        self._limit_s = limit_s
        self._timer: Any = None
        self._machine = start_machine(load_chart(_CHART), self)
        self.stopped: Deferred = Deferred()

    @property
    def state(self) -> str:
        """Return the state of the drain."""
        return self._machine.state

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send new requests."""
        return self._machine.state == "serving"

    def stop(self) -> Deferred:
        """Start to drain; a second call has no effect."""
        self._machine.feed("stop")
        return self.stopped

    def fail_readiness(self) -> None:
        """End keep-alive, so that each answer from now on closes its connection."""
        self._site.end_keep_alive()

    def start_delay(self) -> None:
        """Wait until the balancer has had time to notice the failing readiness check."""
        self._clock.callLater(self._delay_s, self._machine.feed, "delay_over")

    def close_listener(self) -> None:
        """Stop accepting connections and close those without a request."""
        self._port.stopListening()
        self._site.close_idle()

    def start_limit(self) -> None:
        """Start the time limit for requests in progress."""
        self._timer = self._clock.callLater(self._limit_s, self._machine.feed, "limit_over")

    def watch_requests(self) -> None:
        """Wait until no connection is left: each closes after the answer in progress."""
        self._site.when_empty(lambda: self._machine.feed("idle"))

    def cut_rest(self) -> None:
        """Abort the connections that are still open at the time limit."""
        logger.warning("drain limit reached", connections_cut=len(self._site.channels))
        self._site.close_all()

    def release(self) -> None:
        """Report that the drain has ended."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.stopped.callback(None)
