"""Read and check the daemon's settings file.

One TOML file describes one process: `[node]` gives its identity and location, and
`[router]` or `[control]` its role.
"""

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from damaskwind.decisions.held_bytes.connection_shares import DEFAULT_MAX_CONNECTIONS
from damaskwind.model.checking import check_table
from damaskwind.model.exception import SettingsError
from damaskwind.model.targets import Address

__all__ = [
    "ControlSettings",
    "NodeSettings",
    "ReplicaSettings",
    "RouterSettings",
    "Settings",
    "check_settings",
    "parse_address",
    "read_settings",
]


class NodeSettings(NamedTuple):
    """The identity and location of a process.

    `cluster_key` authenticates the messages between the processes of the cluster.
    """

    node_id: str
    cluster: str
    cluster_key: str
    region: str
    failure_domain: str
    log_level: str = "INFO"
    log_format: str = "auto"


class ReplicaSettings(NamedTuple):
    """A control replica that this process may call at `address` by grpclib."""

    replica_id: str
    address: str
    failure_domain: str


class RouterSettings(NamedTuple):
    """The settings of a router. Addresses are `IP:port`; port 0 picks a free one.

    Other routers reach it by UDP at `datagram_address` and by grpclib at
    `peer_address`. `seeds` are the datagram addresses of some routers, and `replicas`
    are the control replicas. `failure_domains` names all failure domains of the
    deployment, the same on every router, since account limits are divided over them.
    `near_failure_domains` are those among whose engines each chat has a single home.
    `state_file`, when set, preserves the highest revision over a restart.
    `configuration_file` gives a fixed configuration, without any control replica.
    `max_connections` callers may be connected at once.
    """

    http_address: str
    datagram_address: str
    peer_address: str
    announce_key: str
    seeds: tuple[str, ...] = ()
    replicas: tuple[ReplicaSettings, ...] = ()
    failure_domains: tuple[str, ...] = ()
    near_failure_domains: tuple[str, ...] = ()
    control_bytes_per_s: int = 4096
    drain_delay_s: float = 5.0
    drain_limit_s: float = 120.0
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    explain_records: int = 10_000
    state_file: str = ""
    configuration_file: str = ""
    ready_file: str = ""
    max_connections: int = DEFAULT_MAX_CONNECTIONS


class ControlSettings(NamedTuple):
    """The settings of a control replica. `operator_address` serves the intent API over HTTP.

    `bootstrap_replicas` are the initial members of a new cluster; a replica with an
    empty data folder that is not among them waits to be added.
    `bootstrap_operator_key_hash` (SHA-256 in hex) authenticates the first operator.
    With `fixed_addresses`, those replicas are reached at the addresses in these
    settings rather than at those they announce: for forwarded ports, which may differ
    from one machine to the next. A replica without `may_found` never founds a cluster
    but only joins one. With `joins_unlisted` it asks to be added although it is not
    among the bootstrap replicas, and again when it finds that it was removed. A voter
    that is silent for `replace_after_s` is replaced by a newcomer, and after
    `remove_after_s` it is removed without one. At least `least_voters` and at most
    `most_voters` replicas vote, once there are that many. `max_connections` clients may be
    connected to the intent API at once.
    """

    replica_address: str
    operator_address: str
    data_folder: str
    bootstrap_replicas: tuple[ReplicaSettings, ...] = ()
    bootstrap_operator_key_hash: str = ""
    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    snapshot_every_entries: int = 1000
    plan_ttl_s: float = 900.0
    fixed_addresses: bool = False
    ready_file: str = ""
    may_found: bool = True
    joins_unlisted: bool = False
    replace_after_s: float = float("inf")
    remove_after_s: float = float("inf")
    least_voters: int = 3
    most_voters: float = float("inf")
    max_connections: int = DEFAULT_MAX_CONNECTIONS


class Settings(NamedTuple):
    """The contents of a settings file."""

    node: NodeSettings
    router: RouterSettings | None = None
    control: ControlSettings | None = None


_TABLES = {"node": NodeSettings, "router": RouterSettings, "control": ControlSettings}
_ADDRESS_FIELDS = ("http_address", "datagram_address", "peer_address")
_ADDRESS_FIELDS += ("replica_address", "operator_address")
_ADVERTISED_FIELDS = ("http_address", "datagram_address", "peer_address", "replica_address")
_WILDCARD_HOSTS = ("0.0.0.0", "::", "*")
_LOG_FORMATS = ("auto", "json", "text")


def parse_address(text: str) -> Address:
    """Split `IP:port`; raise `ValueError` if the text is malformed.

    >>> parse_address("127.0.0.1:8080")
    Address(host='127.0.0.1', port=8080)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected IP:port, got '{text}'")
    return Address(host, int(port))


def _named_addresses(table: dict[str, Any]) -> list[tuple[str, Any]]:
    """List the addresses in a raw table, each with its path."""
    named = [(name, table[name]) for name in _ADDRESS_FIELDS if name in table]
    seeds = table.get("seeds", ())
    if isinstance(seeds, list | tuple):
        named += [(f"seeds[{index}]", text) for index, text in enumerate(seeds)]
    for key in ("replicas", "bootstrap_replicas"):
        rows = table.get(key, ())
        for index, row in enumerate(rows if isinstance(rows, list | tuple) else ()):
            if isinstance(row, dict) and "address" in row:
                named.append((f"{key}[{index}].address", row["address"]))
    return named


def _value_mistakes(table: dict[str, Any], path: str) -> list[str]:
    """List the malformed addresses and the negative numbers.

    This checks the raw table, so that mistakes of another kind elsewhere in it don't
    hide these.
    """
    mistakes = []
    for name, text in _named_addresses(table):
        try:
            host = parse_address(str(text)).host
        except ValueError as error:
            mistakes.append(f"{path}.{name}: {error}")
            continue
        if name in _ADVERTISED_FIELDS and host in _WILDCARD_HOSTS:
            mistakes.append(f"{path}.{name}: expected the IP number that others use, got '{host}'")
    for name, value in table.items():
        if isinstance(value, int | float) and value < 0:
            mistakes.append(f"{path}.{name}: expected a number of at least 0, got {value}")
    return mistakes


def check_settings(raw: dict[str, Any]) -> Settings:
    """Convert a parsed file to settings; raise `SettingsError` with every mistake."""
    mistakes = [
        f"{name}: unknown table; expected node, router or control"
        for name in raw
        if name not in _TABLES
    ]
    values = {}
    for name, kind in _TABLES.items():
        if name not in raw:
            continue
        checked = check_table(raw[name], kind, name)
        mistakes += checked.mistakes
        if checked.value is not None:
            values[name] = checked.value
        if isinstance(raw[name], dict):
            mistakes += _value_mistakes(raw[name], name)
    if "node" not in raw:
        mistakes.append("node: missing table")
    if "router" not in raw and "control" not in raw:
        mistakes.append("router or control: one of the two tables is needed")
    node = values.get("node")
    if node is not None and node.log_format not in _LOG_FORMATS:
        mistakes.append(f"node.log_format: expected one of {', '.join(_LOG_FORMATS)}")
    if mistakes:
        raise SettingsError(mistakes)
    return Settings(**values)


def read_settings(path: Path) -> Settings:
    """Read and check the settings file at `path`."""
    try:
        with path.open("rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError([f"{path.name}: {error.strerror}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"{path.name}: not TOML: {error}"]) from error
    return check_settings(raw)
