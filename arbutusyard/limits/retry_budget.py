"""Enforce this node's share of all nodes' joint budget of retries to a service.

A service's budget is a ratio of its requests and a constant part. The ratio applies to
this node's own requests, and the constant part is divided by all nodes that may send
retries, seen or not.
"""

from collections import deque
from typing import Final

from arbutusyard.limits.sharing import FleetShare

# Fraction of the budget that is used; the rest covers nodes that have just started.
USED_FRACTION: Final = 0.75
# Fraction of the ratio that nodes use which have just started, if all have: they don't
# know what they spent before, which was at most the fraction above.
START_FRACTION: Final = 1.0 - USED_FRACTION
# Time within which a retry arrives, in seconds: a new connection and the time for which
# sent bytes may stay unacknowledged.
DELIVERY_MAX_S: Final = 2.0


class RetryBudget:
    """Count each service's requests and retries in a sliding window."""

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window_s", "share")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.share = FleetShare()

    def reconfigure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the settings of the budget; the counts stay."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count a client's request to a service."""
        self._recent_requests(service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Count a retry and return True, or return False when the budget is used up."""
        retries = self._recent_retries(service, now)
        if len(retries) + 1 > self._allowed(service, now):
            return False
        retries.append(now)
        return True

    def give_back(self, service: str) -> None:
        """Stop counting the newest retry, of which nothing was sent."""
        retries = self._retries.get(service)
        if retries:
            retries.pop()

    def usage(self, service: str, now: float) -> dict[str, float]:
        """Return what decides on the next retry, for the log."""
        return {
            "budget_requests": len(self._recent_requests(service, now)),
            "budget_retries": len(self._recent_retries(service, now)),
            "budget_allowed": round(self._allowed(service, now), 2),
            "sharing_nodes": self.share.nodes,
            "recent_nodes": self.share.recent,
            "settled": self.share.settled,
        }

    def _allowed(self, service: str, now: float) -> float:
        earned = self._ratio * len(self._recent_requests(service, now))
        share = self.share
        if share.settled:
            return USED_FRACTION * (earned + self._slack / share.nodes)
        # What this node spent before its start is not known, so it leaves the constant
        # part alone until that counts no more.
        fraction = START_FRACTION * share.nodes / max(1, share.recent)
        return min(USED_FRACTION, fraction) * earned

    def _recent_requests(self, service: str, now: float) -> deque[float]:
        return _recent(self._requests, service, now - self._window_s)

    def _recent_retries(self, service: str, now: float) -> deque[float]:
        return _recent(self._retries, service, now - self._window_s - DELIVERY_MAX_S)


def _recent(
    counts: dict[str, deque[float]], service: str, since: float
) -> deque[float]:
    times = counts.setdefault(service, deque())
    while times and times[0] < since:
        times.popleft()
    return times
