"""Tests of continuous batching with an injected clock: timing, order, load and cache."""

from unittest import TestCase

from twisted.internet.task import Clock

from damaskwind.model.prefix import Message, ModelName, prefix_chain
from damaskwind.standins.answers import count_tokens
from damaskwind.standins.batching import Batch, Generation
from damaskwind.standins.prefix_cache import CachedPrefix, PrefixCache
from damaskwind.standins.settings import EngineSettings

_STEP_S = 0.125
_SETTINGS = EngineSettings(
    "engine-1",
    token_interval_s=_STEP_S,
    prefill_tokens_per_s=1000.0,
    max_running_requests=2,
    load_lag_s=1.0,
)


class BatchTest(TestCase):
    """Run a batch with a simulated clock."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.cache = PrefixCache(10_000)
        self.batch = Batch(self.clock, _SETTINGS, self.cache)
        self.received: list[tuple[float, str, str | None]] = []

    def _submit(self, name: str, text: str, answer: int, priority: int = 0) -> Generation:
        messages = [Message("user", text), Message("assistant", name)]
        digests = prefix_chain(ModelName("m", "1"), messages)
        chain = [
            CachedPrefix(digest, count_tokens(message.content))
            for digest, message in zip(digests, messages, strict=True)
        ]
        generation = Generation(name, chain, ["tok "] * answer, priority)
        generation.listener = lambda index, token: self.received.append(
            (round(self.clock.seconds(), 3), name, token)
        )
        self.batch.submit(generation)
        return generation

    def _run(self, duration_s: float) -> None:
        self.clock.pump([_STEP_S] * round(duration_s / _STEP_S))

    def test_first_token_follows_prompt_and_later_tokens_follow_interval(self) -> None:
        self._submit("a", "x" * 796, answer=3)
        self._run(1.0)
        times = [time_s for time_s, _, token in self.received if token]
        self.assertEqual(times, [0.25, 0.375, 0.5])
        self.assertIsNone(self.received[-1][2])

    def test_cached_prompt_is_not_computed_again(self) -> None:
        self._submit("a", "x" * 4000, answer=1)
        self._run(2.0)
        again = self._submit("b", "x" * 4000, answer=1)
        self._run(_STEP_S)
        self.assertEqual(again.cached_tokens, 1001)
        self.assertTrue(again.finished)

    def test_waiting_requests_are_admitted_by_priority(self) -> None:
        for name in ("a", "b"):
            self._submit(name, name, answer=5)
        self._submit("batch", "c", answer=1, priority=2)
        self._submit("urgent", "d", answer=1, priority=0)
        self._run(3.0)
        ends = [name for _, name, token in self.received if token is None]
        self.assertEqual(ends, ["a", "b", "urgent", "batch"])

    def test_load_is_remaining_work_and_is_reported_with_delay(self) -> None:
        self._submit("a", "x" * 796, answer=10)
        self.assertEqual(self.batch.load().load_tokens, 210)
        self.assertEqual(self.batch.lagged_load().load_tokens, 0)
        self._run(1.0)
        self.assertEqual(self.batch.lagged_load().load_tokens, 210)
        self._run(3.0)
        self.assertEqual(self.batch.lagged_load().load_tokens, 0)

    def test_cancelled_request_frees_its_slot(self) -> None:
        first = self._submit("a", "a", answer=100)
        self._submit("b", "b", answer=100)
        self._submit("c", "c", answer=1)
        self.batch.cancel(first)
        self._run(0.5)
        self.assertIn("c", [name for _, name, _ in self.received])
        self.assertEqual(self.batch.load().waiting_requests, 0)


class PrefixCacheTest(TestCase):
    """Least-recently-used eviction over chains."""

    def test_evicts_the_oldest_chain_from_its_end(self) -> None:
        events: list[tuple[str, str]] = []
        cache = PrefixCache(10, lambda kind, prefix: events.append((kind, prefix.digest)))
        cache.store([CachedPrefix("s", 4), CachedPrefix("a", 3, "s")])
        cache.store([CachedPrefix("s", 4), CachedPrefix("b", 3, "s")])
        cache.store([CachedPrefix("s", 4), CachedPrefix("c", 3, "s")])
        self.assertIn(("evicted", "a"), events)
        self.assertEqual(cache.matched_tokens(["s", "b"]), 7)
        self.assertEqual([link.digest for link in cache.chain("b")], ["s", "b"])
        self.assertLessEqual(cache.used_tokens, 10)
