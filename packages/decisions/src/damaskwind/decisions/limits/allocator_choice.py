"""Assign accounts to allocator routers in blocks.

Accounts of one block share an allocator in each failure domain, so that a router
communicates with few allocators and needs few datagrams for its reports. The number
of blocks grows with that of accounts, so that many accounts spread over all routers.
"""

from collections.abc import Collection, Mapping, Sequence

from damaskwind.decisions.limits.codec import name_digest
from damaskwind.decisions.limits.slices import choose_allocator

__all__ = ["AllocatorChoice", "block_count", "block_of"]

ACCOUNTS_PER_BLOCK = 2


def block_count(accounts: int) -> int:
    """Return the number of blocks, a power of two, so that it rarely changes.

    >>> block_count(1), block_count(10), block_count(1400)
    (1, 8, 1024)
    """
    min_blocks = max(1, -(-accounts // ACCOUNTS_PER_BLOCK))
    return 1 << (min_blocks - 1).bit_length()


def block_of(account: str, blocks: int) -> str:
    """Return the name of an account's block."""
    return f"block-{name_digest(account) % blocks}-of-{blocks}"


class AllocatorChoice:
    """The mapping of accounts to allocators, given the routers known at present.

    >>> choice = AllocatorChoice()
    >>> choice.set_accounts(["x"])
    >>> choice.set_routers({"a": ["a/0"]})
    >>> choice.find("x", "a")
    'a/0'
    """

    def __init__(self) -> None:
        self._blocks: dict[str, str] = {}
        self._routers: dict[str, tuple[str, ...]] = {}
        self._chosen: dict[tuple[str, str], str] = {}

    def set_accounts(self, accounts: Collection[str]) -> None:
        """Set the configured accounts, which must be the same on all routers."""
        if self._blocks.keys() == set(accounts):
            return
        blocks = block_count(len(accounts))
        self._blocks = {account: block_of(account, blocks) for account in accounts}

    def set_routers(self, routers: Mapping[str, Sequence[str]]) -> None:
        """Set the live routers of each domain."""
        sorted_routers = {domain: tuple(sorted(names)) for domain, names in routers.items()}
        if sorted_routers != self._routers:
            self._routers = sorted_routers
            self._chosen = {}

    def find(self, account: str, domain: str) -> str:
        """Return an account's allocator in a domain, or `""` if no router is known there."""
        key = (self._blocks[account], domain)
        chosen = self._chosen.get(key)
        if chosen is None:
            names = self._routers.get(domain)
            chosen = choose_allocator(key[0], names) if names else ""
            self._chosen[key] = chosen
        return chosen
