"""What a router does with each kind of message."""

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
    """Register the handler of a kind of message."""

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


@_handler_for(Probe)
def _on_probe(
    state: MembershipState, sender: RouterRecord | None, source: Address, probe: Probe, now_s: float
) -> None:
    """Answer a probe."""
    knew = sender is not None
    if probe.sender is not None:
        state.merge_router(probe.sender, forward=True)
        sender = state.routers.get(probe.sender.router_id)
        knew = True
    near = sender is not None and sender.failure_domain == state.routers.own_record.failure_domain
    if near:
        state.prober.sync_round(probe.nonce, now_s)
    state.update_revision(sender, probe.revision)
    state.merge_loads(probe.loads, probe.vector)
    answer = state.repair_sender(sender, source)
    state.merge_updates(probe.updates, answer)
    for key in unpack_keys(probe.overdue):
        state.targets.resend_renewal(key)
    ack = state.gossip.ack(probe, sender, knew, now_s)
    state.reply(sender.router_id if sender else "", source, Urgency.PROBE, ack)
    _check_summaries(state, probe.summaries, answer, now_s)


@_handler_for(Ack)
def _on_ack(
    state: MembershipState, sender: RouterRecord | None, source: Address, ack: Ack, now_s: float
) -> None:
    """Take the answer to a probe, or pass it on to whom it was asked for."""
    if ack.sender is not None:
        state.merge_router(ack.sender, forward=True)
        sender = state.routers.get(ack.sender.router_id)
    requester = state.prober.pop_forward(ack.nonce)
    if requester is not None:
        state.send_to(requester[0], Ack(requester[1], state.gossip.revision), Urgency.PROBE)
    probe = state.prober.pop_answered(ack.nonce)
    direct = probe is not None and sender is not None and probe.router_id == sender.router_id
    if direct and ack.sender is None:
        state.gossip.introduced.add(sender.router_id)
    state.update_revision(sender, ack.revision)
    state.merge_loads(ack.loads, ack.vector)
    answer = state.repair_sender(sender, source)
    state.merge_updates(ack.updates, answer)
    _check_summaries(state, ack.summaries, answer, now_s)


@_handler_for(IndirectProbe)
def _on_indirect_probe(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    asked: IndirectProbe,
    now_s: float,
) -> None:
    """Probe a router for another one."""
    record = state.routers.get(asked.router_id)
    if sender is None or record is None:
        return
    nonce = state.prober.next_off_ring_nonce()
    state.prober.add_forward(nonce, sender.router_id, asked.nonce, now_s)
    state.sends.append(state.gossip.bare_probe(nonce, record))


@_handler_for(Compare)
def _on_compare(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    asked: Compare,
    now_s: float,
) -> None:
    """Answer a comparison with a sketch."""
    sketch = state.repair.sketch(asked, now_s)
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
    """Answer a sketch with what levels the two."""
    news = state.repair.reconcile(sketch, now_s)
    if news is not None:
        state.repair_sender(sender, source)(news)


@_handler_for(News)
def _on_news(
    state: MembershipState, sender: RouterRecord | None, source: Address, news: News, now_s: float
) -> None:
    """Merge news."""
    state.merge_updates(news, state.repair_sender(sender, source))


def _check_summaries(
    state: MembershipState,
    summaries: tuple[Summary, ...],
    answer: Callable[[Message], None],
    now_s: float,
) -> None:
    """Compare digests with a peer's and ask about those that differ."""
    for summary in summaries:
        compare = state.repair.check(summary, now_s)
        if compare is not None:
            answer(compare)
