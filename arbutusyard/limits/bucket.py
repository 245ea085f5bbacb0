"""Enforce a rate with a token bucket, and measure demand with a meter."""

import math

from arbutusyard.limits.const import BURST_S, DEMAND_WINDOW_S


class TokenBucket:
    """Enforce a rate by a token bucket whose level may go negative.

    Requests pass while the level is above zero, so a large request leaves a debt that
    later requests wait for.
    """

    __slots__ = ("_burst_s", "_level", "_updated_at")

    def __init__(
        self, now: float, level: float = math.inf, burst_s: float = BURST_S
    ) -> None:
        self._burst_s = burst_s
        self._level = level
        self._updated_at = now

    def wait_s(self, rate: float, now: float) -> float:
        """Return the time until a request may pass, in seconds; 0 means now."""
        self._refill(rate, now)
        if self._level > 0:
            return 0.0
        return -self._level / rate

    def spend(self, tokens: float) -> None:
        """Remove tokens from the bucket."""
        self._level -= tokens

    def drain(self, level: float, rate: float, now: float) -> None:
        """Lower the level to at most `level`."""
        self._refill(rate, now)
        self._level = min(self._level, level)

    def give_back(self, tokens: float) -> None:
        """Return tokens that were not used."""
        self._level += tokens

    def _refill(self, rate: float, now: float) -> None:
        capacity = rate * self._burst_s
        refilled = self._level + rate * (now - self._updated_at)
        self._level = min(capacity, refilled)
        self._updated_at = now


class DemandMeter:
    """Measure the rate of demand with exponential decay."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_at = now

    def add(self, tokens: float, now: float) -> None:
        """Count requested tokens."""
        self._rate = self.rate(now) + tokens / DEMAND_WINDOW_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the rate in tokens a second."""
        return self._rate * math.exp(-(now - self._updated_at) / DEMAND_WINDOW_S)
