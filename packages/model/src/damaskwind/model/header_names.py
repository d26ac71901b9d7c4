"""The names of the request and answer headers that callers, routers and targets exchange.

The defaults are the project's own; a deployment whose callers and targets use other
names configures its own set. Names are in lower case.
"""

from typing import NamedTuple

__all__ = ["HeaderNames"]


class HeaderNames(NamedTuple):
    """Header names by their contents.

    `request_id` is the id that the caller gives to one of its attempts. `deadline_ms` is
    how long the caller will still wait. `prompt_parts` are the parts of a prompt in order,
    each with its number of tokens. `resume_after` is the last event that the caller has, `resumes`
    the `request_id` of the attempt that brought the first one.
    `expect_target` makes any other target refuse the request. In an answer, `not_run`
    states that the target did not run the request, `target_load` gives the running and
    waiting requests and the slots, and `leaving` states that the target accepts no new
    work. `brittle` is how many requests a second it can refuse for lack of room without falling
    over. `fetch_from` is the address of another engine from which the engine first copies
    the parts of the prompt that it lacks. `reserved` are headers that only the system sets.
    In the answer to a health check, `instance_id` names the target.
    `model` is the model that the caller asks for,
    `token_usage` the number of prompt tokens and the upper bound of the output tokens,
    `length_hint` the caller's estimate of the output tokens.
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
    brittle: bytes = b"x-brittle"
    fetch_from: bytes = b"x-fetch-from"
    authorization: bytes = b"authorization"
    key_scheme: bytes = b"Bearer"
    reserved: frozenset[bytes] = frozenset((b"x-hold",))
    instance_id: bytes = b"x-instance-id"
    token_usage: bytes = b"x-token-usage"
    length_hint: bytes = b"x-length-hint"
    resumes: bytes = b"x-resumes"
    model: bytes = b"x-model"
