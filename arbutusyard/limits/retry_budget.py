"""Keep this node's part of the retries that all nodes may send a service."""

from collections import deque
from typing import Final

# Part of the budget that is used; the rest covers nodes that this one can't see.
USED_PART: Final = 0.75


class RetryBudget:
    """Count requests and repeats of each service in a sliding window."""

    __slots__ = ("_ratio", "_repeats", "_requests", "_slack", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the budget; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._recent(self._requests, service, now).append(now)

    def take(self, service: str, nodes: int, now: float) -> bool:
        """Count a repeat and return True, or return False when none is left."""
        requests = len(self._recent(self._requests, service, now))
        repeats = self._recent(self._repeats, service, now)
        allowed = self._ratio * requests + self._slack / max(1, nodes)
        if len(repeats) + 1 > allowed * USED_PART:
            return False
        repeats.append(now)
        return True

    def _recent(
        self, counts: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and now - times[0] > self._window_s:
            times.popleft()
        return times
