"""One request on its way: what it says, what is in force for it, what became of it."""

import asyncio
from itertools import count
from math import isfinite
from typing import NamedTuple

from damaskwind.decisions.placement.affinity import affinity_key
from damaskwind.decisions.routing.homes import allowed_regions
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import KeyedAccount, TrafficRoute
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Headers, Request, header, without

__all__ = [
    "AttemptNote",
    "Call",
    "CallFacts",
    "EntryNote",
    "read_facts",
    "read_key",
    "target_headers",
]

# Without a word of the caller, only the route's timeout bounds a request.
NO_DEADLINE_S = 3600.0

_NUMBERS = count(1)


class CallFacts(NamedTuple):
    """What a request says of itself; `resume_after` is the last event the caller has."""

    request_id: bytes
    wait_s: float
    has_deadline: bool
    part_ids: tuple[bytes, ...]
    resume_after: int | None


class AttemptNote(NamedTuple):
    """One send, for the log: the target, why it was chosen, and how it ended.

    `at_ms` counts from the request's start, `first_ms` from the send to the
    head of the answer. `load_from` says what the believed load rested on, and
    `load_age_s` how old that was.
    """

    target: str
    rank: int
    load: float
    bound: float
    load_age_s: float | None
    donor: str
    outcome: str
    at_ms: int
    took_ms: int
    first_ms: int | None
    load_from: str = ""


class EntryNote(NamedTuple):
    """How a request came into its pool, for the log: what was expected and what came.

    `room` is how many more its target could take, `begun_part` the part of the
    objective that the pool's answers took lately to begin.
    """

    step: str
    expected_ms: int
    waited_ms: int
    room: int
    begun_part: float
    came_back: bool


class Call:
    """One request in hand. Times are monotonic.

    `number` tells it apart in this process, `entry` notes how it came into its
    pool, `retry_after_s` is when its caller should come back if it is refused.
    `sends` counts targets that it was sent to, `unreached` those to which no
    connection came about, `silent_domains` the failure domains of targets that
    were unreachable or silent for it. `digest` knows the request again when it comes
    under another id. It stays in `regions`, if there are any. `exit_probe` finds out whether
    the target has ended under the last send. With `is_suspected`, targets have ended
    under it.
    """

    def __init__(
        self,
        facts: CallFacts,
        route: TrafficRoute,
        account: KeyedAccount | None,
        service: str,
        version: int,
        started_s: float,
        digest: bytes = b"",
    ) -> None:
        self.facts = facts
        self.digest = digest
        self.is_suspected = False
        self.exit_probe: asyncio.Task[bool] | None = None
        self.route = route
        self.account = account
        self.service = service
        self.version = version
        self.started_s = started_s
        self.number = next(_NUMBERS)
        self.entry: EntryNote | None = None
        self.retry_after_s: float | None = None
        self.deadline_s = started_s + min(facts.wait_s, route.timeout_s)
        self.regions = allowed_regions(route, account)
        self.key = affinity_key(facts.part_ids) if route.has_prompt_parts else None
        self.tried: set[str] = set()
        self.notes: list[AttemptNote] = []
        self.sends = 0
        self.reached = 0
        self.unreached = 0
        self.silent_domains: set[str] = set()
        self.may_have_run = False

    @property
    def priority(self) -> int:
        """Return the rank that counts: the account's goes before the route's."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority

    def left_s(self) -> float:
        """Return the time until the deadline or the route's timeout."""
        return self.deadline_s - read_clock()


def read_facts(headers: Headers, names: HeaderNames) -> CallFacts:
    """Read what a request says; what can't be read counts as not said."""
    wait_ms = _number(header(headers, names.deadline_ms))
    parts = header(headers, names.prompt_parts) or b""
    part_ids = tuple(item.strip().partition(b":")[0] for item in parts.split(b",") if item.strip())
    resume_after = _number(header(headers, names.resume_after))
    return CallFacts(
        header(headers, names.request_id) or b"",
        NO_DEADLINE_S if wait_ms is None else max(wait_ms, 0.0) / 1000,
        wait_ms is not None,
        part_ids,
        None if resume_after is None else int(resume_after),
    )


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if isfinite(number) else None


def read_key(headers: Headers, names: HeaderNames) -> str | None:
    """Return the API key of a request, if it carries one."""
    scheme, _, key = (header(headers, names.authorization) or b"").partition(b" ")
    if scheme.lower() != names.key_scheme.lower():
        return None
    return key.strip().decode("latin-1") or None


def system_headers(names: HeaderNames) -> frozenset[bytes]:
    """Return the headers that the system sets, whatever the caller sent."""
    own = (
        names.authorization,
        names.deadline_ms,
        names.resume_after,
        names.expect_target,
        names.account,
        names.urgency,
        names.fetch_from,
    )
    return names.reserved | frozenset(own)


def target_headers(
    request: Request,
    call: Call,
    names: HeaderNames,
    target_id: str,
    resume_after: int | None,
    donor: Address | None,
) -> Headers:
    """Return the headers of a request as a target gets them."""
    headers = without(request.headers, system_headers(names))
    left_ms = max(int(call.left_s() * 1000), 1)
    headers.append((names.deadline_ms, b"%d" % left_ms))
    headers.append((names.expect_target, target_id.encode("latin-1")))
    if call.account is not None:
        headers.append((names.account, call.account.name.encode("latin-1")))
    if donor is not None:
        headers.append((names.fetch_from, str(donor).encode()))
    if resume_after is not None:
        headers.append((names.resume_after, b"%d" % resume_after))
    if call.route.has_prompt_parts:
        headers.append((names.urgency, b"%d" % urgency(call.priority)))
    return headers


def urgency(priority: int) -> int:
    """Return a priority on the targets' scale, where 0 is first and 9 last.

    >>> urgency(0), urgency(2), urgency(7)
    (2, 6, 9)
    """
    return min(2 + 2 * max(priority, 0), 9)
