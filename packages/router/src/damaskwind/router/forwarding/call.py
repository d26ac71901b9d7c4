"""The state of one request in progress, and the headers that it is sent with."""

import asyncio
from itertools import count
from math import isfinite
from typing import NamedTuple

from damaskwind.decisions.fatal_requests.identity import MAX_PARTS, identify_part
from damaskwind.decisions.load.request_cost import NO_TOKEN_HEADERS, RequestCost, TokenHeaders
from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.decisions.placement.affinity import affinity_key
from damaskwind.decisions.routing.regions import allowed_regions
from damaskwind.model.header_names import HeaderNames
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import KeyedAccount, RouteKind, TrafficRoute
from damaskwind.router.forwarding.attempt_outcome import Replacement
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.messages import Headers, Request, header, without

__all__ = [
    "AttemptNote",
    "Call",
    "CallFacts",
    "EntryNote",
    "FinalRefusal",
    "identify_parts",
    "read_facts",
    "read_key",
    "read_part_ids",
    "shown_event_id",
    "shown_parts",
    "target_headers",
]

# Without a deadline from the caller, only the route's timeout bounds a request.
NO_DEADLINE_S = 3600.0
# Ids that routers keep for each stream are at most this long; callers send 16 bytes.
MAX_ID_BYTES = 128
# What a log line shows of a prompt's parts.
MAX_SHOWN_PARTS = 8
MAX_SHOWN_ID = 32

_NUMBERS = count(1)


class CallFacts(NamedTuple):
    """What a request's headers state.

    `wait_s` is the time that the caller still waits, `resume_after` the id of the last event
    that it has, as it was sent, `resumes` the id of the attempt that brought the first one,
    `shared_tokens` the tokens of the prompt parts shared with other requests.
    `token_headers` are parsed only where the memory of engines is considered.
    """

    request_id: bytes
    wait_s: float
    has_deadline: bool
    part_ids: tuple[bytes, ...]
    resume_after: bytes | None
    shared_tokens: int = 0
    token_headers: TokenHeaders = NO_TOKEN_HEADERS
    resumes: bytes | None = None
    model: bytes = b""


class AttemptNote(NamedTuple):
    """One attempt, for the log: the target, why it was chosen, and the outcome.

    `at_ms` counts from the request's start, `first_ms` from the send to the
    head of the answer. `load_from` names the source of the load estimate, and
    `load_age_s` is its age. `start_ms` is the expected time to start, `work_time` the known
    speed of the target relative to the usual time and `speed_age_s` the age of its figure;
    they are `None` where targets do not report their speed. `via` is the host of the router that
    sent the request on, if it was another one. `is_unframed` and `open_bytes` tell how the
    answer ended, see `AttemptOutcome`. `software` is the version that the target runs.
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
    start_ms: int | None = None
    work_time: float | None = None
    speed_age_s: float | None = None
    via: str = ""
    is_unframed: bool = False
    open_bytes: int = 0
    software: str = ""


class EntryNote(NamedTuple):
    """How a request was admitted to its pool, for the log: the expected and the actual wait.

    `room` is the headroom of its target in requests, `begun_part` the fraction of the
    objective that the pool's recent answers took to begin, `came_back` whether the request
    counted as a retry of the caller.
    """

    step: str
    expected_ms: int
    waited_ms: int
    room: int
    begun_part: float
    came_back: bool


class FinalRefusal(NamedTuple):
    """The body of a refusal without Retry-After, and the outcome by which it is logged."""

    text: bytes
    outcome: str


class Call:
    """One request in progress. Times are monotonic.

    `number` is unique in this process. `entry` records how the request was admitted to its
    pool, `retry_after_s` is the delay after which its caller should retry if it is refused.

    `sends` counts the targets that it was sent to, `reached` the attempts that reached their
    target, and `unreached` those for which no connection could be established. `silent_domains`
    are the failure domains of targets that were unreachable or silent for this request.

    `digest` identifies the request's content, also under another request id, and `part_digests`
    the parts of its prompt. `is_suspected` means that targets have crashed while running it, or
    another request that shares a part, and `exit_probes` find out whether the
    targets of the last attempts have. If `regions` are given, the request stays in them. `cost`
    is set where the memory of engines is considered. A `final_refusal` is one after which a retry
    is of no use.

    Where `required_version` is set, only targets that run this software version may go on with
    the stream. `began_at` is the target whose events of it were delivered first by this router,
    `recorded_version` the version that is on record as the one that began it.

    `possible_runs` counts the attempts that may have run the request. Two of them may be in
    progress at once; `second_number` then stands for the one at `second_target` in the
    admission to the pool, which knows one target per number. `superseded_targets` are those
    at which an attempt was canceled in favor of another one. `replacement` was taken to replace an
    overdue attempt and is not in use yet, and `kept_for` tells why there was none at first.
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
        self.part_digests = identify_parts(service, facts.model, facts.part_ids)
        self.is_suspected = False
        self.exit_probes: list[asyncio.Task[bool]] = []
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
        self.cost: RequestCost | None = None
        self.final_refusal: FinalRefusal | None = None
        self.required_version: str | None = None
        self.began_at: TargetRecord | None = None
        self.recorded_version: str | None = None
        self.possible_runs = 0
        self.second_target: str | None = None
        self.second_number = 0
        self.superseded_targets: set[str] = set()
        self.replacement: Replacement | None = None
        self.kept_for = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run the request, or may still run it."""
        return self.possible_runs > 0

    @property
    def takes_up(self) -> bool:
        """Return whether the caller has the first events of a stream that it goes on with."""
        route = self.route
        is_stream = route.kind is RouteKind.STREAMING and route.is_resumable
        return is_stream and bool(self.facts.resume_after)

    def begin_events(self, target: TargetRecord) -> None:
        """Record that events of a target were delivered: only its version may go on."""
        if self.began_at is None:
            self.began_at, self.required_version = target, target.version

    def may_go_on_at(self, target: TargetRecord) -> bool:
        """Return whether a target runs the version that the stream requires, if any."""
        return self.required_version is None or target.version == self.required_version

    def begin_second(self, target_id: str) -> None:
        """Give the attempt at a second target a number of its own."""
        self.second_target, self.second_number = target_id, next(_NUMBERS)

    def number_at(self, target_id: str) -> int:
        """Return the number of the attempt at a target."""
        return self.second_number if target_id == self.second_target else self.number

    @property
    def name(self) -> str:
        """Return the id that the caller gave to the request, for the log."""
        return self.facts.request_id.decode("latin-1")

    @property
    def priority(self) -> int:
        """Return the account's priority if it has one, otherwise the route's."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority

    def left_s(self) -> float:
        """Return the seconds until the deadline or the route's timeout, whichever is earlier."""
        return self.deadline_s - read_clock()


def read_facts(headers: Headers, names: HeaderNames) -> CallFacts:
    """Parse the headers of a request; malformed values count as absent."""
    wait_ms = _number(header(headers, names.deadline_ms))
    parts = header(headers, names.prompt_parts) or b""
    return CallFacts(
        header(headers, names.request_id) or b"",
        NO_DEADLINE_S if wait_ms is None else max(wait_ms, 0.0) / 1000,
        wait_ms is not None,
        read_part_ids(parts),
        header(headers, names.resume_after),
        _shared_tokens(parts),
        TokenHeaders(
            header(headers, names.token_usage),
            header(headers, names.prompt_parts),
            header(headers, names.length_hint),
        ),
        _bounded_id(header(headers, names.resumes)),
        header(headers, names.model) or b"",
    )


def read_part_ids(parts: bytes | None) -> tuple[bytes, ...]:
    """Return the ids of the parts that a prompt's header lists.

    >>> read_part_ids(b"87c787fd0ba9:800, a5:20")
    (b'87c787fd0ba9', b'a5')
    """
    items = (parts or b"").split(b",")
    return tuple(item.strip().partition(b":")[0] for item in items if item.strip())


def identify_parts(service: str, model: bytes, part_ids: tuple[bytes, ...]) -> tuple[bytes, ...]:
    """Return the digests of a prompt's parts."""
    return tuple(identify_part(service, model, part_id) for part_id in part_ids[:MAX_PARTS])


def shown_parts(part_ids: tuple[bytes, ...]) -> list[str]:
    """Return the ids of a prompt's parts as the log shows them, in their order.

    >>> shown_parts((b"87c787fd0ba9", b"a5"))
    ['87c787fd0ba9', 'a5']
    """
    return [item[:MAX_SHOWN_ID].decode("latin-1") for item in part_ids[:MAX_SHOWN_PARTS]]


def shown_event_id(value: bytes | None) -> str | None:
    """Return what the log shows of an event's id, `None` if there is none."""
    return None if value is None else value[:MAX_ID_BYTES].decode("latin-1")


def _bounded_id(value: bytes | None) -> bytes | None:
    """Return the id of an attempt, `None` if it is empty or too long to be one."""
    return value if value and len(value) <= MAX_ID_BYTES else None


def _shared_tokens(parts: bytes) -> int:
    """Return the tokens of all prompt parts but the last; malformed numbers count as 0.

    >>> _shared_tokens(b"system:500,subject:1500,own:300"), _shared_tokens(b"a:x,b:-1,own:3")
    (2000, 0)
    """
    shared = parts.split(b",")[:-1]
    numbers = (item.strip().partition(b":")[2] for item in shared)
    return sum(int(number) for number in numbers if number.isdigit() and len(number) < 10)


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if isfinite(number) else None


def read_key(headers: Headers, names: HeaderNames) -> str | None:
    """Return the API key of a request, or `None`.

    >>> names = HeaderNames()
    >>> read_key([(b"authorization", b"Basic a"), (b"authorization", b"bearer  k")], names)
    'k'
    """
    own_scheme = names.key_scheme.lower()
    for name, value in headers:
        if name != names.authorization:
            continue
        scheme, *credentials = value.split(None, 1) or [b""]
        if credentials and scheme.lower() == own_scheme:
            return credentials[0].strip().decode("latin-1")
    return None


def system_headers(names: HeaderNames) -> frozenset[bytes]:
    """Return the names of headers that the router sets itself, replacing the caller's."""
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
    resume_after: bytes | None,
    donor: Address | None,
) -> Headers:
    """Return the headers with which a request is sent to a target."""
    headers = without(request.headers, system_headers(names))
    left_ms = max(int(call.left_s() * 1000), 1)
    headers.append((names.deadline_ms, b"%d" % left_ms))
    headers.append((names.expect_target, target_id.encode("latin-1")))
    if call.account is not None:
        headers.append((names.account, call.account.name.encode("latin-1")))
    if donor is not None:
        headers.append((names.fetch_from, str(donor).encode()))
    if resume_after is not None:
        headers.append((names.resume_after, resume_after))
    if call.route.has_prompt_parts:
        headers.append((names.urgency, b"%d" % urgency(call.priority)))
    return headers


def urgency(priority: int) -> int:
    """Map a priority to the targets' scale, where 0 is the most urgent and 9 the least.

    >>> urgency(0), urgency(2), urgency(7)
    (2, 6, 9)
    """
    return min(2 + 2 * max(priority, 0), 9)
