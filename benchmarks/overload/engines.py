"""Model one engine that serves in batches, in simulated time.

A step reads a chunk of the prompts that wait, in order of arrival, and gives each
running request one token; it takes longer the more run. Parts of prompts stay in
memory, the least recently used yield. Figures of a step are those of a mid-size
model on two accelerators.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

__all__ = ["Engine", "EngineFigures", "Job"]


class EngineFigures(NamedTuple):
    """What an engine can do: seconds of a step, tokens it reads a second, its places."""

    step_s: float = 0.006
    step_per_run_s: float = 0.000025
    read_tokens_per_s: float = 32_000.0
    chunk_tokens: int = 2_048
    slots: int = 128
    memory_tokens: int = 260_000


class Job:
    """One request at an engine; `parts` are what its prompt shares with others."""

    def __init__(
        self, number: int, parts: tuple[tuple[str, int], ...], own_tokens: int, out_tokens: int
    ) -> None:
        self.number = number
        self.parts = parts
        self.own_tokens = own_tokens
        self.out_tokens = out_tokens
        self.left_tokens = 0
        self.is_gone = False


class Engine:
    """One engine; `step` is called by whoever owns the clock."""

    def __init__(self, name: str, figures: EngineFigures) -> None:
        self.name = name
        self.figures = figures
        self.is_up = True
        self.read_again_tokens = 0
        self.reading: deque[Job] = deque()
        self.running: list[Job] = []
        self._memory: OrderedDict[str, int] = OrderedDict()
        self._known: set[str] = set()

    @property
    def is_busy(self) -> bool:
        """Tell whether there is anything to do."""
        return bool(self.reading or self.running)

    def take(self, job: Job) -> None:
        """Queue a request; what of its prompt is kept is not read again."""
        missing = [(name, size) for name, size in job.parts if name not in self._memory]
        for name, _ in job.parts:
            if name in self._memory:
                self._memory.move_to_end(name)
        job.left_tokens = job.own_tokens + sum(size for _, size in missing)
        self.read_again_tokens += sum(size for name, size in missing if name in self._known)
        self.reading.append(job)

    def step(self) -> tuple[float, list[Job], list[Job]]:
        """Run one step; return its length, whose answers begin, and whose end."""
        budget = self.figures.chunk_tokens
        read_tokens, begun = 0, []
        for job in [item for item in self.reading if item.is_gone]:
            self.reading.remove(job)
        self.running = [job for job in self.running if not job.is_gone]
        while self.reading and budget > 0 and len(self.running) < self.figures.slots:
            job = self.reading[0]
            taken = min(budget, job.left_tokens)
            job.left_tokens -= taken
            budget -= taken
            read_tokens += taken
            if job.left_tokens:
                break
            self.reading.popleft()
            self.keep(job.parts)
            self.running.append(job)
            begun.append(job)
        for job in self.running:
            job.out_tokens -= 1
        ended = [job for job in self.running if job.out_tokens <= 0]
        self.running = [job for job in self.running if job.out_tokens > 0]
        figures = self.figures
        run_s = figures.step_s + figures.step_per_run_s * len(self.running)
        return run_s + read_tokens / figures.read_tokens_per_s, begun, ended

    def keep(self, parts: tuple[tuple[str, int], ...]) -> None:
        """Keep the shared parts of a prompt that was read."""
        for name, size in parts:
            self._memory[name] = size
            self._memory.move_to_end(name)
            self._known.add(name)
        while sum(self._memory.values()) > self.figures.memory_tokens:
            self._memory.popitem(last=False)

    def crash(self) -> list[Job]:
        """Lose everything; return the requests in hand."""
        lost = [*self.reading, *self.running]
        self.reading.clear()
        self.running.clear()
        self._memory.clear()
        self._known.clear()
        self.is_up = False
        return lost
