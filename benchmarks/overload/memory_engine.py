"""Model an engine whose memory holds the tokens of its running requests, in simulated time.

A step prefills a chunk of the queued prompts, first come first served, and decodes one token
for each running request. Memory is taken as it is filled. A shared prompt part is held once
while requests use it, and stays cached until its memory is needed. When memory is full, the
newest of the least urgent requests is preempted: its tokens are dropped, and read again when
there is room for all of them.
"""

from collections import Counter, OrderedDict, deque

from benchmarks.overload.workload import EngineSpeed, Job

__all__ = ["MemoryEngine"]


class MemoryEngine:
    """One engine; the owner of the clock calls `step` while it `is_busy`."""

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        self.name = name
        self.speed = speed
        self.preemptions = 0
        self.reread_tokens = 0
        self.queue: deque[Job] = deque()
        self.running: list[Job] = []
        self._users: Counter[str] = Counter()
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._unshared_tokens = 0

    @property
    def is_busy(self) -> bool:
        """Return whether any request is queued or running."""
        return bool(self.queue or self.running)

    @property
    def held_tokens(self) -> int:
        """Return the memory of running requests, without parts that are cached only."""
        return self._used_tokens()

    def enqueue(self, job: Job) -> None:
        """Queue a request."""
        job.to_read_tokens = -1
        self.queue.append(job)

    def cancel(self, job: Job) -> None:
        """Remove a request whose caller has left."""
        if job in self.running:
            self._release(job)
        if job in self.queue:
            self.queue.remove(job)

    def step(self) -> tuple[float, list[Job], list[Job]]:
        """Run one step; return its duration, the jobs whose answers begin and those that end."""
        read_tokens, started = self._prefill()
        for job in [item for item in self.running if item.to_read_tokens == 0]:
            if job in self.running and self._make_room(1, job):
                job.done_tokens += 1
                self._take(job, 1)
        ended = [job for job in self.running if job.done_tokens >= job.out_tokens]
        for job in ended:
            self._release(job)
        speed = self.speed
        step_s = speed.step_s + speed.step_per_request_s * len(self.running)
        return step_s + read_tokens / speed.prefill_tokens_per_s, started, ended

    def _prefill(self) -> tuple[int, list[Job]]:
        """Read one chunk of the queued prompts; return its size and the jobs read to the end."""
        budget, started = self.speed.chunk_tokens, []
        while self.queue and budget > 0 and len(self.running) < self.speed.slots:
            job = self.queue[0]
            if job.to_read_tokens < 0 and not self._begin(job):
                break
            chunk = min(budget, job.to_read_tokens)
            if not self._make_room(chunk, job):
                break
            self._take(job, chunk)
            job.to_read_tokens -= chunk
            budget -= chunk
            if job.to_read_tokens:
                break
            self.queue.popleft()
            if not job.has_begun:
                job.has_begun = True
                started.append(job)
        return self.speed.chunk_tokens - budget, started

    def _begin(self, job: Job) -> bool:
        """Begin to read a prompt if there is room for its first chunk.

        One that was preempted waits until there is room for all.
        """
        is_cached = job.part in self._cached
        need = job.own_tokens + job.done_tokens + (0 if is_cached else job.part_tokens)
        first = need if job.was_preempted else min(need, self.speed.chunk_tokens)
        if self._used_tokens() + first > self.speed.capacity_tokens:
            return False
        if is_cached:
            self._users[job.part] += 1
            self._cached.move_to_end(job.part)
        job.holds_part = is_cached
        job.to_read_tokens = need
        if job.was_preempted:
            self.reread_tokens += need
        self.running.append(job)
        return True

    def _take(self, job: Job, tokens: int) -> None:
        """Fill memory with the next tokens of a request; others may share its part once read."""
        job.held_tokens += tokens
        self._unshared_tokens += tokens
        is_read = not job.holds_part and job.held_tokens >= job.part_tokens
        if is_read and job.part not in self._cached:
            self._cached[job.part] = job.part_tokens
            job.held_tokens -= job.part_tokens
            self._unshared_tokens -= job.part_tokens
            self._users[job.part] += 1
            job.holds_part = True

    def _used_tokens(self) -> int:
        """Return the memory that can't be freed without a preemption."""
        used = sum(size for name, size in self._cached.items() if self._users[name])
        return used + self._unshared_tokens

    def _make_room(self, tokens: int, job: Job) -> bool:
        """Evict cached parts, then preempt less urgent or newer requests than `job`."""
        while sum(self._cached.values()) + self._unshared_tokens + tokens > (
            self.speed.capacity_tokens
        ):
            idle = next((name for name in self._cached if not self._users[name]), None)
            if idle is not None:
                del self._cached[idle]
                continue
            victim = max(self.running, key=lambda item: (item.rank, item.number), default=job)
            if (victim.rank, victim.number) < (job.rank, job.number):
                victim = job
            if victim in self.running:
                self._preempt(victim)
            if victim is job:
                return False
        return True

    def _preempt(self, job: Job) -> None:
        self.preemptions += 1
        self._release(job)
        if job in self.queue:
            self.queue.remove(job)
        job.was_preempted = True
        self.enqueue(job)

    def _release(self, job: Job) -> None:
        """Free the memory of a request; its shared part stays cached."""
        self.running.remove(job)
        self._users[job.part] -= job.holds_part
        self._unshared_tokens -= job.held_tokens
        job.held_tokens, job.holds_part = 0, False
