"""What operators and targets may ask of any control replica.

Nothing here knows how the calls look on the wire: an adapter decodes them and
formats the outcomes.
"""

from collections.abc import Callable
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from loguru import logger

from damaskwind.control.fleet.news_board import NewsBoard
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

# Operators move on to another replica after a second without an answer.
PUBLISH_LIMIT_S = 0.9
READ_LIMIT_S = 0.9
# A leave is acknowledged once all replicas that can be reached know it, but a
# target waits no longer than a second for its acknowledgement.
LEAVE_TOLD_S = 0.3
# A change that meets others is written anew upon them; after so many tries it goes whole.
DIFFERENCE_ATTEMPTS = 3


class PublishStatus(StrEnum):
    """How an order to publish ended."""

    ACKNOWLEDGED = "acknowledged"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class ReportOutcome(StrEnum):
    """What became of a target's report; only what is taken is acknowledged."""

    TAKEN = "taken"
    FOREIGN = "foreign"
    NOT_IN_FORCE = "not-in-force"


class PublishResult(NamedTuple):
    """The status of an order, its version, and what is wrong with it."""

    status: PublishStatus
    version: int
    detail: str = ""


class ControlCalls:
    """The calls of operators and targets at one replica.

    `access` gives the log, or `None` while the disk is not usable; reports of
    targets are taken all the same. Nothing is published before `bears_a_loss`
    says that enough replicas vote: a founder starts alone.
    """

    def __init__(
        self,
        access: Callable[[], ProposalPort | None],
        machine: Callable[[], PublishedConfiguration],
        board: NewsBoard,
        decode: Callable[[bytes], TrafficConfiguration],
        bears_a_loss: Callable[[], bool],
        read_redirector: ReadRedirector,
    ) -> None:
        self._access = access
        self._machine = machine
        self._board = board
        self._decode = decode
        self._bears_a_loss = bears_a_loss
        self._read_redirector = read_redirector
        self.tallies = Tallies()

    async def publish(self, document: bytes) -> PublishResult:
        """Publish a document; what is acknowledged is on a majority's disks."""
        begun_s = read_clock()
        result = await self._publish(document)
        self.tallies.count("publications", status=result.status.value)
        self.tallies.observe(
            "publication_duration", read_clock() - begun_s, status=result.status.value
        )
        return result

    async def _publish(self, document: bytes) -> PublishResult:
        """Check a document and put it in the log."""
        try:
            configuration = self._decode(document)
            mistakes = configuration_mistakes(configuration)
        except ConfigurationError as error:
            mistakes = error.mistakes
        if mistakes:
            logger.info("configuration refused", mistakes=mistakes[:5], bytes=len(document))
            return PublishResult(PublishStatus.INVALID, 0, mistakes[0])
        version = configuration.version
        held = self._machine().version
        if version <= held:
            logger.info("configuration overtaken", version=version, held=held)
            return PublishResult(PublishStatus.ACKNOWLEDGED, version, "overtaken")
        access = self._access()
        if access is None:
            return PublishResult(PublishStatus.UNKNOWN, version, "the disk is not usable")
        if not self._bears_a_loss():
            logger.info("configuration not committed", version=version, why="too few voters yet")
            return PublishResult(PublishStatus.UNKNOWN, version, "too few replicas vote yet")
        outcome = await self._propose(access, version, document)
        if outcome.verdict is not CommitVerdict.COMMITTED:
            logger.warning(
                "configuration not committed",
                version=version,
                verdict=outcome.verdict,
                leader=outcome.leader_hint,
                why=outcome.detail,
            )
            return PublishResult(PublishStatus.UNKNOWN, version, outcome.detail)
        logger.info("configuration committed", version=version, outcome=outcome.result.decode())
        return PublishResult(PublishStatus.ACKNOWLEDGED, version)

    async def _propose(self, access: ProposalPort, version: int, document: bytes) -> CommitOutcome:
        """Put a document in the log, by its difference as long as that comes through."""
        deadline_s = read_clock() + PUBLISH_LIMIT_S
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
        """Return the newest document that a majority holds, or none if that is not sure.

        What this VM's link does not carry in time is to be had from a router.
        """
        asked_s = read_clock()
        access = self._access()
        is_current = access is not None and await access.read_current(READ_LIMIT_S)
        vouched_s = read_clock() - asked_s
        if not is_current:
            self.tallies.count("reads", outcome=ReadOutcome.REFUSED)
            why = "no majority vouches for this replica" if access else "the disk is not usable"
            logger.info(
                "read refused", caller=caller, why=why, waited_ms=round(vouched_s * 1000, 1)
            )
            return ConfigurationRead(caller, 0, b"", asked_s, vouched_s)
        machine = self._machine()
        return self._send_on(
            ConfigurationRead(caller, machine.version, machine.document, asked_s, vouched_s)
        )

    def _send_on(self, read: ConfigurationRead) -> ConfigurationRead:
        """Name a router that gives a document which this VM's link is too narrow for."""
        places = self._board.passing_places()
        place = self._read_redirector.choose(len(read.document), places)
        if place is None:
            return read
        url = read_url(place.host, self._read_redirector.port, read.version)
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

    def read_ended(self, read: ConfigurationRead, delivery: Delivery) -> None:
        """Note how far the answer to a read came."""
        outcome = outcome_of(delivery)
        self.tallies.count("reads", outcome=outcome)
        self.tallies.observe("read_duration", read.took_s(delivery), outcome=outcome)
        log_read(read, delivery)

    async def report(self, record: TargetRecord) -> ReportOutcome:
        """Take a target's report; tell whether it may be acknowledged."""
        held = self._board.table.record_of(record.target_id)
        if held is not None and held.service not in ("", record.service):
            self.tallies.count("reports", phase="foreign")
            logger.warning(
                "report refused",
                target=record.target_id,
                why="it names another service than the target has",
                service=record.service,
                held=held.service,
            )
            return ReportOutcome.FOREIGN
        changed = self._board.report(record)
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
            )
        # A word that it leaves belongs to an earlier life by a birth before the one held. After a
        # step of its clock it is the target's own, and work would go on to come.
        if self._board.table.phase_of(record.target_id) < record.phase:
            logger.warning(
                "report not in force",
                target=record.target_id,
                why="born before the life held, which was heard lately",
                phase=record.phase.name.lower(),
                born_ms=record.born_ms,
                held_born_ms=held.born_ms if held else 0,
            )
            return ReportOutcome.NOT_IN_FORCE
        if changed and record.phase is not TargetPhase.SERVING:
            await self._tell(record.target_id)
        return ReportOutcome.TAKEN

    def report_place(self) -> Address | None:
        """Return where a target may report from now on, if it had better not here."""
        host = self._board.report_place()
        if host is None:
            return None
        self.tallies.count("targets_sent_on")
        return Address(host, self._read_redirector.port)

    async def leave(self, target_id: str) -> None:
        """Take a target's word that it takes no more work."""
        self.tallies.count("reports", phase="gone")
        if self._board.leave(target_id):
            logger.info("target left", target=target_id)
            await self._tell(target_id)

    async def _tell(self, target_id: str) -> None:
        """Wait a little until the other replicas know."""
        revision = self._board.table.revision
        if not await self._board.wait_told(revision, LEAVE_TOLD_S):
            logger.warning("leave not told to all replicas", target=target_id, limit_s=LEAVE_TOLD_S)
