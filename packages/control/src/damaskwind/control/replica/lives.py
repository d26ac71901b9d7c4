"""Find out whether a request to add a member comes from a life of it that has ended.

A request may be kept or delayed for seconds. If the replica has lost its disk again in the
meantime, adding the former life would put out the one that runs.
"""

import asyncio

from damaskwind.control.replica.peer_calls import call_peer
from damaskwind.control.replica.transport import Channels
from damaskwind.decisions.replication.messages import Member
from damaskwind.model.targets import Address
from damaskwind.wire.authentication import CallSigner
from damaskwind.wire.replication_pb2 import HelloRequest

__all__ = ["has_ended"]

# A join waits for these greetings, so that a replica that isn't reached costs it little.
HELLO_TIMEOUT_S = 0.5


async def has_ended(
    member: Member,
    address: Address,
    known_address: Address | None,
    channels: Channels,
    signer: CallSigner,
) -> bool:
    """Return whether another life of a member's replica answers, and this one doesn't.

    The replica is greeted where the request says that it listens, and where the other
    members reach it. If it answers at neither, nothing is known.
    """
    addresses = dict.fromkeys(item for item in (address, known_address) if item is not None)
    calls = [_running_life(item, channels, signer) for item in addresses]
    lives = [life for life in await asyncio.gather(*calls) if life is not None]
    others = [life for life in lives if life.replica_id == member.replica_id and life != member]
    return bool(others) and member not in lives


async def _running_life(address: Address, channels: Channels, signer: CallSigner) -> Member | None:
    """Return the member that answers at an address, or `None`."""
    reply = await call_peer(address, "Hello", HelloRequest(), channels, signer, HELLO_TIMEOUT_S)
    return Member(reply.replica_id, reply.identity) if reply is not None else None
