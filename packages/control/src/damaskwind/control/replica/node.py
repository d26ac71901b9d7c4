"""Assemble one replica from its data folder, journal, core and service."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from damaskwind.control.replica.address_book import AddressBook, AddressRecord
from damaskwind.control.replica.forwarding import LogAccess
from damaskwind.control.replica.joining import found_or_join_cluster, rejoin_if_removed
from damaskwind.control.replica.replica import Replica
from damaskwind.control.replica.replicated_state import ReplicatedState, StateMachine
from damaskwind.control.replica.service import ReplicationService
from damaskwind.control.replica.transport import Transport
from damaskwind.control.storage.files import FileSystem
from damaskwind.control.storage.folder import DataFolder, open_data_folder
from damaskwind.control.storage.journal import Journal, open_journal
from damaskwind.decisions.replication.messages import Member, Timing
from damaskwind.runtime.settings import ControlSettings, NodeSettings, parse_address
from damaskwind.wire.authentication import CallSigner, CallVerifier

__all__ = ["ReplicaNode", "open_replica"]


class ReplicaNode(NamedTuple):
    """An opened replica with its parts; `start` runs it."""

    folder: DataFolder
    journal: Journal
    replica: Replica
    access: LogAccess
    service: ReplicationService
    signer: CallSigner
    verifier: CallVerifier
    random: Random
    tasks: list[asyncio.Task]

    def start(self, node: NodeSettings, control: ControlSettings, address: str) -> None:
        """Start the replica; its service listens at `address`."""
        self.replica.transport.own_address = address
        self.service.address = address
        self.replica.start()
        joining = found_or_join_cluster(
            self.access,
            self.journal,
            self.folder,
            self.service,
            control.bootstrap_replicas,
            node.failure_domain,
            self.signer,
            self.random,
            control.may_found,
            control.joins_unlisted,
        )
        self.tasks.append(asyncio.ensure_future(joining))
        if control.joins_unlisted:
            rejoining = rejoin_if_removed(
                self.access,
                self.service,
                control.bootstrap_replicas,
                node.failure_domain,
                self.signer,
            )
            self.tasks.append(asyncio.ensure_future(rejoining))

    async def stop(self) -> None:
        """Stop the replica and release the lock on its folder."""
        for task in self.tasks:
            task.cancel()
        await self.replica.stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.access.close()
        self.folder.close()


def _make_timing(control: ControlSettings) -> Timing:
    """Return the timing parameters of the log from the settings."""
    return Timing(
        heartbeat_s=control.heartbeat_s,
        election_timeout_min_s=control.election_timeout_s,
        election_timeout_max_s=2 * control.election_timeout_s,
        replace_after_s=control.replace_after_s,
        remove_after_s=control.remove_after_s,
        least_voters=control.least_voters,
        most_voters=control.most_voters,
    )


def _bootstrap_addresses(control: ControlSettings) -> AddressBook:
    """Return an address book with the bootstrap replicas of the settings."""
    records = (
        AddressRecord(item.replica_id, parse_address(item.address), item.failure_domain)
        for item in control.bootstrap_replicas
    )
    return AddressBook(tuple(records), control.fixed_addresses)


def open_replica(
    node: NodeSettings,
    control: ControlSettings,
    machine: StateMachine,
    files: FileSystem,
    random: Random,
    silent_since_s: float | None = None,
) -> ReplicaNode:
    """Recover a replica from its data folder; raise `StorageError` when that fails.

    `silent_since_s` is a monotonic time since which this replica has certainly
    not responded to any leader; by default the current time.
    """
    folder = open_data_folder(Path(control.data_folder), node.cluster, node.node_id, files)
    try:
        journal = open_journal(folder.path, files)
        signer = CallSigner(node.cluster, node.cluster_key, node.node_id)
        addresses = _bootstrap_addresses(control)
        replica = Replica(
            Member(node.node_id, folder.identity.identity),
            journal,
            ReplicatedState(machine, addresses),
            Transport(signer, addresses.address_of, random),
            _make_timing(control),
            random,
            control.snapshot_every_entries,
            silent_since_s,
        )
    except BaseException:
        folder.close()
        raise
    access = LogAccess(replica, signer)
    verifier = CallVerifier(node.cluster, node.cluster_key)
    service = ReplicationService(access, verifier, control.replica_address, node.failure_domain)
    service.is_founding = folder.is_founding
    return ReplicaNode(folder, journal, replica, access, service, signer, verifier, random, [])
