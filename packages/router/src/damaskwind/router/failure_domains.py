"""Derive the failure domains that share account limits and those that share chat homes."""

from damaskwind.runtime.settings import Settings

__all__ = ["all_failure_domains", "near_failure_domains"]


def all_failure_domains(settings: Settings) -> tuple[str, ...]:
    """Return the failure domains among which account limits are divided.

    The list must be the same on every router, or the shares don't sum to the limit.
    It is therefore taken from the settings and never from membership. Without a
    list, the domains of the replicas are used: a small deployment has one replica
    in each failure domain.
    """
    own = {settings.node.failure_domain}
    named = set(settings.router.failure_domains)
    if named:
        return tuple(sorted(named | own))
    return tuple(sorted({replica.failure_domain for replica in settings.router.replicas} | own))


def near_failure_domains(settings: Settings) -> tuple[str, ...]:
    """Return the failure domains among whose engines a chat has one home.

    Without a list these are all domains, which suits failure domains that are a few
    milliseconds apart.
    """
    named = set(settings.router.near_failure_domains)
    if not named:
        return all_failure_domains(settings)
    return tuple(sorted(named | {settings.node.failure_domain}))
