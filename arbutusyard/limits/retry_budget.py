"""Enforce this node's share of all nodes' joint budget of retries to a service."""

from collections import deque
from typing import Final

# Fraction of the budget that is used; the rest covers nodes that this one can't see.
USED_FRACTION: Final = 0.75


class RetryBudget:
    """Count each service's requests and retries in a sliding window."""

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def reconfigure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the settings of the budget; the counts stay."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count a client's request to a service."""
        self._recent(self._requests, service, now).append(now)

    def spend(self, service: str, nodes: int, now: float) -> bool:
        """Count a retry and return True, or return False when the budget is used up."""
        requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        allowed = self._ratio * requests + self._slack / max(1, nodes)
        if len(retries) + 1 > allowed * USED_FRACTION:
            return False
        retries.append(now)
        return True

    def usage(self, service: str, now: float) -> dict[str, float]:
        """Return the requests and retries that count now, for the log."""
        return {
            "budget_requests": len(self._recent(self._requests, service, now)),
            "budget_retries": len(self._recent(self._retries, service, now)),
        }

    def _recent(
        self, counts: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and now - times[0] > self._window_s:
            times.popleft()
        return times
