"""Found a new cluster or join an existing one.

A bootstrap replica is founding once every other bootstrap replica has reported
that it has no log. Only the first in the list founds the cluster, with itself
as the only voter, and only after all others are founding too. A replica that
lost its disk therefore never founds a second cluster, and each replica records
whether it was present from the beginning. All other replicas, and any that
restarts without its disk, ask to be added: first as a learner, later as a
voter, under the identity in their current data folder.
"""

import asyncio
from random import Random
from typing import Any

from loguru import logger

from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.join_requests import JoinRequests
from damaskwind.control.replica.lost_voters import Greeting, find_lost_majority
from damaskwind.control.replica.peer_calls import call_peer
from damaskwind.control.replica.service import ReplicationService
from damaskwind.control.replica.transport import Channels
from damaskwind.control.storage.folder import DataFolder
from damaskwind.control.storage.journal import Journal
from damaskwind.decisions.replication.messages import Member
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.settings import ReplicaSettings, parse_address
from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallSigner

__all__ = ["found_or_join_cluster", "rejoin_if_removed"]

RETRY_S = 0.5
HELLO_TIMEOUT_S = 1.0
# How long the other replies are waited for once a replica with a log has replied.
HELLO_GRACE_S = 0.1
# A replica without contact with a leader for several elections may have been removed.
REJOIN_AFTER_S = 4.0


async def found_or_join_cluster(
    access: LogAccess,
    journal: Journal,
    folder: DataFolder,
    service: ReplicationService,
    bootstrap: tuple[ReplicaSettings, ...],
    failure_domain: str,
    signer: CallSigner,
    random: Random,
    may_found: bool = True,
    joins_unlisted: bool = False,
) -> None:
    """Found or join a cluster; return once this replica is part of a log.

    A replica that is not in the bootstrap list waits until an operator adds it,
    unless `joins_unlisted` lets it ask the listed ones. Without `may_found` it
    never founds a cluster, because one existed before it.
    """
    replica = access.replica
    own_id = replica.member.replica_id
    others = [item for item in bootstrap if item.replica_id != own_id]
    is_listed = len(others) < len(bootstrap)
    may_ask = is_listed or joins_unlisted
    channels = Channels()
    requests = JoinRequests(replica, service.address, failure_domain, signer)
    try:
        while replica.is_running and not replica.has_log:
            hellos = await _greet_bootstrap_replicas(others, channels, signer) if may_ask else []
            members = _addresses_of_members(others, hellos, service.address)
            if members:
                await _ask_to_join(requests, members)
            elif is_listed and may_found and None not in hellos and not replica.has_log:
                if not service.is_founding:
                    folder.mark_founding()
                    service.is_founding = True
                if _can_found_cluster(bootstrap, own_id, hellos):
                    await replica.found_cluster(journal)
                    return
            await replica.wait_until(lambda: replica.has_log, random.uniform(0, RETRY_S))
    finally:
        await requests.close()
        channels.close()


async def rejoin_if_removed(
    access: LogAccess,
    service: ReplicationService,
    bootstrap: tuple[ReplicaSettings, ...],
    failure_domain: str,
    signer: CallSigner,
) -> None:
    """Ask to be added again when this replica has had no contact with a leader.

    The others may have removed it from the membership. A leader for which it
    is still a member refuses the request, which changes nothing.
    """
    replica = access.replica
    own_id = replica.member.replica_id
    channels = Channels()
    requests = JoinRequests(replica, service.address, failure_domain, signer)
    last_led_s = float("-inf")
    try:
        while replica.is_running:
            await asyncio.sleep(REJOIN_AFTER_S / 4)
            if replica.is_leader:
                last_led_s = read_clock()
            silent_s = read_clock() - max(last_led_s, replica.core.leader_seen_s)
            if not replica.has_log or silent_s < REJOIN_AFTER_S:
                access.lost_voters.record(())
                continue
            members = replica.core.membership.voters + replica.core.membership.learners
            others = {member.replica_id for member in members} - {own_id}
            addresses = [replica.state.addresses.address_of(item) for item in sorted(others)]
            addresses += [parse_address(item.address) for item in bootstrap]
            distinct = [address for address in dict.fromkeys(addresses) if address is not None]
            # A call into a network partition lasts for its whole timeout, even long after
            # the partition has healed. So only replicas that answer a short call are asked.
            hellos = await _call_hello(distinct, channels, signer)
            reachable = _answering(distinct, hellos)
            greetings = [
                _greeting(reply, replica.core.membership.learners)
                for reply in hellos
                if reply is not None
            ]
            voters = replica.core.membership.voters
            access.lost_voters.record(find_lost_majority(voters, greetings))
            logger.info(
                "asking to be added again", silent_s=round(silent_s, 1), answering=len(reachable)
            )
            await _ask_to_join(requests, reachable)
    finally:
        await requests.close()
        channels.close()


def _can_found_cluster(
    bootstrap: tuple[ReplicaSettings, ...], own_id: str, hellos: list[Any]
) -> bool:
    """Return whether this replica is the founder and all others are ready for it."""
    return bootstrap[0].replica_id == own_id and all(reply.is_founding for reply in hellos)


def _addresses_of_members(
    others: list[ReplicaSettings], hellos: list[Any], own_address: str
) -> list[Address]:
    """Return where replicas with a log listen, and the members that they know of.

    Replicas other than the listed ones may vote, and each has to learn that a leader
    that is back without its disk leads no more. Once one has a log, those that have not
    replied yet are asked too.
    """
    with_log = [reply for reply in hellos if reply is not None and reply.has_log]
    if not with_log:
        return []
    replies = zip(others, hellos, strict=False)
    addresses = [item.address for item, reply in replies if reply is None or reply.has_log]
    for reply in with_log:
        addresses += reply.member_addresses
    return [parse_address(item) for item in dict.fromkeys(addresses) if item != own_address]


async def _greet_bootstrap_replicas(
    others: list[ReplicaSettings], channels: Channels, signer: CallSigner
) -> list[Any]:
    """Call `Hello` at the other bootstrap replicas; `None` for those without a reply.

    A replica with a log knows the members, so that the others are not waited for then.
    """
    addresses = [parse_address(item.address) for item in others]
    calls = [asyncio.ensure_future(_hello(item, channels, signer)) for item in addresses]
    try:
        waiting = set(calls)
        while waiting and not any(reply.has_log for reply in _replies(calls) if reply is not None):
            _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        if waiting:
            await asyncio.wait(waiting, timeout=HELLO_GRACE_S)
        return _replies(calls)
    finally:
        for call in calls:
            call.cancel()


def _replies(calls: list[asyncio.Task]) -> list[Any]:
    """Return the replies so far; `None` for calls that failed or still wait."""
    return [call.result() if call.done() else None for call in calls]


async def _reachable(
    addresses: list[Address], channels: Channels, signer: CallSigner
) -> list[Address]:
    """Return the addresses at which a replica replies now."""
    return _answering(addresses, await _call_hello(addresses, channels, signer))


def _answering(addresses: list[Address], hellos: list[Any]) -> list[Address]:
    """Return the addresses whose replies came."""
    return [address for address, reply in zip(addresses, hellos, strict=True) if reply is not None]


def _greeting(reply: Any, learners: tuple[Member, ...]) -> Greeting:
    """Return who replied to `Hello`; a learner has no more than the beginning of a log."""
    member = Member(reply.replica_id, reply.identity)
    return Greeting(member, reply.has_log and member not in learners)


async def _call_hello(
    addresses: list[Address], channels: Channels, signer: CallSigner
) -> list[Any]:
    """Call `Hello` at all addresses concurrently; `None` where no reply came in time."""
    return list(await asyncio.gather(*(_hello(item, channels, signer) for item in addresses)))


async def _hello(address: Address, channels: Channels, signer: CallSigner) -> Any:
    """Call `Hello` at an address; return `None` when no reply came in time."""
    request = replication_pb2.HelloRequest()
    return await call_peer(address, "Hello", request, channels, signer, HELLO_TIMEOUT_S)


async def _ask_to_join(requests: JoinRequests, peers: list[Address]) -> None:
    """Ask the peers to add this replica, for one turn."""
    await requests.ask(peers)
