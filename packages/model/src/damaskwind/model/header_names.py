"""The names of the headers by which callers, routers and targets speak of a request.

The project has names of its own; a deployment whose callers and targets use
others gives its own set. Names are in lower case.
"""

from typing import NamedTuple

__all__ = ["HeaderNames"]


class HeaderNames(NamedTuple):
    """Header names by what they hold.

    `request_id` is the caller's id of one attempt of its own; `deadline_ms`
    how long the caller still waits; `prompt_parts` the parts of a prompt in
    order, each with its tokens; `resume_after` the last event that the caller
    has. `expect_target` makes any other target refuse. `not_run` in an answer
    says that the target did not run the request; `target_load` tells running,
    waiting and slots, `leaving` that the target takes no new work any more. `fetch_from`
    names the address of another engine, from which the engine first copies the parts of the
    prompt that it lacks. `reserved` are the headers that only the system sets.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    prompt_parts: bytes = b"x-prompt-parts"
    resume_after: bytes = b"last-event-id"
    expect_target: bytes = b"x-expect-target"
    account: bytes = b"x-account"
    urgency: bytes = b"x-urgency"
    target_load: bytes = b"x-target-load"
    not_run: bytes = b"x-not-run"
    leaving: bytes = b"x-leaving"
    fetch_from: bytes = b"x-fetch-from"
    authorization: bytes = b"authorization"
    key_scheme: bytes = b"Bearer"
    reserved: frozenset[bytes] = frozenset((b"x-hold",))
