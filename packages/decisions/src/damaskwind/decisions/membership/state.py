"""The membership state of one router, and the merging of received records.

Merges collect datagrams to send and events to deliver until `take_output`
returns them.
"""

from collections.abc import Callable
from functools import partial
from random import Random

from damaskwind.decisions.membership.damping import FlapDamper
from damaskwind.decisions.membership.digests import DigestTable
from damaskwind.decisions.membership.gossip import Gossip
from damaskwind.decisions.membership.messages import (
    GoneReason,
    LeasedTargetRecord,
    Message,
    News,
    RouterRecord,
    RouterState,
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
from damaskwind.decisions.membership.targets import LeasedTargetTable, MergeOutcome
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
    """The membership tables of one router and the operations that merge into them."""

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
        self.targets = LeasedTargetTable(own_record.failure_domain, digests)
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
        """Advance the time; a time in the past leaves it unchanged."""
        self.now_s = max(self.now_s, now_s)

    def take_output(self) -> Output:
        """Return the collected sends and events, and clear them."""
        output = Output(self.sends, self.events)
        self.sends, self.events = [], []
        return output

    def send_to(self, router_id: str, message: Message, urgency: Urgency) -> None:
        """Send to a router at the address in its record, if it is known."""
        record = self.routers.get(router_id)
        if record is not None:
            self.sends.append(Send(router_id, record.address, message, urgency))

    def sender_record(self, sender_id: str, incarnation: int) -> RouterRecord | None:
        """Return the sender's record, raised to the incarnation in its message."""
        record = self.routers.get(sender_id)
        if record is not None and incarnation > record.incarnation:
            raised = record._replace(incarnation=incarnation, state=RouterState.ALIVE)
            self.merge_router(raised, forward=True)
        return self.routers.get(sender_id)

    def would_return(self, target_id: str, incarnation: int) -> bool:
        """Tell whether a record of this incarnation would bring back a known target."""
        known = self.targets.known_incarnation(target_id)
        is_gone = target_id not in self.targets.live
        return known >= 0 and (is_gone or incarnation > known)

    def publish_target(
        self, target_id: str, outcome: MergeOutcome, would_return: bool, forward: bool
    ) -> None:
        """Emit an event for a new or changed target, and gossip its record."""
        if outcome not in _UPDATE_OUTCOMES:
            return
        if outcome == MergeOutcome.NEW and would_return:
            self.damper.record_return(target_id, self.now_s)
        self.emit_target_changed(target_id)
        record = self.targets.record(target_id, self.now_s)
        if forward and record is not None:
            self.gossip.rumours.add(record, Urgency.JOIN, self.now_s)

    def emit_target_changed(self, target_id: str) -> None:
        """Emit the current view of a target, unless it is gone or suppressed."""
        if target_id not in self.targets.live:
            return
        if not self.damper.is_suppressed(target_id, self.now_s):
            self.events.append(TargetChanged(self.targets.view(target_id, self.now_s)))

    def publish_leave(self, tombstone: Tombstone) -> None:
        """Emit an event for a target that left, and flood its tombstone."""
        self.events.append(TargetGone(tombstone.target_id, tombstone.reason))
        self.gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def merge_router(self, record: RouterRecord, forward: bool) -> None:
        """Merge a router's record; refute it if it declares this router not alive."""
        own_record = self.routers.own_record
        if record.router_id == own_record.router_id:
            if (record.incarnation, record.state) > (own_record.incarnation, RouterState.ALIVE):
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
            # It may be unreachable only from other routers: let it refute at once.
            self.send_to(record.router_id, group_updates([record]), Urgency.PROBE)

    def emit_router_change(self, change: RouterChange) -> None:
        """Emit an event for a router that joined, changed its peer address or is gone."""
        before, after = change
        moved = before is not None and before.peer_address != after.peer_address
        if change.joined or moved:
            self.events.append(RouterJoined(after))
        if change.gone:
            self.events.append(RouterGone(after))
        if change.gone or (before is not None and before.incarnation != after.incarnation):
            self._revisions.pop(after.router_id, None)
            self.gossip.introduced.discard(after.router_id)

    def merge_target(self, record: LeasedTargetRecord, forward: bool) -> Tombstone | None:
        """Merge a target's record; return the tombstone that rejects it, if any."""
        would_return = self.would_return(record.target_id, record.incarnation)
        outcome = self.targets.merge(record, self.now_s)
        if outcome == MergeOutcome.TOMBSTONED:
            tombstone = self.targets.tombstones.get(record.target_id, self.now_s)
            is_local = record.failure_domain == self.routers.own_record.failure_domain
            # A router of this domain may have received a renewal that was lost here. One of
            # another domain can't: that receives the renewals of this domain only in total,
            # and learns of an expired lease only from here.
            doubtful = is_local and self.sender_is_local and tombstone.reason == GoneReason.LAPSED
            return None if doubtful else tombstone
        if outcome in (MergeOutcome.KNOWN, MergeOutcome.RENEWED):
            self.count_duplicate(record)
        self.publish_target(record.target_id, outcome, would_return, forward)
        return None

    def merge_tombstone(self, tombstone: Tombstone, forward: bool) -> None:
        """Merge a target's tombstone."""
        was_live = tombstone.target_id in self.targets.live
        if not self.targets.add_tombstone(tombstone, self.now_s):
            self.count_duplicate(tombstone)
            return
        if was_live:
            self.events.append(TargetGone(tombstone.target_id, tombstone.reason))
        if forward:
            self.gossip.rumours.add(tombstone, Urgency.LEAVE, self.now_s)

    def merge_updates(self, updates: News | None, reply: Callable[[Message], None]) -> None:
        """Merge records, and reply with requested records and with tombstones of stale ones."""
        if updates is None:
            return
        forward = not updates.repair
        for router in updates.routers:
            self.merge_router(router, forward)
        for tombstone in updates.tombstones:
            self.merge_tombstone(tombstone, forward)
        blocking_tombstones = [self.merge_target(record, forward) for record in updates.targets]
        blocking_tombstones = [
            tombstone for tombstone in blocking_tombstones if tombstone is not None
        ]
        if blocking_tombstones:
            reply(News(tombstones=tuple(blocking_tombstones), repair=True))
        if updates.wanted:
            records = self.repair.records(updates.wanted, self.now_s)
            if records is not None:
                reply(records)
        self.merge_spills(updates.spills)

    def count_duplicate(self, item: Item) -> None:
        """Count a duplicate of a known item, if a router of this domain sent it.

        Duplicates from other domains don't show that the routers of this domain have it.
        """
        if self.sender_is_local:
            self.gossip.rumours.count_duplicate(item)

    def merge_spills(self, packed: bytes) -> None:
        """Merge spill notes; emit those that were not known and queue them for gossip."""
        if not packed:
            return
        target_by_key = {note_key(target_id): target_id for target_id in self.targets.live}
        new_notes = self.gossip.spills.merge(packed, target_by_key, self.now_s)
        if new_notes:
            self.events.append(SpillHeard(tuple(new_notes)))

    def merge_loads(self, loads: bytes, vector: bytes) -> None:
        """Merge the loads of a probe or an ack, and emit an event for each fresher one."""
        fresher = self.targets.merge_loads(loads, self.now_s)
        fresher += self.gossip.vectors.merge(vector, self.now_s)
        for target_id in fresher:
            report = self.targets.load_report(target_id, self.now_s)
            self.events.append(LoadHeard(target_id, report))

    def update_revision(self, sender: RouterRecord | None, revision: int) -> None:
        """Emit an event if a router's configuration revision changed."""
        if sender is not None and self._revisions.get(sender.router_id) != revision:
            self._revisions[sender.router_id] = revision
            self.events.append(RevisionHeard(sender.router_id, sender.peer_address, revision))

    def reply(self, router_id: str, source: Address, urgency: Urgency, message: Message) -> None:
        """Reply to a router at its recorded address, or at `source` if it is unknown."""
        record = self.routers.get(router_id)
        address = record.address if record else source
        self.sends.append(Send(router_id, address, message, urgency))

    def repair_sender(self, sender: RouterRecord | None, source: Address) -> Callable:
        """Return a function that sends repair messages to a router."""
        return partial(self.reply, sender.router_id if sender else "", source, Urgency.REPAIR)
