"""An engine's routes beside the chats: load, cache events, KV cache, orders."""

import json
from types import MethodType
from typing import Any

from klein import Klein

from damaskwind.model.targets import FencingMode, ModelOffer
from damaskwind.standins.prefix_cache import CachedPrefix

__all__ = ["answer_json", "install_management"]


def answer_json(request: Any, value: Any) -> bytes:
    """Return a JSON body and name its type."""
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode()


def _load(engine: Any, request: Any) -> bytes:
    """Report the load of a while ago."""
    return answer_json(request, engine.batch.lagged_load()._asdict())


def _cache_events(engine: Any, request: Any) -> bytes:
    """Report the cache events after a number."""
    after = int(request.args.get(b"after", [b"0"])[0])
    return answer_json(request, engine.events.read(engine.reactor.seconds(), after))


def _export_kv(engine: Any, request: Any, digest: str) -> bytes:
    """Export the cache of a prefix."""
    chain = engine.cache.chain(digest)
    if not chain:
        request.setResponseCode(404)
        return b""
    engine.oracle.count_event("kv_exported")
    request.setHeader("content-type", "application/octet-stream")
    return json.dumps(chain).encode()


def _import_kv(engine: Any, request: Any, digest: str) -> bytes:
    """Import the cache of a prefix."""
    try:
        chain = [CachedPrefix(*link) for link in json.loads(request.content.read())]
    except (ValueError, TypeError):
        return engine.refuse(request, 400, "malformed cache")
    if not chain or chain[-1].digest != digest:
        return engine.refuse(request, 400, "another prefix")
    engine.oracle.count_event("kv_imported")
    engine.cache.store(chain)
    request.setResponseCode(204)
    return b""


def _order(engine: Any, request: Any) -> bytes:
    """Take an order for an end state, unless its number is old and that is checked."""
    order = json.loads(request.content.read())
    number = int(order["fencing_number"])
    is_old = number < engine.highest_fencing_number
    if is_old and engine.settings.fencing is FencingMode.CHECKED:
        engine.oracle.count_event("order_refused")
        request.setResponseCode(409)
        return answer_json(request, {"highest_fencing_number": engine.highest_fencing_number})
    engine.oracle.count_event("order_taken")
    engine.highest_fencing_number = max(number, engine.highest_fencing_number)
    wanted = order["wanted"]
    engine.role = wanted.get("role", engine.role)
    engine.models = tuple(
        ModelOffer(offer["model"], offer["version"], tuple(offer.get("adapters", ())))
        for offer in wanted["models"]
    )
    engine.announcer.models = engine.models
    engine.announcer.announce_now()
    return answer_json(request, {"fencing_number": number})


def install_management(app: Klein, engine: Any) -> None:
    """Add the routes to the application of an engine."""
    routes = (
        ("/load", "GET", _load),
        ("/cache-events", "GET", _cache_events),
        ("/kv/<digest>", "GET", _export_kv),
        ("/kv/<digest>", "PUT", _import_kv),
        ("/orders", "POST", _order),
    )
    for path, method, handler in routes:
        # The name under which werkzeug tells one route from another.
        endpoint = f"{method} {path}"
        app.route(path, methods=[method], endpoint=endpoint)(MethodType(handler, engine))
