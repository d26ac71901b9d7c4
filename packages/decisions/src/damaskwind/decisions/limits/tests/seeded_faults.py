"""Allocators with deliberate faults, by name."""

from damaskwind.decisions.limits.allocator import ShareAllocator

__all__ = ["SEEDED_FAULTS", "TrustsLastGrant"]


class TrustsLastGrant(ShareAllocator):
    """Assumes that its last, smaller grant was applied."""

    def _grant(self, report, demand, now_s):
        grant = super()._grant(report, demand, now_s)
        share = self._accounts[demand.account].shares[report.router_id]
        del share.leases[:-1]
        return grant


class AdoptsNothing(ShareAllocator):
    """Ignores leases granted by another allocator."""

    def _adopt(self, account, share, demand, now_s):
        pass


class ForgetsUse(ShareAllocator):
    """Books only leases, not the requests that outlive them."""

    def _grant(self, report, demand, now_s):
        return super()._grant(report, demand._replace(in_use=0), now_s)


class NeverWaits(ShareAllocator):
    """Skips the learning phase, so grants what its predecessor may have leased."""

    def __init__(self, router_id, domain, policy, now_s, is_alone=False):
        super().__init__(router_id, domain, policy, now_s, True)


SEEDED_FAULTS = {
    allocator.__name__: allocator
    for allocator in (TrustsLastGrant, AdoptsNothing, ForgetsUse, NeverWaits)
}
