"""Estimate each backend server's wait from delayed reports and own dispatches."""

from msgspec import Struct

from arbutusyard.routing.const import (
    DEFAULT_BLOCK_PREFILL_S,
    DEFAULT_DECODE_STEP_S,
    LOAD_STALE_S,
    LOWEST_PRIORITY,
    PEER_WORK_RATIO_MAX,
)


class QueuePart(Struct, frozen=True, array_like=True):
    """Hold the waiting prompt work of one priority, in seconds."""

    priority: int
    queue_s: float


class LoadReport(Struct, frozen=True):
    """Hold the load that a backend server reported at one time."""

    taken_at: float
    queue_s: float = 0.0
    running: int = 0
    max_batch: int = 32
    block_prefill_s: float = DEFAULT_BLOCK_PREFILL_S
    block_import_s: float = DEFAULT_BLOCK_PREFILL_S
    decode_step_s: float = DEFAULT_DECODE_STEP_S
    parts: tuple[QueuePart, ...] = ()


class Dispatch(Struct):
    """Hold the prompt work of one request that this node has sent."""

    work_s: float
    priority: int
    sent_at: float


class BackendLoad:
    """Track the load of one backend server."""

    __slots__ = ("dispatches", "in_flight", "report")

    def __init__(self, now: float) -> None:
        self.report = LoadReport(now)
        self.dispatches: dict[str, Dispatch] = {}
        self.in_flight = 0

    def add(self, request_id: str, work_s: float, priority: int, now: float) -> None:
        """Count the prompt work of a request that was just sent."""
        self.dispatches[request_id] = Dispatch(work_s, priority, now)
        self.in_flight += 1

    def first_token(self, request_id: str) -> None:
        """Stop counting the prompt work of a request after its first token."""
        self.dispatches.pop(request_id, None)

    def finish(self, request_id: str) -> None:
        """Stop counting a request that has ended."""
        self.dispatches.pop(request_id, None)
        self.in_flight = max(0, self.in_flight - 1)

    def queue_s(self, now: float) -> float:
        """Estimate the prompt work that waits, in seconds."""
        before, since = self._own_work(LOWEST_PRIORITY)
        return max(self._reported_s(now), before) + since

    def wait_s(self, priority: int, now: float) -> float:
        """Estimate the wait of a new request, in seconds."""
        before, since = self._own_work(priority)
        reported = self._reported_ahead_s(priority, now)
        return max(reported, before) + since * self._peer_work_ratio(reported, before)

    def full(self) -> bool:
        """Return whether the batch has no place for another answer."""
        return max(self.report.running, self.in_flight) >= self.report.max_batch

    def _reported_s(self, now: float) -> float:
        return self._remaining_s(self.report.queue_s, now)

    def _reported_ahead_s(self, priority: int, now: float) -> float:
        """Return the reported work ahead of a priority, in seconds.

        If the report does not split the queue by priority, only this node's own work
        counts: the most urgent work waits shortest, so little of an unsplit queue is
        ahead of it. The whole queue counts if all of this node's own work is ahead.
        """
        if not self.report.parts and self.dispatches:
            own, _ = self._own_work(priority)
            own_total, _ = self._own_work(LOWEST_PRIORITY)
            return self._reported_s(now) if own == own_total > 0 else own
        ahead = sum(p.queue_s for p in self.report.parts if p.priority <= priority)
        return self._remaining_s(ahead, now)

    @staticmethod
    def _peer_work_ratio(reported_s: float, own_s: float) -> float:
        """Return the ratio, at least 1, of the reported work to this node's own."""
        if own_s <= 0:
            return 1.0
        return min(max(reported_s / own_s, 1.0), PEER_WORK_RATIO_MAX)

    def _remaining_s(self, queue_s: float, now: float) -> float:
        age_s = now - self.report.taken_at
        if age_s > LOAD_STALE_S:
            return 0.0
        return max(0.0, queue_s - age_s)

    def _own_work(self, priority: int) -> tuple[float, float]:
        before = since = 0.0
        for dispatch in self.dispatches.values():
            if dispatch.priority > priority:
                continue
            if dispatch.sent_at > self.report.taken_at:
                since += dispatch.work_s
            else:
                before += dispatch.work_s
        return before, since
