"""The objects that operators confirm: accounts, classes, models, services, policy."""

from typing import NamedTuple

__all__ = [
    "ClientAccount",
    "Configuration",
    "Model",
    "ModelGrant",
    "ModelVersion",
    "OperatorKey",
    "Policy",
    "PriorityClass",
    "Service",
    "ServiceRoute",
]


class ModelGrant(NamedTuple):
    """A model version that an account may use, with the allowed `adapters`."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()


class ClientAccount(NamedTuple):
    """A client account. `key_hashes` are the SHA-256 digests of its API keys in hex.

    `max_concurrent_requests` and `max_tokens_per_s` are limits across the fleet.
    """

    name: str
    key_hashes: tuple[str, ...]
    priority_class: str
    max_concurrent_requests: int
    max_tokens_per_s: float
    models: tuple[ModelGrant, ...] = ()
    services: tuple[str, ...] = ()


class PriorityClass(NamedTuple):
    """A priority class. Rank 0 is served first; `weight` prevents starvation."""

    name: str
    rank: int
    weight: int
    queue_timeout_s: float = 5.0
    queue_limit_requests: int = 200


class ModelVersion(NamedTuple):
    """A version of a model with its available adapters."""

    version: str
    adapters: tuple[str, ...] = ()


class Model(NamedTuple):
    """A model and its versions; `service` names the pool of engines that run it.

    Callers refer to it as `model`, `model@version` or `model@version+adapter`; without
    a version they get `default_version`.
    """

    name: str
    service: str
    default_version: str
    versions: tuple[ModelVersion, ...]
    context_limit_tokens: int = 32768


class ServiceRoute(NamedTuple):
    """How calls below a path of a plain service are handled.

    The longest matching prefix wins. A call that is not idempotent is sent at
    most once.
    """

    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    timeout_s: float = 30.0


class Service(NamedTuple):
    """A pool of targets: `kind` is `engine` or `service`.

    `max_concurrent_requests` bounds the requests in progress at each target.
    """

    name: str
    kind: str
    routes: tuple[ServiceRoute, ...] = ()
    max_concurrent_requests: int = 64


class Policy(NamedTuple):
    """The fleet's policy values.

    `load_factor` bounds the load of each engine as a multiple of the mean load;
    `retry_share` is the largest share of requests that may be retries;
    `ejection_share` is the largest share of a pool that may be ejected.
    """

    load_factor: float = 1.25
    retry_share: float = 0.1
    max_attempts: int = 3
    ejection_share: float = 0.34
    ejection_base_s: float = 5.0
    placement: str = "bounded_rendezvous"
    request_timeout_s: float = 120.0
    first_byte_timeout_s: float = 30.0
    body_limit_bytes: int = 4_194_304
    idempotency_ttl_s: float = 3600.0
    control_bytes_per_s: int = 4096


class OperatorKey(NamedTuple):
    """An operator's key, as its SHA-256 in hex; roles: viewer, planner, confirmer."""

    name: str
    key_hash: str
    roles: tuple[str, ...]


class Configuration(NamedTuple):
    """All confirmed objects at one revision; empty at revision 0."""

    revision: int = 0
    accounts: dict[str, ClientAccount] = {}
    priority_classes: dict[str, PriorityClass] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    operators: dict[str, OperatorKey] = {}
    policy: Policy = Policy()
