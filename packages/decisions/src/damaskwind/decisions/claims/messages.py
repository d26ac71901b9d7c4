"""Messages between claim proposers and holders, and the outcomes of a claim."""

from enum import StrEnum
from typing import NamedTuple

from damaskwind.model.verdict import Refusal, Verdict

__all__ = [
    "Accepted",
    "Ballot",
    "CatchUpRead",
    "CatchUpReply",
    "ClaimKind",
    "ClaimOutcome",
    "ClaimRecord",
    "ClaimValue",
    "HolderMemory",
    "Order",
    "OrderReply",
    "Outcome",
    "Promise",
    "Record",
    "RecordReply",
    "Rejection",
    "StoredAnswer",
    "Write",
    "WriteReply",
]


class Ballot(NamedTuple):
    """The ballot of an attempt on a key; `request_id` makes it unique."""

    counter: int
    request_id: str


class ClaimValue(NamedTuple):
    """The value decided for a key: the request that may run and the digest of its body."""

    request_id: str
    request_digest: str


class StoredAnswer(NamedTuple):
    """The answer stored for resends of a request.

    If the body exceeded the size limit, `body` is empty and `complete` is false;
    `body_digest` is still that of the whole body.
    """

    http_status: int
    content_type: str
    body: bytes
    body_digest: str
    complete: bool = True


class Outcome(NamedTuple):
    """The outcome of the request that owns a key; `not-run` means it will never run."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class Accepted(NamedTuple):
    """The value that a holder accepted last, with its ballot."""

    ballot: Ballot
    value: ClaimValue


class Rejection(StrEnum):
    """The reason why a holder rejects a message; `NONE` if it accepted the message."""

    NONE = ""
    STALE_BALLOT = "stale_ballot"
    STALE_INCARNATION = "stale_incarnation"
    NOT_VOTING = "not_voting"
    FULL = "full"
    UNKNOWN = "unknown"


class Order(NamedTuple):
    """First phase: ask a holder to accept no write below `ballot`."""

    key: str
    ballot: Ballot


class Promise(NamedTuple):
    """The promise of a holder, identified by the holder and its incarnation."""

    holder_id: str
    incarnation: int


class OrderReply(NamedTuple):
    """A promise, or a rejection with the highest ballot promised so far.

    `incarnations` are the newest incarnations of holders that are known to this one.
    """

    rejection: Rejection
    incarnation: int
    promised: Ballot | None = None
    accepted: Accepted | None = None
    outcome: Outcome | None = None
    incarnations: tuple[Promise, ...] = ()


class Write(NamedTuple):
    """Second phase: ask a holder to accept `value`.

    `promises` contains every promise that the write depends on.
    """

    key: str
    ballot: Ballot
    value: ClaimValue
    promises: tuple[Promise, ...]


class WriteReply(NamedTuple):
    """The reply of a holder to a write."""

    rejection: Rejection
    incarnation: int
    promised: Ballot | None = None


class Record(NamedTuple):
    """Report the outcome of the request that owns a key to a holder."""

    key: str
    accepted: Accepted
    outcome: Outcome


class RecordReply(NamedTuple):
    """The reply of a holder to the record of an outcome."""

    rejection: Rejection
    incarnation: int


class ClaimRecord(NamedTuple):
    """The state of a key that a holder sends to a holder that catches up."""

    key: str
    age_s: float
    promised: Ballot | None
    accepted: Accepted | None = None
    outcome: Outcome | None = None


class CatchUpRead(NamedTuple):
    """Request all records for a restarted holder, announcing its incarnation."""

    holder_id: str
    incarnation: int


class CatchUpReply(NamedTuple):
    """All records of a voting holder, and the incarnations known to it."""

    rejection: Rejection
    holder_id: str
    incarnation: int
    incarnations: tuple[Promise, ...] = ()
    records: tuple[ClaimRecord, ...] = ()


class ClaimKind(StrEnum):
    """The kind of the outcome of a claim."""

    GRANTED = "granted"
    DONE = "done"
    IN_USE = "in_use"
    MISMATCH = "mismatch"
    NO_QUORUM = "no_quorum"


class ClaimOutcome(NamedTuple):
    """The outcome of a claim, which determines how the router handles the request.

    `GRANTED`: run the request, then record its outcome with `accepted`. `DONE`: return
    `answer`. All other kinds carry the `refusal` to return.
    """

    kind: ClaimKind
    accepted: Accepted | None = None
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class HolderMemory(NamedTuple):
    """The state of a holder to be stored at a clean stop."""

    holder_ids: tuple[str, ...]
    incarnations: tuple[Promise, ...]
    records: tuple[ClaimRecord, ...]
