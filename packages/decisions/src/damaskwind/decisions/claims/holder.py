"""A holder of claims: votes on keys, stores outcomes and catches up after a restart.

Voting follows "FAB: Building Distributed Enterprise Disk Arrays from Commodity
Components" (Saito et al., ASPLOS 2004), an order phase and then a write phase, with
a single decision per key. Unlike the bricks of FAB a holder has no durable state, so
restarts need additional rules.

A holder that restarts without state votes only after it has read the promises and
records of more than `n - m` of the other `n - 1` holders, where `m` is a majority.
Whatever the old incarnation promised or accepted as a member of a majority, `m - 1`
others promised or accepted too, and any such set intersects the holders that were
read. Votes that those holders cast after the read must not be combined with votes
that the restarted holder has lost. They therefore remember the new incarnation that
read them and include it in each promise. A proposer drops promises of older
incarnations. A write lists every promise that it depends on, and a holder that knows
of a newer incarnation rejects it.
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
    """Limits on a holder's memory and on the lifetime of a claim.

    `ttl_s` counts from the first message about a key and must exceed the duration of
    any request including its resends. Of an answer body larger than
    `answer_limit_bytes`, or one that no longer fits into `answers_limit_bytes`, only
    the digest is stored.
    """

    ttl_s: float = 3600.0
    max_records: int = 20_000
    answer_limit_bytes: int = 4096
    answers_limit_bytes: int = 8 * 1024 * 1024


def majority_of(holder_count: int) -> int:
    """Return how many holders form a majority.

    >>> majority_of(3), majority_of(5)
    (2, 3)
    """
    return holder_count // 2 + 1


class _Entry:
    """The state of a key in a holder."""

    __slots__ = ("accepted", "created_s", "outcome", "promised")

    def __init__(self, created_s: float) -> None:
        self.created_s = created_s
        self.promised: Ballot | None = None
        self.accepted: Accepted | None = None
        self.outcome: Outcome | None = None


class ClaimHolder:
    """Votes on claims: processes messages and returns the replies.

    `incarnation` must be greater than in any earlier run of this holder. Where it isn't, as
    the disk that held the earlier one was lost, it is raised by what the others know of.
    `is_first_start` states that no earlier run ever voted, so that an empty state is
    correct; this must be derived from a durable marker. Otherwise the holder starts to
    vote after `merge_catch_up` has received the records of enough other holders, or
    after `ttl_s`, when every claim that it may have lost has expired.
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
        """Return whether this holder may vote."""
        if self._is_stopped:
            return False
        if not self._voting and now_s - self.started_s >= self.policy.ttl_s:
            self._voting = True
        return self._voting

    def catch_up_quorum(self) -> int:
        """Return how many other holders must be read before this one may vote."""
        count = len(self.holder_ids)
        return count - majority_of(count) + 1

    def order(self, message: Order, now_s: float) -> OrderReply:
        """First phase: promise to accept no write below the ballot."""
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
        """Second phase: accept the value if its ballot is the one promised."""
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
        """Store the outcome of the request that owns the key.

        An outcome other than `not-run` implies that the request was granted the key,
        so a holder that missed the write may adopt the value from this message.
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
        """Return all records to a restarted holder.

        From then on this holder rejects writes that depend on a promise of an older
        incarnation of the restarted one, because what those accepted is lost.
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
        """Merge the records of another holder; return whether this holder may vote.

        A reply that doesn't name the present incarnation as the newest is not merged: the
        other one has to be read again, as it may still rely on promises of an earlier run.
        """
        is_other = reply.holder_id in self.holder_ids and reply.holder_id != self.holder_id
        if reply.rejection != Rejection.NONE or not is_other or self._voting:
            return self.is_voting(now_s)
        if dict(reply.incarnations).get(self.holder_id) != self.incarnation:
            self._outnumber_earlier_runs(reply.incarnations)
            return False
        for promise in reply.incarnations:
            self._record_incarnation(promise)
        for record in reply.records:
            self._merge_record(record, now_s)
        self._caught_up_from.add(reply.holder_id)
        if len(self._caught_up_from) >= self.catch_up_quorum():
            self._voting = True
        return self._voting

    def has_read(self, holder_id: str) -> bool:
        """Return whether the records of another holder were merged for this incarnation."""
        return holder_id in self._caught_up_from

    def stop(self, now_s: float) -> HolderMemory | None:
        """Stop voting, and return the state to be stored for the next start.

        Return `None` if this holder is not voting, as it may then lack promises.
        """
        if not self.is_voting(now_s):
            self._is_stopped = True
            return None
        self._is_stopped = True
        return HolderMemory(self.holder_ids, self._known_incarnations(), self._live_records(now_s))

    def resume(self, memory: HolderMemory, now_s: float) -> bool:
        """Restore the state stored at a clean stop; return whether this holder may vote.

        The downtime is unknown, so the lifetime of each claim is extended by it. The
        state is ignored if the set of holders has changed, as it is then incomplete.
        """
        if memory.holder_ids != self.holder_ids or self._entries:
            return self.is_voting(now_s)
        for promise in memory.incarnations:
            self._record_incarnation(promise)
        for record in memory.records:
            self._merge_record(record, now_s)
        self._outnumber_earlier_runs(memory.incarnations)
        self._voting = True
        return True

    def _outnumber_earlier_runs(self, known: tuple[Promise, ...]) -> None:
        """Raise the incarnation above that of any earlier run; then all others are unread."""
        newest = dict(known).get(self.holder_id, self.incarnation)
        if newest < self.incarnation:
            return
        self.incarnation = newest + 1
        self._incarnations[self.holder_id] = self.incarnation
        self._caught_up_from.clear()

    def _live_records(self, now_s: float) -> tuple[ClaimRecord, ...]:
        """Return all records that have not expired."""
        return tuple(
            ClaimRecord(key, now_s - entry.created_s, entry.promised, entry.accepted, entry.outcome)
            for key, entry in self._entries.items()
            if not self._is_expired(entry, now_s)
        )

    def _merge_record(self, record: ClaimRecord, now_s: float) -> None:
        """Merge a record: keep the higher promise, the higher ballot and the outcome."""
        entry = self._entries.setdefault(record.key, _Entry(now_s - record.age_s))
        entry.created_s = min(entry.created_s, now_s - record.age_s)
        self._raise_promise(entry, record.promised)
        if record.accepted is None:
            return
        self._adopt_accepted(entry, record.accepted)
        if record.outcome is not None and entry.accepted.value == record.accepted.value:
            self._store_outcome(entry, record.outcome)

    def _known_incarnations(self) -> tuple[Promise, ...]:
        """Return the newest known incarnation of each holder."""
        return tuple(Promise(*item) for item in self._incarnations.items())

    def _are_promises_current(self, promises: tuple[Promise, ...]) -> bool:
        """Return whether no promise is of an outdated incarnation and this holder's is included."""
        if Promise(self.holder_id, self.incarnation) not in promises:
            return False
        return all(
            promise.incarnation >= self._incarnations.get(promise.holder_id, promise.incarnation)
            for promise in promises
        )

    def _record_incarnation(self, promise: Promise) -> None:
        """Record the newest incarnation of a holder."""
        known = self._incarnations.get(promise.holder_id, promise.incarnation)
        self._incarnations[promise.holder_id] = max(known, promise.incarnation)

    def _accept(self, entry: _Entry, accepted: Accepted) -> None:
        """Replace the accepted value; the outcome of a different value is dropped."""
        if entry.accepted is not None and entry.accepted.value != accepted.value:
            self._release_outcome(entry)
        entry.accepted = accepted

    def _adopt_accepted(self, entry: _Entry, accepted: Accepted) -> None:
        """Adopt a value accepted elsewhere if its ballot is higher than that of our value.

        An adopted value is binding like a promise of its ballot.
        """
        self._raise_promise(entry, accepted.ballot)
        if entry.accepted is None or entry.accepted.ballot < accepted.ballot:
            self._accept(entry, accepted)

    def _raise_promise(self, entry: _Entry, ballot: Ballot | None) -> None:
        """Promise at least `ballot`."""
        if ballot is not None and (entry.promised is None or entry.promised < ballot):
            entry.promised = ballot

    def _invalidate_promise(self, entry: _Entry, request_id: str) -> None:
        """Raise the promise above the ballot of an abandoned request, to reject a late write."""
        if entry.promised is not None and entry.promised.request_id == request_id:
            entry.promised = Ballot(entry.promised.counter + 1, "")

    def _find(self, key: str, now_s: float) -> _Entry | None:
        """Return the entry of a key; an expired entry is removed."""
        entry = self._entries.get(key)
        if entry is not None and self._is_expired(entry, now_s):
            self._remove_entry(key)
            return None
        return entry

    def _is_expired(self, entry: _Entry, now_s: float) -> bool:
        """Return whether an entry has expired."""
        return now_s - entry.created_s >= self.policy.ttl_s

    def _has_capacity(self, now_s: float) -> bool:
        """Remove some expired entries and return whether a new one fits.

        Entries are roughly ordered by age, so checking the first few suffices.
        Entries that have not expired are never evicted.
        """
        oldest = [key for key, _ in zip(self._entries, range(EXPIRY_SCAN_ENTRIES), strict=False)]
        for key in oldest:
            if self._is_expired(self._entries[key], now_s):
                self._remove_entry(key)
        return len(self._entries) < self.policy.max_records

    def _remove_entry(self, key: str) -> None:
        """Remove an entry and release the bytes of its answer."""
        self._release_outcome(self._entries.pop(key))

    def _release_outcome(self, entry: _Entry) -> None:
        """Drop the outcome of an entry and release the bytes of its answer."""
        if entry.outcome is not None and entry.outcome.answer is not None:
            self._answers_bytes -= len(entry.outcome.answer.body)
        entry.outcome = None

    def _store_outcome(self, entry: _Entry, outcome: Outcome) -> None:
        """Store an outcome; the body of its answer only if it is within the limits."""
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
    """Return an answer without its body."""
    return answer._replace(body=b"", complete=False)
