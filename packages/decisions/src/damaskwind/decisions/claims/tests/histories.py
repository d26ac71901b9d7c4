"""Random histories of claims: drops, duplicates, restarts and racing requests.

The network is an unordered set of messages, each of which may be delivered, duplicated
or dropped. Several requests race for one key. Holders restart without state under a
new incarnation, or with the state of a clean stop. The oracle is the list of the
requests that ran.
"""

from random import Random
from typing import Any, NamedTuple

from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.decisions.claims.messages import (
    Accepted,
    CatchUpRead,
    CatchUpReply,
    ClaimKind,
    ClaimValue,
    HolderMemory,
    Order,
    Outcome,
    Record,
    Write,
)
from damaskwind.decisions.claims.proposer import ClaimProposer, Phase
from damaskwind.model.verdict import Verdict

__all__ = ["History", "find_violation"]

KEY = "key"
STEPS = 160
HOLDER_METHODS = {Order: "order", Write: "write", Record: "record", CatchUpRead: "read_all"}
CATCH_UP = (CatchUpRead, CatchUpReply)


class Envelope(NamedTuple):
    """A message in transit; `ballot` associates a reply with its round."""

    source: str
    destination: str
    message: Any
    ballot: Any = None


class History:
    """A seeded history of requests that race for one key."""

    loads_stale_file = False

    def __init__(self, seed: int, holder_class: type = ClaimHolder) -> None:
        self.random = Random(seed)
        self.holder_class = holder_class
        self.holder_ids = [f"h{number}" for number in range(self.random.choice((3, 3, 5, 5)))]
        self.holders = {name: self.make_holder(name, 1, True) for name in self.holder_ids}
        self.requests: dict[str, ClaimProposer] = {}
        self.network: list[Envelope] = []
        self.catch_up_count = 0
        self.may_be_finished = False
        self.ran: list[str] = []
        self.kinds: list[ClaimKind] = []
        for number in range(self.random.randint(2, 4)):
            value = ClaimValue(f"r{number}", "digest")
            self.requests[f"r{number}"] = ClaimProposer(KEY, value, self.holder_ids)
        self.idle = list(self.requests)
        self.restart_share = self.random.choice((0.01, 0.03, 0.06))
        self.duplicate_share = self.random.choice((0.0, 0.1, 0.3))
        self.drop_share = self.random.choice((0.0, 0.05, 0.1))
        self.catch_up_share = self.random.choice((0.0, 0.5, 0.9))
        self.crash_after_write_share = self.random.choice((0.0, 0.3))
        self.give_up_share = self.random.choice((0.0, 0.1, 0.3))
        self.clean_stop_share = self.random.choice((0.0, 0.0, 0.3, 0.8))
        self.saved_memory: dict[str, HolderMemory] = {}
        self.slow_links: dict[tuple[str, str, type], bool] = {}

    def make_holder(self, name: str, incarnation: int, first: bool) -> ClaimHolder:
        return self.holder_class(
            name, incarnation, self.holder_ids, HolderPolicy(), 0.0, is_first_start=first
        )

    def run(self) -> "History":
        """Run until every request is decided, as a decided request ignores replies."""
        for _ in range(STEPS):
            self.step()
            if self.may_be_finished and self.is_finished():
                break
        return self

    def is_finished(self) -> bool:
        """Return whether every request is decided."""
        self.may_be_finished = False
        return all(item.phase == Phase.DECIDED for item in self.requests.values())

    def step(self) -> None:
        draw = self.random.random()
        if draw < self.restart_share:
            self.restart(self.random.choice(self.holder_ids))
        elif draw < 0.12:
            self.request_catch_up()
        elif draw < 0.17 or not self.network:
            self.start_or_give_up()
        else:
            self.deliver()

    def restart(self, name: str) -> None:
        """Restart a holder, without state or with the state of a clean stop."""
        old = self.holders[name]
        holder = self.make_holder(name, old.incarnation + 1, False)
        self.holders[name] = holder
        if self.random.random() < self.clean_stop_share:
            memory = old.stop(0.0)
            if memory is not None:
                self.saved_memory[name] = memory
                holder.resume(memory, 0.0)
        elif self.loads_stale_file and name in self.saved_memory:
            holder.resume(self.saved_memory[name], 0.0)
        self.request_catch_up()

    def request_catch_up(self) -> None:
        """Let each holder that does not vote request the records of all others."""
        not_voting = [name for name in self.holder_ids if not self.holders[name].is_voting(0.0)]
        for name in not_voting:
            read = CatchUpRead(name, self.holders[name].incarnation)
            others = (other for other in self.holder_ids if other != name)
            self.network += [Envelope(name, other, read) for other in others]
            self.catch_up_count += len(self.holder_ids) - 1

    def start_or_give_up(self) -> None:
        live = [name for name, item in self.requests.items() if item.phase != Phase.DECIDED]
        if not live:
            return
        name = self.random.choice(live)
        if name in self.idle or self.random.random() >= self.give_up_share:
            self.idle = [other for other in self.idle if other != name]
            self.send(name, self.requests[name].start_round())
        else:
            self.record_outcome(name, Verdict.NOT_RUN)

    def send(self, name: str, step: Any) -> None:
        for holder_id, message in step.messages:
            self.network.append(Envelope(name, holder_id, message, message.ballot))

    def deliver(self) -> None:
        """Deliver a message, or drop it; sometimes leave a duplicate in the network."""
        index = self.pick_message()
        draw = self.random.random()
        duplicate = draw < self.duplicate_share
        envelope = self.network[index] if duplicate else self.network.pop(index)
        if not duplicate and type(envelope.message) in CATCH_UP:
            self.catch_up_count -= 1
        if draw > 1.0 - self.drop_share:
            return
        if envelope.destination in self.holders:
            self.deliver_to_holder(envelope)
        elif envelope.destination in self.requests:
            self.deliver_to_request(envelope)

    def pick_message(self) -> int:
        """Pick a message: with some probability a catch-up message, rarely one of a slow link."""
        if self.catch_up_count and self.random.random() < self.catch_up_share:
            for index, envelope in enumerate(self.network):
                if type(envelope.message) in CATCH_UP:
                    return index
        for _ in range(8):
            index = int(self.random.random() * len(self.network))
            envelope = self.network[index]
            link = (envelope.source, envelope.destination, type(envelope.message))
            if link not in self.slow_links:
                self.slow_links[link] = self.random.random() < 0.3
            if not self.slow_links[link]:
                break
        return index

    def deliver_to_holder(self, envelope: Envelope) -> None:
        holder = self.holders[envelope.destination]
        message = envelope.message
        if isinstance(message, CatchUpReply):
            if envelope.ballot == holder.incarnation:
                holder.merge_catch_up(message, 0.0)
            return
        reply = getattr(holder, HOLDER_METHODS[type(message)])(message, 0.0)
        round_tag = message.incarnation if isinstance(message, CatchUpRead) else envelope.ballot
        self.network.append(Envelope(envelope.destination, envelope.source, reply, round_tag))
        self.catch_up_count += type(reply) is CatchUpReply
        if isinstance(message, Write) and self.random.random() < self.crash_after_write_share:
            self.restart(envelope.destination)

    def deliver_to_request(self, envelope: Envelope) -> None:
        request = self.requests[envelope.destination]
        if envelope.ballot is None:
            return
        step = request.handle_reply(envelope.source, envelope.ballot, envelope.message)
        self.send(envelope.destination, step)
        if step.outcome is None:
            return
        self.may_be_finished = True
        self.kinds.append(step.outcome.kind)
        if step.outcome.kind == ClaimKind.GRANTED:
            self.run_granted(envelope.destination)

    def run_granted(self, name: str) -> None:
        """Run a granted request, or let it end without a target."""
        verdict = self.random.choice((Verdict.RAN, Verdict.RAN, Verdict.NOT_RUN))
        if verdict == Verdict.RAN:
            self.ran.append(name)
        if self.random.random() < 0.6:
            self.record_outcome(name, verdict)

    def record_outcome(self, name: str, verdict: Verdict) -> None:
        """Record the outcome of a request, which ignores replies from then on."""
        request = self.requests[name]
        request.phase = Phase.DECIDED
        self.may_be_finished = True
        record = Record(KEY, Accepted(request.ballot, request.value), Outcome(verdict))
        self.network += [Envelope(name, holder_id, record) for holder_id in self.holder_ids]


def find_violation(
    holder_class: type, histories: int, first_seed: int = 0, history_class: type = History
) -> int | None:
    """Return the first seed whose history ran two requests of a key, or `None`."""
    for seed in range(first_seed, first_seed + histories):
        if len(history_class(seed, holder_class).run().ran) > 1:
            return seed
    return None
