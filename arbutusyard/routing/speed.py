"""Estimate engines' prefill rate from the times of their answers."""

from typing import Final

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
