"""Find out that a majority of the voters has lost its log, and tell the operator.

No leader can be elected then: those voters run as other members, without a log.
"""

from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.replication.membership import is_majority
from damaskwind.decisions.replication.messages import Member

__all__ = ["Greeting", "LostVoters", "find_lost_majority"]


class Greeting(NamedTuple):
    """Who answered at the address of a replica, and whether it has a log."""

    member: Member
    has_log: bool


def find_lost_majority(
    voters: tuple[Member, ...], greetings: Iterable[Greeting]
) -> tuple[Member, ...]:
    """Return the voters that run as other members without a log, if they are a majority.

    >>> a, b, c = (Member(name, "1") for name in "abc")
    >>> empty = [Greeting(Member(name, "2"), False) for name in "ab"]
    >>> [voter.replica_id for voter in find_lost_majority((a, b, c), empty)]
    ['a', 'b']
    >>> find_lost_majority((a, b, c), empty[:1])
    ()
    """
    answers = list(greetings)
    running = {answer.member for answer in answers}
    emptied = {answer.member.replica_id for answer in answers if not answer.has_log}
    lost = tuple(voter for voter in voters if voter.replica_id in emptied and voter not in running)
    return lost if is_majority(voters, lost) else ()


class LostVoters:
    """The lost majority that one replica knows of; it logs when that begins and ends."""

    def __init__(self) -> None:
        self.members: tuple[Member, ...] = ()

    def record(self, members: tuple[Member, ...]) -> None:
        """Record the lost majority, or that there is none."""
        if members and not self.members:
            lost = [member.replica_id for member in members]
            logger.error("majority of voters lost their logs", replicas=lost)
        if self.members and not members:
            logger.info("majority of voters no longer known as lost")
        self.members = members
