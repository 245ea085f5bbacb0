"""Meter tokens: a bucket that limits and a meter that measures demand."""

import math

from arbutusyard.limits.const import BURST_S, DEMAND_WINDOW_S


class TokenBucket:
    """Let work pass while the level is above zero; a large request leaves debt."""

    __slots__ = ("_level", "_updated_at")

    def __init__(self, now: float) -> None:
        self._level = math.inf
        self._updated_at = now

    def wait_s(self, rate: float, now: float) -> float:
        """Return how long until a request may pass; 0 means now."""
        self._fill(rate, now)
        if self._level > 0:
            return 0.0
        return -self._level / rate

    def take(self, tokens: float) -> None:
        """Spend tokens."""
        self._level -= tokens

    def give_back(self, tokens: float) -> None:
        """Return tokens that were not used."""
        self._level += tokens

    def _fill(self, rate: float, now: float) -> None:
        full = rate * BURST_S
        grown = self._level + rate * (now - self._updated_at)
        self._level = min(full, grown)
        self._updated_at = now


class DemandMeter:
    """Measure a rate with a window that forgets exponentially."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_at = now

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were asked for."""
        self._rate = self.rate(now) + tokens / DEMAND_WINDOW_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the rate in tokens a second."""
        return self._rate * math.exp(-(now - self._updated_at) / DEMAND_WINDOW_S)
