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


def _handles(kind: type) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of message."""

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


@_handles(Probe)
def _on_probe(
    state: MembershipState, sender: RouterRecord | None, source: Address, probe: Probe, now_s: float
) -> None:
    """Answer a probe."""
    knew = sender is not None
    if probe.sender is not None:
        state.merge_router(probe.sender, pass_on=True)
        sender = state.routers.get(probe.sender.router_id)
        knew = True
    near = sender is not None and sender.failure_domain == state.routers.me.failure_domain
    if near:
        state.prober.hear_round(probe.nonce, now_s)
    state.hear_revision(sender, probe.revision)
    state.merge_loads(probe.loads, probe.vector)
    answer = state.repairs_to(sender, source)
    state.merge_news(probe.news, answer)
    for key in unpack_keys(probe.overdue):
        state.targets.refresh_by_key(key)
    ack = state.gossip.ack(probe, sender, knew, now_s)
    state.answer(sender.router_id if sender else "", source, Urgency.PROBE, ack)
    _check_summaries(state, probe.summaries, answer, now_s)


@_handles(Ack)
def _on_ack(
    state: MembershipState, sender: RouterRecord | None, source: Address, ack: Ack, now_s: float
) -> None:
    """Take the answer to a probe, or pass it on to whom it was asked for."""
    if ack.sender is not None:
        state.merge_router(ack.sender, pass_on=True)
        sender = state.routers.get(ack.sender.router_id)
    forward = state.prober.forwarded(ack.nonce)
    if forward is not None:
        state.send_to(forward[0], Ack(forward[1], state.gossip.revision), Urgency.PROBE)
    probe = state.prober.answered(ack.nonce)
    direct = probe is not None and sender is not None and probe.router_id == sender.router_id
    if direct and ack.sender is None:
        state.gossip.introduced.add(sender.router_id)
    state.hear_revision(sender, ack.revision)
    state.merge_loads(ack.loads, ack.vector)
    answer = state.repairs_to(sender, source)
    state.merge_news(ack.news, answer)
    _check_summaries(state, ack.summaries, answer, now_s)


@_handles(IndirectProbe)
def _on_indirect(
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
    nonce = state.prober.side_nonce()
    state.prober.forward(nonce, sender.router_id, asked.nonce, now_s)
    state.sends.append(state.gossip.bare_probe(nonce, record))


@_handles(Compare)
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
        state.repairs_to(sender, source)(sketch)


@_handles(Sketch)
def _on_sketch(
    state: MembershipState,
    sender: RouterRecord | None,
    source: Address,
    sketch: Sketch,
    now_s: float,
) -> None:
    """Answer a sketch with what levels the two."""
    news = state.repair.level(sketch, now_s)
    if news is not None:
        state.repairs_to(sender, source)(news)


@_handles(News)
def _on_news(
    state: MembershipState, sender: RouterRecord | None, source: Address, news: News, now_s: float
) -> None:
    """Merge news."""
    state.merge_news(news, state.repairs_to(sender, source))


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
