"""Assemble the intent API of one replica from its settings."""

from collections.abc import Callable
from pathlib import Path

from damaskwind.control.audit.archive import AuditArchive
from damaskwind.control.operator_api.http_api import OperatorApi, OperatorApiSettings
from damaskwind.control.operator_api.intent_service import IntentLimits, IntentService
from damaskwind.control.operator_api.ports import ProposalPort
from damaskwind.control.operator_api.router_status import RouterRevision
from damaskwind.control.state.configuration_machine import ConfigurationMachine
from damaskwind.runtime.settings import ControlSettings, NodeSettings

__all__ = ["AUDIT_FOLDER", "make_operator_api"]

AUDIT_FOLDER = "audit"


def make_operator_api(
    node: NodeSettings,
    control: ControlSettings,
    port: ProposalPort,
    machine: ConfigurationMachine,
    routers: Callable[[], list[RouterRevision]] = list,
) -> tuple[OperatorApi, AuditArchive]:
    """Return the API and the archive of the audit trail.

    Serve `api.site()` at the operator address, and call
    `archive.store_closed(machine.trail)` after commands have been applied.
    """
    archive = AuditArchive(Path(control.data_folder) / AUDIT_FOLDER)
    service = IntentService(port, machine, IntentLimits(plan_ttl_s=control.plan_ttl_s))
    settings = OperatorApiSettings(node.node_id, control.bootstrap_operator_key_hash)
    return OperatorApi(port, machine, service, settings, routers, archive), archive
