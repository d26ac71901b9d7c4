"""Continuous batching with token timing, priorities and cancellation.

The batch steps every `token_interval_s` while it has work. In each step the
unfinished prompts share one token budget, and each request whose prompt is
computed gets one token. Waiting requests are admitted by priority, then in order
of arrival. The clock is injected.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from damaskwind.model.targets import LoadReport
from damaskwind.standins.prefix_cache import CachedPrefix, PrefixCache
from damaskwind.standins.settings import EngineSettings

__all__ = ["Batch", "Generation", "LaggedLoad"]


class Generation:
    """One request at an engine: its prompt, its answer and its progress.

    The argument `chain` ends with the answer, as the message that the next turn of
    the conversation repeats; the attribute `chain` is the prompt only. The
    `listener` is called with `(index, token)` for each token and `(index, None)` at
    the end; it is replaced when a stream is resumed. The engine drops the generation
    after `expires_s`.
    """

    def __init__(
        self,
        request_id: str,
        chain: list[CachedPrefix],
        answer: list[str],
        priority: int = 0,
        user: str = "",
    ) -> None:
        self.request_id = request_id
        self.chain = chain[:-1]
        self.full_chain = chain
        self.answer = answer
        self.priority = priority
        self.user = user
        self.prompt_tokens = sum(prefix.tokens for prefix in self.chain)
        self.cached_tokens = 0
        self.remaining_prompt_tokens = self.prompt_tokens
        self.produced_tokens = 0
        self.finished = False
        self.cancelled = False
        self.expires_s = float("inf")
        self.listener: Callable[[int, str | None], None] | None = None

    @property
    def initial_work_tokens(self) -> int:
        """Return the work at admission: the prompt tokens not cached, and the answer."""
        return self.prompt_tokens - self.cached_tokens + len(self.answer)

    @property
    def load_tokens(self) -> int:
        """Return the remaining work."""
        return self.remaining_prompt_tokens + len(self.answer) - self.produced_tokens


class _Sample(NamedTuple):
    """A load report and its time."""

    time_s: float
    report: LoadReport


class LaggedLoad:
    """A history of load reports that is read with a delay of `lag_s`.

    >>> load = LaggedLoad(lag_s=1.0, empty=LoadReport(0, 10, 0, 0, 0.0))
    >>> load.record(5.0, LoadReport(7, 10, 1, 0, 0.0))
    >>> load.read(5.5).load_tokens, load.read(6.0).load_tokens
    (0, 7)
    """

    def __init__(self, lag_s: float, empty: LoadReport) -> None:
        self._lag_s = lag_s
        self._samples: deque[_Sample] = deque([_Sample(float("-inf"), empty)])

    def record(self, now_s: float, report: LoadReport) -> None:
        """Record the current load."""
        self._samples.append(_Sample(now_s, report))

    def read(self, now_s: float) -> LoadReport:
        """Return the load at `now_s - lag_s`."""
        while len(self._samples) > 1 and self._samples[1].time_s <= now_s - self._lag_s:
            self._samples.popleft()
        return self._samples[0].report._replace(age_s=self._lag_s)


class Batch:
    """The running and waiting generations of one engine."""

    def __init__(self, clock: Any, settings: EngineSettings, cache: PrefixCache) -> None:
        self._clock = clock
        self._settings = settings
        self._cache = cache
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._timer: Any = None
        self._lagged = LaggedLoad(settings.load_lag_s, self.load())

    def load(self) -> LoadReport:
        """Return the current load."""
        active = self._running + self._waiting
        return LoadReport(
            load_tokens=sum(generation.load_tokens for generation in active),
            capacity_tokens=self._settings.capacity_tokens,
            running_requests=len(self._running),
            waiting_requests=len(self._waiting),
            age_s=0.0,
        )

    def load_by_user(self) -> Counter[str]:
        """Return the current load by the `user` that requests name, in tokens."""
        loads: Counter[str] = Counter()
        for generation in self._running + self._waiting:
            loads[generation.user] += generation.load_tokens
        return loads

    def max_initial_work_tokens(self) -> int:
        """Return the largest initial work of the active requests, in tokens."""
        active = self._running + self._waiting
        return max((generation.initial_work_tokens for generation in active), default=0)

    def lagged_load(self) -> LoadReport:
        """Return the load as it was `load_lag_s` ago."""
        return self._lagged.read(self._clock.seconds())

    def submit(self, generation: Generation) -> None:
        """Queue a generation; it runs once the batch has a free slot."""
        self._waiting.append(generation)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._admit()
        self._record()
        if self._timer is None:
            self._timer = self._clock.callLater(self._settings.token_interval_s, self._step)

    def cancel(self, generation: Generation) -> None:
        """Cancel a generation; its listener is not called again."""
        generation.cancelled = True
        self._running = [other for other in self._running if other is not generation]
        self._waiting = [other for other in self._waiting if other is not generation]
        self._record()

    def stop(self) -> None:
        """Cancel all work at once, as a crash does."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for generation in self._running + self._waiting:
            generation.cancelled = True
        self._running = []
        self._waiting = []
        self._record()

    def _record(self) -> None:
        """Record the load for delayed reports."""
        self._lagged.record(self._clock.seconds(), self.load())

    def _admit(self) -> None:
        """Move waiting generations into free slots and look up their cached prefixes."""
        while self._waiting and len(self._running) < self._settings.max_running_requests:
            generation = self._waiting.pop(0)
            digests = [prefix.digest for prefix in generation.chain]
            generation.cached_tokens = self._cache.matched_tokens(digests)
            generation.remaining_prompt_tokens -= generation.cached_tokens
            self._running.append(generation)

    def _step(self) -> None:
        """Run one step of the batch and schedule the next."""
        self._timer = None
        ready = [running for running in self._running if running.remaining_prompt_tokens == 0]
        self._compute_prompts()
        ready += [
            running
            for running in self._running
            if running.remaining_prompt_tokens == 0 and running not in ready
        ]
        for generation in ready:
            self._produce(generation)
        self._running = [running for running in self._running if not running.finished]
        self._admit()
        self._record()
        if self._running and self._timer is None:
            self._timer = self._clock.callLater(self._settings.token_interval_s, self._step)

    def _compute_prompts(self) -> None:
        """Spend the step's token budget on prompts, in order of admission."""
        budget = int(self._settings.prefill_tokens_per_s * self._settings.token_interval_s)
        for generation in self._running:
            if generation.remaining_prompt_tokens == 0:
                continue
            spent = min(max(budget, 0), generation.remaining_prompt_tokens)
            generation.remaining_prompt_tokens -= spent
            budget -= spent
            if generation.remaining_prompt_tokens == 0:
                self._cache.store(generation.chain)

    def _produce(self, generation: Generation) -> None:
        """Produce the next token of a generation; report its end after the last."""
        if generation.cancelled:
            return
        index = generation.produced_tokens
        if index < len(generation.answer):
            generation.produced_tokens += 1
            if generation.listener is not None:
                generation.listener(index, generation.answer[index])
        if generation.produced_tokens == len(generation.answer) and not generation.cancelled:
            generation.finished = True
            self._cache.store(generation.full_chain)
            if generation.listener is not None:
                generation.listener(generation.produced_tokens, None)
