"""Learn from answers how fast engines read prompts."""

from typing import Final

from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S

# Evidence counts for half after so many further tokens.
HALF_TOKENS: Final = 65_536
# What is known of an engine's service counts like so many tokens of its own.
PRIOR_TOKENS: Final = 16_384
# Shorter prompts say more of the network than of the engine.
TOKENS_MIN: Final = 4096
# Time of the way there and back and of the first step, in seconds.
OVERHEAD_S: Final = 0.02
RATE_MIN: Final = 2_000.0
RATE_MAX: Final = 1_000_000.0


class PrefillSpeed:
    """Average the tokens that were read in a second, newest evidence first."""

    __slots__ = ("_seconds", "_tokens")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0

    def observe(self, tokens: int, took_s: float) -> None:
        """Take note of how long a prompt and those before it took to be read."""
        if tokens < TOKENS_MIN:
            return
        kept = 0.5 ** (tokens / HALF_TOKENS)
        self._tokens = self._tokens * kept + tokens
        self._seconds = self._seconds * kept + max(took_s - OVERHEAD_S, 1e-3)

    def tokens_s(self, prior: float | None = None) -> float:
        """Return the tokens read in a second, given what is known of the service."""
        seconds = self._seconds + PRIOR_TOKENS / (prior or PREFILL_TOKENS_PER_S)
        rate = (self._tokens + PRIOR_TOKENS) / seconds
        return min(RATE_MAX, max(RATE_MIN, rate))
