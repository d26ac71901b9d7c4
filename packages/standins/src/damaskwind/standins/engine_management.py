"""Management routes of an engine: load, cache events, KV cache and orders."""

import json
from types import MethodType
from typing import Any

from klein import Klein

from damaskwind.model.targets import FencingMode, ModelOffer
from damaskwind.standins.prefix_cache import CachedPrefix

__all__ = ["answer_json", "install_management"]


def answer_json(request: Any, value: Any) -> bytes:
    """Return a value as a JSON body and set the content type."""
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode()


def _load(engine: Any, request: Any) -> bytes:
    """Return the load as it was `load_lag_s` ago."""
    return answer_json(request, engine.batch.lagged_load()._asdict())


def _cache_events(engine: Any, request: Any) -> bytes:
    """Return the cache events after a sequence number."""
    after = int(request.args.get(b"after", [b"0"])[0])
    return answer_json(request, engine.events.read(engine.reactor.seconds(), after))


def _export_kv(engine: Any, request: Any, digest: str) -> bytes:
    """Return the cached chain of a prefix."""
    chain = engine.cache.chain(digest)
    if not chain:
        request.setResponseCode(404)
        return b""
    engine.oracle.count_event("kv_exported")
    request.setHeader("content-type", "application/octet-stream")
    return json.dumps(chain).encode()


def _import_kv(engine: Any, request: Any, digest: str) -> bytes:
    """Store the chain of a prefix in the cache."""
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
    """Apply an order; refuse an old fencing number if the engine checks them."""
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
    """Add the management routes to the application of an engine."""
    routes = (
        ("/load", "GET", _load),
        ("/cache-events", "GET", _cache_events),
        ("/kv/<digest>", "GET", _export_kv),
        ("/kv/<digest>", "PUT", _import_kv),
        ("/orders", "POST", _order),
    )
    for path, method, handler in routes:
        # werkzeug identifies a route by its endpoint, so it has to be unique.
        endpoint = f"{method} {path}"
        app.route(path, methods=[method], endpoint=endpoint)(MethodType(handler, engine))
