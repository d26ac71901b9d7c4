"""What one router knows, and how records that it hears are merged into it.

Every merge gathers the datagrams to send and the events to tell, until
`take_output` hands them over.
"""

from collections.abc import Callable
from functools import partial
from random import Random

from damaskwind.decisions.membership.damping import FlapDamper
from damaskwind.decisions.membership.digests import DigestTable
from damaskwind.decisions.membership.gossip import Gossip
from damaskwind.decisions.membership.messages import (
    GoneReason,
    Message,
    News,
    RouterRecord,
    RouterState,
    TargetRecord,
    Tombstone,
)
from damaskwind.decisions.membership.outputs import (
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
from damaskwind.decisions.membership.rumours import Item, group_updates
from damaskwind.decisions.membership.spill_gossip import note_key
from damaskwind.decisions.membership.targets import MergeOutcome, TargetTable
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.targets import Address

__all__ = ["MembershipState"]

_UPDATE_OUTCOMES = (MergeOutcome.NEW, MergeOutcome.CHANGED)
_STATE_URGENCY = {
    RouterState.ALIVE: Urgency.JOIN,
    RouterState.SUSPECT: Urgency.PROBE,
    RouterState.DEAD: Urgency.JOIN,
    RouterState.LEFT: Urgency.LEAVE,
}


class MembershipState:
    """The tables of one router and what merges into them."""

    def __init__(
        self,
        own_record: RouterRecord,
        random: Random,
        now_s: float,
        parameters: MembershipParameters,
        near_domains: frozenset[str] = frozenset(),
    ) -> None:
        self.now_s = now_s
        digests = DigestTable()
        self.routers = RouterTable(own_record, digests)
        self.targets = TargetTable(own_record.failure_domain, digests)
        self.damper = FlapDamper()
        first_delay_s = random.random() * parameters.round_s
        self.prober = Prober(parameters.round_s, now_s, first_delay_s)
        self.repair = Repair(self.routers, self.targets, digests, parameters.updates_bytes, random)
        self.gossip = Gossip(
            parameters,
            self.routers,
            self.targets,
            self.repair,
            self.prober,
            random,
            near_domains | {own_record.failure_domain},
        )
        self.sends: list[Send] = []
        self.events: list[Event] = []
        self.sender_is_local = False
        self._revisions: dict[str, int] = {}

    def advance(self, now_s: float) -> None:
        """Move the clock; one that goes back stands still instead."""
        self.now_s = max(self.now_s, now_s)

    def take_output(self) -> Output:
        """Return what was gathered and start anew."""
        output = Output(self.sends, self.events)
        self.sends, self.events = [], []
        return output

    def send_to(self, router_id: str, message: Message, urgency: Urgency) -> None:
        """Send to a router by its record."""
        record = self.routers.get(router_id)
        if record is not None:
            self.sends.append(Send(router_id, record.address, message, urgency))

    def sender_record(self, sender_id: str, incarnation: int) -> RouterRecord | None:
        """Return the sender's record, raised to the incarnation it shows itself."""
        record = self.routers.get(sender_id)
        if record is not None and incarnation > record.incarnation:
            raised = record._replace(incarnation=incarnation, state=RouterState.ALIVE)
            self.merge_router(raised, forward=True)
        return self.routers.get(sender_id)

    def would_return(self, target_id: str, incarnation: int) -> bool:
        """Tell whether a record of this incarnation would bring a target back."""
        known = self.targets.known_incarnation(target_id)
        gone = target_id not in self.targets.live
        return known >= 0 and (gone or incarnation > known)

    def publish_target(
        self, target_id: str, outcome: MergeOutcome, returns: bool, forward: bool
    ) -> None:
        """Tell of a merged target and pass it on."""
        if outcome not in _UPDATE_OUTCOMES:
            return
        if outcome == MergeOutcome.NEW and returns:
            self.damper.record_return(target_id, self.now_s)
        self.emit_target_changed(target_id)
        record = self.targets.record(target_id, self.now_s)
        if forward and record is not None:
            self.gossip.rumours.add(record, Urgency.JOIN, self.now_s)

    def emit_target_changed(self, target_id: str) -> None:
        """Tell how a target stands, unless it is gone or held back."""
        if target_id not in self.targets.live:
            return
        if not self.damper.is_suppressed(target_id, self.now_s):
            self.events.append(TargetChanged(self.targets.view(target_id, self.now_s)))

    def publish_leave(self, tombstone: Tombstone) -> None:
        """Tell that a target left and flood it."""
        self.events.append(TargetGone(tombstone.target_id, tombstone.reason))
        self.gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def merge_router(self, record: RouterRecord, forward: bool) -> None:
        """Merge a router's record; refute it when it speaks ill of this one."""
        me = self.routers.own_record
        if record.router_id == me.router_id:
            if (record.incarnation, record.state) > (me.incarnation, RouterState.ALIVE):
                raised = self.routers.refute(record.incarnation, self.now_s)
                self.gossip.rumours.add(raised, Urgency.JOIN, self.now_s)
            return
        change = self.routers.merge(record, self.now_s)
        if change is None:
            self.count_duplicate(record)
            return
        self.emit_router_change(change)
        if forward:
            flood = record.state != RouterState.SUSPECT
            self.gossip.rumours.add(record, _STATE_URGENCY[record.state], self.now_s, flood)
        if record.state in (RouterState.SUSPECT, RouterState.DEAD):
            # It may only be out of reach of others: let it refute at once.
            self.send_to(record.router_id, group_updates([record]), Urgency.PROBE)

    def emit_router_change(self, change: RouterChange) -> None:
        """Tell of a router that came, moved or went."""
        before, after = change
        moved = before is not None and before.peer_address != after.peer_address
        if change.joined or moved:
            self.events.append(RouterJoined(after))
        if change.gone:
            self.events.append(RouterGone(after))
        if change.gone or (before is not None and before.incarnation != after.incarnation):
            self._revisions.pop(after.router_id, None)
            self.gossip.introduced.discard(after.router_id)

    def merge_target(self, record: TargetRecord, forward: bool) -> Tombstone | None:
        """Merge a target's record; return the tombstone that stops it, if one does."""
        returns = self.would_return(record.target_id, record.incarnation)
        outcome = self.targets.merge(record, self.now_s)
        if outcome == MergeOutcome.TOMBSTONED:
            tombstone = self.targets.tombstones.get(record.target_id, self.now_s)
            own = record.failure_domain == self.routers.own_record.failure_domain
            # A neighbour may have heard a renewal that was missed here; another domain can't:
            # it hears of this one's renewals as a whole, and only from here of a lapse.
            doubtful = own and self.sender_is_local and tombstone.reason == GoneReason.LAPSED
            return None if doubtful else tombstone
        if outcome in (MergeOutcome.KNOWN, MergeOutcome.RENEWED):
            self.count_duplicate(record)
        self.publish_target(record.target_id, outcome, returns, forward)
        return None

    def merge_tombstone(self, tombstone: Tombstone, forward: bool) -> None:
        """Merge the tombstone of a target."""
        lived = tombstone.target_id in self.targets.live
        if not self.targets.add_tombstone(tombstone, self.now_s):
            self.count_duplicate(tombstone)
            return
        if lived:
            self.events.append(TargetGone(tombstone.target_id, tombstone.reason))
        if forward:
            self.gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def merge_updates(self, news: News | None, answer: Callable[[Message], None]) -> None:
        """Merge records and answer what is wanted or out of date."""
        if news is None:
            return
        forward = not news.repair
        for router in news.routers:
            self.merge_router(router, forward)
        for tombstone in news.tombstones:
            self.merge_tombstone(tombstone, forward)
        stopping = [self.merge_target(record, forward) for record in news.targets]
        stopping = [tombstone for tombstone in stopping if tombstone is not None]
        if stopping:
            answer(News(tombstones=tuple(stopping), repair=True))
        if news.wanted:
            records = self.repair.records(news.wanted, self.now_s)
            if records is not None:
                answer(records)
        self.merge_spills(news.spills)

    def count_duplicate(self, item: Item) -> None:
        """Count a copy of known news, if a neighbour sent it.

        Copies from other domains don't show that the neighbours have it.
        """
        if self.sender_is_local:
            self.gossip.rumours.count_duplicate(item)

    def merge_spills(self, packed: bytes) -> None:
        """Tell of spill notes that are news and pass them on."""
        if not packed:
            return
        target_of = {note_key(target_id): target_id for target_id in self.targets.live}
        fresh = self.gossip.spills.merge(packed, target_of, self.now_s)
        if fresh:
            self.events.append(SpillHeard(tuple(fresh)))

    def merge_loads(self, loads: bytes, vector: bytes) -> None:
        """Merge the loads on a probe or an answer and tell of each fresher one."""
        fresher = self.targets.merge_loads(loads, self.now_s)
        fresher += self.gossip.vectors.merge(vector, self.now_s)
        for target_id in fresher:
            report = self.targets.load_report(target_id, self.now_s)
            self.events.append(LoadHeard(target_id, report))

    def update_revision(self, sender: RouterRecord | None, revision: int) -> None:
        """Tell of a router's configuration revision when it is new."""
        if sender is not None and self._revisions.get(sender.router_id) != revision:
            self._revisions[sender.router_id] = revision
            self.events.append(RevisionHeard(sender.router_id, sender.peer_address, revision))

    def reply(self, router_id: str, source: Address, urgency: Urgency, message: Message) -> None:
        """Answer a router, by its record if there is one."""
        record = self.routers.get(router_id)
        address = record.address if record else source
        self.sends.append(Send(router_id, address, message, urgency))

    def repair_sender(self, sender: RouterRecord | None, source: Address) -> Callable:
        """Return a function that answers a router with repairs."""
        return partial(self.reply, sender.router_id if sender else "", source, Urgency.REPAIR)
