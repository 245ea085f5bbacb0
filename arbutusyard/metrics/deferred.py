"""Collect what is to be measured until the metrics library is needed."""

from collections import deque
from typing import Any, Final

# Records that wait until somebody reads the metrics; beyond that the library is loaded.
WAITING_MAX: Final = 10_000


class DeferredMetrics:
    """Stand for EntryMetrics until the metrics are read.

    Loading the library stops a small VM for a good part of a second, and nodes that
    were restarted together would all stop while callers return.
    """

    __slots__ = ("_metrics", "_waiting")

    def __init__(self) -> None:
        self._metrics: Any = None
        self._waiting: deque[tuple[str, tuple]] = deque()

    def _load(self) -> None:
        """Load the library and hand over what has waited."""
        from arbutusyard.metrics.registry import EntryMetrics

        self._metrics = EntryMetrics()
        while self._waiting:
            name, args = self._waiting.popleft()
            getattr(self._metrics, name)(*args)

    def count_request(self, account: str, work_class: str, outcome: str) -> None:
        """Count a request by what became of it."""
        self._pass_on("count_request", account, work_class, outcome)

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self._pass_on("count_refusal", reason)

    def count_retries(self, retries: int) -> None:
        """Count tries after the first."""
        self._pass_on("count_retries", retries)

    def count_tokens(self, account: str, cached: int, recomputed: int) -> None:
        """Count the prompt tokens that were reused and those that were not."""
        self._pass_on("count_tokens", account, cached, recomputed)

    def record_answer(
        self,
        account: str,
        work_class: str,
        first_token_s: float,
        whole_s: float,
        tokens: int,
    ) -> None:
        """Record the times of a finished answer."""
        self._pass_on(
            "record_answer", account, work_class, first_token_s, whole_s, tokens
        )

    def text(self) -> bytes:
        """Return every metric in the usual text format."""
        if self._metrics is None:
            self._load()
        return self._metrics.text()

    def _pass_on(self, name: str, *args: object) -> None:
        if self._metrics is None and len(self._waiting) >= WAITING_MAX:
            self._load()
        if self._metrics is not None:
            getattr(self._metrics, name)(*args)
        else:
            self._waiting.append((name, args))
