"""Messages by which control replicas publish targets and configuration versions.

Updates travel by long polling: a subscriber's request states what it has. The
replica answers at once if it has more, and otherwise after a while with an empty
update, which serves as a heartbeat. Bodies are msgpack over HTTP/1.1.
`decisions/0015` compares this with grpclib.
"""

import zlib
from typing import NamedTuple

import msgspec

from damaskwind.decisions.admission.service_tally import ServiceReport
from damaskwind.decisions.admission.shed_aggregator import ShedNews
from damaskwind.decisions.admission.shed_counts import ShedReport
from damaskwind.decisions.admission.slot_owners import Granter
from damaskwind.decisions.fatal_requests.suspicion import Suspicion
from damaskwind.decisions.following.read_redirection import NO_RELAY, RelayEndpoint
from damaskwind.decisions.load.held_sums import HeldCount, HeldSum
from damaskwind.decisions.load.token_sums import HeldTokens, TokenSums
from damaskwind.decisions.membership.target_record import PhaseChange, TargetRecord
from damaskwind.decisions.routing.peers import NO_PEER, PeerEndpoint
from damaskwind.model.evacuations import Evacuations
from damaskwind.model.exception import MessageError
from damaskwind.runtime.http1.messages import Answer, header

__all__ = [
    "DOCUMENT_PATH",
    "EXTRA_COPY",
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
    "VERSIONS_WANTED",
    "BrittleNews",
    "BrittleReport",
    "BrittleService",
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
# A router that asks another one for its table states in this header that it knows versions.
VERSIONS_WANTED = (b"x-software-versions", b"1")
# A router that has asked another source already states this: others' requests go first.
EXTRA_COPY = (b"x-extra-copy", b"1")
# Documents are at most 4 MiB, so a body that decompresses to more than this is invalid.
DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
# A table of sixty targets takes 5.8 KB, and a third of that when compressed.
COMPRESS_MIN_BYTES = 1024
_PACKED = (b"content-encoding", b"deflate")


class SubscriberKind:
    """The kinds of subscribers to updates."""

    ROUTER = "router"
    REPLICA = "replica"


class LastSeen(NamedTuple):
    """A target whose report a process received itself, `age_s` ago.

    `born_ms` is the start time of the incarnation that sent it.
    """

    target_id: str
    age_s: float
    born_ms: int = 0


class BrittleReport(NamedTuple):
    """The digests of services whose targets told a router lately that they are brittle.

    `granters_digest` identifies the routers that were last named to it as granting slots.
    """

    services: tuple[int, ...] = ()
    granters_digest: int = 0


class BrittleService(NamedTuple):
    """A brittle service, by its digest, and for how long it has been known as one."""

    service: int
    age_s: float


class BrittleNews(NamedTuple):
    """The services that any router reported as brittle lately, and who grants their slots.

    `granters` is `None` if they are as the router knows them, or not this replica's to name.
    """

    services: tuple[BrittleService, ...]
    granters: tuple[Granter, ...] | None = None


class NewsRequest(NamedTuple):
    """A request for updates beyond the `revision` of this replica's `epoch`.

    An epoch is one run of the replica. `version` is the configuration version that
    this replica last reported to the subscriber. The answer may be delayed by up to
    `wait_s`. `table_digest` identifies the targets that the subscriber knows from any
    source; a replica whose table has the same digest needn't send it. `held` counts a
    router's requests in progress at targets, and `relay` is the endpoint at which it
    serves documents to other routers. Where there are many targets, changes are sent at
    once only by the replica that `is_first` for a router; other replicas send them later
    if the router still lacks them. `last_seen` lists the targets that reported to a
    router, and `records` what was new there in their reports. `suspicions_seen` is the
    revision up to which this replica has sent suspicions of fatal requests, and
    `evacuations_seen` the revision of the evacuations that it last sent. `services` is
    what a router observed in the last second of services that report no load. `held_tokens`
    is what its requests hold at engines, `None` if it doesn't ask for the sums of these.
    `shedding` is what it observed of each service by priority and client account; it is empty
    from a router that does not take part in fleet-wide load shedding. `peer` is the endpoint at
    which a router sends requests on for others, and `peers_digest` identifies the routers that
    were last named to it. It `is_cut_off` if it reaches no target of some service itself. A
    subscriber that `knows_versions` can decode records with the targets' software versions.
    `brittle` is `None` from a subscriber that doesn't send to targets.
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
    held_tokens: tuple[HeldTokens, ...] | None = None
    shedding: tuple[ShedReport, ...] = ()
    peer: PeerEndpoint = NO_PEER
    peers_digest: int = 0
    is_cut_off: bool = False
    knows_versions: bool = False
    brittle: BrittleReport | None = None


class OthersLastSeen(NamedTuple):
    """States that all live targets but the silent ones reported at most `age_s` ago.

    Each reported to some replica. It applies only to a receiver that knows the same
    targets, that is, whose table has this `digest`.
    """

    digest: int
    age_s: float
    silent: tuple[str, ...] = ()


class News(NamedTuple):
    """An update: what a replica has beyond what the subscriber has.

    `is_current` states that `version` is the newest that a majority has stored,
    according to the replica's lease or its leader's announcement. `hosts` are the IP
    addresses of all replicas, and `routers` is the number of routers that subscribe to
    this replica. `leads` states that the replica is the log's leader. `held` sums the
    requests in progress of these routers; it may be omitted where the link has no
    bandwidth left. `place` is the subscriber's index among these routers, ordered by
    name. Where a replica receives reports of many targets, `others_last_seen` replaces
    `last_seen`. Where its link has no bandwidth left for changes, `table_sources` names
    routers that have more of them. `phases` are changes of targets that the subscriber
    knows. `suspicions` are the changed suspicions of fatal requests, up to
    `suspicions_revision`. `evacuations` are committed, and in force like `version`.
    `held_tokens` sums what the routers' requests hold at engines, for those that report it.
    `shedding` states which requests are shed, for routers that report counts for it. `peers`
    are the routers through which the subscriber may send, `None` if it was told these before.
    `brittle` is `None` while no service is known as brittle.
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
    held_tokens: TokenSums | None = None
    shedding: ShedNews | None = None
    peers: tuple[PeerEndpoint, ...] | None = None
    brittle: BrittleNews | None = None


class SeenRevision(NamedTuple):
    """The revision of a replica's `epoch` that a router has, directly or from another router."""

    epoch: str
    revision: int


class TableCopy(NamedTuple):
    """All targets that a router knows, with the revision it has of each replica.

    A copy that `has_versions` states the targets' software versions.
    """

    records: tuple[TargetRecord, ...]
    seen: tuple[SeenRevision, ...]
    has_versions: bool = False


class DocumentRequest(NamedTuple):
    """A request for the newest configuration from a process that has `held_version`.

    A router gives its `host`, at which it relays documents, unless it requests the document
    itself and no referral to other routers. Another router is asked for at least `version`.
    """

    held_version: int
    host: str = ""
    version: int = 0


class Document(NamedTuple):
    """A configuration document with its version, compressed.

    With a `base_version`, `packed` is the difference from that version. With `holders`,
    the document is not included and can be fetched from these routers.
    """

    version: int
    packed: bytes
    base_version: int = 0
    holders: tuple[str, ...] = ()


def encode(
    message: NewsRequest | News | DocumentRequest | Document | TableCopy | tuple[Suspicion, ...],
    with_versions: bool = False,
) -> bytes:
    """Encode a message, without its newest fields where these have their defaults.

    Decoders refuse arrays longer than the message they know, so that a process of an earlier
    version understands only a message without fields that it doesn't know. Software versions of
    targets are included only `with_versions`, for a receiver that knows of them.
    """
    if isinstance(message, NewsRequest | News | TableCopy):
        records = tuple(_known_fields(record, with_versions) for record in message.records)
        message = message._replace(records=records)
    return msgspec.msgpack.encode(_without_unused(message))


def _known_fields(record: TargetRecord, with_versions: bool) -> tuple:
    """Return the fields of a record that its receiver can decode."""
    return record if with_versions and record.version else record[:_RECORD_FIELDS]


def _without_unused(message: tuple) -> tuple:
    """Return the fields of a message up to the last one that needs to be sent."""
    known = _FIELDS_OF_ALL_VERSIONS.get(type(message))
    if known is None:
        return message
    fields, defaults = type(message)._fields, type(message)._field_defaults
    size = len(message)
    while size > known and message[size - 1] == defaults[fields[size - 1]]:
        size -= 1
    return tuple(message[:size])


# The number of leading fields that are always sent.
_FIELDS_OF_ALL_VERSIONS = {NewsRequest: 15, News: 17, TableCopy: 2}
# The number of leading fields of a target's record that every version decodes.
_RECORD_FIELDS = TargetRecord._fields.index("version")
_REQUEST_DECODER = msgspec.msgpack.Decoder(NewsRequest)
_NEWS_DECODER = msgspec.msgpack.Decoder(News)
_DOCUMENT_REQUEST_DECODER = msgspec.msgpack.Decoder(DocumentRequest)
_TABLE_DECODER = msgspec.msgpack.Decoder(TableCopy)
_SUSPICIONS_DECODER = msgspec.msgpack.Decoder(tuple[Suspicion, ...])
_DOCUMENT_DECODER = msgspec.msgpack.Decoder(Document)


def decode_request(data: bytes) -> NewsRequest:
    """Decode a request; raise `MessageError` if it is malformed."""
    try:
        return _REQUEST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"news request: {error}") from error


def decode_news(data: bytes) -> News:
    """Decode an update; raise `MessageError` if it is malformed."""
    try:
        return _NEWS_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"news: {error}") from error


def decode_table(data: bytes) -> TableCopy:
    """Decode a copy of a table; raise `MessageError` if it is malformed."""
    try:
        return _TABLE_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"targets: {error}") from error


def decode_suspicions(data: bytes) -> tuple[Suspicion, ...]:
    """Decode suspicions of fatal requests; raise `MessageError` if they are malformed."""
    try:
        return _SUSPICIONS_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"suspicions: {error}") from error


def pack_answer(body: bytes) -> Answer:
    """Return an answer, compressed if the body is large, as those with whole tables are.

    >>> unpack_answer(pack_answer(b"x" * 2000)) == b"x" * 2000
    True
    """
    if len(body) < COMPRESS_MIN_BYTES:
        return Answer(200, [], body)
    return Answer(200, [_PACKED], zlib.compress(body, 1))


def unpack_answer(answer: Answer) -> bytes:
    """Return the body of an answer; raise `MessageError` if it is damaged or too large."""
    if header(answer.headers, _PACKED[0]) is None:
        return answer.body
    return unpack_document(answer.body)


def decode_document_request(data: bytes) -> DocumentRequest:
    """Decode a request for a document; raise `MessageError` if it is malformed."""
    try:
        return _DOCUMENT_REQUEST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"document request: {error}") from error


def decode_document(data: bytes) -> Document:
    """Decode a document message; raise `MessageError` if it is malformed."""
    try:
        return _DOCUMENT_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"document: {error}") from error


def pack_document(document: bytes) -> bytes:
    """Compress a published document for storage in the log and for sending.

    >>> unpack_document(pack_document(b"{}"))
    b'{}'
    """
    return zlib.compress(document, 6)


def unpack_document(packed: bytes) -> bytes:
    """Decompress a document; raise `MessageError` if it is damaged or too large."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise MessageError(f"document: {error}") from error
    if not unpacker.eof:
        raise MessageError("document: cut or too large")
    return document
