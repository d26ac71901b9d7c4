"""Test cases with answers that are cut at each byte of their head and body."""

from collections import Counter

from damaskwind.decisions.membership.target_record import TargetPhase
from damaskwind.router.forwarding.tests.bench import NAMES, ForwarderTestCase
from damaskwind.runtime.http1.client import AnswerBrokenError
from damaskwind.standins.cut_answers import CutEnd, cut_after, framed_answers
from damaskwind.standins.scripted_target import event

__all__ = [
    "ANSWERS",
    "BODY",
    "BROKEN",
    "ID_FIELD",
    "MAY_HAVE_RUN",
    "PAUSES_S",
    "CutHeadsTestCase",
]

ID_FIELD = NAMES.request_id + b": r1"
BODY = event(1) + event(2)
ANSWERS = framed_answers(ID_FIELD, BODY)
PAUSES_S = (0.1, 0.5, 1.0, 2.0)
# What a caller gets of an answer that it sees cut.
BROKEN = 0
# How a request fails that may have run.
MAY_HAVE_RUN = {502, 504, BROKEN}


class CutHeadsTestCase(ForwarderTestCase):
    """Calls whose answer is cut; by default their requests may run once."""

    timeout = 60

    async def ask(self, *steps, **fields):
        """Return the status and the body of a call, `BROKEN` for one that the caller sees cut."""
        self.share(*steps)
        for target in self.targets:
            target.received.clear()
        # Each call has a retry to spend: so many failures would use up the budget.
        self.forwarder._budgets.clear()
        try:
            answer = await self.call(**fields)
        except AnswerBrokenError:
            return BROKEN, b""
        return answer.status, answer.body

    async def ask_cut(self, answers=ANSWERS, before=(), after=(), **fields):
        """Return how often each status came of calls whose answers are cut at each byte.

        `before` and `after` are the steps of the answers before and after the one that is cut.
        """
        statuses = Counter()
        for answer in answers:
            for size in range(len(answer.data)):
                for end in CutEnd:
                    cut = cut_after(answer.data[:size], end)
                    status, body = await self.ask(*before, cut, *after, **fields)
                    statuses[status, body, len(self.received())] += 1
        return statuses

    async def renew(self):
        """Go on with a forwarder and targets that nothing is known of."""
        await self.finish()
        await self.start()

    def leave_one_target(self):
        address = self.view.targets.record_of("t1").address
        self.admit("t1", address, TargetPhase.LEAVING, sequence=101)
