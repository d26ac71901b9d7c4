"""The messages between claim proposers and holders, and what a claim yields."""

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
    """Orders the attempts on one key; `request_id` makes it unique."""

    counter: int
    request_id: str


class ClaimValue(NamedTuple):
    """What is decided for a key: the request that may run and its body's digest."""

    request_id: str
    request_digest: str


class StoredAnswer(NamedTuple):
    """The answer kept for resends.

    When the body was over the bound, `body` is empty and `complete` is false;
    `body_digest` still tells what it was.
    """

    http_status: int
    content_type: str
    body: bytes
    body_digest: str
    complete: bool = True


class Outcome(NamedTuple):
    """How the owner's request ended; `not-run` means that it never will run."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class Accepted(NamedTuple):
    """The value that a holder accepted last, and the ballot it came with."""

    ballot: Ballot
    value: ClaimValue


class Rejection(StrEnum):
    """Name why a holder refuses a message; `NONE` means that it took it."""

    NONE = ""
    STALE_BALLOT = "stale_ballot"
    STALE_INCARNATION = "stale_incarnation"
    NOT_VOTING = "not_voting"
    FULL = "full"
    UNKNOWN = "unknown"


class Order(NamedTuple):
    """First phase: ask a holder to take no write below `ballot`."""

    key: str
    ballot: Ballot


class Promise(NamedTuple):
    """A holder's promise together with the incarnation that gave it."""

    holder_id: str
    incarnation: int


class OrderReply(NamedTuple):
    """A promise, or a rejection with the highest ballot promised.

    `incarnations` are the newest ones that the holder has heard of.
    """

    rejection: Rejection
    incarnation: int
    promised: Ballot | None = None
    accepted: Accepted | None = None
    outcome: Outcome | None = None
    incarnations: tuple[Promise, ...] = ()


class Write(NamedTuple):
    """Second phase: ask a holder to accept `value`.

    `promises` names every holder whose promise the write rests on.
    """

    key: str
    ballot: Ballot
    value: ClaimValue
    promises: tuple[Promise, ...]


class WriteReply(NamedTuple):
    """Whether a holder accepted a write."""

    rejection: Rejection
    incarnation: int
    promised: Ballot | None = None


class Record(NamedTuple):
    """Tell a holder how the owner's request ended."""

    key: str
    accepted: Accepted
    outcome: Outcome


class RecordReply(NamedTuple):
    """Whether a holder keeps the outcome."""

    rejection: Rejection
    incarnation: int


class ClaimRecord(NamedTuple):
    """One key as a holder hands it to another that catches up."""

    key: str
    age_s: float
    promised: Ballot | None
    accepted: Accepted | None = None
    outcome: Outcome | None = None


class CatchUpRead(NamedTuple):
    """A restarted holder asks for all records and announces its incarnation."""

    holder_id: str
    incarnation: int


class CatchUpReply(NamedTuple):
    """All records of a voting holder, and the incarnations it knows."""

    rejection: Rejection
    holder_id: str
    incarnation: int
    incarnations: tuple[Promise, ...] = ()
    records: tuple[ClaimRecord, ...] = ()


class ClaimKind(StrEnum):
    """Name what a claim yielded."""

    GRANTED = "granted"
    DONE = "done"
    IN_USE = "in_use"
    MISMATCH = "mismatch"
    NO_QUORUM = "no_quorum"


class ClaimOutcome(NamedTuple):
    """What the router does with a claimed request.

    `GRANTED`: run it, then record its outcome with `accepted`. `DONE`: answer with
    `answer`. All other kinds come with the `refusal` to send.
    """

    kind: ClaimKind
    accepted: Accepted | None = None
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class HolderMemory(NamedTuple):
    """All that a holder must not forget, as it stopped."""

    holder_ids: tuple[str, ...]
    incarnations: tuple[Promise, ...]
    records: tuple[ClaimRecord, ...]
