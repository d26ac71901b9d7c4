"""Ask the members of a log to add this replica, all of them at once.

A member that leads adds it, another one forwards the request to the leader that it follows.
Which of them can is not known to the asker, and each may wait: for a leader that has ended,
stands still or is not elected yet. So nobody is waited for alone, and a turn in which no
member answers is followed by another one while its requests go on.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from loguru import logger

from damaskwind.control.replica.peer_calls import call_peer
from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.transport import Channels
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire import replication_pb2
from damaskwind.wire.authentication import CallSigner

__all__ = ["JoinRequests"]

# A peer may wait for an election, and for a commit on slow disks, before it answers.
JOIN_TIMEOUT_S = 5.0
# Sound peers answer within this time; beyond it, others may know more than those that were asked.
JOIN_TURN_S = 1.0


class JoinRequests:
    """The requests of one replica to be added; at most five turns of them are in flight."""

    def __init__(
        self, replica: Replica, address: str, failure_domain: str, signer: CallSigner
    ) -> None:
        self._replica = replica
        self._address = address
        self._failure_domain = failure_domain
        self._signer = signer
        self._channels = Channels()
        self._tasks: set[asyncio.Task[bool]] = set()
        self._started_s = read_clock()

    async def ask(self, peers: Iterable[Address]) -> None:
        """Ask all peers at once; return once one has added this replica, or all have answered.

        Returns after `JOIN_TURN_S` at the latest; calls without an answer go on.
        """
        turn = {asyncio.ensure_future(self._ask(peer)) for peer in peers}
        self._tasks |= turn
        end_s = read_clock() + JOIN_TURN_S
        while turn and read_clock() < end_s:
            done, turn = await asyncio.wait(
                turn, timeout=end_s - read_clock(), return_when=asyncio.FIRST_COMPLETED
            )
            self._tasks -= done
            if any(task.result() for task in done):
                self._log_joined()
                return
        self._tasks -= {task for task in self._tasks if task.done()}

    async def close(self) -> None:
        """End all requests and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._channels.close()

    async def _ask(self, peer: Address) -> bool:
        """Ask one peer to add this replica; return whether that was committed."""
        asked_s = read_clock()
        reply = await call_peer(
            peer, "Change", self._request(), self._channels, self._signer, JOIN_TIMEOUT_S
        )
        self._log_answer(peer, reply, asked_s)
        return reply is not None and reply.state == "committed"

    def _request(self) -> replication_pb2.ChangeRequest:
        member = self._replica.member
        return replication_pb2.ChangeRequest(
            action="add",
            replica_id=member.replica_id,
            identity=member.identity,
            address=self._address,
            failure_domain=self._failure_domain,
            timeout_ms=int(JOIN_TIMEOUT_S * 1000),
        )

    def _log_answer(self, peer: Address, reply: Any, asked_s: float) -> None:
        """Log what a peer replied to the request to add this replica, and after which time."""
        logger.info(
            "asked to be added",
            peer=str(peer),
            identity=self._replica.member.identity,
            outcome="no answer" if reply is None else reply.state,
            why="" if reply is None else reply.detail,
            leader="" if reply is None else reply.leader_id,
            took_s=round(read_clock() - asked_s, 3),
        )

    def _log_joined(self) -> None:
        """Log that this replica is a learner now, and after which time."""
        member = self._replica.member
        logger.info(
            "joined as a learner",
            replica=member.replica_id,
            identity=member.identity,
            took_s=round(read_clock() - self._started_s, 3),
        )
