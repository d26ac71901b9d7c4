"""Messages between routers that send requests on for one another.

A request is sent on as to an HTTP proxy (RFC 9112, section 3.2.2): its target names the address
of the target in absolute form, and `Proxy-Authorization` carries the key of the router that is
asked. Each answer that comes from the target has a `Proxy-Status` (RFC 9209) that names the
router; one that the router gives itself also states the error there. Both are the first headers
of their name and are removed by the receiver. A router never sends a request on twice: it
answers over its own path or not at all.

>>> Failure.parse([(b"proxy-status", b'r1; error=connection_timeout')])
<Failure.CONNECTION_TIMEOUT: 'connection_timeout'>
"""

import zlib
from enum import StrEnum
from typing import NamedTuple

import msgspec

from damaskwind.decisions.routing.peers import PeerEndpoint
from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.runtime.http1.messages import Headers, header

__all__ = [
    "AUTHORIZATION",
    "FORWARD_PREFIX",
    "REACH_PATH",
    "STATUS",
    "Failure",
    "Reach",
    "ReachQuestion",
    "authorization",
    "decode_question",
    "decode_reach",
    "drop_first",
    "encode_message",
    "forwarded_target",
    "peers_digest",
    "relay_status",
    "split_target",
    "states_unframed",
]

REACH_PATH = b"/reach"
FORWARD_PREFIX = b"http://"
AUTHORIZATION = b"proxy-authorization"
STATUS = b"proxy-status"
# The parameter of that field by which a router states that the target framed its answer neither by
# a length nor by chunks, and outlived it.
_UNFRAMED = b"; unframed"
# The version of this exchange; a router refuses another one.
_SCHEME = b"Router-1 "


class Failure(StrEnum):
    """Why a router did not send a request on, or lost the answer (error types of RFC 9209)."""

    REFUSED = "http_request_denied"
    NO_TARGET = "destination_not_found"
    UNAVAILABLE = "destination_unavailable"
    BUSY = "connection_limit_reached"
    CONNECTION_FAILED = "connection_refused"
    CONNECTION_TIMEOUT = "connection_timeout"
    BROKEN = "connection_terminated"
    STALLED = "http_response_timeout"

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have received the request."""
        return self in (Failure.BROKEN, Failure.STALLED)

    @classmethod
    def parse(cls, headers: Headers) -> "Failure | None":
        """Return the failure that a router states, `None` if the answer is the target's."""
        status = header(headers, STATUS) or b""
        error = status.partition(b"error=")[2].decode("latin-1")
        if not error:
            return None
        return cls(error) if error in list(cls) else cls.BROKEN


def relay_status(node_id: bytes, is_unframed: bool) -> tuple[bytes, bytes]:
    """Return the header field with which a router passes an answer of a target on.

    >>> relay_status(b"router-1", True)
    (b'proxy-status', b'router-1; unframed')
    >>> states_unframed([relay_status(b"router-1", False)])
    False
    """
    return (STATUS, node_id + _UNFRAMED if is_unframed else node_id)


def states_unframed(headers: Headers) -> bool:
    """Return whether a router states that the answer that it passes on had no frame."""
    return (header(headers, STATUS) or b"").endswith(_UNFRAMED)


class ReachQuestion(NamedTuple):
    """Asks a router which services it reaches, and to probe some targets now.

    `key` is that of the router that is asked.
    """

    key: str
    services: tuple[str, ...]
    probed: tuple[str, ...] = ()


class Reach(NamedTuple):
    """What a router reaches of what it was asked for.

    `services` are those of which it reaches targets, `unreachable` the digests of their targets
    that it does not reach, `reached` the targets that answered its probe. `in_flight` counts
    the requests that it sends on for others.
    """

    services: tuple[str, ...]
    unreachable: tuple[int, ...]
    reached: tuple[str, ...]
    in_flight: int


_QUESTION_DECODER = msgspec.msgpack.Decoder(ReachQuestion)
_REACH_DECODER = msgspec.msgpack.Decoder(Reach)


def encode_message(message: ReachQuestion | Reach) -> bytes:
    """Encode a question or its answer."""
    return msgspec.msgpack.encode(message)


def decode_question(data: bytes) -> ReachQuestion:
    """Decode a question; raise `MessageError` if it is malformed."""
    try:
        return _QUESTION_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"reach question: {error}") from error


def decode_reach(data: bytes) -> Reach:
    """Decode the answer to a question; raise `MessageError` if it is malformed."""
    try:
        return _REACH_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"reach: {error}") from error


def peers_digest(peers: tuple[PeerEndpoint, ...]) -> int:
    """Return a digest by which a replica knows the peers that a router was told; 0 for none.

    >>> peers_digest(()), peers_digest((PeerEndpoint("h", "k", "d"),)) > 0
    (0, True)
    """
    return zlib.crc32(msgspec.msgpack.encode(peers)) if peers else 0


def authorization(key: str) -> bytes:
    """Return the value that proves to a router that a request comes from another one.

    >>> authorization("k")
    b'Router-1 k'
    """
    return _SCHEME + key.encode()


def forwarded_target(address: Address, target: bytes) -> bytes:
    """Return the target of a request that another router sends on to an address.

    >>> forwarded_target(Address("10.1.0.1", 80), b"/a?b")
    b'http://10.1.0.1:80/a?b'
    """
    return FORWARD_PREFIX + str(address).encode() + target


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the address and the path with the query of a request that is sent on.

    >>> split_target(b"http://10.1.0.1:80/a?b")
    (b'10.1.0.1:80', b'/a?b')
    """
    address, slash, path = target.removeprefix(FORWARD_PREFIX).partition(b"/")
    return address, slash + path


def drop_first(headers: Headers, name: bytes) -> Headers:
    """Return the headers without the first one of a name.

    >>> drop_first([(b"a", b"1"), (b"b", b"2"), (b"a", b"3")], b"a")
    [(b'b', b'2'), (b'a', b'3')]
    """
    index = next((place for place, item in enumerate(headers) if item[0] == name), None)
    return headers if index is None else [*headers[:index], *headers[index + 1 :]]
