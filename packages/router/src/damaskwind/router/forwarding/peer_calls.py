"""Make one call to the internal address of another router."""

import asyncio

from damaskwind.model.exception import MessageError
from damaskwind.model.targets import Address
from damaskwind.router.forwarding.connections import TargetConnections
from damaskwind.runtime.http1.client import AnswerBrokenError, ConnectFailedError, fetch
from damaskwind.runtime.http1.messages import Request

__all__ = ["CALL_ERRORS", "call_peer"]

ANSWER_LIMIT_BYTES = 65_536
CALL_ERRORS = (AnswerBrokenError, ConnectFailedError, MessageError, TimeoutError)


async def call_peer(
    connections: TargetConnections, address: Address, path: bytes, body: bytes, timeout_s: float
) -> bytes:
    """Return the body of a router's answer; raise one of `CALL_ERRORS` if there is none."""
    request = Request(b"POST", path, [(b"host", b"router")], body)
    async with asyncio.timeout(timeout_s):
        connection = await connections.acquire(address.host, address, timeout_s)
        try:
            answer = await fetch(connection, request, ANSWER_LIMIT_BYTES)
        finally:
            if connection.is_in_use:
                connection.abort()
    connections.return_unused(address.host, connection)
    if answer.status != 200:
        raise AnswerBrokenError(f"status {answer.status}")
    return answer.body
