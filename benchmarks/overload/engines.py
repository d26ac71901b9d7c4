"""Model one engine that serves in batches, in simulated time.

A step reads a chunk of the prompts that wait, in order of arrival, and gives each
running request one token; it takes longer the more run. Parts of prompts stay in
memory, the least recently used yield. Figures of a step are those of a mid-size
model on two accelerators.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

__all__ = ["Engine", "EngineParameters", "Job"]


class EngineParameters(NamedTuple):
    """What an engine can do: seconds of a step, tokens it reads a second, its places."""

    step_s: float = 0.006
    step_per_request_s: float = 0.000025
    prefill_tokens_per_s: float = 32_000.0
    chunk_tokens: int = 2_048
    slots: int = 128
    cache_tokens: int = 260_000


class Job:
    """One request at an engine; `parts` are what its prompt shares with others."""

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
    """One engine; `step` is called by whoever owns the clock."""

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
        """Tell whether there is anything to do."""
        return bool(self.prefill_queue or self.running)

    def enqueue(self, job: Job) -> None:
        """Queue a request; what of its prompt is kept is not read again."""
        missing = [(name, size) for name, size in job.shared_prefixes if name not in self._cache]
        for name, _ in job.shared_prefixes:
            if name in self._cache:
                self._cache.move_to_end(name)
        job.remaining_tokens = job.own_tokens + sum(size for _, size in missing)
        self.recomputed_tokens += sum(size for name, size in missing if name in self._seen)
        self.prefill_queue.append(job)

    def step(self) -> tuple[float, list[Job], list[Job]]:
        """Run one step; return its length, whose answers begin, and whose end."""
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
        """Keep the shared parts of a prompt that was read."""
        for name, size in shared_prefixes:
            self._cache[name] = size
            self._cache.move_to_end(name)
            self._seen.add(name)
        while sum(self._cache.values()) > self.parameters.cache_tokens:
            self._cache.popitem(last=False)

    def crash(self) -> list[Job]:
        """Lose everything; return the requests in hand."""
        lost = [*self.prefill_queue, *self.running]
        self.prefill_queue.clear()
        self.running.clear()
        self._cache.clear()
        self._seen.clear()
        self.is_up = False
        return lost
