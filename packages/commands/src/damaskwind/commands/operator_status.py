"""Collect the status of replicas and routers.

An endpoint may be a replica or a router, so the replica's path is tried first, then the router's.
A router's own report takes precedence over the reports about it that replicas hold.
"""

from typing import Any, NamedTuple

from damaskwind.commands.operator_client import Answer, Endpoint, OperatorClient
from damaskwind.commands.operator_output import columns

__all__ = ["FleetStatus", "gather_status", "status_text"]

_NOT_FOUND = 404
_REPLICA_PATH = "/operator/v1/status"
_ROUTER_PATH = "/operator/v1/router"


class FleetStatus(NamedTuple):
    """Replicas by endpoint, routers by id, and endpoints that did not answer."""

    revision: int
    replicas: dict[str, dict[str, Any]]
    routers: dict[str, dict[str, Any]]
    silent: dict[str, str]


def _request_status(client: OperatorClient, endpoint: Endpoint) -> tuple[str, Answer]:
    """Request the status of an endpoint, as a replica and after a 404 as a router."""
    answer = client.request_one(endpoint, "GET", _REPLICA_PATH)
    if answer.status != _NOT_FOUND:
        return "replica", answer
    return "router", client.request_one(endpoint, "GET", _ROUTER_PATH)


def _latest_reports(replicas: dict[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return each router's most recent report among those stored by the replicas."""
    newest: dict[str, dict[str, Any]] = {}
    for body in replicas.values():
        for report in body.get("routers", []):
            known = newest.get(report["router_id"])
            if known is None or report["age_s"] < known["age_s"]:
                newest[report["router_id"]] = report
    return {
        name: {"revision": item["revision"], "age_s": item["age_s"]}
        for name, item in newest.items()
    }


def _own_report(body: dict[str, Any]) -> dict[str, Any]:
    """Return what a router reports about itself.

    `behind_s` is for how long it has known of a newer revision, and `waits_for` names the replicas
    that it has asked for it. Routers on the path of the chats report neither.
    """
    return {
        "revision": body.get("revision_in_force", 0),
        "age_s": 0.0,
        "behind_s": body.get("behind_s"),
        "waits_for": body.get("waits_for", []),
    }


def gather_status(client: OperatorClient) -> FleetStatus:
    """Request the status of every endpoint and combine the answers."""
    replicas: dict[str, dict[str, Any]] = {}
    direct: dict[str, dict[str, Any]] = {}
    silent: dict[str, str] = {}
    known: list[int] = []
    for endpoint in client.endpoints:
        kind, answer = _request_status(client, endpoint)
        if not answer.is_success:
            error = answer.body.get("error")
            details = error.get("message") if isinstance(error, dict) else None
            silent[str(endpoint)] = details or f"status {answer.status}"
        elif kind == "replica":
            replicas[str(endpoint)] = answer.body
        else:
            router_id = str(answer.body.get("router_id", endpoint))
            direct[router_id] = _own_report(answer.body)
            known.append(answer.body.get("revision_known", 0))
    routers = _latest_reports(replicas) | direct
    seen = known + [body.get("revision", 0) for body in replicas.values()]
    revision = max(seen + [item["revision"] for item in routers.values()], default=0)
    for item in routers.values():
        item["lag"] = revision - item["revision"]
    return FleetStatus(revision, replicas, routers, silent)


def _replica_row(endpoint: str, body: dict[str, Any]) -> list[Any]:
    """Return the table row of one replica."""
    replica = body.get("replica", {})
    details = [replica.get(name) for name in ("replica_id", "role", "term", "leader", "is_current")]
    return [endpoint, *details, body.get("revision"), body.get("audit_head", {}).get("sequence")]


def _router_row(name: str, item: dict[str, Any]) -> list[Any]:
    """Return the table row of one router."""
    figures = [item["revision"], item["lag"], item["age_s"]]
    return [name, *figures, item.get("behind_s"), item.get("waits_for", [])]


def status_text(status: FleetStatus) -> str:
    """Format a fleet's status as text."""
    parts = [f"revision {status.revision}"]
    if status.replicas:
        titles = ("endpoint", "replica", "role", "term", "leader", "current", "revision", "audit")
        rows = [_replica_row(name, body) for name, body in status.replicas.items()]
        parts.append(columns(titles, rows))
    if status.routers:
        titles = ("router", "in force", "lag", "reported s ago", "behind s", "waits for")
        rows = [_router_row(name, item) for name, item in sorted(status.routers.items())]
        parts.append(columns(titles, rows))
    newest = max(status.replicas.values(), key=lambda body: body["revision"], default={})
    if newest.get("changes"):
        rows = [
            (note["revision"], note["operator"], note["plan_id"], note["touches"])
            for note in newest["changes"][-5:]
        ]
        parts.append(columns(("revision", "by", "plan", "touches"), rows))
    parts += [f"no answer from {name}: {why}" for name, why in status.silent.items()]
    return "\n\n".join(parts)
