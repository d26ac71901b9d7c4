"""Agree by gossip on which routers and targets there are.

The core takes announcements, decoded messages and ticks, and returns what to
send and what happened. It keeps no socket, no clock and no budget: the caller
passes `now_s` and how many bytes the pacer would let go.
"""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

from damaskwind.decisions.membership.announcing import AnnouncementPace
from damaskwind.decisions.membership.damping import FlapDamper
from damaskwind.decisions.membership.digests import DigestTable, unpack_keys
from damaskwind.decisions.membership.gossip import Gossip
from damaskwind.decisions.membership.messages import (
    Ack,
    Compare,
    GoneReason,
    IndirectProbe,
    Message,
    News,
    Probe,
    RouterRecord,
    RouterState,
    Sketch,
    TargetRecord,
    Tombstone,
)
from damaskwind.decisions.membership.outputs import (
    AnnouncementOutcome,
    Event,
    LoadHeard,
    Output,
    RevisionHeard,
    RouterGone,
    RouterJoined,
    Send,
    SpillHeard,
    TargetChanged,
    TargetGone,
)
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.prober import Prober
from damaskwind.decisions.membership.repair import Repair
from damaskwind.decisions.membership.routers import RouterChange, RouterTable
from damaskwind.decisions.membership.rumours import news_of
from damaskwind.decisions.membership.sizes import RECORD_LIMIT_BYTES, estimate_bytes
from damaskwind.decisions.membership.targets import MergeOutcome, TargetTable
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.decisions.placement.messages import SpillNote
from damaskwind.model.targets import (
    Address,
    LoadReport,
    TargetAnnouncement,
    TargetState,
    TargetView,
)

__all__ = ["MembershipCore"]

_ALWAYS_ROOM = 1 << 30
_UPKEEP_S = 60.0
_LEAVING_STATES = (TargetState.LEAVING, TargetState.LAPSED)
_NEWS_OUTCOMES = (MergeOutcome.NEW, MergeOutcome.CHANGED)

_STATE_URGENCY = {
    RouterState.ALIVE: Urgency.JOIN,
    RouterState.SUSPECT: Urgency.PROBE,
    RouterState.DEAD: Urgency.JOIN,
    RouterState.LEFT: Urgency.LEAVE,
}
_Handler = Callable[["MembershipCore", RouterRecord | None, Address, Any, float], None]
_HANDLERS: dict[type, _Handler] = {}


def _handles(kind: type) -> Callable[[_Handler], _Handler]:
    """Register the handler of a kind of message."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class MembershipCore:
    """One router's part in the gossip."""

    def __init__(
        self,
        me: RouterRecord,
        seeds: tuple[Address, ...],
        random: Random,
        now_s: float,
        parameters: MembershipParameters | None = None,
    ) -> None:
        self.parameters = parameters or MembershipParameters()
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.suspicions = 0
        self.now_s = now_s
        digests = DigestTable()
        self.router_table = RouterTable(me, digests)
        self.target_table = TargetTable(me.failure_domain, digests)
        self._damper = FlapDamper()
        first_delay_s = random.random() * self.parameters.round_s
        self._prober = Prober(self.parameters.round_s, now_s, first_delay_s)
        self._repair = Repair(
            self.router_table,
            self.target_table,
            digests,
            self.parameters.news_bytes,
            random,
        )
        self._gossip = Gossip(
            self.parameters,
            self.router_table,
            self.target_table,
            self._repair,
            self._prober,
            random,
        )
        self._announcements = AnnouncementPace(
            self.parameters.announcement_share * self.parameters.control_bytes_per_s,
            now_s,
        )
        self._revisions: dict[str, int] = {}
        self._spills_seen: dict[SpillNote, float] = {}
        self._next_upkeep_s = now_s + _UPKEEP_S
        self._sends: list[Send] = []
        self._events: list[Event] = []
        self._left = False

    # What the process tells

    def announce(
        self, announcement: TargetAnnouncement, now_s: float
    ) -> tuple[AnnouncementOutcome, Output]:
        """Take a target's announcement."""
        self._advance(now_s)
        self._announcements.heard(self.now_s)
        target_id = announcement.target_id
        if announcement.state in _LEAVING_STATES:
            tombstone = self.target_table.announce_leave(announcement, self.now_s)
            if tombstone is not None:
                self._pass_on_leave(tombstone)
            accepted = tombstone is not None
        elif estimate_bytes(announcement) > RECORD_LIMIT_BYTES:
            known = self.target_table.known_incarnation(target_id)
            return AnnouncementOutcome(False, known, too_large=True), self._output()
        else:
            returns = self._returns(target_id, announcement.incarnation)
            outcome = self.target_table.announce(announcement, self.now_s)
            accepted = outcome not in (MergeOutcome.STALE, MergeOutcome.TOMBSTONED)
            self._after_target(target_id, outcome, returns, pass_on=True)
        known = self.target_table.known_incarnation(target_id)
        return AnnouncementOutcome(accepted, known), self._output()

    def next_announcement_s(self, lease_s: float) -> float:
        """Return when a target should announce itself again.

        See `AnnouncementPace`.
        """
        return self._announcements.next_s(lease_s, self._near_targets_per_router(), self.now_s)

    def _near_targets_per_router(self) -> float:
        """Return how many targets of the own domain there are for each router."""
        domain = self.router_table.me.failure_domain
        targets = sum(
            held.record.failure_domain == domain for held in self.target_table.held.values()
        )
        routers = max(len(self.router_table.ring(domain)), 1)
        return targets / routers

    def observe_load(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take a load that came with an engine's answer."""
        self._advance(now_s)
        self.target_table.observe(target_id, report, self.now_s)

    def publish_revision(self, revision: int) -> None:
        """Tell peers with the next probes which revision is in force here."""
        self._gossip.revision = max(revision, self._gossip.revision)

    def publish_spills(self, notes: Iterable[SpillNote], now_s: float) -> None:
        """Pass spill notes to the routers of this failure domain."""
        self._advance(now_s)
        for note in notes:
            self._spills_seen[note] = self.now_s
            self._gossip.rumours.add(note, Urgency.ROUTINE, self.now_s, flood=False)

    def leave(self, now_s: float) -> Output:
        """Say good-bye; the core sends nothing afterwards."""
        self._advance(now_s)
        peers = self._gossip.flood_peers()
        news = news_of([self.router_table.leave(self.now_s)])
        for router_id in peers:
            self._send_to(router_id, news, Urgency.LEAVE)
        self._left = True
        return self._output()

    # Messages and time

    def receive(
        self,
        sender_id: str,
        sender_incarnation: int,
        source: Address,
        message: Message,
        now_s: float,
        room_bytes: int = _ALWAYS_ROOM,
    ) -> Output:
        """Take an authenticated message from another router."""
        self._advance(now_s)
        handler = _HANDLERS.get(type(message))
        if self._left or handler is None or sender_id == self.router_table.me.router_id:
            return self._output()
        self._gossip.room_bytes = room_bytes
        sender = self._live_sender(sender_id, sender_incarnation)
        handler(self, sender, source, message, self.now_s)
        return self._output()

    def tick(self, now_s: float, room_bytes: int = _ALWAYS_ROOM) -> Output:
        """Do what time asks for; call it about ten times a second."""
        self._advance(now_s)
        if self._left:
            return self._output()
        self._gossip.room_bytes = room_bytes
        self._check_probes()
        for tombstone in self.target_table.lapse(self.now_s):
            self._events.append(TargetGone(tombstone.target_id, GoneReason.LAPSED))
        for target_id in self._damper.release(self.now_s):
            self._tell_target(target_id)
        if self._prober.start_round(self.now_s):
            per_router = self._near_targets_per_router()
            self.target_table.lease_floor_s = self._announcements.lease_floor_s(per_router)
            self._sends += self._gossip.round(self.seeds, self.now_s)
        self._sends += self._gossip.flood(self.now_s)
        self._upkeep()
        return self._output()

    def dropped(self, send: Send) -> None:
        """Hear from the pacer that a send never left."""
        if isinstance(send.message, Probe):
            self._prober.cancel(send.message.nonce)

    def routers(self) -> list[RouterRecord]:
        """Return the routers held alive, this one among them."""
        return self.router_table.live()

    def targets(self, now_s: float) -> list[TargetView]:
        """Return the targets that may take work."""
        self._advance(now_s)
        return [
            self.target_table.view(target_id, self.now_s)
            for target_id in self.target_table.held
            if not self._damper.suppressed(target_id, self.now_s)
        ]

    # Inside

    def _advance(self, now_s: float) -> None:
        """Move the clock; one that goes back stands still instead."""
        self.now_s = max(self.now_s, now_s)

    def _output(self) -> Output:
        """Return what was gathered and start anew."""
        output = Output(self._sends, self._events)
        self._sends, self._events = [], []
        return output

    def _send_to(self, router_id: str, message: Message, urgency: Urgency) -> None:
        """Send to a router by its record."""
        record = self.router_table.get(router_id)
        if record is not None:
            self._sends.append(Send(router_id, record.address, message, urgency))

    def _live_sender(self, sender_id: str, incarnation: int) -> RouterRecord | None:
        """Return the sender's record, raised to the incarnation it shows itself."""
        record = self.router_table.get(sender_id)
        if record is not None and incarnation > record.incarnation:
            raised = record._replace(incarnation=incarnation, state=RouterState.ALIVE)
            self._merge_router(raised, pass_on=True)
        return self.router_table.get(sender_id)

    def _check_probes(self) -> None:
        """Ask others about late probes, suspect failed ones, give up old suspects."""
        parameters = self.parameters
        for nonce, router_id in self._prober.late(parameters.probe_timeout_s, self.now_s):
            self._sends += self._gossip.ask_others(nonce, router_id)
        for router_id in self._prober.failed(parameters.indirect_timeout_s, self.now_s):
            record = self.router_table.get(router_id)
            if record is not None and record.state == RouterState.ALIVE:
                self.suspicions += 1
                self._merge_router(record._replace(state=RouterState.SUSPECT), pass_on=True)
        for record in self.router_table.suspects_since(self.now_s - parameters.suspicion_s):
            self._merge_router(record._replace(state=RouterState.DEAD), pass_on=True)

    def _upkeep(self) -> None:
        """Forget what has served its time."""
        if self.now_s < self._next_upkeep_s:
            return
        self._next_upkeep_s = self.now_s + _UPKEEP_S
        self.target_table.tombstones.expire(self.now_s)
        self.router_table.forget(self.now_s)
        for note in [n for n, seen_s in self._spills_seen.items() if self.now_s - seen_s > 60.0]:
            del self._spills_seen[note]

    def _returns(self, target_id: str, incarnation: int) -> bool:
        """Tell whether a record of this incarnation would bring a target back."""
        known = self.target_table.known_incarnation(target_id)
        gone = target_id not in self.target_table.held
        return known >= 0 and (gone or incarnation > known)

    def _after_target(
        self, target_id: str, outcome: MergeOutcome, returns: bool, pass_on: bool
    ) -> None:
        """Tell of a merged target and pass it on."""
        if outcome not in _NEWS_OUTCOMES:
            return
        if outcome == MergeOutcome.NEW and returns:
            self._damper.note_return(target_id, self.now_s)
        self._tell_target(target_id)
        record = self.target_table.record(target_id, self.now_s)
        if pass_on and record is not None:
            self._gossip.rumours.add(record, Urgency.JOIN, self.now_s)

    def _tell_target(self, target_id: str) -> None:
        """Tell how a target stands, unless it is gone or held back."""
        if target_id not in self.target_table.held:
            return
        if not self._damper.suppressed(target_id, self.now_s):
            self._events.append(TargetChanged(self.target_table.view(target_id, self.now_s)))

    def _pass_on_leave(self, tombstone: Tombstone) -> None:
        """Tell that a target left and flood it."""
        self._events.append(TargetGone(tombstone.target_id, tombstone.reason))
        self._gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def _merge_router(self, record: RouterRecord, pass_on: bool) -> None:
        """Merge a router's record; refute it when it speaks ill of this one."""
        me = self.router_table.me
        if record.router_id == me.router_id:
            if (record.incarnation, record.state) > (me.incarnation, RouterState.ALIVE):
                raised = self.router_table.refute(record.incarnation, self.now_s)
                self._gossip.rumours.add(raised, Urgency.JOIN, self.now_s)
            return
        change = self.router_table.merge(record, self.now_s)
        if change is None:
            self._gossip.rumours.heard(record)
            return
        self._tell_router(change)
        if pass_on:
            flood = record.state != RouterState.SUSPECT
            self._gossip.rumours.add(record, _STATE_URGENCY[record.state], self.now_s, flood)
        if record.state in (RouterState.SUSPECT, RouterState.DEAD):
            # It may only be out of reach of others: let it refute at once.
            self._send_to(record.router_id, news_of([record]), Urgency.PROBE)

    def _tell_router(self, change: RouterChange) -> None:
        """Tell of a router that came, moved or went."""
        before, after = change
        moved = before is not None and before.peer_address != after.peer_address
        if change.joined or moved:
            self._events.append(RouterJoined(after))
        if change.gone:
            self._events.append(RouterGone(after))
        if change.gone or (before is not None and before.incarnation != after.incarnation):
            self._revisions.pop(after.router_id, None)
            self._gossip.introduced.discard(after.router_id)

    def _merge_target(self, record: TargetRecord, pass_on: bool) -> Tombstone | None:
        """Merge a target's record; return the tombstone that stops it, if one does."""
        returns = self._returns(record.target_id, record.incarnation)
        outcome = self.target_table.merge(record, self.now_s)
        if outcome == MergeOutcome.TOMBSTONED:
            tombstone = self.target_table.tombstones.get(record.target_id, self.now_s)
            near = record.failure_domain == self.router_table.me.failure_domain
            return None if near and tombstone.reason == GoneReason.LAPSED else tombstone
        if outcome in (MergeOutcome.KNOWN, MergeOutcome.RENEWED):
            self._gossip.rumours.heard(record)
        self._after_target(record.target_id, outcome, returns, pass_on)
        return None

    def _merge_tombstone(self, tombstone: Tombstone, pass_on: bool) -> None:
        """Merge the tombstone of a target."""
        lived = tombstone.target_id in self.target_table.held
        if not self.target_table.bury(tombstone, self.now_s):
            self._gossip.rumours.heard(tombstone)
            return
        if lived:
            self._events.append(TargetGone(tombstone.target_id, tombstone.reason))
        if pass_on:
            self._gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def _merge_news(self, news: News | None, answer: Callable[[Message], None]) -> None:
        """Merge records and answer what is wanted or out of date."""
        if news is None:
            return
        pass_on = not news.repair
        for router in news.routers:
            self._merge_router(router, pass_on)
        for tombstone in news.tombstones:
            self._merge_tombstone(tombstone, pass_on)
        stopping = [self._merge_target(record, pass_on) for record in news.targets]
        stopping = [tombstone for tombstone in stopping if tombstone is not None]
        if stopping:
            answer(News(tombstones=tuple(stopping), repair=True))
        if news.wanted:
            records = self._repair.records(news.wanted, self.now_s)
            if records is not None:
                answer(records)
        self._merge_spills(news.spills)

    def _merge_spills(self, notes: tuple[SpillNote, ...]) -> None:
        """Tell of spill notes not seen before and pass them on."""
        fresh = tuple(note for note in notes if note not in self._spills_seen)
        for note in fresh:
            self._spills_seen[note] = self.now_s
            self._gossip.rumours.add(note, Urgency.ROUTINE, self.now_s, flood=False)
        if fresh:
            self._events.append(SpillHeard(fresh))

    def _merge_loads(self, loads: bytes) -> None:
        """Merge a load vector and tell of each fresher load."""
        for target_id in self.target_table.merge_loads(loads, self.now_s):
            report = self.target_table.load_report(target_id, self.now_s)
            self._events.append(LoadHeard(target_id, report))

    def _hear_revision(self, sender: RouterRecord | None, revision: int) -> None:
        """Tell of a router's configuration revision when it is new."""
        if sender is not None and self._revisions.get(sender.router_id) != revision:
            self._revisions[sender.router_id] = revision
            self._events.append(RevisionHeard(sender.router_id, sender.peer_address, revision))

    def _answer(self, router_id: str, source: Address, urgency: Urgency, message: Message) -> None:
        """Answer a router, by its record if there is one."""
        record = self.router_table.get(router_id)
        address = record.address if record else source
        self._sends.append(Send(router_id, address, message, urgency))

    def _repair_with(self, sender: RouterRecord | None, source: Address) -> Callable:
        """Return a function that answers a router with repairs."""
        return partial(self._answer, sender.router_id if sender else "", source, Urgency.REPAIR)


@_handles(Probe)
def _on_probe(
    core: MembershipCore, sender: RouterRecord | None, source: Address, probe: Probe, now_s: float
) -> None:
    """Answer a probe."""
    knew = sender is not None
    if probe.sender is not None:
        core._merge_router(probe.sender, pass_on=True)
        sender = core.router_table.get(probe.sender.router_id)
        knew = True
    near = sender is not None and sender.failure_domain == core.router_table.me.failure_domain
    if near:
        core._prober.hear_round(probe.nonce, now_s)
    core._hear_revision(sender, probe.revision)
    core._merge_loads(probe.loads)
    answer = core._repair_with(sender, source)
    core._merge_news(probe.news, answer)
    for key in unpack_keys(probe.overdue):
        core.target_table.refresh_by_key(key)
    ack = core._gossip.ack(probe, sender, knew, now_s)
    core._answer(sender.router_id if sender else "", source, Urgency.PROBE, ack)
    _check_summaries(core, probe.summaries, answer, now_s)


@_handles(Ack)
def _on_ack(
    core: MembershipCore, sender: RouterRecord | None, source: Address, ack: Ack, now_s: float
) -> None:
    """Take the answer to a probe, or pass it on to whom it was asked for."""
    if ack.sender is not None:
        core._merge_router(ack.sender, pass_on=True)
        sender = core.router_table.get(ack.sender.router_id)
    forward = core._prober.forwarded(ack.nonce)
    if forward is not None:
        core._send_to(forward[0], Ack(forward[1], core._gossip.revision), Urgency.PROBE)
    probe = core._prober.answered(ack.nonce)
    direct = probe is not None and sender is not None and probe.router_id == sender.router_id
    if direct and ack.sender is None:
        core._gossip.introduced.add(sender.router_id)
    core._hear_revision(sender, ack.revision)
    core._merge_loads(ack.loads)
    answer = core._repair_with(sender, source)
    core._merge_news(ack.news, answer)
    _check_summaries(core, ack.summaries, answer, now_s)


@_handles(IndirectProbe)
def _on_indirect(
    core: MembershipCore,
    sender: RouterRecord | None,
    source: Address,
    asked: IndirectProbe,
    now_s: float,
) -> None:
    """Probe a router for another one."""
    record = core.router_table.get(asked.router_id)
    if sender is None or record is None:
        return
    nonce = core._prober.side_nonce()
    core._prober.forward(nonce, sender.router_id, asked.nonce, now_s)
    core._sends.append(core._gossip.bare_probe(nonce, record))


@_handles(Compare)
def _on_compare(
    core: MembershipCore, sender: RouterRecord | None, source: Address, asked: Compare, now_s: float
) -> None:
    """Answer a comparison with a sketch."""
    sketch = core._repair.sketch(asked, now_s)
    if sketch is not None:
        core._repair_with(sender, source)(sketch)


@_handles(Sketch)
def _on_sketch(
    core: MembershipCore, sender: RouterRecord | None, source: Address, sketch: Sketch, now_s: float
) -> None:
    """Answer a sketch with what levels the two."""
    news = core._repair.level(sketch, now_s)
    if news is not None:
        core._repair_with(sender, source)(news)


@_handles(News)
def _on_news(
    core: MembershipCore, sender: RouterRecord | None, source: Address, news: News, now_s: float
) -> None:
    """Merge news."""
    core._merge_news(news, core._repair_with(sender, source))


def _check_summaries(
    core: MembershipCore, summaries: tuple, answer: Callable[[Message], None], now_s: float
) -> None:
    """Compare digests with a peer's and ask about those that differ."""
    for summary in summaries:
        compare = core._repair.check(summary, now_s)
        if compare is not None:
            answer(compare)
