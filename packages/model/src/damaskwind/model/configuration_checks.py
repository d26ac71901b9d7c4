"""Check the ranges, names and references of configuration objects.

Every mistake is reported. Each kind of object has one check of its own fields and one
of its references. A message names the object and the field and never repeats a value,
since the value may be a key that was pasted into the wrong place.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from damaskwind.model.configuration import (
    ClientAccount,
    Configuration,
    Model,
    ModelVersion,
    OperatorKey,
    Policy,
    PriorityClass,
    Service,
    ServiceRoute,
)

__all__ = [
    "BOOTSTRAP_OPERATOR",
    "OBJECT_KINDS",
    "OPERATOR_ROLES",
    "check_configuration",
    "is_key_hash",
    "is_name",
]

OBJECT_KINDS: dict[str, type] = {
    "accounts": ClientAccount,
    "priority_classes": PriorityClass,
    "models": Model,
    "services": Service,
    "operators": OperatorKey,
}
OPERATOR_ROLES = ("viewer", "planner", "confirmer")
BOOTSTRAP_OPERATOR = "bootstrap"
SERVICE_KINDS = ("engine", "service")
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


class _Range(NamedTuple):
    """The smallest and the largest allowed value of a field."""

    low: float
    high: float


_RANGES: dict[type, dict[str, _Range]] = {
    ClientAccount: {
        "max_concurrent_requests": _Range(1, 1_000_000),
        "max_tokens_per_s": _Range(1, 100_000_000),
    },
    PriorityClass: {
        "rank": _Range(0, 255),
        "weight": _Range(1, 1_000),
        "queue_timeout_s": _Range(0, 600),
        "queue_limit_requests": _Range(0, 100_000),
    },
    Model: {"context_limit_tokens": _Range(1, 100_000_000)},
    ServiceRoute: {"timeout_s": _Range(0.001, 3600)},
    Service: {"max_concurrent_requests": _Range(1, 100_000)},
    Policy: {
        "load_factor": _Range(1.0, 10.0),
        "retry_share": _Range(0, 1),
        "max_attempts": _Range(1, 10),
        "ejection_share": _Range(0, 1),
        "ejection_base_s": _Range(0.1, 3600),
        "request_timeout_s": _Range(0.1, 86_400),
        "first_byte_timeout_s": _Range(0.1, 3600),
        "body_limit_bytes": _Range(1024, 1_073_741_824),
        "idempotency_ttl_s": _Range(1, 604_800),
        "control_bytes_per_s": _Range(512, 1_048_576),
    },
}


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of an object.

    >>> is_name("damaskwind-pool"), is_name("a b"), is_name("")
    (True, False, False)
    """
    return _NAME.fullmatch(text) is not None


def is_key_hash(text: str) -> bool:
    """Return whether a text is a SHA-256 in lower-case hex."""
    return _KEY_HASH.fullmatch(text) is not None


def _range_mistakes(value: Any, path: str) -> Iterator[str]:
    """Report the numbers of one object that are out of range; NaN always is."""
    for field, allowed in _RANGES.get(type(value), {}).items():
        if not allowed.low <= getattr(value, field) <= allowed.high:
            yield f"{path}.{field}: expected {allowed.low:g} to {allowed.high:g}"


def _list_mistakes(names: tuple[str, ...], path: str) -> Iterator[str]:
    """Report the indexes of a list whose names are malformed or duplicates."""
    for index, name in enumerate(names):
        if not is_name(name):
            yield f"{path}[{index}]: not a name (letters, digits and ._:/-, at most 128)"
        elif name in names[:index]:
            yield f"{path}[{index}]: '{name}' stands twice"


FieldCheck = Callable[[Any, str], Iterator[str]]
_FIELD_CHECKS: dict[type, FieldCheck] = {}


def _field_check(kind: type) -> Callable[[FieldCheck], FieldCheck]:
    """Register the check of the fields of one kind of object."""

    def register(check: FieldCheck) -> FieldCheck:
        _FIELD_CHECKS[kind] = check
        return check

    return register


@_field_check(ClientAccount)
def _account_fields(account: ClientAccount, path: str) -> Iterator[str]:
    for index, key_hash in enumerate(account.key_hashes):
        if not is_key_hash(key_hash):
            yield f"{path}.key_hashes[{index}]: expected a SHA-256 in 64 lower-case hex digits"
        elif key_hash in account.key_hashes[:index]:
            yield f"{path}.key_hashes[{index}]: stands twice"
    yield from _list_mistakes(account.services, f"{path}.services")
    for index, grant in enumerate(account.models):
        yield from _list_mistakes(grant.adapters, f"{path}.models[{index}].adapters")
        same = [(other.model, other.version) for other in account.models[:index]]
        if (grant.model, grant.version) in same:
            yield f"{path}.models[{index}]: grants the same version twice"


@_field_check(Model)
def _model_fields(model: Model, path: str) -> Iterator[str]:
    versions = tuple(version.version for version in model.versions)
    if not versions:
        yield f"{path}.versions: expected at least one"
    yield from _list_mistakes(versions, f"{path}.versions")
    for index, version in enumerate(model.versions):
        yield from _list_mistakes(version.adapters, f"{path}.versions[{index}].adapters")
    if model.default_version not in versions:
        yield f"{path}.default_version: not among the versions"


def _route_mistakes(route: ServiceRoute, path: str) -> Iterator[str]:
    """Report the mistakes of one route of a plain service."""
    yield from _range_mistakes(route, path)
    if not route.path_prefix.startswith("/"):
        yield f"{path}.path_prefix: expected a path that starts with '/'"
    if not route.methods:
        yield f"{path}.methods: expected at least one"
    for index, method in enumerate(route.methods):
        if method not in HTTP_METHODS:
            yield f"{path}.methods[{index}]: expected one of {', '.join(HTTP_METHODS)}"


@_field_check(Service)
def _service_fields(service: Service, path: str) -> Iterator[str]:
    if service.kind not in SERVICE_KINDS:
        yield f"{path}.kind: expected one of {', '.join(SERVICE_KINDS)}"
    if service.kind == "engine" and service.routes:
        yield f"{path}.routes: engines have none"
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        yield from _route_mistakes(route, f"{path}.routes[{index}]")
        pairs = {(route.path_prefix, method) for method in route.methods}
        if pairs & seen:
            yield f"{path}.routes[{index}]: same path prefix and method as an earlier route"
        seen |= pairs


@_field_check(OperatorKey)
def _operator_fields(operator: OperatorKey, path: str) -> Iterator[str]:
    if operator.name == BOOTSTRAP_OPERATOR:
        yield f"{path}: the name '{BOOTSTRAP_OPERATOR}' is reserved"
    if not is_key_hash(operator.key_hash):
        yield f"{path}.key_hash: expected a SHA-256 in 64 lower-case hex digits"
    if not operator.roles:
        yield f"{path}.roles: expected at least one of {', '.join(OPERATOR_ROLES)}"
    for index, role in enumerate(operator.roles):
        if role not in OPERATOR_ROLES:
            yield f"{path}.roles[{index}]: expected one of {', '.join(OPERATOR_ROLES)}"


@_field_check(Policy)
def _policy_fields(policy: Policy, path: str) -> Iterator[str]:
    if not is_name(policy.placement):
        yield f"{path}.placement: not a name"


def _object_mistakes(kind: str, name: str, value: Any) -> Iterator[str]:
    """Report the mistakes of one object, apart from its references."""
    path = f"{kind}.{name}"
    if not is_name(name):
        yield f"{kind}: a name is malformed (letters, digits and ._:/-, at most 128)"
        return
    if value.name != name:
        yield f"{path}.name: differs from the name it stands under"
    yield from _range_mistakes(value, path)
    yield from _FIELD_CHECKS.get(type(value), lambda value, path: iter(()))(value, path)


def _unknown_reference(path: str, what: str, name: str) -> str:
    """Return the message for a reference to an object that doesn't exist."""
    return f"{path}: no {what} '{name}'" if is_name(name) else f"{path}: not a name of a {what}"


def _version_of(model: Model | None, version: str) -> ModelVersion | None:
    """Return a version of a model, or `None`."""
    versions = model.versions if model is not None else ()
    return next((item for item in versions if item.version == version), None)


def _account_references(configuration: Configuration, account: ClientAccount) -> Iterator[str]:
    """Report an account's references to objects that don't exist."""
    path = f"accounts.{account.name}"
    if account.priority_class not in configuration.priority_classes:
        yield _unknown_reference(f"{path}.priority_class", "priority class", account.priority_class)
    for index, service in enumerate(account.services):
        if service not in configuration.services:
            yield _unknown_reference(f"{path}.services[{index}]", "service", service)
    for index, grant in enumerate(account.models):
        grant_path = f"{path}.models[{index}]"
        if grant.model not in configuration.models:
            yield _unknown_reference(f"{grant_path}.model", "model", grant.model)
            continue
        version = _version_of(configuration.models[grant.model], grant.version)
        if version is None:
            yield _unknown_reference(
                f"{grant_path}.version", f"version of '{grant.model}'", grant.version
            )
            continue
        for adapter in grant.adapters:
            if adapter not in version.adapters:
                yield _unknown_reference(
                    f"{grant_path}.adapters", f"adapter of '{grant.model}'", adapter
                )


def _model_references(configuration: Configuration, model: Model) -> Iterator[str]:
    """Report a model's reference to a service that doesn't exist or isn't of engines."""
    path = f"models.{model.name}.service"
    service = configuration.services.get(model.service)
    if service is None:
        yield _unknown_reference(path, "service", model.service)
    elif service.kind != "engine":
        yield f"{path}: '{model.service}' is not a pool of engines"


def _shared_hashes(configuration: Configuration) -> Iterator[str]:
    """Report the owners of a key hash that belongs to an earlier owner too."""
    owners: dict[str, str] = {}
    owned_hashes = [(f"operators.{o.name}", o.key_hash) for o in configuration.operators.values()]
    for account in configuration.accounts.values():
        owned_hashes += [(f"accounts.{account.name}", key_hash) for key_hash in account.key_hashes]
    for owner, key_hash in owned_hashes:
        first = owners.setdefault(key_hash, owner)
        if first != owner:
            yield f"{owner}: has the same key as {first}"


def _operator_references(configuration: Configuration) -> Iterator[str]:
    """Report missing operator roles, without which no further change would be possible."""
    roles = {role for operator in configuration.operators.values() for role in operator.roles}
    for role in ("planner", "confirmer"):
        if configuration.operators and role not in roles:
            yield f"operators: at least one must have the role '{role}'"


def _reference_mistakes(configuration: Configuration) -> Iterator[str]:
    """Report all broken references and conflicts between objects."""
    for account in configuration.accounts.values():
        yield from _account_references(configuration, account)
    for model in configuration.models.values():
        yield from _model_references(configuration, model)
    ranks: dict[int, str] = {}
    for item in configuration.priority_classes.values():
        first = ranks.setdefault(item.rank, item.name)
        if first != item.name:
            yield f"priority_classes.{item.name}.rank: same rank as '{first}'"
    yield from _shared_hashes(configuration)
    yield from _operator_references(configuration)


def check_configuration(configuration: Configuration) -> list[str]:
    """Return every mistake of a configuration; an empty list means that it is valid.

    >>> check_configuration(Configuration())
    []
    >>> lone = Model("m", "pool", "v1", (ModelVersion("v1"),))
    >>> check_configuration(Configuration(models={"m": lone}))
    ["models.m.service: no service 'pool'"]
    """
    mistakes = [] if configuration.revision >= 0 else ["revision: expected at least 0"]
    for kind in OBJECT_KINDS:
        for name, value in getattr(configuration, kind).items():
            mistakes += _object_mistakes(kind, name, value)
    mistakes += _range_mistakes(configuration.policy, "policy")
    mistakes += _policy_fields(configuration.policy, "policy")
    mistakes += _reference_mistakes(configuration)
    return mistakes
