"""Calls of operators and targets that any control replica serves.

This module is independent of the wire format: an adapter decodes the calls and
formats the outcomes.
"""

from collections.abc import Callable
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from loguru import logger

from damaskwind.control.fleet.news_feed import NewsFeed
from damaskwind.control.operator_api.ports import CommitOutcome, CommitVerdict, ProposalPort
from damaskwind.control.state.published_configuration import (
    PublishedConfiguration,
    PublishOutcome,
    publish_command,
)
from damaskwind.decisions.following.read_redirection import ReadRedirector
from damaskwind.decisions.membership.target_record import TargetPhase, TargetRecord
from damaskwind.decisions.routing.checks import configuration_mistakes
from damaskwind.model.exception import ConfigurationError
from damaskwind.model.targets import Address
from damaskwind.model.traffic_configuration import TrafficConfiguration
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Delivery
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.configuration_read import (
    ConfigurationRead,
    ReadOutcome,
    log_read,
    outcome_of,
    read_url,
)

__all__ = ["ControlCalls", "PublishResult", "PublishStatus", "ReportOutcome"]

# Operators try another replica after a second without an answer.
PUBLISH_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 0.9
# A leave is acknowledged once all reachable replicas have it, but a target waits
# at most a second for the acknowledgement.
LEAVE_REPLICATION_TIMEOUT_S = 0.3
# A publication that conflicts with another is retried as a difference from the new document;
# after this many attempts the whole document is proposed.
DIFFERENCE_ATTEMPTS = 3


class PublishStatus(StrEnum):
    """The result of a request to publish."""

    ACKNOWLEDGED = "acknowledged"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class ReportOutcome(StrEnum):
    """The result of a target's report; only an accepted one is acknowledged."""

    ACCEPTED = "taken"
    FOREIGN = "foreign"
    NOT_IN_FORCE = "not-in-force"


class PublishResult(NamedTuple):
    """The status of a request to publish, its version, and what is wrong with it."""

    status: PublishStatus
    version: int
    detail: str = ""


class ControlCalls:
    """The calls of operators and targets at one replica.

    `access` returns the log, or `None` while the disk is not usable; reports of
    targets are accepted all the same. Nothing is published until `has_enough_voters`
    returns true, since the replica that founds the cluster starts as its only voter.
    """

    def __init__(
        self,
        access: Callable[[], ProposalPort | None],
        machine: Callable[[], PublishedConfiguration],
        feed: NewsFeed,
        decode: Callable[[bytes], TrafficConfiguration],
        has_enough_voters: Callable[[], bool],
        read_redirector: ReadRedirector,
    ) -> None:
        self._access = access
        self._machine = machine
        self._feed = feed
        self._decode = decode
        self._has_enough_voters = has_enough_voters
        self._read_redirector = read_redirector
        self.tallies = Tallies()

    async def publish(self, document: bytes) -> PublishResult:
        """Publish a document; it is acknowledged once it is on the disks of a majority."""
        started_s = read_clock()
        result = await self._publish(document)
        self.tallies.count("publications", status=result.status.value)
        self.tallies.observe(
            "publication_duration", read_clock() - started_s, status=result.status.value
        )
        return result

    async def _publish(self, document: bytes) -> PublishResult:
        """Check a document and propose it to the log."""
        try:
            configuration = self._decode(document)
            mistakes = configuration_mistakes(configuration)
        except ConfigurationError as error:
            mistakes = error.mistakes
        if mistakes:
            logger.info("configuration refused", mistakes=mistakes[:5], bytes=len(document))
            return PublishResult(PublishStatus.INVALID, 0, mistakes[0])
        version = configuration.version
        known_version = self._machine().version
        logger.info(
            "configuration received", version=version, held=known_version, bytes=len(document)
        )
        if version <= known_version:
            logger.info("configuration overtaken", version=version, held=known_version)
            return PublishResult(PublishStatus.ACKNOWLEDGED, version, "overtaken")
        access = self._access()
        if access is None:
            return PublishResult(PublishStatus.UNKNOWN, version, "the disk is not usable")
        if not self._has_enough_voters():
            logger.info("configuration not committed", version=version, why="too few voters yet")
            return PublishResult(PublishStatus.UNKNOWN, version, "too few replicas vote yet")
        started_s = read_clock()
        outcome = await self._propose(access, version, document)
        if outcome.verdict is not CommitVerdict.COMMITTED:
            logger.warning(
                "configuration not committed",
                version=version,
                verdict=outcome.verdict,
                leader=outcome.leader_hint,
                why=outcome.detail,
                took_s=round(read_clock() - started_s, 3),
            )
            return PublishResult(PublishStatus.UNKNOWN, version, outcome.detail)
        logger.info(
            "configuration committed",
            version=version,
            outcome=outcome.result.decode(),
            took_s=round(read_clock() - started_s, 3),
        )
        return PublishResult(PublishStatus.ACKNOWLEDGED, version)

    async def _propose(self, access: ProposalPort, version: int, document: bytes) -> CommitOutcome:
        """Propose a document, as a difference for the first `DIFFERENCE_ATTEMPTS` attempts."""
        deadline_s = read_clock() + PUBLISH_TIMEOUT_S
        for attempt in count(1):
            machine = self._machine()
            base_version = machine.version if attempt <= DIFFERENCE_ATTEMPTS else 0
            command = publish_command(version, document, base_version, machine.document)
            outcome = await access.propose(command, deadline_s - read_clock())
            if outcome.result != PublishOutcome.OTHER_BASE.encode():
                break
            logger.info("configuration written anew", version=version, base=base_version)
        return outcome

    async def read(self, caller: str) -> ConfigurationRead:
        """Return the newest document that a majority stores, or none if that is uncertain.

        A document that is too large for this VM's link is redirected to a router.
        """
        asked_s = read_clock()
        access = self._access()
        is_current = access is not None and await access.read_current(READ_TIMEOUT_S)
        confirmation_s = read_clock() - asked_s
        if not is_current:
            self.tallies.count("reads", outcome=ReadOutcome.REFUSED)
            why = "no majority vouches for this replica" if access else "the disk is not usable"
            logger.info(
                "read refused", caller=caller, why=why, waited_ms=round(confirmation_s * 1000, 1)
            )
            return ConfigurationRead(caller, 0, b"", asked_s, confirmation_s)
        machine = self._machine()
        return self._redirect(
            ConfigurationRead(caller, machine.version, machine.document, asked_s, confirmation_s)
        )

    def _redirect(self, read: ConfigurationRead) -> ConfigurationRead:
        """Redirect a read to a router if this VM's link is too slow for the document."""
        endpoints = self._feed.relay_endpoints()
        endpoint = self._read_redirector.choose(len(read.document), endpoints)
        if endpoint is None:
            return read
        url = read_url(endpoint.host, self._read_redirector.port, read.version)
        self.tallies.count("reads", outcome=ReadOutcome.REDIRECTED)
        logger.info(
            "read sent on",
            caller=read.caller,
            version=read.version,
            bytes=len(read.document),
            vouched_ms=round(read.confirmation_s * 1000, 1),
            to=url,
        )
        return read._replace(redirect_url=url)

    def record_delivery(self, read: ConfigurationRead, delivery: Delivery) -> None:
        """Record how much of the answer to a read was delivered."""
        outcome = outcome_of(delivery)
        self.tallies.count("reads", outcome=outcome)
        self.tallies.observe("read_duration", read.took_s(delivery), outcome=outcome)
        log_read(read, delivery)

    async def report(self, record: TargetRecord) -> ReportOutcome:
        """Apply a target's report; return whether it may be acknowledged."""
        stored = self._feed.table.record_of(record.target_id)
        if stored is not None and stored.service not in ("", record.service):
            self.tallies.count("reports", phase="foreign")
            logger.warning(
                "report refused",
                target=record.target_id,
                why="it names another service than the target has",
                service=record.service,
                held=stored.service,
            )
            return ReportOutcome.FOREIGN
        changed = self._feed.report(record)
        self.tallies.count("reports", phase=record.phase.name.lower())
        if changed:
            logger.info(
                "target reported",
                target=record.target_id,
                service=record.service,
                phase=record.phase.name.lower(),
                sequence=record.sequence,
                born_ms=record.born_ms,
                address=str(record.address),
                software=record.version,
            )
        # A report of leaving with an earlier start time than the stored one counts as a late report
        # of an older incarnation. If the target's clock was stepped back, it is the current one,
        # and acknowledging it would let routers go on sending requests to a leaving target.
        if self._feed.table.phase_of(record.target_id) < record.phase:
            logger.warning(
                "report not in force",
                target=record.target_id,
                why="born before the incarnation held, which was seen recently",
                phase=record.phase.name.lower(),
                born_ms=record.born_ms,
                held_born_ms=stored.born_ms if stored else 0,
            )
            return ReportOutcome.NOT_IN_FORCE
        if changed and record.phase is not TargetPhase.SERVING:
            await self._wait_until_replicated(record.target_id)
        return ReportOutcome.ACCEPTED

    def choose_report_address(self) -> Address | None:
        """Return the address to which a target should report instead; `None` for this replica."""
        host = self._feed.choose_report_host()
        if host is None:
            return None
        self.tallies.count("targets_sent_on")
        return Address(host, self._read_redirector.port)

    async def leave(self, target_id: str) -> None:
        """Apply a target's announcement that it is gone."""
        self.tallies.count("reports", phase="gone")
        if self._feed.leave(target_id):
            logger.info("target left", target=target_id)
            await self._wait_until_replicated(target_id)

    async def _wait_until_replicated(self, target_id: str) -> None:
        """Wait up to `LEAVE_REPLICATION_TIMEOUT_S` until the other replicas have the change."""
        revision = self._feed.table.revision
        if not await self._feed.wait_until_replicated(revision, LEAVE_REPLICATION_TIMEOUT_S):
            logger.warning(
                "leave not told to all replicas",
                target=target_id,
                limit_s=LEAVE_REPLICATION_TIMEOUT_S,
            )
