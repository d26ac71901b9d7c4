"""Find out whether the end of an unframed answer was its end or that of its target's process.

An answer without a length and chunks is complete when its connection closes in an orderly way,
and that is also what a kernel does to the connections of a process that crashed. Only what the
target says afterwards shows that its process runs on: that nothing was heard of its end, and
that a connection to its address opens or is open, shows nothing. See
`docs/decisions/0033-ends-of-unframed-answers.md`.
"""

import asyncio
from enum import StrEnum
from math import inf
from typing import NamedTuple

from loguru import logger

from damaskwind.decisions.membership.target_record import TargetRecord
from damaskwind.model.header_names import HeaderNames
from damaskwind.router.forwarding.answer_heads import MISDIRECTED
from damaskwind.router.forwarding.connections import SETTLE_S
from damaskwind.router.forwarding.health_checks import HealthChecks
from damaskwind.router.forwarding.target_states import TargetStates
from damaskwind.runtime.clock import read_clock
from damaskwind.runtime.http1.client import AnswerBrokenError, AnswerHead, ConnectFailedError
from damaskwind.runtime.tallies import Tallies

__all__ = ["AnswerEnds"]

# How long an end waits for the target's word. A lost packet is sent again after some 0.2 s.
PROOF_S = 1.0
# After this time another question is asked on another connection: this one may be silent for good.
ANSWER_S = 0.4
# An end that comes after a question was asked waits so long for it to end before it asks its own.
SHARE_S = 0.1
# A connection that is reset before an answer comes is followed by another one after this time.
RETRY_S = 0.05


# The id of a target, and the sort key of its incarnation.
_Life = tuple[str, tuple[int, int]]


class _Word(StrEnum):
    """What a question to a target brought; `UNSURE` is the word of what may be another life."""

    ALIVE = "alive"
    GONE = "gone"
    UNSURE = "unsure"
    RESET = "reset"
    NONE = "none"


# By the failure of a connection: on a machine that refuses, nothing listens at the address.
_WORD_OF_FAILURE = {
    ConnectionRefusedError.__name__: _Word.GONE,
    ConnectionResetError.__name__: _Word.RESET,
}
_DECIDED = (_Word.ALIVE, _Word.GONE, _Word.UNSURE)


class _Found(NamedTuple):
    """What a question brought, by a connection that was made at `connected_s`."""

    word: _Word
    connected_s: float = inf


class _Question(NamedTuple):
    """A question that was sent at `asked_s`, and the task that waits for its answer."""

    asked_s: float
    answer: asyncio.Task[_Found]


class _WaitingEnd:
    """The end of one answer, which waits for its target's word."""

    def __init__(self, target: TargetRecord, ended_s: float, settled_s: float) -> None:
        self.target = target
        self.settled_s = settled_s
        self._ended_s = ended_s
        self._was_reset = False

    def judge(self, question: _Question) -> _Word:
        """Return what a question shows of this end."""
        found = _found_by(question.answer)
        if found.word is _Word.RESET:
            self._was_reset = True
        if found.word is not _Word.ALIVE:
            return found.word
        if question.asked_s < self.settled_s:
            return _Word.NONE
        return _Word.UNSURE if self._may_be_another_life(found) else _Word.ALIVE

    def _may_be_another_life(self, found: _Found) -> bool:
        """Return whether the target may have ended and be back under its id.

        One that reports its start may come back so. A connection from before the end leads to
        the life that answered.
        """
        is_newer = found.connected_s > self._ended_s
        return self.target.born_ms > 0 and self._was_reset and is_newer


class AnswerEnds:
    """Checks the ends of unframed answers at one router, and counts what the checks find."""

    def __init__(self, target_states: TargetStates, names: HeaderNames, tallies: Tallies) -> None:
        self._target_states = target_states
        self._checks = HealthChecks(target_states, names)
        self._tallies = tallies
        # By the life of a target, since what one life is asked shows nothing of another.
        self._questions: dict[_Life, list[_Question]] = {}

    async def has_outlived(self, target: TargetRecord, request_id: bytes) -> bool:
        """Return whether a target ended the unframed answer that has just ended.

        It did if the same life of it answers a question that was asked `SETTLE_S` after the end or
        later: a process that exits has closed all its connections by then. That it is leaving
        proves nothing: it may be killed before it has ended its answers.
        """
        ended_s = read_clock()
        await asyncio.sleep(SETTLE_S)
        word, asked_s = await self._find_word(_WaitingEnd(target, ended_s, read_clock()))
        self._tallies.count("unframed_end_checks", found=word.value)
        logger.info(
            "unframed end checked",
            request_id=request_id.decode("latin-1"),
            target=target.target_id,
            asked_after_end_ms=round((asked_s - ended_s) * 1000, 1),
            took_ms=round((read_clock() - ended_s) * 1000, 1),
            outcome=word.value,
        )
        return word is _Word.ALIVE

    async def _find_word(self, end: _WaitingEnd) -> tuple[_Word, float]:
        """Return what a question showed of an end, and when it was asked.

        Ends at the same target share questions. What these bring against the target counts for
        all ends; what speaks for it counts for an end only if it was asked late enough.
        """
        target, settled_s = end.target, end.settled_s
        until_s = settled_s + PROOF_S
        while self._is_same_life(target) and (left_s := until_s - read_clock()) > 0:
            questions = self._ask_if_due(target, settled_s)
            wait_s = min(left_s, max(_due_s(questions[-1], settled_s) - read_clock(), 0.0))
            answers = [question.answer for question in questions]
            await asyncio.wait(answers, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            for question in questions:
                word = end.judge(question)
                if word in _DECIDED:
                    return word if self._is_same_life(target) else _Word.GONE, question.asked_s
            if all(
                answer.done() and _found_by(answer).word is not _Word.ALIVE for answer in answers
            ):
                await asyncio.sleep(RETRY_S)
        return _Word.NONE, settled_s

    def _is_same_life(self, target: TargetRecord) -> bool:
        """Return whether the process that was sent to is the one that is registered now."""
        known = self._target_states.view.targets.record_of(target.target_id)
        return known is not None and known.incarnation == target.incarnation

    def _ask_if_due(self, target: TargetRecord, settled_s: float) -> list[_Question]:
        """Return the questions to a target that are under way, and ask another one if it is due.

        The first is asked on a pooled connection, if there is one: that is of the same process.
        If it is not answered soon, others follow on new connections, and it goes on.
        """
        life = (target.target_id, target.incarnation)
        questions = self._questions.get(life, [])
        if not questions or read_clock() >= _due_s(questions[-1], settled_s):
            is_silent = any(not question.answer.done() for question in questions)
            questions = [*questions, self._begin_question(target, must_be_new=is_silent)]
            self._questions[life] = questions
        return questions

    def _begin_question(self, target: TargetRecord, must_be_new: bool) -> _Question:
        """Ask a target, and forget the question once it has ended.

        One that brought nothing is remembered for `RETRY_S`, so that other ends don't ask at once.
        """
        self._tallies.count("unframed_end_questions")
        asked_s = read_clock()
        question = _Question(asked_s, asyncio.ensure_future(self._ask(target, must_be_new)))
        question.answer.add_done_callback(lambda _: self._settle(target, question))
        question.answer.add_done_callback(_log_failure)
        return question

    def _settle(self, target: TargetRecord, question: _Question) -> None:
        """Forget a question that has ended, at once if it was answered."""
        if _found_by(question.answer).word in _DECIDED:
            self._forget(target, question)
            return
        asyncio.get_running_loop().call_later(RETRY_S, self._forget, target, question)

    def _forget(self, target: TargetRecord, question: _Question) -> None:
        """Drop a question that has ended."""
        life = (target.target_id, target.incarnation)
        left = [other for other in self._questions[life] if other is not question]
        if left:
            self._questions[life] = left
        else:
            del self._questions[life]

    async def _ask(self, target: TargetRecord, must_be_new: bool) -> _Found:
        """Ask a target for its id."""
        try:
            async with asyncio.timeout(PROOF_S):
                head, connected_s = await self._checks.send(target, PROOF_S, must_be_new)
        except ConnectFailedError as error:
            return _Found(_WORD_OF_FAILURE.get(str(error), _Word.NONE))
        except AnswerBrokenError:
            return _Found(_Word.RESET)
        except TimeoutError:
            return _Found(_Word.NONE)
        return _Found(self._read(head, target), connected_s)

    def _read(self, head: AnswerHead, target: TargetRecord) -> _Word:
        """Return what the answer to a question shows."""
        if head.status == MISDIRECTED:
            return _Word.GONE
        checks = self._checks
        is_alive = checks.is_named_by(head, target) or checks.is_refused_by(head, target)
        return _Word.ALIVE if is_alive else _Word.NONE


def _due_s(latest: _Question, settled_s: float) -> float:
    """Return when an end that settled at `settled_s` asks again after the latest question."""
    return latest.asked_s + (ANSWER_S if latest.asked_s >= settled_s else SHARE_S)


def _found_by(answer: asyncio.Task[_Found]) -> _Found:
    """Return what a question brought so far; one that failed here shows nothing."""
    has_failed = answer.done() and (answer.cancelled() or answer.exception() is not None)
    return answer.result() if answer.done() and not has_failed else _Found(_Word.NONE)


def _log_failure(answer: asyncio.Task[_Found]) -> None:
    """Log an error that is not among those that a question expects."""
    error = None if answer.cancelled() else answer.exception()
    if error is not None:
        logger.opt(exception=error).error("question to a target failed")
