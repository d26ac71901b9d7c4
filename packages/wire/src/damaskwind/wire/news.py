"""News from a control replica: who serves, which configuration version there is.

A subscriber asks with what it has; the replica answers at once if there is
more, or after a while with nothing new, which shows that it lives. Bodies are
msgpack over HTTP/1.1. `decisions/0015` weighs this against grpclib.
"""

import zlib
from typing import NamedTuple

import msgspec

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.fatal_requests.suspicion import Suspicion
from damaskwind.decisions.following.read_redirection import NO_RELAY, RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.membership.target_record import PhaseChange, TargetRecord
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.exception import MessageError
from damaskwind.runtime.http1.messages import Answer, header

__all__ = [
    "DOCUMENT_PATH",
    "NEWS_PATH",
    "SUSPICIONS_PATH",
    "Document",
    "DocumentRequest",
    "LastSeen",
    "OthersLastSeen",
    "News",
    "NewsRequest",
    "SeenRevision",
    "SubscriberKind",
    "TABLE_PATH",
    "TableCopy",
    "decode_document",
    "decode_document_request",
    "decode_news",
    "decode_request",
    "decode_suspicions",
    "decode_table",
    "encode",
    "pack_answer",
    "pack_document",
    "unpack_answer",
    "unpack_document",
]

NEWS_PATH = b"/news"
DOCUMENT_PATH = b"/document"
TABLE_PATH = b"/targets"
SUSPICIONS_PATH = b"/suspicions"
# A document may be 4 MiB; nothing that grows beyond this when unpacked is one.
DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
# A table of sixty targets is 5.8 KB, and a third of that when it is compressed.
COMPRESS_MIN_BYTES = 1024
_PACKED = (b"content-encoding", b"deflate")


class SubscriberKind:
    """Who asks for news."""

    ROUTER = "router"
    REPLICA = "replica"


class LastSeen(NamedTuple):
    """A target that a process heard itself, `age_s` ago, in the life born at `born_ms`."""

    target_id: str
    age_s: float
    born_ms: int = 0


class NewsRequest(NamedTuple):
    """What a subscriber has heard: of this replica's life `epoch`, up to `revision`.

    `version` is the configuration that this replica last told it of. The answer
    may be held back for `wait_s`. `table_digest` tells which targets the
    subscriber knows, from whomever: a replica whose table says the same need
    not tell it. `held` is what a router holds at targets now, `relay` where
    it gives documents to others. Changes among many targets are told at once by the replica
    that `is_first` for a router, and by others where it still lacks them later. `last_seen` are
    the targets that reported to a router, `records` what they said that was new there.
    `suspicions_seen` is how far this replica has told what it knows of fatal requests,
    `evacuations_seen` the revision of the evacuations that it last told. `services` is what
    a router saw in the last second of services that tell no load.
    """

    node_id: str
    kind: str
    epoch: str
    revision: int
    version: int
    wait_s: float
    table_digest: int = 0
    held: tuple[HeldCount, ...] = ()
    relay: RelayEndpoint = NO_RELAY
    is_first: bool = True
    last_seen: tuple[LastSeen, ...] = ()
    records: tuple[TargetRecord, ...] = ()
    suspicions_seen: int = 0
    evacuations_seen: int = 0
    services: tuple[ServiceReport, ...] = ()


class OthersLastSeen(NamedTuple):
    """All living targets were heard, by any replica, at most `age_s` ago, but the silent ones.

    It holds for whoever knows the same targets: whose table has this `digest`.
    """

    digest: int
    age_s: float
    silent: tuple[str, ...] = ()


class News(NamedTuple):
    """What a replica knows beyond what the subscriber has.

    `is_current` says that `version` is the newest that a majority holds, as
    far as the replica's lease or its leader's word tells. `hosts` are the IP
    numbers of all replicas, `routers` how many routers ask here. `leads` says
    that the replica leads the log. `held` is what the routers that ask here hold
    together; an answer may come without it where the link has no room. `place` is the
    subscriber's among these routers, by their names. Where a replica hears many targets,
    `others_last_seen` stands in place of `last_seen`. Where its link has no room for changes,
    `table_sources` names routers that know more of them. `phases` are changes of targets that
    the subscriber knows. `suspicions` is what changed of fatal requests, up to
    `suspicions_revision`. `evacuations` are committed, and in force like `version`.
    """

    epoch: str
    revision: int
    version: int
    is_current: bool
    hosts: tuple[str, ...]
    routers: int
    records: tuple[TargetRecord, ...]
    last_seen: tuple[LastSeen, ...]
    leads: bool = False
    held: HeldSum | None = None
    place: int | None = None
    others_last_seen: OthersLastSeen | None = None
    table_sources: tuple[str, ...] = ()
    phases: tuple[PhaseChange, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    suspicions_revision: int = 0
    evacuations: Evacuations = Evacuations()


class SeenRevision(NamedTuple):
    """Up to which revision a replica's life `epoch` has told a router, itself or by others."""

    epoch: str
    revision: int


class TableCopy(NamedTuple):
    """All targets that a router knows, with what it has seen of each replica."""

    records: tuple[TargetRecord, ...]
    seen: tuple[SeenRevision, ...]


class DocumentRequest(NamedTuple):
    """Ask for the newest configuration, by one that holds `held_version`.

    A router tells its `host`, where it passes documents on, unless it wants the document
    and no router named in its place. Another router is asked for `version` at least.
    """

    held_version: int
    host: str = ""
    version: int = 0


class Document(NamedTuple):
    """A configuration document with its version, packed.

    With a `base_version` it is told by what it has in common with that one. With
    `holders` it is not here, but to be had from these routers.
    """

    version: int
    packed: bytes
    base_version: int = 0
    holders: tuple[str, ...] = ()


def encode(
    message: NewsRequest | News | DocumentRequest | Document | TableCopy | tuple[Suspicion, ...],
) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


_REQUEST_DECODER = msgspec.msgpack.Decoder(NewsRequest)
_NEWS_DECODER = msgspec.msgpack.Decoder(News)
_DOCUMENT_REQUEST_DECODER = msgspec.msgpack.Decoder(DocumentRequest)
_TABLE_DECODER = msgspec.msgpack.Decoder(TableCopy)
_SUSPICIONS_DECODER = msgspec.msgpack.Decoder(tuple[Suspicion, ...])
_DOCUMENT_DECODER = msgspec.msgpack.Decoder(Document)


def decode_request(data: bytes) -> NewsRequest:
    """Decode a request; raise `MessageError` when it is none."""
    try:
        return _REQUEST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"news request: {error}") from error


def decode_news(data: bytes) -> News:
    """Decode news; raise `MessageError` when they are none."""
    try:
        return _NEWS_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"news: {error}") from error


def decode_table(data: bytes) -> TableCopy:
    """Decode a copy of a table; raise `MessageError` when it is none."""
    try:
        return _TABLE_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"targets: {error}") from error


def decode_suspicions(data: bytes) -> tuple[Suspicion, ...]:
    """Decode what is told of fatal requests; raise `MessageError` when it is none."""
    try:
        return _SUSPICIONS_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"suspicions: {error}") from error


def pack_answer(body: bytes) -> Answer:
    """Return an answer, compressed where that is worth it: whole tables are.

    >>> unpack_answer(pack_answer(b"x" * 2000)) == b"x" * 2000
    True
    """
    if len(body) < COMPRESS_MIN_BYTES:
        return Answer(200, [], body)
    return Answer(200, [_PACKED], zlib.compress(body, 1))


def unpack_answer(answer: Answer) -> bytes:
    """Return the body of an answer; raise `MessageError` when it is damaged or too large."""
    if header(answer.headers, _PACKED[0]) is None:
        return answer.body
    return unpack_document(answer.body)


def decode_document_request(data: bytes) -> DocumentRequest:
    """Decode a request for a document; raise `MessageError` when it is none."""
    try:
        return _DOCUMENT_REQUEST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"document request: {error}") from error


def decode_document(data: bytes) -> Document:
    """Decode a document as it is sent; raise `MessageError` when it is none."""
    try:
        return _DOCUMENT_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"document: {error}") from error


def pack_document(document: bytes) -> bytes:
    """Compress a published document for the log and the links.

    >>> unpack_document(pack_document(b"{}"))
    b'{}'
    """
    return zlib.compress(document, 6)


def unpack_document(packed: bytes) -> bytes:
    """Return a document; raise `MessageError` when it is damaged or too large."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise MessageError(f"document: {error}") from error
    if not unpacker.eof:
        raise MessageError("document: cut or too large")
    return document
