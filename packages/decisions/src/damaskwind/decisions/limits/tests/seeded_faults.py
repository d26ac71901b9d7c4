"""Allocators with a fault put in on purpose, by name."""

from damaskwind.decisions.limits.allocator import ShareAllocator

__all__ = ["SEEDED_FAULTS", "TrustsLastGrant"]


class TrustsLastGrant(ShareAllocator):
    """Takes for granted that its last, smaller grant arrived."""

    def _grant(self, report, demand, now_s):
        grant = super()._grant(report, demand, now_s)
        share = self._accounts[demand.account].shares[report.router_id]
        del share.leases[:-1]
        return grant


class AdoptsNothing(ShareAllocator):
    """Takes no notice of leases from another allocator."""

    def _adopt(self, account, share, demand, now_s):
        pass


class ForgetsUse(ShareAllocator):
    """Books leases alone, not the requests that outlive them."""

    def _grant(self, report, demand, now_s):
        return super()._grant(report, demand._replace(in_use=0), now_s)


class NeverWaits(ShareAllocator):
    """Grants at once what the allocator before it may have leased."""

    def __init__(self, router_id, domain, policy, now_s, is_alone=False):
        super().__init__(router_id, domain, policy, now_s, True)


SEEDED_FAULTS = {
    allocator.__name__: allocator
    for allocator in (TrustsLastGrant, AdoptsNothing, ForgetsUse, NeverWaits)
}
