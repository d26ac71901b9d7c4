"""Real claim holders in this process, each on its own port."""

import asyncio
import os
import socket

from grpclib.server import Server

from damaskwind.control.claims.catch_up import catch_up
from damaskwind.control.claims.service import ClaimHolderService
from damaskwind.decisions.claims.holder import ClaimHolder, HolderPolicy
from damaskwind.model.targets import Address
from damaskwind.runtime.clock import read_clock
from damaskwind.wire.authentication import CallSigner, CallVerifier

__all__ = ["CLUSTER", "KEY", "Holders"]

CLUSTER = f"test-{os.getpid()}"
KEY = "cluster-key"


class Holders:
    """A group of claim holders that can be stopped and restarted without their records."""

    def __init__(self, count: int = 3, policy: HolderPolicy | None = None) -> None:
        self.policy = policy or HolderPolicy()
        self.ids = [f"h{number}" for number in range(count)]
        self.addresses: dict[str, Address] = {}
        self.holders: dict[str, ClaimHolder] = {}
        self._servers: dict[str, Server] = {}

    async def start_all(self) -> None:
        for holder_id in self.ids:
            await self.start(holder_id, 1, first=True)

    async def start(self, holder_id: str, incarnation: int, first: bool = False) -> ClaimHolder:
        """Start a holder, on its former port if it had one."""
        holder = ClaimHolder(holder_id, incarnation, self.ids, self.policy, read_clock(), first)
        service = ClaimHolderService(holder, CallVerifier(CLUSTER, KEY), read_clock)
        before = self.addresses.get(holder_id, Address("127.0.0.1", 0))
        listener = socket.create_server(tuple(before))
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server = Server([service])
        await server.start(sock=listener)
        self.addresses[holder_id] = Address(*listener.getsockname())
        self.holders[holder_id] = holder
        self._servers[holder_id] = server
        return holder

    async def kill(self, holder_id: str) -> None:
        server = self._servers.pop(holder_id)
        server.close()
        await server.wait_closed()

    async def catch_up(self, holder_id: str, limit_s: float = 5.0) -> None:
        """Let a restarted holder copy the records of the others until it may vote."""
        others = {name: where for name, where in self.addresses.items() if name != holder_id}
        signer = CallSigner(CLUSTER, KEY, holder_id)
        reading = catch_up(self.holders[holder_id], others, signer, read_clock, 0.02)
        await asyncio.wait_for(reading, limit_s)

    async def close(self) -> None:
        for holder_id in list(self._servers):
            await self.kill(holder_id)
