"""Run the demonstration: a small fleet in one process, and a chat sent through it."""

import asyncio
import json
import signal
from typing import Any, NamedTuple

import treq

from damaskwind.commands.demonstration_fleet import (
    CALLER_KEY,
    OPERATOR_KEY,
    DemonstrationFleet,
)
from damaskwind.model.exception import DamaskwindError
from damaskwind.runtime.bridge import to_future

__all__ = ["run_demonstration"]

_SYSTEM_PROMPT = "You answer questions about hardware registers, briefly."
_QUESTIONS = (
    "Which racks in hall B hold servers without an asset tag?",
    "And which of those were audited this year?",
    "List them by age, oldest first.",
)
_END_MARKER = "[DONE]"
_EXIT_OK = 0
_EXIT_FAILED = 1


class Turn(NamedTuple):
    """The answer to one turn of the chat, with its token counts."""

    request_id: str
    text: str
    prompt_tokens: int
    cached_tokens: int


def _events(body: bytes) -> list[str]:
    """Return the data of each server-sent event."""
    lines = body.decode("utf-8").splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]


def _read_turn(request_id: str, body: bytes) -> Turn:
    """Join the chunks of a streamed answer; raise `DamaskwindError` if it is incomplete."""
    events = _events(body)
    if not events or events[-1] != _END_MARKER:
        raise DamaskwindError(f"the answer to {request_id} was cut short")
    chunks = [json.loads(event) for event in events[:-1]]
    words = [
        choice["delta"].get("content") or ""
        for chunk in chunks
        for choice in chunk.get("choices", ())
    ]
    usage = next(chunk["usage"] for chunk in reversed(chunks) if chunk.get("usage"))
    cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
    return Turn(request_id, "".join(words), usage["prompt_tokens"], cached_tokens)


async def _stream_turn(fleet: DemonstrationFleet, messages: list[dict[str, str]]) -> Turn:
    """Stream one turn of the chat through the router."""
    body = {
        "model": "damask",
        "messages": messages,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    response = await to_future(
        treq.post(
            f"{fleet.url}/v1/chat/completions",
            json=body,
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )
    )
    answer = await to_future(treq.content(response))
    if response.code != 200:
        raise DamaskwindError(f"{response.code}: {answer.decode(errors='replace')}")
    request_id = response.headers.getRawHeaders("x-request-id")[0]
    return _read_turn(request_id, answer)


def _turn_summary(turn: Turn, record: dict[str, Any]) -> str:
    """Describe which engine answered, why it was chosen and how many tokens were cached."""
    choice = record["choices"][-1]
    return (
        f"   {choice['target_id']} answered; {turn.cached_tokens} of {turn.prompt_tokens} prompt"
        f" tokens were cached; chosen because: {choice['reason']}\n"
        f"   damaskwind explain {turn.request_id}"
    )


async def _chat(fleet: DemonstrationFleet) -> None:
    """Send the turns of the chat one by one and print how each was routed."""
    messages = [{"role": "system", "content": _SYSTEM_PROMPT}]
    for question in _QUESTIONS:
        messages.append({"role": "user", "content": question})
        turn = await _stream_turn(fleet, messages)
        messages.append({"role": "assistant", "content": turn.text})
        record = await fleet.request_router(f"/operator/v1/requests/{turn.request_id}")
        print(f"-- {question}\n   {turn.text.strip()}\n{_turn_summary(turn, record)}", flush=True)


def _print_connection_info(fleet: DemonstrationFleet) -> None:
    """Print the fleet's addresses and keys, and a curl command to try."""
    body = json.dumps({"model": "damask", "messages": [{"role": "user", "content": "Hello"}]})
    print(f"confirmed plan {fleet.plan['id']}: {len(fleet.plan['difference'])} changes in force")
    print(f"router: {fleet.url}   caller key: {CALLER_KEY}   operator key: {OPERATOR_KEY}")
    print(f"operators: damaskwind status --endpoint {fleet.control.operator_address}")
    print(
        f"try: curl -s {fleet.url}/v1/chat/completions -H 'Authorization: Bearer {CALLER_KEY}'"
        f" -H 'Content-Type: application/json' -d '{body}'",
        flush=True,
    )


async def _wait_for_interrupt() -> None:
    """Wait for SIGINT or SIGTERM."""
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    print("serving until Ctrl-C", flush=True)
    await interrupted.wait()


async def run_demonstration(once: bool) -> int:
    """Start the fleet and run the chat; unless `once`, keep serving until interrupted.

    Return the exit code, which is non-zero if anything failed.
    """
    fleet = DemonstrationFleet()
    try:
        await fleet.start()
        _print_connection_info(fleet)
        await _chat(fleet)
        if not once:
            await _wait_for_interrupt()
    except DamaskwindError as error:
        print(f"demonstration failed: {error}", flush=True)
        return _EXIT_FAILED
    finally:
        await fleet.stop()
    return _EXIT_OK
