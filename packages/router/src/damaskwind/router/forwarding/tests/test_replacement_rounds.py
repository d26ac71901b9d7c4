"""Tests of the rounds in which the overdue attempts of a service are served."""

from damaskwind.router.forwarding.replacements import Replacements
from damaskwind.router.forwarding.tests.test_replacements import OverdueTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.scripted_target import plain, silent


class FailedRoundTest(OverdueTestCase):
    @asyncio_test
    async def test_error_in_a_round_does_not_end_the_search(self):
        """Guards against overdue attempts that no round serves after one round has failed."""
        self.publish_route()
        serve_round, rounds = Replacements._serve_round, []

        async def fail_first(replacements, service):
            rounds.append(service)
            if len(rounds) == 1:
                raise KeyError("any fault")
            await serve_round(replacements, service)

        self.patch(Replacements, "_serve_round", fail_first)
        self.share(silent(), plain(200, b"elsewhere"))
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (200, b"elsewhere"))
