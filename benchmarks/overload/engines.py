"""Model an engine with continuous batching and chunked prefill, in simulated time.

A step prefills a chunk of the queued prompts, first come first served, and decodes one
token for each running request; its duration grows with the number of running requests.
Shared prefixes are cached with LRU eviction. The parameters of a step are those of a
mid-size model on two accelerators.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

__all__ = ["Engine", "EngineParameters", "Job"]


class EngineParameters(NamedTuple):
    """The speed and the limits of an engine: step times, prefill rate, slots and cache size."""

    step_s: float = 0.006
    step_per_request_s: float = 0.000025
    prefill_tokens_per_s: float = 32_000.0
    chunk_tokens: int = 2_048
    slots: int = 128
    cache_tokens: int = 260_000


class Job:
    """One request at an engine; `shared_prefixes` are named parts of its prompt."""

    def __init__(
        self,
        number: int,
        shared_prefixes: tuple[tuple[str, int], ...],
        own_tokens: int,
        out_tokens: int,
    ) -> None:
        self.number = number
        self.shared_prefixes = shared_prefixes
        self.own_tokens = own_tokens
        self.out_tokens = out_tokens
        self.remaining_tokens = 0
        self.is_cancelled = False


class Engine:
    """One engine; the owner of the clock calls `step`."""

    def __init__(self, name: str, parameters: EngineParameters) -> None:
        self.name = name
        self.parameters = parameters
        self.is_up = True
        self.recomputed_tokens = 0
        self.prefill_queue: deque[Job] = deque()
        self.running: list[Job] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._seen: set[str] = set()

    @property
    def is_busy(self) -> bool:
        """Return whether any request is queued or running."""
        return bool(self.prefill_queue or self.running)

    def enqueue(self, job: Job) -> None:
        """Queue a request; cached prefixes of its prompt need no prefill."""
        missing = [(name, size) for name, size in job.shared_prefixes if name not in self._cache]
        for name, _ in job.shared_prefixes:
            if name in self._cache:
                self._cache.move_to_end(name)
        job.remaining_tokens = job.own_tokens + sum(size for _, size in missing)
        self.recomputed_tokens += sum(size for name, size in missing if name in self._seen)
        self.prefill_queue.append(job)

    def step(self) -> tuple[float, list[Job], list[Job]]:
        """Run one step; return its duration, the jobs whose answers begin and those that end."""
        budget = self.parameters.chunk_tokens
        prefilled_tokens, started = 0, []
        for job in [item for item in self.prefill_queue if item.is_cancelled]:
            self.prefill_queue.remove(job)
        self.running = [job for job in self.running if not job.is_cancelled]
        while self.prefill_queue and budget > 0 and len(self.running) < self.parameters.slots:
            job = self.prefill_queue[0]
            chunk = min(budget, job.remaining_tokens)
            job.remaining_tokens -= chunk
            budget -= chunk
            prefilled_tokens += chunk
            if job.remaining_tokens:
                break
            self.prefill_queue.popleft()
            self.cache_prefixes(job.shared_prefixes)
            self.running.append(job)
            started.append(job)
        for job in self.running:
            job.out_tokens -= 1
        ended = [job for job in self.running if job.out_tokens <= 0]
        self.running = [job for job in self.running if job.out_tokens > 0]
        parameters = self.parameters
        decode_s = parameters.step_s + parameters.step_per_request_s * len(self.running)
        return decode_s + prefilled_tokens / parameters.prefill_tokens_per_s, started, ended

    def cache_prefixes(self, shared_prefixes: tuple[tuple[str, int], ...]) -> None:
        """Cache the shared prefixes of a prefilled prompt and evict the least recently used."""
        for name, size in shared_prefixes:
            self._cache[name] = size
            self._cache.move_to_end(name)
            self._seen.add(name)
        while sum(self._cache.values()) > self.parameters.cache_tokens:
            self._cache.popitem(last=False)

    def crash(self) -> list[Job]:
        """Drop all state; return the queued and running requests."""
        lost = [*self.prefill_queue, *self.running]
        self.prefill_queue.clear()
        self.running.clear()
        self._cache.clear()
        self._seen.clear()
        self.is_up = False
        return lost
