"""Define the claims and outcomes of non-idempotent requests."""

import enum

from msgspec import Struct


class ClaimState(enum.Enum):
    """Name the states of a claimed request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Reply(Struct, frozen=True):
    """Hold the answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True):
    """Hold the claim row of one idempotency key.

    A claim that took over another one is never released as not run, because the
    earlier attempt may have run.
    """

    attempt: str
    state: ClaimState
    fingerprint: str
    fence: int
    claimed_at_ms: int
    took_over: bool = False
    reply: Reply | None = None

    @property
    def abandoned_state(self) -> ClaimState:
        """Return the state to write when this attempt does not dispatch."""
        return ClaimState.UNKNOWN if self.took_over else ClaimState.RELEASED


class NotRun(Struct, frozen=True):
    """Indicate that a request certainly did not run."""

    code: str
    message: str
    retry_after_s: float = 1.0


class OutcomeUnknown(Struct, frozen=True):
    """Indicate that a request may or may not have run."""

    message: str


class Done(Struct, frozen=True):
    """Hold the only run's answer; replayed if from an earlier attempt's record."""

    reply: Reply
    replayed: bool = False


class KeyReused(Struct, frozen=True):
    """Indicate that a request's idempotency key belongs to a different request."""


Outcome = NotRun | OutcomeUnknown | Done | KeyReused
