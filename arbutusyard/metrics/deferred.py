"""Hold measurements until the metrics library is needed."""

from collections import deque
from typing import Any, Final

# Maximum number of records that wait for the library; one more loads it.
WAITING_MAX: Final = 10_000


class DeferredMetrics:
    """Stand in for EntryMetrics; load it when it is read or the queue is full.

    Loading the library blocks a small VM for a good part of a second, and nodes that
    were restarted together would all block while clients reconnect.
    """

    __slots__ = ("_metrics", "_waiting")

    def __init__(self) -> None:
        self._metrics: Any = None
        self._waiting: deque[tuple[str, tuple]] = deque()

    def _load(self) -> None:
        """Load the library and record the measurements that are waiting."""
        from arbutusyard.metrics.registry import EntryMetrics

        self._metrics = EntryMetrics()
        while self._waiting:
            name, args = self._waiting.popleft()
            getattr(self._metrics, name)(*args)

    def count_request(self, account: str, work_class: str, outcome: str) -> None:
        """Count a request by its outcome."""
        self._record("count_request", account, work_class, outcome)

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self._record("count_refusal", reason)

    def count_admission(self, event: str, work_class: str) -> None:
        """Count what admission under load did with a request."""
        self._record("count_admission", event, work_class)

    def count_retries(self, retries: int) -> None:
        """Count retries of a request."""
        self._record("count_retries", retries)

    def count_tokens(self, account: str, cached: int, recomputed: int) -> None:
        """Count cached and recomputed prompt tokens."""
        self._record("count_tokens", account, cached, recomputed)

    def record_answer(
        self,
        account: str,
        work_class: str,
        first_token_s: float,
        whole_s: float,
        tokens: int,
    ) -> None:
        """Record the times of a finished answer."""
        self._record(
            "record_answer", account, work_class, first_token_s, whole_s, tokens
        )

    def set_quarantined(self, segments: int, requests: int) -> None:
        """Set how many sets of segments, and whole requests, are quarantined."""
        self._record("set_quarantined", segments, requests)

    def count_quota(self, account: str, result: str, cost: float) -> None:
        """Count the cost of requests by how their quota was decided."""
        self._record("count_quota", account, result, cost)

    def set_quota_votes(self, votes: int) -> None:
        """Set how many nodes lend their shares of the quotas to this node."""
        self._record("set_quota_votes", votes)

    def count_hedge(self, outcome: str) -> None:
        """Count an extra attempt that started, or that ended by its outcome."""
        self._record("count_hedge", outcome)

    def count_hedge_refusal(self, reason: str) -> None:
        """Count an extra attempt that was not started, by the reason."""
        self._record("count_hedge_refusal", reason)

    def count_forward(self, result: str) -> None:
        """Count a request that was sent to another node, by its result."""
        self._record("count_forward", result)

    def set_cut_off(self, services: int) -> None:
        """Set from how many services this node is cut off."""
        self._record("set_cut_off", services)

    def count_slowed_read(self) -> None:
        """Count a server's connection that is read slowly for its small pieces."""
        self._record("count_slowed_read")

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self._metrics is None:
            self._load()
        return self._metrics.text()

    def _record(self, name: str, *args: object) -> None:
        if self._metrics is None and len(self._waiting) >= WAITING_MAX:
            self._load()
        if self._metrics is not None:
            getattr(self._metrics, name)(*args)
        else:
            self._waiting.append((name, args))
