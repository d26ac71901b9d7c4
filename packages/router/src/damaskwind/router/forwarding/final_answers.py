"""Give a request its final answer, and log its summary line."""

from loguru import logger

from damaskwind.router.forwarding.attempt import AttemptEnd, AttemptOutcome
from damaskwind.router.forwarding.call import Call, shown_event_id, shown_parts
from damaskwind.router.forwarding.delivery import Delivery
from damaskwind.router.forwarding.pool_admissions import PoolAdmissions
from damaskwind.router.forwarding.request_suspicions import HeldSuspect
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.exchange import Exchange
from damaskwind.runtime.http1.messages import Answer
from damaskwind.runtime.http1.unanswered import CALLER_LEFT, UnansweredReason
from damaskwind.runtime.tallies import Tallies

__all__ = ["FinalAnswers"]

# A router that has just started gets a configuration after some 0.5 s if the replicas, on a
# quarter of a core each, have just started too. A caller that retries sooner is refused again,
# and one that retries much later loses time.
STARTUP_S = 0.8
NOT_READY_RETRY_S = 0.3


class FinalAnswers:
    """Final answers of one router; `started_s` is when its process began to serve."""

    def __init__(self, admissions: PoolAdmissions, started_s: float, tallies: Tallies) -> None:
        self._tallies = tallies
        self._admissions = admissions
        self._started_s = started_s

    def finish(
        self,
        exchange: Exchange,
        call: Call,
        delivery: Delivery,
        outcome: AttemptOutcome,
        fault: UnansweredReason | None = None,
    ) -> None:
        """Send the final answer, or abort an answer that has begun and can't be completed.

        `fault` is why the work ended early, if not by what became of it at the targets.
        """
        if outcome.end is AttemptEnd.DELIVERED:
            self.log(call, delivery, "delivered", outcome.why)
            return
        if delivery.has_begun:
            exchange.abort(outcome.why, fault or _cut_reason(call))
            self.log(call, delivery, "cut", outcome.why)
            return
        if outcome.answer is not None:
            delivery.send_whole(outcome.answer)
            self.log(call, delivery, "target failure passed on", outcome.why)
            return
        if call.final_refusal is not None:
            headers = [(b"content-type", b"text/plain; charset=utf-8")]
            exchange.respond(Answer(503, headers, call.final_refusal.text))
            self.log(call, delivery, call.final_refusal.outcome, outcome.why)
            return
        if not call.may_have_run:
            retry_after_s = (
                self._admissions.retry_after_s(call)
                if call.retry_after_s is None
                else call.retry_after_s
            )
            headers = [(b"retry-after", b"%.3f" % retry_after_s)]
            exchange.respond(Answer(503, headers))
            self.log(call, delivery, "refused as not run", outcome.why)
            return
        status = 504 if call.left_s() <= 0 else 502
        exchange.respond(Answer(status, []))
        self.log(call, delivery, "failed, may have run", outcome.why)

    def refuse_fatal(
        self, exchange: Exchange, call: Call, delivery: Delivery, held: HeldSuspect
    ) -> None:
        """Refuse a request that crashes targets, without Retry-After: no retry helps."""
        exchange.respond(Answer(503, []))
        self.log(call, delivery, "refused as fatal", held.why)

    def refuse(
        self, exchange: Exchange, request_id: bytes, status: int, why: str, version: int = 0
    ) -> None:
        """Answer a request for which no route was resolved."""
        headers = []
        if status == 503:
            left_s = self._started_s + STARTUP_S - read_clock()
            retry_after_s = max(left_s, NOT_READY_RETRY_S)
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        exchange.respond(Answer(status, headers))
        self._tallies.count("requests", outcome=f"refused {status}", kind="none")
        logger.info(
            "request refused",
            request=request_id.decode("latin-1"),
            status=status,
            why=why,
            version=version,
        )

    def log_lost(self, call: Call, delivery: Delivery, loss: UnansweredReason) -> None:
        """Log a request whose caller's connection has ended."""
        self.log(call, delivery, "caller left" if loss in CALLER_LEFT else "cut", loss.value)

    def log(self, call: Call, delivery: Delivery, outcome: str, why: str) -> None:
        """Count a request and log its summary line."""
        kind = call.route.kind.value
        self._tallies.count("requests", outcome=outcome, kind=kind)
        self._tallies.observe("request_duration", read_clock() - call.started_s, kind=kind)
        logger.info(
            "request ended",
            request=call.facts.request_id.decode("latin-1"),
            digest=call.digest.hex(),
            outcome=outcome,
            why=why,
            route=call.route.name,
            service=call.service,
            account=call.account.name if call.account else "",
            version=call.version,
            key=(call.key or b"").decode("latin-1"),
            parts=shown_parts(call.facts.part_ids),
            may_have_run=call.may_have_run,
            resume_after=shown_event_id(call.facts.resume_after),
            resumes=(call.facts.resumes or b"").decode("latin-1"),
            entry=list(call.entry or ()),
            attempts=[list(note) for note in call.notes],
            events=delivery.events,
            bytes=delivery.bytes,
            took_ms=int((read_clock() - call.started_s) * 1000),
            left_ms=int(call.left_s() * 1000),
        )


def _cut_reason(call: Call) -> UnansweredReason:
    """Return why an answer that has begun does not go on."""
    is_late = call.left_s() <= 0
    return UnansweredReason.DEADLINE_PASSED if is_late else UnansweredReason.ANSWER_CUT
