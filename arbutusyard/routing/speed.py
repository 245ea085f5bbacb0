"""Estimate engines' prefill rate, and slow periods of servers, from their answers."""

import math
from collections import OrderedDict
from typing import Final

from msgspec import Struct

from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S

# Number of further tokens after which an observation counts for half.
HALF_LIFE_TOKENS: Final = 65_536
# Weight of the service's rate in an engine's estimate: it counts as an observation of
# this number of tokens.
PRIOR_TOKENS: Final = 16_384
# Minimum size of an observed prompt, in tokens; the time of shorter ones depends more
# on the network than on the engine.
TOKENS_MIN: Final = 4096
# Time of the network round trip and of the first decode step, in seconds.
OVERHEAD_S: Final = 0.02
# Limits of the estimated rate, in tokens per second.
RATE_MIN_TOKENS_S: Final = 2_000.0
RATE_MAX_TOKENS_S: Final = 1_000_000.0

# Time after which an observed response counts for half, in seconds. Slow periods last
# about 0.6 s, so what was seen before one is nearly forgotten at its end.
SLOW_HALF_LIFE_S: Final = 0.5
# Weight of the assumption that a server is as fast as its service; one new response has
# weight 1. A single response 2.5 times slower thus gives a factor of 1.84.
SLOW_PRIOR_WEIGHT: Final = 0.5
# Largest factor by which a server is assumed to be slower than its service.
SLOW_FACTOR_MAX: Final = 4.0
# Number of responses over which a service's typical time is averaged, and the number
# known before servers are compared with it.
TYPICAL_RESPONSES: Final = 64
TYPICAL_RESPONSES_MIN: Final = 8
# Maximum number of servers whose recent responses are remembered.
SLOW_SERVERS_MAX: Final = 1024


class PrefillSpeed:
    """Average the observed prefill rates and weigh recent ones more."""

    __slots__ = ("_seconds", "_tokens")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0

    def observe(self, tokens: int, took_s: float) -> None:
        """Record how long the prefill of a prompt and of those before it took."""
        if tokens < TOKENS_MIN:
            return
        decay = 0.5 ** (tokens / HALF_LIFE_TOKENS)
        self._tokens = self._tokens * decay + tokens
        self._seconds = self._seconds * decay + max(took_s - OVERHEAD_S, 1e-3)

    def tokens_s(self, prior: float | None = None) -> float:
        """Return the rate in tokens per second, given the service's rate if known."""
        seconds = self._seconds + PRIOR_TOKENS / (prior or PREFILL_TOKENS_PER_S)
        rate = (self._tokens + PRIOR_TOKENS) / seconds
        return min(RATE_MAX_TOKENS_S, max(RATE_MIN_TOKENS_S, rate))


class TypicalTime(Struct):
    """Average the logarithms of a service's times for work of about one size."""

    log_s: float = 0.0
    responses: int = 0

    def observe(self, log_s: float) -> None:
        """Record the logarithm of a response time in seconds."""
        self.responses = min(TYPICAL_RESPONSES, self.responses + 1)
        self.log_s += (log_s - self.log_s) / self.responses


class RecentRatio(Struct):
    """Average how much slower a server's recent responses are than its service's."""

    log_sum: float = 0.0
    weight: float = 0.0
    observed_at: float = 0.0

    def observe(self, log_ratio: float, now: float) -> None:
        """Record the logarithm of a response time's ratio to the typical one."""
        decay = self._decay(now)
        self.log_sum = self.log_sum * decay + log_ratio
        self.weight = self.weight * decay + 1.0
        self.observed_at = now

    def factor(self, now: float) -> float:
        """Return the factor by which the server is slower, at least 1."""
        decay = self._decay(now)
        log_ratio = self.log_sum * decay / (self.weight * decay + SLOW_PRIOR_WEIGHT)
        return min(SLOW_FACTOR_MAX, max(1.0, math.exp(log_ratio)))

    def _decay(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.observed_at) / SLOW_HALF_LIFE_S)


class SlowServers:
    """Detect servers that respond more slowly than others of their service.

    Responses are compared with those to work of about the same size: the tokens to
    prefill and those ahead of them, by powers of two; 0 without a prompt.
    """

    __slots__ = ("_ratios", "_typical")

    def __init__(self) -> None:
        self._typical: dict[tuple[str, int], TypicalTime] = {}
        self._ratios: OrderedDict[str, RecentRatio] = OrderedDict()

    def observe(
        self, server_id: str, service: str, tokens: int, took_s: float, now: float
    ) -> None:
        """Record after how many seconds a server responded."""
        log_s = math.log(max(took_s, 1e-3))
        typical = self._typical.setdefault(
            (service, tokens.bit_length()), TypicalTime()
        )
        if typical.responses >= TYPICAL_RESPONSES_MIN:
            self._observe_ratio(server_id, log_s - typical.log_s, now)
        typical.observe(log_s)

    def observe_unfinished(
        self, server_id: str, service: str, tokens: int, age_s: float, now: float
    ) -> None:
        """Record for how many seconds a server had not responded to a request.

        That says something of the server only if others usually respond sooner.
        """
        typical = self._typical.get((service, tokens.bit_length()))
        if typical is None or typical.responses < TYPICAL_RESPONSES_MIN:
            return
        log_ratio = math.log(max(age_s, 1e-3)) - typical.log_s
        if log_ratio > 0:
            self._observe_ratio(server_id, log_ratio, now)

    def slow_s(self, server_id: str, service: str, tokens: int, now: float) -> float:
        """Return how many seconds longer a server takes than others of its service."""
        ratio = self._ratios.get(server_id)
        typical = self._typical.get((service, tokens.bit_length()))
        if ratio is None or typical is None:
            return 0.0
        return (ratio.factor(now) - 1.0) * math.exp(typical.log_s)

    def _observe_ratio(self, server_id: str, log_ratio: float, now: float) -> None:
        self._ratios.setdefault(server_id, RecentRatio()).observe(log_ratio, now)
        self._ratios.move_to_end(server_id)
        while len(self._ratios) > SLOW_SERVERS_MAX:
            self._ratios.popitem(last=False)
