"""Claims and outcomes of non-idempotent requests."""

import enum

from msgspec import Struct


class ClaimState(enum.Enum):
    """State of a claimed request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Reply(Struct, frozen=True):
    """Answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True):
    """Claim row of one idempotency key.

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
    """Outcome of a request that certainly did not run."""

    code: str
    message: str
    retry_after_s: float = 1.0


class OutcomeUnknown(Struct, frozen=True):
    """Outcome of a request that may or may not have run."""

    message: str


class Done(Struct, frozen=True):
    """Answer of the only run; replayed if it comes from an earlier attempt's record."""

    reply: Reply
    replayed: bool = False


class KeyReused(Struct, frozen=True):
    """Outcome of a request whose idempotency key belongs to a different request."""


Outcome = NotRun | OutcomeUnknown | Done | KeyReused
