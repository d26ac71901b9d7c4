"""Announce a target to the routers in turn, as through a load balancer."""

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
    """Return the JSON table of an announcement."""
    body = announcement._asdict()
    body["address"] = announcement.address._asdict()
    body["load"] = announcement.load._asdict()
    body["models"] = [offer._asdict() for offer in announcement.models]
    return body


def announced_address(settings: EngineSettings | ServiceSettings, bound: Address) -> Address:
    """Return the address that a target announces; `bound` is where it listens."""
    text = settings.announced_address
    return parse_address(text) if text else bound


class Announcer:
    """Post a target's announcement periodically, from `start` until `stop`.

    The interval is `interval_s`, or longer if the router that accepted the last
    announcement requests that. `routers` may change at any time. The first router is
    chosen by a hash of the target's id, which spreads targets as a load balancer does.
    If a router does not accept a post, the next router is tried at once, each router
    at most once.
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
        """Start to announce the target at `address`."""
        self._template = self._template._replace(address=address)
        self._is_active = True
        self.announce_now()

    def stop(self) -> None:
        """Stop announcing without a notice, as in a crash."""
        self._is_active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def restart(self, address: Address) -> None:
        """Start to announce the next incarnation."""
        self.incarnation += 1
        self._sequence = 0
        self.leaving_accepted_s = None
        self.state = TargetState.SERVING
        self.start(address)

    async def wait_until_leaving_accepted(self) -> None:
        """Wait until a router has accepted an announcement with the state LEAVING."""
        while self.accepted_state is not TargetState.LEAVING:
            await asyncio.sleep(_POLL_S)

    def announce_now(self) -> None:
        """Announce at once, or right after the post in progress, and restart the interval."""
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
        """Schedule the next announcement after a post."""
        self._is_posting = False
        if not self._is_active:
            return
        if self._needs_repost:
            self._needs_repost = False
            self.announce_now()
            return
        self._timer = self._reactor.callLater(self._next_wait_s, self._on_timer)

    def _on_timer(self) -> None:
        """Announce at the end of the interval."""
        self._timer = None
        self.announce_now()

    def next_announcement(self) -> TargetAnnouncement:
        """Return the current announcement, with the next sequence number."""
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
        """Post to the routers in turn until one accepts the announcement."""
        for _ in range(len(self.routers)):
            if not self._is_active or not self.routers:
                return
            router = self.routers[self._next_router_index % len(self.routers)]
            self._next_router_index += 1
            try:
                announcement = self.next_announcement()
                is_accepted = yield self._post(router, announcement)
            except Exception:
                # On any failure, a load balancer would choose another router.
                continue
            if is_accepted:
                self.accepted_count += 1
                self.accepted_state = announcement.state
                if self.accepted_state is TargetState.LEAVING and self.leaving_accepted_s is None:
                    self.leaving_accepted_s = self._reactor.seconds()
                return

    @inlineCallbacks
    def _post(self, router: str, announcement: TargetAnnouncement) -> Deferred:
        """Post one announcement; return whether the router accepted it."""
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
