"""Background traffic through all routers with checked answers, for tests of the data path."""

import asyncio
import tempfile
from pathlib import Path

from openai import AsyncOpenAI
from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from damaskwind.commands.tests.data_path_fleet import (
    ACCOUNT_KEY,
    DataPathFleet,
    expected_chat,
    stream_text,
)
from damaskwind.runtime.bridge import to_deferred
from damaskwind.runtime.clock import read_clock
from damaskwind.standins.harness import wait_until

__all__ = [
    "LONG_STREAMS",
    "LONG_TOKENS",
    "SHORT_TOKENS",
    "SLOW",
    "FleetTestCase",
    "Traffic",
    "TrafficTestCase",
]

WORKERS = 6
SHORT_TOKENS = 4
LONG_TOKENS = 60
LONG_STREAMS = 24
MIN_ANSWERS = 100
DONE = b"data: [DONE]"
SLOW = {"token_interval_s": 0.05, "max_running_requests": 128, "resume_hold_s": 0.0}


class Traffic:
    """Callers that send short chats through all routers until stopped."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stopped = False
        self.answers = []
        self._workers = [asyncio.ensure_future(self._worker(number)) for number in range(WORKERS)]

    async def _worker(self, number):
        turn = 0
        while not self._stopped:
            routers = sorted(self._fleet.routers)
            router = routers[(number + turn) % len(routers)]
            text = f"lane {number} turn {turn}"
            answer = await self._fleet.chat(self._fleet.routers[router], text, SHORT_TOKENS)
            self.answers.append((text, answer))
            turn += 1

    async def stop(self):
        self._stopped = True
        await asyncio.gather(*self._workers)

    def reset(self):
        """Discard the answers so far."""
        self.answers.clear()


class FleetTestCase(TestCase):
    """A test case with its own fleet and the official OpenAI client."""

    timeout = 120

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = DataPathFleet(reactor, Path(folder.name))
        self.addCleanup(lambda: to_deferred(self.fleet.stop()))

    def client(self, router):
        """Return the official client with its default settings."""
        url = f"http://{self.fleet.routers[router]}/v1"
        client = AsyncOpenAI(api_key=ACCOUNT_KEY, base_url=url)
        self.addCleanup(lambda: to_deferred(client.close()))
        return client


class TrafficTestCase(FleetTestCase):
    """A test case whose callers know the complete answers to expect."""

    def is_complete_answer(self, text, answer, size_tokens=SHORT_TOKENS):
        """Return whether an answer is complete; fail if a broken one looks complete."""
        expected = expected_chat(text, size_tokens)
        if answer.status == 200:
            self.assertTrue(expected.startswith(stream_text(answer.body)), (text, answer))
        if answer.status != 200 or DONE not in answer.body:
            self.assertFalse(answer.status == 200 and answer.is_complete, (text, answer))
            return False
        self.assertEqual(stream_text(answer.body), expected)
        return True

    def start_long_streams(self, name, router=None):
        """Start long streams through one router, or through all of them."""
        addresses = [self.fleet.routers[router]] if router else list(self.fleet.routers.values())
        texts = [f"{name} {number}" for number in range(LONG_STREAMS)]
        asking = [
            self.fleet.chat(addresses[number % len(addresses)], text, LONG_TOKENS)
            for number, text in enumerate(texts)
        ]
        return texts, [asyncio.ensure_future(one) for one in asking]

    async def runs(self, target):
        """Return how many requests a target has run."""
        return (await self.fleet.oracles())[target]["events"].get("run", 0)

    async def wait_for_runs(self, target, more_than):
        """Wait until a target has run more than this many requests."""

        async def has_run():
            return await self.runs(target) > more_than

        await wait_until(has_run, 20, f"work at {target}")

    async def wait_for_complete_answers(self, traffic, count):
        """Wait until the last `count` answers are complete."""

        def all_complete():
            last = traffic.answers[-count:]
            return len(last) == count and all(self.is_complete_answer(*one) for one in last)

        await wait_until(all_complete, 30, "complete answers again")

    async def wait_for_traffic(self, since_s, duration_s, traffic):
        """Wait until the duration has passed and enough answers have arrived."""
        traffic.reset()
        await wait_until(
            lambda: read_clock() > since_s + duration_s and len(traffic.answers) > MIN_ANSWERS,
            30,
            "traffic after the leave",
        )
