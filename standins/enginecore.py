"""Model an engine's batch, queue and prefix cache; every call is given the time."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field

# Prompt tokens per block of the prefix cache.
BLOCK_TOKENS = 1000


@dataclass(slots=True)
class EngineParams:
    """Hold the costs and sizes of an engine.

    Times are in seconds; those per piece are named as in the load report, whose pieces
    are the blocks of the prefix cache.
    """

    cache_blocks: int = 120
    ttl_s: float = 20.0
    prefill_piece_s: float = 0.1
    import_piece_s: float = 0.015
    decode_step_s: float = 0.02
    max_batch: int = 32


@dataclass(slots=True)
class Job:
    """Hold one request inside an engine.

    Blocks before `import_until` are imported from another engine instead of prefilled;
    `cached` is -1 until the prefill starts.
    """

    job_id: str
    blocks: list[str]
    prompt_tokens: int
    max_tokens: int
    priority: int = 1
    next_index: int = 0
    import_until: int = 0
    arrived: float = 0.0
    cached: int = -1
    imported: int = 0
    done_blocks: int = 0
    recomputed: int = 0

    def prefilled(self) -> bool:
        """Return whether the whole prompt is in the cache."""
        return self.done_blocks >= len(self.blocks)

    def cached_tokens(self) -> int:
        """Return the number of prompt tokens that were not prefilled."""
        if not self.blocks:
            return 0
        reused = max(self.cached, 0) + self.imported
        return self.prompt_tokens * reused // len(self.blocks)


@dataclass(slots=True)
class StepResult:
    """Hold the duration of a step, and the jobs that got a token or finished in it."""

    duration_s: float
    emitted: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)


class PrefixCache:
    """Cache blocks; evict the least recently used and the expired ones."""

    __slots__ = ("_blocks", "capacity", "events", "ttl_s")

    def __init__(self, capacity: int, ttl_s: float) -> None:
        self.capacity = capacity
        self.ttl_s = ttl_s
        self.events: list[tuple[str, str]] = []
        self._blocks: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def contains(self, block: str, now: float) -> bool:
        """Return whether a block is cached."""
        used = self._blocks.get(block)
        return used is not None and now - used <= self.ttl_s

    def match(self, blocks: list[str], now: float) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in blocks:
            if not self.contains(block, now):
                break
            count += 1
        return count

    def touch(self, block: str, now: float) -> None:
        """Store a block or mark it as used."""
        if block not in self._blocks:
            self.events.append(("stored", block))
        self._blocks[block] = now
        self._blocks.move_to_end(block)
        self._evict(now)

    def clear(self) -> None:
        """Drop every block without eviction events."""
        self._blocks.clear()

    def _evict(self, now: float) -> None:
        while self._blocks:
            block, used = next(iter(self._blocks.items()))
            if len(self._blocks) <= self.capacity and now - used <= self.ttl_s:
                return
            del self._blocks[block]
            self.events.append(("evicted", block))


class EngineCore:
    """Batch continuously: a step prefills a block and adds a token to each answer."""

    __slots__ = ("_seq", "_waiting", "cache", "params", "running")

    def __init__(self, params: EngineParams) -> None:
        self.params = params
        self.cache = PrefixCache(params.cache_blocks, params.ttl_s)
        self.running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._seq = 0

    def submit(self, job: Job, now: float) -> None:
        """Queue a job, ordered by priority and then by arrival."""
        job.arrived = now
        self._seq += 1
        heapq.heappush(self._waiting, (job.priority, self._seq, job))

    def cancel(self, job_id: str) -> None:
        """Drop a job, whether it waits or runs."""
        self.running = [job for job in self.running if job.job_id != job_id]
        remaining = [item for item in self._waiting if item[2].job_id != job_id]
        heapq.heapify(remaining)
        self._waiting = remaining

    def waiting(self) -> int:
        """Return the number of jobs whose prefill is not complete."""
        return len(self._waiting)

    def next_job(self) -> Job | None:
        """Return the job that the next step prefills, if any."""
        if self._waiting and len(self.running) < self.params.max_batch:
            return self._waiting[0][2]
        return None

    def idle(self) -> bool:
        """Return whether a step would do nothing."""
        return not self.running and not self._waiting

    def queue_s(self) -> float:
        """Return the queued prefill work, in seconds."""
        blocks = sum(len(j.blocks) - j.done_blocks for _, _, j in self._waiting)
        return blocks * self.params.prefill_piece_s

    def queue_parts(self) -> list[tuple[int, float]]:
        """Return the queued prefill work of each priority, in seconds."""
        work_by_priority: dict[int, float] = {}
        for priority, _, job in self._waiting:
            work_s = (len(job.blocks) - job.done_blocks) * self.params.prefill_piece_s
            work_by_priority[priority] = work_by_priority.get(priority, 0.0) + work_s
        return sorted(work_by_priority.items())

    def queue_before_s(self, priority: int) -> float:
        """Return the prefill work ahead of a new job of a priority, in seconds."""
        blocks = sum(
            len(job.blocks) - job.done_blocks
            for job_priority, _, job in self._waiting
            if job_priority <= priority
        )
        return blocks * self.params.prefill_piece_s

    def step(self, now: float) -> StepResult:
        """Prefill one block and generate one token for each running answer."""
        result = StepResult(0.0)
        if self._waiting and len(self.running) < self.params.max_batch:
            result.duration_s += self._prefill(now)
        if self.running:
            result.duration_s += self.params.decode_step_s
            self._decode(result)
        return result

    def _prefill(self, now: float) -> float:
        job = self._waiting[0][2]
        if job.cached < 0:
            self._match_cache(job, now)
        duration_s = 0.0
        if not job.prefilled():
            duration_s = self._compute_block(job, now)
        if job.prefilled():
            heapq.heappop(self._waiting)
            self.running.append(job)
        return duration_s

    def _match_cache(self, job: Job, now: float) -> None:
        job.cached = self.cache.match(job.blocks, now)
        job.done_blocks = job.cached
        for block in job.blocks[: job.cached]:
            self.cache.touch(block, now)

    def _compute_block(self, job: Job, now: float) -> float:
        """Import or prefill the next block; return the time that this takes."""
        self.cache.touch(job.blocks[job.done_blocks], now)
        job.done_blocks += 1
        if job.done_blocks <= job.import_until:
            job.imported += 1
            return self.params.import_piece_s
        job.recomputed += 1
        return self.params.prefill_piece_s

    def _decode(self, result: StepResult) -> None:
        unfinished = []
        for job in self.running:
            job.next_index += 1
            result.emitted.append(job)
            if job.next_index >= job.max_tokens:
                result.finished.append(job)
            else:
                unfinished.append(job)
        self.running = unfinished
