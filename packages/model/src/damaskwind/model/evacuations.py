"""The failure domains that operators have evacuated."""

from typing import NamedTuple

__all__ = ["Evacuations"]


class Evacuations(NamedTuple):
    """The failure domains whose targets get no requests; `revision` grows with each change.

    >>> Evacuations(2, ("a", "b")) > Evacuations(1, ("a",))
    True
    """

    revision: int = 0
    failure_domains: tuple[str, ...] = ()
