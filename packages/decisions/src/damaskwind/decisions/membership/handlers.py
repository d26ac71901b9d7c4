"""Handlers of the gossip messages, one for each message type."""

from collections.abc import Callable
from typing import Any

from damaskwind.decisions.membership.digests import unpack_keys
from damaskwind.decisions.membership.messages import (
    Ack,
    Compare,
    IndirectProbe,
    Message,
    News,
    Probe,
    RouterRecord,
    Sketch,
    Summary,
)
from damaskwind.decisions.membership.state import MembershipState
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.targets import Address

__all__ = ["HANDLERS", "Handler"]

Handler = Callable[[MembershipState, RouterRecord | None, Address, Any, float], None]
HANDLERS: dict[type, Handler] = {}


def _handler_for(kind: type) -> Callable[[Handler], Handler]:
    """Register the decorated function as the handler of a message type."""

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


@_handler_for(Probe)
def _on_probe(
    state: MembershipState, sender: RouterRecord | None, source: Address, probe: Probe, now_s: float
) -> None:
    """Merge what a probe carries, and acknowledge it."""
    sender_known = sender is not None
    if probe.sender is not None:
        state.merge_router(probe.sender, forward=True)
        sender = state.routers.get(probe.sender.router_id)
        sender_known = True
    is_local = (
        sender is not None and sender.failure_domain == state.routers.own_record.failure_domain
    )
    if is_local:
        state.prober.sync_round(probe.nonce, now_s)
    state.update_revision(sender, probe.revision)
    state.merge_loads(probe.loads, probe.vector)
    reply = state.repair_sender(sender, source)
    state.merge_updates(probe.updates, reply)
    for key in unpack_keys(probe.overdue):
        state.targets.resend_renewal(key)
    ack = state.gossip.ack(probe, sender, sender_known, now_s)
    state.reply(sender.router_id if sender else "", source, Urgency.PROBE, ack)
    _check_summaries(state, probe.summaries, reply, now_s)


@_handler_for(Ack)
def _on_ack(
    state: MembershipState, sender: RouterRecord | None, source: Address, ack: Ack, now_s: float
) -> None:
    """Match an ack to its probe, or forward it to the router that requested the probe."""
    if ack.sender is not None:
        state.merge_router(ack.sender, forward=True)
        sender = state.routers.get(ack.sender.router_id)
    requester = state.prober.pop_forward(ack.nonce)
    if requester is not None:
        state.send_to(requester[0], Ack(requester[1], state.gossip.revision), Urgency.PROBE)
    probe = state.prober.pop_answered(ack.nonce)
    is_direct = probe is not None and sender is not None and probe.router_id == sender.router_id
    if is_direct and ack.sender is None:
        state.gossip.introduced.add(sender.router_id)
    state.update_revision(sender, ack.revision)
    state.merge_loads(ack.loads, ack.vector)
    reply = state.repair_sender(sender, source)
    state.merge_updates(ack.updates, reply)
    _check_summaries(state, ack.summaries, reply, now_s)


@_handler_for(IndirectProbe)
def _on_indirect_probe(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    request: IndirectProbe,
    now_s: float,
) -> None:
    """Probe a router on behalf of another one."""
    record = state.routers.get(request.router_id)
    if sender is None or record is None:
        return
    nonce = state.prober.next_off_ring_nonce()
    state.prober.add_forward(nonce, sender.router_id, request.nonce, now_s)
    state.sends.append(state.gossip.bare_probe(nonce, record))


@_handler_for(Compare)
def _on_compare(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    request: Compare,
    now_s: float,
) -> None:
    """Reply to a comparison with a sketch."""
    sketch = state.repair.sketch(request, now_s)
    if sketch is not None:
        state.repair_sender(sender, source)(sketch)


@_handler_for(Sketch)
def _on_sketch(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    sketch: Sketch,
    now_s: float,
) -> None:
    """Reply to a sketch with the differences between the two routers."""
    updates = state.repair.reconcile(sketch, now_s)
    if updates is not None:
        state.repair_sender(sender, source)(updates)


@_handler_for(News)
def _on_news(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    updates: News,
    now_s: float,
) -> None:
    """Merge updates."""
    state.merge_updates(updates, state.repair_sender(sender, source))


def _check_summaries(
    state: MembershipState,
    summaries: tuple[Summary, ...],
    reply: Callable[[Message], None],
    now_s: float,
) -> None:
    """Check a peer's digests and start a comparison for those that differ."""
    for summary in summaries:
        compare = state.repair.check(summary, now_s)
        if compare is not None:
            reply(compare)
