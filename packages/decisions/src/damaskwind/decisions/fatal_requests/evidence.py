"""Decide what the end of a target is evidence against.

A request in flight at a target that ended is suspected as a whole, and so is each part of its
prompt: what is to blame may be smaller than the request. Of all that was in flight, the least
is blamed that explains the end:

- if something there is known to be fatal, it explains the end, and all else is spared;
- if something there lacks one end to be fatal, the end is counted against it alone;
- if suspects of several requests lack one end, one of them is to blame and the others are not: the
  end is counted against none, and the next one tells them apart;
- if several suspects of one request lack one end, no run has told them apart, and they are
  blamed together: only requests that hold all of them are refused. One of them that completes
  without the others is cleared, and the verdict is on the rest;
- otherwise the end is counted against all.

Parts become fatal only if requests without them have been answered since the first end under them
(`answered_prompts`): where nothing is answered, targets end for another reason, and what all
requests hold would be blamed for it. This narrows suspects as group testing does ("The Detection
of Defective Members of Large Populations", Dorfman, Annals of Mathematical Statistics 14, 1943).
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from damaskwind.decisions.fatal_requests.identity import identify_together
from damaskwind.decisions.fatal_requests.suspicion import FATAL_ENDS, SuspicionLevel

__all__ = [
    "CLOSE_ENDS",
    "LastEnd",
    "SendEvidence",
    "Suspect",
    "close_suspects",
    "find_blamed",
    "find_last_end",
    "last_end_of",
    "together",
]

# The ends under a suspect that lacks one to be fatal.
CLOSE_ENDS = FATAL_ENDS - 1

LevelOf = Callable[[bytes], SuspicionLevel]


class Suspect(NamedTuple):
    """A suspect by its digest, and its level when a request was sent."""

    digest: bytes
    level: SuspicionLevel


class SendEvidence(NamedTuple):
    """The suspects of a request that was sent: the request, the parts of its prompt, and `group`.

    The group is that of its suspects which lacked one end to be fatal, if there were several.
    """

    request: Suspect
    parts: tuple[Suspect, ...] = ()
    group: Suspect | None = None

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """Return the request and its parts."""
        return (self.request, *self.parts)


class LastEnd(NamedTuple):
    """The end of a target that makes a suspect fatal.

    `members` are the digests that no run has told apart. Unless the request itself is one, other
    requests share them all, and contrast is needed.
    """

    blamed: Suspect
    members: tuple[bytes, ...]
    needs_contrast: bool


def close_suspects(suspects: Iterable[Suspect]) -> tuple[Suspect, ...]:
    """Return the suspects that lack one end to be fatal.

    >>> close_suspects([Suspect(b"a", SuspicionLevel(0, 2)), Suspect(b"b", SuspicionLevel(0, 1))])
    (Suspect(digest=b'a', level=SuspicionLevel(cleared=0, ends=2)),)
    """
    return tuple(item for item in suspects if item.level.ends == CLOSE_ENDS)


def together(suspects: Iterable[Suspect], level_of: LevelOf) -> Suspect | None:
    """Return the group of those suspects that lack one end to be fatal, if there are several."""
    close = close_suspects(suspects)
    if len(close) < 2:
        return None
    digest = identify_together(item.digest for item in close)
    return Suspect(digest, level_of(digest))


def find_blamed(
    sends: Iterable[SendEvidence],
    level_of: LevelOf,
    decide: Callable[[Sequence[LastEnd]], LastEnd | None],
) -> list[Suspect]:
    """Return against what the end of a target is counted that had these sends in flight.

    `level_of` gives present levels. `decide` returns which of the verdicts to which the end leads
    is certain enough, if one is.
    """
    sends = tuple(sends)
    fatal = {item for send in sends for item in _fatal(send, level_of)}
    if fatal:
        # What became fatal only after it was sent has this end already, or one like it.
        return sorted(item for item in fatal if item.level.ends >= FATAL_ENDS)
    last_ends = {found for send in sends if (found := find_last_end(send, level_of))}
    if last_ends:
        found = decide(sorted(last_ends))
        return [] if found is None else [found.blamed]
    return [item for send in sends for item in send.suspects]


def _fatal(send: SendEvidence, level_of: LevelOf) -> Iterator[Suspect]:
    """Yield what is known to be fatal of a send, by now or when it was sent."""
    candidates = send.suspects if send.group is None else (*send.suspects, send.group)
    for item in candidates:
        if level_of(item.digest).ends >= FATAL_ENDS:
            yield item


def find_last_end(send: SendEvidence, level_of: LevelOf) -> LastEnd | None:
    """Return the verdict to which the end of a send leads, if its suspects lacked only one."""
    known = (item for item in send.suspects if level_of(item.digest) == item.level)
    members = tuple(item.digest for item in close_suspects(known))
    if not members:
        return None
    found = last_end_of(members, level_of)
    return found._replace(needs_contrast=send.request.digest not in members)


def last_end_of(members: tuple[bytes, ...], level_of: LevelOf) -> LastEnd:
    """Return the verdict on suspects of one request that lack one end each."""
    if len(members) == 1:
        return LastEnd(Suspect(members[0], level_of(members[0])), members, True)
    digest = identify_together(members)
    level = level_of(digest)._replace(ends=CLOSE_ENDS)
    return LastEnd(Suspect(digest, level), members, True)
