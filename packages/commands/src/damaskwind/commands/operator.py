"""The operators' command line `damaskwind`."""

import sys
from pathlib import Path
from typing import Any, Literal
from urllib.parse import quote, urlencode

import defopt

from damaskwind.commands.operator_audit import parse_head, verify_endpoints
from damaskwind.commands.operator_client import ExitCode, UsageError
from damaskwind.commands.operator_context import Context, control_command, router_command
from damaskwind.commands.operator_output import as_json, columns, nested, time_text
from damaskwind.commands.operator_status import gather_status, status_text
from damaskwind.commands.operator_trace import trace
from damaskwind.control.operator_api.authentication import hash_key, make_key
from damaskwind.control.operator_api.difference import redacted
from damaskwind.model.configuration_change import change_from_table
from damaskwind.model.configuration_codec import read_table_file

__all__ = ["main"]

_ROOT = "/operator/v1"
_ENDPOINT_FLAG = "--endpoint"


def _path(*parts: str, **query: Any) -> str:
    """Return a path of the operators' API, with its non-empty query parameters."""
    path = "/".join([_ROOT, *(quote(part, safe="") for part in parts)])
    chosen = {name: value for name, value in query.items() if value not in ("", None)}
    return f"{path}?{urlencode(chosen)}" if chosen else path


def _plan_text(plan: dict[str, Any]) -> str:
    """Format a plan as text."""
    parts = [
        f"plan {plan['id']} on revision {plan['base_revision']},"
        f" by {plan['planned_by']}, expires in {plan['expires_in_s']:.0f} s",
        *(f"  {line}" for line in plan["difference"]),
    ]
    if plan["affects"]:
        parts.append(f"affects: {', '.join(plan['affects'])}")
    parts += [f"WARNING: {warning}" for warning in plan["warnings"]]
    parts.append(f"nothing has changed; confirm it with: damaskwind confirm {plan['id']}")
    return "\n".join(parts)


@control_command
def plan(context: Context, file: Path) -> int:
    """Plan the changes in FILE (TOML); nothing changes until the plan is confirmed.

    :param file: complete objects by kind and name, and names to delete
    """
    intent = read_table_file(file)
    change_from_table(intent)
    answer = context.client.request_first("POST", _path("intents"), intent)
    if answer.get("plan") is None:
        text = f"nothing to change: already in force at revision {answer.get('revision')}"
        context.show(answer, text)
        return ExitCode.OK
    context.show(answer, _plan_text(answer["plan"]))
    return ExitCode.OK


@control_command
def confirm(context: Context, plan_id: str) -> int:
    """Confirm a plan; repeating it is safe and returns the first outcome.

    :param plan_id: the plan's id
    """
    answer = context.client.request_first("POST", _path("plans", plan_id, "confirm"), {})
    outcome = answer["outcome"]
    repeated = " (by an earlier request)" if answer.get("repeated") else ""
    text = f"confirmed{repeated}: revision {outcome['revision']} by {outcome['operator']}"
    context.show(answer, text)
    return ExitCode.OK


@control_command
def show(context: Context, kind: str = "", name: str = "") -> int:
    """Show the confirmed configuration, a kind of object, one object, or a plan.

    :param kind: accounts, priority_classes, models, services, operators, policy or plan
    :param name: the object's name or the plan's id
    """
    if kind == "plan":
        answer = context.client.request_first("GET", _path("plans", name))
        shown = answer.get("plan")
        context.show(answer, _plan_text(shown) if shown else nested(answer))
        return ExitCode.OK
    answer = context.client.request_first("GET", _path("configuration", kind=kind, name=name))
    if name and not answer.get(kind):
        print(f"no {kind} named '{name}'", file=sys.stderr)
        return ExitCode.REFUSED
    context.show(answer, _objects_text(answer))
    return ExitCode.OK


def _objects_text(answer: dict[str, Any]) -> str:
    """Format a configuration as text: a table for each kind, keys as fingerprints."""
    parts = [f"revision {answer.get('revision', 0)}"]
    for kind, objects in redacted(answer).items():
        if not isinstance(objects, dict) or not objects:
            continue
        rows = list(objects.values())
        is_kind = all(isinstance(row, dict) for row in rows)
        parts.append(f"{kind}:\n{nested(rows if is_kind else objects, 1)}")
    return "\n\n".join(parts)


@control_command
def status(context: Context) -> int:
    """Show every replica, the latest changes, and each router's revision in force."""
    gathered = gather_status(context.client)
    context.show(gathered._asdict(), status_text(gathered))
    return ExitCode.OK if gathered.replicas or gathered.routers else ExitCode.REFUSED


@control_command
def audit(context: Context, *, verify: bool = False, known_head: str = "", after: int = -1) -> int:
    """Show the audit trail's latest entries, or verify the complete trail.

    :param verify: verify the chain of every endpoint
    :param known_head: SEQUENCE:HASH printed by an earlier verification
    :param after: show the entries after this sequence number instead of the latest
    """
    if verify:
        return _verify(context, known_head)
    if after < 0:
        head = context.client.request_first("GET", _path("audit", after=0, limit=1))
        after = max(head["last_sequence"] - 50, 0)
    answer = context.client.request_first("GET", _path("audit", after=after))
    titles = ("sequence", "time", "operator", "origin", "action", "subject", "result", "revision")
    rows = [
        [time_text(item["at_s"]) if title == "time" else item[title] for title in titles]
        for item in answer["entries"]
    ]
    context.show(answer, columns(titles, rows))
    return ExitCode.OK


def _verify(context: Context, known_head: str) -> int:
    """Verify the trail of every endpoint and print the results."""
    reports = verify_endpoints(context.client, parse_head(known_head))
    lines = []
    for report in reports:
        verdict, head = report.verdict, report.verdict.head
        if report.error:
            lines.append(f"{report.endpoint}: not read: {report.error}")
        elif head is None:
            lines.append(f"{report.endpoint}: no entries")
        else:
            lines.append(
                f"{report.endpoint}: {'holds' if report.holds else 'BROKEN'}, entries"
                f" {report.first_sequence} to {head.sequence}; head"
                f" {head.sequence}:{head.entry_hash}"
            )
        lines += [f"  {fault}" for fault in verdict.faults]
    context.show(
        [report._asdict() | {"holds": report.holds} for report in reports], "\n".join(lines)
    )
    return ExitCode.OK if all(report.holds for report in reports) else ExitCode.REFUSED


@control_command
def replicas(
    context: Context,
    action: Literal["list", "add", "remove"] = "list",
    replica_id: str = "",
    address: str = "",
    failure_domain: str = "",
) -> int:
    """List the control replicas, or add or remove one.

    :param action: list, add or remove
    :param replica_id: the replica to add or remove
    :param address: the address at which the new replica listens for its peers, IP:port
    :param failure_domain: the new replica's failure domain
    """
    if action == "list":
        context.show(context.client.request_first("GET", _path("replicas")))
        return ExitCode.OK
    if not replica_id or (action == "add" and not (address and failure_domain)):
        raise UsageError("replicas: add REPLICA_ID ADDRESS FAILURE_DOMAIN, or remove REPLICA_ID")
    body = {"action": action, "replica_id": replica_id}
    body |= {"address": address, "failure_domain": failure_domain}
    context.show(
        context.client.request_first("POST", _path("replicas"), body, safe_to_resend=False)
    )
    return ExitCode.OK


@control_command
def fatal_requests(context: Context, lift: str = "") -> int:
    """Show the requests that are suspected or fatal on the operator platform, or lift one.

    Needs a replica's metrics address as the endpoint.

    :param lift: the digest of a request to allow again
    """
    if lift:
        answer = context.client.request_first("DELETE", _path("fatal-requests", lift))
        context.show(answer, f"lifted: {answer['lifted']}; routers know in a moment")
        return ExitCode.OK
    answer = context.client.request_first("GET", _path("fatal-requests"))
    titles = ("digest", "standing", "targets_ended", "age_s")
    rows = [[str(item[title]) for title in titles] for item in answer["requests"]]
    context.show(answer, columns(titles, rows) if rows else "no request is suspected")
    return ExitCode.OK


@control_command
def evacuations(context: Context, empty: str = "", take_back: str = "") -> int:
    """Show the evacuated failure domains of the operator platform, or evacuate or restore one.

    Needs a replica's metrics address as the endpoint.

    :param empty: a failure domain whose targets get no more requests
    :param take_back: a failure domain whose targets get requests again
    """
    if empty and take_back:
        raise UsageError("one order at a time: --empty or --take-back")
    if empty or take_back:
        method = "PUT" if empty else "DELETE"
        answer = context.client.request_first(method, _path("evacuations", empty or take_back))
        result = "emptied" if empty else "taken back"
        context.show(answer, f"{result}: {answer['failure_domain']} ({answer['message']})")
        return ExitCode.OK
    answer = context.client.request_first("GET", _path("evacuations"))
    emptied = ", ".join(answer["failure_domains"]) or "no failure domain is emptied"
    context.show(answer, f"{emptied} (revision {answer['revision']})")
    return ExitCode.OK


@router_command
def targets(context: Context) -> int:
    """Show the targets that a router knows."""
    context.show(context.client.request_first("GET", _path("targets"), search=True))
    return ExitCode.OK


@router_command
def drain(context: Context, target_id: str) -> int:
    """Stop sending new requests to a target; requests in progress finish.

    :param target_id: the target's id
    """
    path = _path("targets", target_id, "drain")
    context.show(context.client.request_first("POST", path, {}, search=True))
    return ExitCode.OK


@router_command
def explain(context: Context, request_id: str) -> int:
    """Show how a request was handled, and why.

    :param request_id: the `x-request-id` of the answer
    """
    context.show(context.client.request_first("GET", _path("requests", request_id), search=True))
    return ExitCode.OK


def key(*, json: bool = False) -> int:
    """Generate a key and print it with the hash to store in the configuration.

    :param json: print JSON for scripts
    """
    new_key = make_key()
    answer = {"key": new_key, "key_hash": hash_key(new_key)}
    print(as_json(answer) if json else nested(answer))
    return ExitCode.OK


COMMANDS = [
    plan,
    confirm,
    show,
    status,
    audit,
    replicas,
    fatal_requests,
    evacuations,
    targets,
    drain,
    explain,
    trace,
    key,
]


def _join_endpoints(arguments: list[str]) -> list[str]:
    """Join repeated `--endpoint` options into one comma-separated list.

    >>> _join_endpoints(["status", "--endpoint", "a:1", "--endpoint=b:2"])
    ['status', '--endpoint', 'a:1,b:2']
    """
    others: list[str] = []
    endpoints: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        if argument == _ENDPOINT_FLAG:
            endpoints.append(next(rest, ""))
        elif argument.startswith(f"{_ENDPOINT_FLAG}="):
            endpoints.append(argument.partition("=")[2])
        else:
            others.append(argument)
    return others + ([_ENDPOINT_FLAG, ",".join(endpoints)] if endpoints else [])


def main() -> None:
    """Parse the command line, run the command and exit with its exit code."""
    arguments = _join_endpoints(sys.argv[1:])
    sys.exit(int(defopt.run(COMMANDS, argv=arguments) or ExitCode.OK))
