"""One holder of claims: votes on keys, keeps outcomes, catches up after a restart.

The voting is that of "FAB: Building Distributed Enterprise Disk Arrays from
Commodity Components" (Saito et al., ASPLOS 2004), order then write, used for one
decision a key. Unlike FAB's bricks a holder keeps nothing on disk, so rules are added.

A holder that restarted empty votes only after it has read the promises and
records of more than `n - m` of the other `n - 1` holders, `m` being a majority:
whatever the old incarnation promised or accepted as one of a majority, `m - 1`
others did too, and no such set is disjoint from those read. What they do only
after they were read must not count together with what was forgotten. So they
remember the new incarnation that read them and tell it with each promise; a
proposer drops a promise of an older one; and a write names every promise that it
rests on, and a holder that has heard of a newer incarnation refuses it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from damaskwind.decisions.claims.messages import (
    Accepted,
    Ballot,
    CatchUpRead,
    CatchUpReply,
    ClaimRecord,
    HolderMemory,
    Order,
    OrderReply,
    Outcome,
    Promise,
    Record,
    RecordReply,
    Rejection,
    StoredAnswer,
    Write,
    WriteReply,
)
from damaskwind.model.verdict import Verdict

__all__ = ["ClaimHolder", "HolderPolicy", "majority_of"]

EXPIRY_SCAN_ENTRIES = 64


class HolderPolicy(NamedTuple):
    """Bounds on a holder's memory and on the life of a claim.

    `ttl_s` counts from the first message about a key and must be longer than any
    request and its resends. An answer body over `answer_limit_bytes`, or one that
    no longer fits into `answers_limit_bytes`, is kept as its digest alone.
    """

    ttl_s: float = 3600.0
    max_records: int = 20_000
    answer_limit_bytes: int = 4096
    answers_limit_bytes: int = 8 * 1024 * 1024


def majority_of(holder_count: int) -> int:
    """Return how many of the holders make a majority.

    >>> majority_of(3), majority_of(5)
    (2, 3)
    """
    return holder_count // 2 + 1


class _Entry:
    """What a holder knows of one key."""

    __slots__ = ("accepted", "created_s", "outcome", "promised")

    def __init__(self, created_s: float) -> None:
        self.created_s = created_s
        self.promised: Ballot | None = None
        self.accepted: Accepted | None = None
        self.outcome: Outcome | None = None


class ClaimHolder:
    """Vote on claims; messages in, replies out.

    `incarnation` must be greater than in any earlier run of this holder.
    `is_first_start` says that no earlier run ever voted, so that being empty is
    right; it needs a durable mark. Otherwise the holder starts to vote after
    `merge_catch_up` has heard enough others, or once `ttl_s` has passed, when
    everything that it may have forgotten has expired.
    """

    def __init__(
        self,
        holder_id: str,
        incarnation: int,
        holder_ids: Sequence[str],
        policy: HolderPolicy,
        now_s: float,
        is_first_start: bool = False,
    ) -> None:
        self.holder_id = holder_id
        self.incarnation = incarnation
        self.holder_ids = tuple(holder_ids)
        self.policy = policy
        self.started_s = now_s
        self._voting = is_first_start
        self._is_stopped = False
        self._caught_up_from: set[str] = set()
        self._incarnations = {holder_id: incarnation}
        self._entries: dict[str, _Entry] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def is_voting(self, now_s: float) -> bool:
        """Tell whether this holder may vote."""
        if self._is_stopped:
            return False
        if not self._voting and now_s - self.started_s >= self.policy.ttl_s:
            self._voting = True
        return self._voting

    def catch_up_quorum(self) -> int:
        """Return how many other holders must be read before voting."""
        count = len(self.holder_ids)
        return count - majority_of(count) + 1

    def order(self, message: Order, now_s: float) -> OrderReply:
        """First phase: promise to take no write below the ballot."""
        if not self.is_voting(now_s):
            return OrderReply(Rejection.NOT_VOTING, self.incarnation)
        entry = self._find(message.key, now_s)
        if entry is None:
            if not self._has_capacity(now_s):
                return OrderReply(Rejection.FULL, self.incarnation)
            entry = self._entries[message.key] = _Entry(now_s)
        if entry.promised is not None and message.ballot <= entry.promised:
            return OrderReply(Rejection.STALE_BALLOT, self.incarnation, entry.promised)
        entry.promised = message.ballot
        return OrderReply(
            Rejection.NONE,
            self.incarnation,
            entry.promised,
            entry.accepted,
            entry.outcome,
            self._known_incarnations(),
        )

    def write(self, message: Write, now_s: float) -> WriteReply:
        """Second phase: accept the value under the very ballot promised."""
        if not self.is_voting(now_s):
            return WriteReply(Rejection.NOT_VOTING, self.incarnation)
        if not self._are_promises_current(message.promises):
            return WriteReply(Rejection.STALE_INCARNATION, self.incarnation)
        entry = self._find(message.key, now_s)
        if entry is None or entry.promised != message.ballot:
            promised = entry.promised if entry else None
            return WriteReply(Rejection.STALE_BALLOT, self.incarnation, promised)
        self._accept(entry, Accepted(message.ballot, message.value))
        return WriteReply(Rejection.NONE, self.incarnation, entry.promised)

    def record(self, message: Record, now_s: float) -> RecordReply:
        """Keep how the owner's request ended.

        An outcome other than `not-run` comes from a request that was granted the
        key, so a holder that was passed over may learn the value with it.
        """
        if not self.is_voting(now_s):
            return RecordReply(Rejection.NOT_VOTING, self.incarnation)
        entry = self._find(message.key, now_s)
        if entry is None:
            if not self._has_capacity(now_s):
                return RecordReply(Rejection.FULL, self.incarnation)
            entry = self._entries[message.key] = _Entry(now_s)
        if message.outcome.verdict != Verdict.NOT_RUN:
            self._adopt_accepted(entry, message.accepted)
        if entry.accepted is None or entry.accepted.value != message.accepted.value:
            self._invalidate_promise(entry, message.accepted.value.request_id)
            return RecordReply(Rejection.UNKNOWN, self.incarnation)
        if entry.outcome is None:
            self._store_outcome(entry, message.outcome)
        return RecordReply(Rejection.NONE, self.incarnation)

    def read_all(self, message: CatchUpRead, now_s: float) -> CatchUpReply:
        """Give all records to a holder that restarted.

        From here on no write is taken that rests on a promise of its older
        incarnations: what that one accepted is lost.
        """
        if not self.is_voting(now_s):
            return CatchUpReply(Rejection.NOT_VOTING, self.holder_id, self.incarnation)
        self._record_incarnation(Promise(message.holder_id, message.incarnation))
        return CatchUpReply(
            Rejection.NONE,
            self.holder_id,
            self.incarnation,
            self._known_incarnations(),
            self._live_records(now_s),
        )

    def merge_catch_up(self, reply: CatchUpReply, now_s: float) -> bool:
        """Take over another holder's records; return whether voting may start."""
        is_other = reply.holder_id in self.holder_ids and reply.holder_id != self.holder_id
        if reply.rejection != Rejection.NONE or not is_other or self._voting:
            return self.is_voting(now_s)
        for promise in reply.incarnations:
            self._record_incarnation(promise)
        for record in reply.records:
            self._merge_record(record, now_s)
        self._caught_up_from.add(reply.holder_id)
        if len(self._caught_up_from) >= self.catch_up_quorum():
            self._voting = True
        return self._voting

    def stop(self, now_s: float) -> HolderMemory | None:
        """Vote no more, and return what to keep over a clean stop.

        `None` comes from a holder that does not know all that it promised.
        """
        if not self.is_voting(now_s):
            self._is_stopped = True
            return None
        self._is_stopped = True
        return HolderMemory(self.holder_ids, self._known_incarnations(), self._live_records(now_s))

    def resume(self, memory: HolderMemory, now_s: float) -> bool:
        """Go on from what was kept at a clean stop; tell whether voting may start.

        How long the stop took is not known, so lives are lengthened by it. Under
        another set of holders the memory says too little.
        """
        if memory.holder_ids != self.holder_ids or self._entries:
            return self.is_voting(now_s)
        for promise in memory.incarnations:
            self._record_incarnation(promise)
        for record in memory.records:
            self._merge_record(record, now_s)
        self._voting = True
        return True

    def _live_records(self, now_s: float) -> tuple[ClaimRecord, ...]:
        """Return all records whose life is not over."""
        return tuple(
            ClaimRecord(key, now_s - entry.created_s, entry.promised, entry.accepted, entry.outcome)
            for key, entry in self._entries.items()
            if not self._is_expired(entry, now_s)
        )

    def _merge_record(self, record: ClaimRecord, now_s: float) -> None:
        """Take over one key: the higher promise, the higher ballot, the outcome."""
        entry = self._entries.setdefault(record.key, _Entry(now_s - record.age_s))
        entry.created_s = min(entry.created_s, now_s - record.age_s)
        self._raise_promise(entry, record.promised)
        if record.accepted is None:
            return
        self._adopt_accepted(entry, record.accepted)
        if record.outcome is not None and entry.accepted.value == record.accepted.value:
            self._store_outcome(entry, record.outcome)

    def _known_incarnations(self) -> tuple[Promise, ...]:
        """Return the newest incarnations heard of."""
        return tuple(Promise(*item) for item in self._incarnations.items())

    def _are_promises_current(self, promises: tuple[Promise, ...]) -> bool:
        """Tell whether no promise is of a forgotten incarnation, and ours is there."""
        if Promise(self.holder_id, self.incarnation) not in promises:
            return False
        return all(
            promise.incarnation >= self._incarnations.get(promise.holder_id, promise.incarnation)
            for promise in promises
        )

    def _record_incarnation(self, promise: Promise) -> None:
        """Remember the newest incarnation of a holder."""
        known = self._incarnations.get(promise.holder_id, promise.incarnation)
        self._incarnations[promise.holder_id] = max(known, promise.incarnation)

    def _accept(self, entry: _Entry, accepted: Accepted) -> None:
        """Replace the accepted value, and with it the outcome of another one."""
        if entry.accepted is not None and entry.accepted.value != accepted.value:
            self._release_outcome(entry)
        entry.accepted = accepted

    def _adopt_accepted(self, entry: _Entry, accepted: Accepted) -> None:
        """Take a value heard of when its ballot is above that of ours.

        A value taken binds like a promise of its ballot.
        """
        self._raise_promise(entry, accepted.ballot)
        if entry.accepted is None or entry.accepted.ballot < accepted.ballot:
            self._accept(entry, accepted)

    def _raise_promise(self, entry: _Entry, ballot: Ballot | None) -> None:
        """Promise at least `ballot`."""
        if ballot is not None and (entry.promised is None or entry.promised < ballot):
            entry.promised = ballot

    def _invalidate_promise(self, entry: _Entry, request_id: str) -> None:
        """Raise the promise above a request that gave up, so that no late write of it counts."""
        if entry.promised is not None and entry.promised.request_id == request_id:
            entry.promised = Ballot(entry.promised.counter + 1, "")

    def _find(self, key: str, now_s: float) -> _Entry | None:
        """Return a key's entry, forgetting it when its life is over."""
        entry = self._entries.get(key)
        if entry is not None and self._is_expired(entry, now_s):
            self._remove_entry(key)
            return None
        return entry

    def _is_expired(self, entry: _Entry, now_s: float) -> bool:
        """Tell whether an entry's life is over."""
        return now_s - entry.created_s >= self.policy.ttl_s

    def _has_capacity(self, now_s: float) -> bool:
        """Forget a few expired entries and tell whether a new one fits.

        Entries stand roughly in the order of their age, so the first few tell;
        live ones are never forgotten to make room.
        """
        oldest = [key for key, _ in zip(self._entries, range(EXPIRY_SCAN_ENTRIES), strict=False)]
        for key in oldest:
            if self._is_expired(self._entries[key], now_s):
                self._remove_entry(key)
        return len(self._entries) < self.policy.max_records

    def _remove_entry(self, key: str) -> None:
        """Drop an entry and the bytes it holds."""
        self._release_outcome(self._entries.pop(key))

    def _release_outcome(self, entry: _Entry) -> None:
        """Drop an entry's outcome and give its bytes back."""
        if entry.outcome is not None and entry.outcome.answer is not None:
            self._answers_bytes -= len(entry.outcome.answer.body)
        entry.outcome = None

    def _store_outcome(self, entry: _Entry, outcome: Outcome) -> None:
        """Keep an outcome, its answer's body only within the bounds."""
        if entry.outcome is not None:
            return
        answer = outcome.answer
        if answer is not None:
            size_bytes = len(answer.body)
            fits = size_bytes <= self.policy.answer_limit_bytes
            fits = fits and self._answers_bytes + size_bytes <= self.policy.answers_limit_bytes
            if not fits:
                answer = _without_body(answer)
            self._answers_bytes += len(answer.body)
        entry.outcome = Outcome(outcome.verdict, answer)


def _without_body(answer: StoredAnswer) -> StoredAnswer:
    """Keep all of an answer but its body."""
    return answer._replace(body=b"", complete=False)
