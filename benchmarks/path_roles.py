"""The processes of `router_path.py`: engine, router, bare relay, echo and caller."""

import json
import sys
from collections.abc import Callable
from hashlib import sha256
from pathlib import Path
from typing import Any

from damaskwind.runtime.reactor import install_reactor

__all__ = ["ACCOUNT_KEY", "ROLES", "router_settings"]

ACCOUNT_KEY = "benchmark"
ANNOUNCE_KEY = "announce"
TICK_S = 0.005
HOLD_TICK_S = 0.5
LEASE_S = 3600.0
CONFIGURATION = f"""
revision = 1
[accounts.library]
key_hashes = ["{sha256(ACCOUNT_KEY.encode()).hexdigest()}"]
priority_class = "normal"
max_concurrent_requests = 100000
max_tokens_per_s = 1e8
models = [{{ model = "damask", version = "1" }}]
[priority_classes.normal]
rank = 0
weight = 1
[models.damask]
service = "damask-pool"
default_version = "1"
versions = [{{ version = "1" }}]
[services.damask-pool]
kind = "engine"
max_concurrent_requests = 100000
"""
SETTINGS = """
[node]
node_id = "router-1"
cluster = "benchmark"
cluster_key = "benchmark"
region = "local"
failure_domain = "local"
log_level = "WARNING"
[router]
http_address = "127.0.0.1:0"
datagram_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
announce_key = "{key}"
configuration_file = "{configuration}"
"""
TOKEN = (
    b'data: {"id":"chatcmpl-0","object":"chat.completion.chunk","created":0,"model":"damask",'
    b'"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}\n\n'
)
WHOLE = json.dumps(
    {"choices": [{"index": 0, "message": {"role": "assistant", "content": "word " * 20}}]}
).encode()
BODY = {"model": "damask", "max_tokens": 16, "messages": [{"role": "user", "content": "a" * 400}]}


def router_settings(folder: Path, engine_address: str) -> Path:
    """Write the router's settings and configuration; return the settings file."""
    configuration = folder / "configuration.toml"
    configuration.write_text(CONFIGURATION, encoding="utf-8")
    settings = folder / "router.toml"
    settings.write_text(
        SETTINGS.format(key=ANNOUNCE_KEY, configuration=configuration), encoding="utf-8"
    )
    return settings


def _listen(reactor: Any, app: Any) -> None:
    """Serve an application and print its address."""
    from twisted.web.server import Site

    site = Site(app.resource())
    site.log = lambda request: None
    port = reactor.listenTCP(0, site, interface="127.0.0.1", backlog=2048)
    print(f"127.0.0.1:{port.getHost().port}", flush=True)
    reactor.run()


def run_engine() -> None:
    """Answer immediately, or write one token per tick to every open stream."""
    reactor = install_reactor()
    from klein import Klein
    from twisted.internet.defer import Deferred
    from twisted.internet.task import LoopingCall

    app = Klein()
    streams: set[Any] = set()
    held: set[Any] = set()

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(request: Any) -> Any:
        request.setHeader("x-request-id", request.getHeader("x-request-id") or "")
        body = json.loads(request.content.read())
        if not body.get("stream"):
            request.setHeader("content-type", "application/json")
            return WHOLE
        request.setHeader("content-type", "text/event-stream")
        group = held if body.get("user") == "hold" else streams
        group.add(request)
        request.notifyFinish().addErrback(lambda failure: group.discard(request))
        return Deferred()

    @app.route("/v1/requests/<request_id>", methods=["DELETE"])
    def cancel(request: Any, request_id: str) -> bytes:
        return b""

    def tick(group: set[Any]) -> None:
        for request in group:
            request.write(TOKEN)

    LoopingCall(tick, streams).start(TICK_S)
    LoopingCall(tick, held).start(HOLD_TICK_S)
    _listen(reactor, app)


def _announcement(engine_address: str) -> dict[str, Any]:
    """Return the announcement of the engine."""
    host, port = engine_address.split(":")
    return {
        "target_id": "engine-1",
        "incarnation": 1,
        "sequence": 1,
        "kind": "engine",
        "service": "damask-pool",
        "failure_domain": "local",
        "address": {"host": host, "port": int(port)},
        "state": "serving",
        "lease_s": LEASE_S,
        "load": {
            "load_tokens": 0,
            "capacity_tokens": 1_000_000_000,
            "running_requests": 0,
            "waiting_requests": 0,
            "age_s": 0.0,
        },
        "models": [{"model": "damask", "version": "1"}],
    }


def run_router(settings_file: str, engine_address: str) -> None:
    """Run the router and announce the engine to it."""
    reactor = install_reactor()
    import asyncio

    import treq

    from damaskwind.router.process import start_router
    from damaskwind.runtime.bridge import to_future
    from damaskwind.runtime.logging import configure_logging
    from damaskwind.runtime.settings import read_settings

    configure_logging("WARNING", "json", "router-1")

    async def start() -> None:
        process = await start_router(read_settings(Path(settings_file)), reactor)
        body = _announcement(engine_address)
        url = f"http://{process.http_address}/targets/v1/announcements"
        headers = {"authorization": f"Bearer {ANNOUNCE_KEY}"}
        response = await to_future(treq.post(url, json=body, headers=headers, persistent=False))
        if response.code != 200:
            print(await to_future(response.text()), file=sys.stderr)
        print(process.http_address, flush=True)

    def begin() -> None:
        asyncio.ensure_future(start()).add_done_callback(
            lambda task: task.exception() and reactor.stop()
        )

    reactor.callWhenRunning(begin)
    reactor.run()


def run_bare(engine_address: str) -> None:
    """Relay with klein and treq alone."""
    reactor = install_reactor()
    import treq
    from klein import Klein
    from twisted.internet.defer import Deferred, inlineCallbacks
    from twisted.web.client import HTTPConnectionPool

    app = Klein()
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256

    @app.route("/v1/chat/completions", methods=["POST"])
    @inlineCallbacks
    def chat(request: Any) -> Any:
        body = request.content.read()
        url = f"http://{engine_address}/v1/chat/completions"
        headers = {"content-type": "application/json"}
        response = yield treq.post(url, data=body, headers=headers, pool=pool, unbuffered=True)
        request.setHeader("content-type", "text/event-stream")
        done = Deferred()
        request.notifyFinish().addErrback(lambda failure: done.callback(None))
        collecting = treq.collect(response, request.write)
        collecting.addBoth(lambda result: None if done.called else done.callback(None))
        yield done

    _listen(reactor, app)


def run_echo() -> None:
    """Answer with klein alone."""
    reactor = install_reactor()
    from klein import Klein

    app = Klein()

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(request: Any) -> bytes:
        request.content.read()
        request.setHeader("content-type", "application/json")
        return WHOLE

    _listen(reactor, app)


def run_caller(address: str, kind: str, count: str, seconds: str) -> None:
    """Generate load on an address over raw connections and print the results."""
    reactor = install_reactor()
    from path_caller import LoadGenerator

    host, port = address.split(":")
    generator = LoadGenerator(reactor, host, int(port), ACCOUNT_KEY, BODY)
    reactor.callWhenRunning(generator.start, kind, int(count), float(seconds))
    reactor.run()


ROLES: dict[str, Callable[..., None]] = {
    "bare": run_bare,
    "caller": run_caller,
    "echo": run_echo,
    "engine": run_engine,
    "router": run_router,
}
