"""Validate the body of a chat request and derive what routing needs."""

from typing import Any, NamedTuple

import msgspec

from damaskwind.decisions.placement.messages import PoolName
from damaskwind.model.configuration import ClientAccount, Configuration
from damaskwind.model.exception import RefusedError
from damaskwind.model.prefix import Message, ModelName, chat_digest, parse_model_name, prefix_chain
from damaskwind.model.reason import Reason
from damaskwind.model.verdict import Refusal, Verdict

__all__ = ["ChatRequest", "parse_chat_request", "visible_models"]

CHARACTERS_PER_TOKEN = 4
DEFAULT_GENERATED_TOKENS = 256
_FIELDS: dict[str, tuple[type, ...]] = {
    "model": (str,),
    "messages": (list,),
    "stream": (bool, type(None)),
    "max_tokens": (int, type(None)),
    "max_completion_tokens": (int, type(None)),
    "prompt_cache_key": (str, type(None)),
    "stream_options": (dict, type(None)),
}
_REQUIRED = ("model", "messages")
_RAW_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_RAW_OPTIONS = msgspec.json.Decoder(dict[str, msgspec.Raw] | None)


class ChatRequest(NamedTuple):
    """A validated chat request.

    `engine_body` is the body sent to the engine. `need_tokens` estimates the load on
    the engine, `total_tokens` the tokens that count against the account's limit.
    """

    name: ModelName
    pool: PoolName
    digest: str
    prefixes: tuple[str, ...]
    stream: bool
    wants_usage: bool
    is_new: bool
    need_tokens: float
    total_tokens: float
    engine_body: bytes


def _bad_request(detail: str) -> RefusedError:
    """Return the error for a malformed body."""
    return RefusedError(Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail))


def _parse_fields(body: bytes) -> dict[str, Any]:
    """Parse a body and check the fields that the router reads."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_request(f"the body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise _bad_request("the body must be a JSON object")
    for name in _REQUIRED:
        if name not in fields:
            raise _bad_request(f"'{name}' is missing")
    for name, kinds in _FIELDS.items():
        value = fields.get(name)
        wrong_bool = isinstance(value, bool) and bool not in kinds
        if name in fields and (not isinstance(value, kinds) or wrong_bool):
            raise _bad_request(f"'{name}' has the wrong type")
    return fields


def _parse_messages(raw: list[Any]) -> list[Message]:
    """Validate the messages and convert the content of each to canonical text."""
    if not raw:
        raise _bad_request("'messages' is empty")
    messages = []
    for index, item in enumerate(raw):
        if not isinstance(item, dict) or not isinstance(item.get("role"), str):
            raise _bad_request(f"'messages[{index}]' must be an object with a role")
        content = item.get("content")
        if content is not None and not isinstance(content, str | list):
            raise _bad_request(f"'messages[{index}].content' must be text or a list of parts")
        text = content if isinstance(content, str) else _canonical_text(content)
        messages.append(Message(item["role"], text))
    return messages


def _canonical_text(content: Any) -> str:
    """Return the canonical text of content that is not plain text: JSON with sorted keys."""
    return msgspec.json.encode(content, order="sorted").decode()


def _generated_tokens(fields: dict[str, Any]) -> int:
    """Return the maximum number of tokens that the engine may generate."""
    wanted = fields.get("max_completion_tokens") or fields.get("max_tokens")
    if wanted is not None and wanted < 1:
        raise _bad_request("'max_tokens' must be at least 1")
    return wanted or DEFAULT_GENERATED_TOKENS


def _prompt_tokens(messages: list[Message]) -> float:
    """Estimate the number of tokens in messages."""
    characters = sum(len(message.content) for message in messages)
    return characters / CHARACTERS_PER_TOKEN


def _new_messages(messages: list[Message]) -> list[Message]:
    """Return the messages from the last answer on; earlier ones are expected in the cache."""
    for index in range(len(messages) - 1, -1, -1):
        if messages[index].role == "assistant":
            return messages[index:]
    return messages


def _unknown_model(text: str) -> RefusedError:
    """Return the error for a model that is unknown or not allowed; both look the same."""
    detail = f"the model '{text}' does not exist or you do not have access to it"
    return RefusedError(Refusal(Reason.UNKNOWN_MODEL, Verdict.NOT_RUN, detail))


def _resolve_model(text: str, account: ClientAccount, configuration: Configuration) -> ModelName:
    """Fill in the default version and check the account's grants."""
    name = parse_model_name(text)
    model = configuration.models.get(name.model)
    if model is None:
        raise _unknown_model(text)
    name = name._replace(version=name.version or model.default_version)
    for grant in account.models:
        if (grant.model, grant.version) != (name.model, name.version):
            continue
        version = next((v for v in model.versions if v.version == name.version), None)
        is_served = version is not None and (not name.adapter or name.adapter in version.adapters)
        if is_served and (not name.adapter or name.adapter in grant.adapters):
            return name
    raise _unknown_model(text)


def _engine_body(body: bytes, name: ModelName, stream: bool) -> bytes:
    """Return the body for the engine: the bare model name, and usage always requested.

    The values of all other fields stay as they were sent: a number that is read and written anew
    may lose digits.
    """
    fields: dict[str, Any] = _RAW_FIELDS.decode(body)
    fields["model"] = name.model
    if stream:
        options = _RAW_OPTIONS.decode(fields.get("stream_options", b"null")) or {}
        fields["stream_options"] = {**options, "include_usage": True}
    return msgspec.json.encode(fields)


def parse_chat_request(
    body: bytes, account: ClientAccount, configuration: Configuration
) -> ChatRequest:
    """Parse a body and check it against the account's grants.

    Raise `RefusedError` for a malformed body or a model that the account may not use.
    """
    fields = _parse_fields(body)
    messages = _parse_messages(fields["messages"])
    generated = _generated_tokens(fields)
    name = _resolve_model(fields["model"], account, configuration)
    pool = PoolName(configuration.models[name.model].service, *name)
    stream = bool(fields.get("stream"))
    return ChatRequest(
        name,
        pool,
        chat_digest(account.name, name, messages, fields.get("prompt_cache_key") or ""),
        tuple(prefix_chain(name, messages)),
        stream,
        bool((fields.get("stream_options") or {}).get("include_usage")),
        all(message.role != "assistant" for message in messages),
        _prompt_tokens(_new_messages(messages)) + generated,
        _prompt_tokens(messages) + generated,
        _engine_body(body, name, stream),
    )


def visible_models(account: ClientAccount, configuration: Configuration) -> list[str]:
    """Return the names of every model, version and adapter that an account may use."""
    names = []
    for grant in account.models:
        model = configuration.models.get(grant.model)
        versions = model.versions if model is not None else ()
        version = next((v for v in versions if v.version == grant.version), None)
        if version is None:
            continue
        base = f"{grant.model}@{grant.version}"
        names += [grant.model] if model.default_version == grant.version else []
        names.append(base)
        names += [f"{base}+{adapter}" for adapter in grant.adapters if adapter in version.adapters]
    return names
