"""Log and count answers of targets that were broken off since a part of them was too long."""

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.router.forwarding.call import Call
from damaskwind.runtime.http1.answer_errors import AnswerBrokenError, AnswerTooLongError
from damaskwind.runtime.tallies import Tallies

__all__ = ["record_too_long"]


def record_too_long(
    error: AnswerBrokenError, call: Call, target: TargetRecord, via: str, tallies: Tallies
) -> None:
    """Log and count an attempt that ended by an `AnswerTooLongError`, and no other one.

    `via` is the host of the router that passed the answer on, if any.
    """
    if not isinstance(error, AnswerTooLongError):
        return
    tallies.count("answers_too_long", part=error.part)
    logger.warning(
        "answer too long",
        request=call.facts.request_id.decode("latin-1"),
        target=target.target_id,
        service=target.service,
        via=via,
        part=error.part,
        bound=error.bound,
        left_ms=int(call.left_s() * 1000),
    )
