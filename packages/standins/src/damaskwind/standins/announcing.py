"""Announce a target to one router after the other, as the balancer would."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import xxhash
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from damaskwind.model.targets import Address, LoadReport, TargetAnnouncement, TargetState
from damaskwind.runtime.settings import parse_address
from damaskwind.standins.settings import AnnounceSettings, EngineSettings, ServiceSettings

__all__ = ["Announcer", "announced_address", "announcement_body"]

_POST_TIMEOUT_S = 1.0
_POLL_S = 0.02
_PATH = "/targets/v1/announcements"


def announcement_body(announcement: TargetAnnouncement) -> dict[str, Any]:
    """Return an announcement as the table that goes onto the wire."""
    body = announcement._asdict()
    body["address"] = announcement.address._asdict()
    body["load"] = announcement.load._asdict()
    body["models"] = [offer._asdict() for offer in announcement.models]
    return body


def announced_address(settings: EngineSettings | ServiceSettings, bound: Address) -> Address:
    """Return the address that a target gives to routers."""
    text = settings.announced_address
    return parse_address(text) if text else bound


class Announcer:
    """Post a target's announcement at intervals, while it is told to.

    It announces at `interval_s`, or later when the router that took the last
    one asks for that. `routers` may change at any time. Targets begin at
    different routers, drawn from their id, as a balancer would spread them. A
    post that fails goes on to the next router at once, until each had its turn.
    """

    def __init__(
        self,
        reactor: Any,
        settings: AnnounceSettings,
        template: TargetAnnouncement,
        read_load: Callable[[], LoadReport],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._template = template
        self._read_load = read_load
        self._next_router_index = xxhash.xxh3_64_intdigest(template.target_id.encode())
        self._timer: Any = None
        self._sequence = 0
        self._is_posting = False
        self._needs_repost = False
        self._next_wait_s = settings.interval_s
        self._is_active = False
        self.incarnation = settings.incarnation or time.time_ns() // 1_000_000
        self.routers: list[str] = list(settings.routers)
        self.state = TargetState.SERVING
        self.models = template.models
        self.accepted_count = 0
        self.accepted_state: TargetState | None = None
        self.leaving_accepted_s: float | None = None
        agent = Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False))
        self._client = HTTPClient(agent)

    def start(self, address: Address) -> None:
        """Begin to announce the target at `address`."""
        self._template = self._template._replace(address=address)
        self._is_active = True
        self.announce_now()

    def stop(self) -> None:
        """Announce no more; nothing is said about it, as in a crash."""
        self._is_active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def restart(self, address: Address) -> None:
        """Begin again as the next incarnation."""
        self.incarnation += 1
        self._sequence = 0
        self.leaving_accepted_s = None
        self.state = TargetState.SERVING
        self.start(address)

    async def wait_until_leaving_accepted(self) -> None:
        """Wait until a router has taken the announcement of the leave."""
        while self.accepted_state is not TargetState.LEAVING:
            await asyncio.sleep(_POLL_S)

    def announce_now(self) -> None:
        """Announce at once and go on from there."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._is_active:
            return
        if self._is_posting:
            self._needs_repost = True
            return
        self._is_posting = True
        self._post_round_robin().addBoth(self._schedule_next)

    def _schedule_next(self, result: Any) -> None:
        """Plan the next announcement."""
        self._is_posting = False
        if not self._is_active:
            return
        if self._needs_repost:
            self._needs_repost = False
            self.announce_now()
            return
        self._timer = self._reactor.callLater(self._next_wait_s, self._on_timer)

    def _on_timer(self) -> None:
        """Announce because the interval has passed."""
        self._timer = None
        self.announce_now()

    def next_announcement(self) -> TargetAnnouncement:
        """Return the announcement that is due, with the next sequence number."""
        self._sequence += 1
        return self._template._replace(
            incarnation=self.incarnation,
            sequence=self._sequence,
            state=self.state,
            load=self._read_load(),
            models=self.models,
        )

    @inlineCallbacks
    def _post_round_robin(self) -> Deferred:
        """Post to the next router, and past it while routers do not take it."""
        for _ in range(len(self.routers)):
            if not self._is_active or not self.routers:
                return
            router = self.routers[self._next_router_index % len(self.routers)]
            self._next_router_index += 1
            try:
                announcement = self.next_announcement()
                is_accepted = yield self._post(router, announcement)
            except Exception:
                # Whatever went wrong, the balancer would give another router.
                continue
            if is_accepted:
                self.accepted_count += 1
                self.accepted_state = announcement.state
                if self.accepted_state is TargetState.LEAVING and self.leaving_accepted_s is None:
                    self.leaving_accepted_s = self._reactor.seconds()
                return

    @inlineCallbacks
    def _post(self, router: str, announcement: TargetAnnouncement) -> Deferred:
        """Post one announcement; return whether it was taken."""
        body = json.dumps(announcement_body(announcement)).encode()
        response = yield self._client.post(
            f"http://{router}{_PATH}",
            data=body,
            headers={
                "authorization": f"Bearer {self._settings.key}",
                "content-type": "application/json",
            },
            timeout=_POST_TIMEOUT_S,
            reactor=self._reactor,
        )
        answer = yield response.content()
        if response.code != 200:
            return False
        requested_s = float(json.loads(answer)["next_announcement_s"])
        self._next_wait_s = max(self._settings.interval_s, requested_s)
        return True
