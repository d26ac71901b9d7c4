"""Tell which failure domains share limits and which share the homes of chats."""

from damaskwind.runtime.settings import Settings

__all__ = ["all_failure_domains", "near_failure_domains"]


def all_failure_domains(settings: Settings) -> tuple[str, ...]:
    """Name the failure domains that account limits are divided over.

    The list has to be the same on every router, or the parts don't sum to the
    limit; so it comes from the settings and never from membership. Without one
    it is taken from the replicas, which stand one in each failure domain of a
    small deployment.
    """
    own = {settings.node.failure_domain}
    named = set(settings.router.failure_domains)
    if named:
        return tuple(sorted(named | own))
    return tuple(sorted({replica.failure_domain for replica in settings.router.replicas} | own))


def near_failure_domains(settings: Settings) -> tuple[str, ...]:
    """Name the failure domains among whose engines a chat has one home.

    Without a list it is all of them, which suits failure domains that are a few
    milliseconds apart.
    """
    named = set(settings.router.near_failure_domains)
    if not named:
        return all_failure_domains(settings)
    return tuple(sorted(named | {settings.node.failure_domain}))
